// Guards against a request that runs twice, or that runs although its caller
// was told "not run". Both come about when calls, log records, pauses and
// restarts interleave badly, so seeded random interleavings are tried. With
// each fault injected, the same check must fail: this shows that it can.
import { expect } from "chai";
import fastCheck from "fast-check";
import { type InjectedFault, runInterleaving } from "./claim_model.ts";

const RUNS = 10_000;
const SEED = 20_261_204;
const SCRIPT = fastCheck.array(fastCheck.nat(9_999), {
  minLength: 40,
  maxLength: 160,
  size: "max",
});

/** Sums the violations and starts over seeded interleavings. */
function count(
  options: { parts: number; fault?: InjectedFault; runs?: number },
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
  it(`interleavings: ${parts} parts start at most once; "not run" is true`, () => {
    const found = count({ parts });
    expect(found.doubled).to.equal(0);
    expect(found.falseNotRun).to.equal(0);
    expect(found.starts).to.be.greaterThan(RUNS / 10);
  }).timeout(120_000);
}

it("interleavings: starts after the hold expired are detected", () => {
  const fault = { holdsNeverLapse: true };
  expect(count({ parts: 1, fault }).doubled).to.be.greaterThan(0);
}).timeout(120_000);

it("interleavings: an adoption without the wait is detected", () => {
  const fault = { adoptsWithoutWait: true };
  expect(count({ parts: 1, fault }).doubled).to.be.greaterThan(0);
}).timeout(120_000);

it('interleavings: "not run" after an unanswered start is detected', () => {
  const fault = { unansweredIsRefused: true };
  const found = count({ parts: 1, fault });
  expect(found.doubled + found.falseNotRun).to.be.greaterThan(0);
}).timeout(120_000);
