import { expect } from "chai";
import fastCheck from "fast-check";
import { type PlantedFault, runInterleaving } from "./claim_model.ts";

const RUNS = 10_000;
const SEED = 20_261_204;
const SCRIPT = fastCheck.array(fastCheck.nat(9_999), {
  minLength: 40,
  maxLength: 160,
  size: "max",
});

/** Counts violations over seeded interleavings. */
function count(
  options: { parts: number; fault?: PlantedFault; runs?: number },
) {
  const total = { doubled: 0, falseNotRun: 0, starts: 0 };
  const { runs: numRuns = RUNS, ...rest } = options;
  const scripts = fastCheck.sample(SCRIPT, { numRuns, seed: SEED });
  for (const script of scripts) {
    const found = runInterleaving(script, rest);
    total.doubled += found.doubled;
    total.falseNotRun += found.falseNotRun;
    total.starts += found.starts;
  }
  return total;
}

for (const parts of [1, 2]) {
  it(`interleavings: ${parts} parts never start twice and not run is true`, () => {
    const found = count({ parts });
    expect(found.doubled).to.equal(0);
    expect(found.falseNotRun).to.equal(0);
    expect(found.starts).to.be.greaterThan(RUNS / 10);
  }).timeout(120_000);
}

it("interleavings: starts after the hold lapsed are caught", () => {
  const fault = { holdsNeverLapse: true };
  expect(count({ parts: 1, fault }).doubled).to.be.greaterThan(0);
}).timeout(120_000);

it("interleavings: an adoption without the wait is caught", () => {
  const fault = { adoptsWithoutWait: true };
  expect(count({ parts: 1, fault }).doubled).to.be.greaterThan(0);
}).timeout(120_000);

it("interleavings: not run after an unanswered start is caught", () => {
  const fault = { unansweredIsRefused: true };
  const found = count({ parts: 1, fault });
  expect(found.doubled + found.falseNotRun).to.be.greaterThan(0);
}).timeout(120_000);
