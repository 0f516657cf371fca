import { expect } from "chai";
import fc from "fast-check";
import {
  EVENT_KINDS,
  type ModelEvent,
  type PlantedFault,
  playTakeovers,
} from "./takeover_model.ts";

const RUNS = 10_000;
const SEED = 20_261_204;
const TIMEOUT_MS = 120_000;

const events: fc.Arbitrary<ModelEvent[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(...EVENT_KINDS),
    pick: fc.nat({ max: 1_000 }),
  }),
  { minLength: 20, maxLength: 160, size: "max" },
);

function check(fault?: PlantedFault) {
  return fc.check(
    fc.property(events, (series) => playTakeovers(series, fault).length === 0),
    { numRuns: RUNS, seed: SEED, endOnFailure: true },
  );
}

it("takeover: no task runs twice in any interleaving", () => {
  const result = check();
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

for (
  const fault of [
    "orderBeforeStored",
    "acknowledgedBeforeStored",
    "takeoverWithoutWait",
  ] as const
) {
  it(`takeover: the planted fault ${fault} is caught`, () => {
    expect(check(fault).failed).to.equal(true);
  }).timeout(TIMEOUT_MS);
}
