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

/** A lead is overtaken while its batch is stored, and its answer comes late. */
function overtakenLead(seenByNext: number): ModelEvent[] {
  const both = [0, 1].map((pick) => ({ kind: "look", pick }) as const);
  const renewals = Array.from({ length: 8 }, () => [
    { kind: "advance", pick: 15 } as const,
    { kind: "takeover", pick: 0 } as const,
    { kind: "look", pick: seenByNext } as const,
  ]);
  const delivered = [0, 0].map((pick) => ({ kind: "deliver", pick }) as const);
  return [
    ...both,
    { kind: "plan", pick: 0 },
    { kind: "storeAnswerLost", pick: 0 },
    { kind: "advance", pick: 39 },
    { kind: "takeover", pick: 0 },
    ...renewals.flat(),
    { kind: "plan", pick: 0 },
    { kind: "store", pick: 0 },
    ...delivered,
    { kind: "storeAnswerLost", pick: 0 },
    ...delivered,
  ];
}

it("takeover: the planted fault ordersAfterLease is caught", () => {
  const play = (fault?: PlantedFault) =>
    [0, 1].flatMap((next) => playTakeovers(overtakenLead(next), fault));
  expect(play()).to.deep.equal([]);
  expect(play("ordersAfterLease")).not.to.deep.equal([]);
});
