// Guards against a request that runs twice, or that runs although it was
// reported as not run. Both come about when calls, log records, pauses and
// restarts interleave in an unusual order, so seeded random interleavings are
// tried. With each injected fault the check must find violations, which shows
// that it can.
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
function countViolations(
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
  it(`interleavings: ${parts} parts never run twice; "not run" is true`, () => {
    const found = countViolations({ parts });
    expect(found.doubled).to.equal(0);
    expect(found.falseNotRun).to.equal(0);
    expect(found.starts).to.be.greaterThan(RUNS / 10);
  }).timeout(120_000);
}

it("interleavings: a start after the hold expired is detected", () => {
  const fault = { holdsNeverExpire: true };
  expect(countViolations({ parts: 1, fault }).doubled).to.be.greaterThan(0);
}).timeout(120_000);

it("interleavings: an adoption without the wait is detected", () => {
  const fault = { adoptsWithoutWait: true };
  expect(countViolations({ parts: 1, fault }).doubled).to.be.greaterThan(0);
}).timeout(120_000);

it('interleavings: "not run" after a lost start response is detected', () => {
  const fault = { treatsNoResponseAsRefusal: true };
  const found = countViolations({ parts: 1, fault });
  expect(found.doubled + found.falseNotRun).to.be.greaterThan(0);
}).timeout(120_000);
