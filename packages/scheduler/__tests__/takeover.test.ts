import { expect } from "chai";
import fc from "fast-check";
import { createCell, job, step } from "./cell_fixture.ts";
import {
  EVENT_KINDS,
  type InjectedFault,
  type ModelEvent,
} from "./takeover_events.ts";
import { simulateTakeovers } from "./takeover_model.ts";

const SERIES_COUNT = 10_000;
const CALM_SERIES_COUNT = 1_000;
const SEED = 20_261_204;
const TIMEOUT_MS = 120_000;

const events: fc.Arbitrary<ModelEvent[]> = fc.array(
  fc.record({
    kind: fc.constantFrom(...EVENT_KINDS),
    pick: fc.nat({ max: 1_000 }),
  }),
  { minLength: 20, maxLength: 160, size: "max" },
);

function checkTakeovers(fault?: InjectedFault) {
  return checkEvents((series) => simulateTakeovers(series, { fault }));
}

/** Checks that no series of events leads to violations. */
function checkEvents(
  findViolations: (series: ModelEvent[]) => string[],
  seriesOf = events,
) {
  return fc.check(
    fc.property(seriesOf, (series) => findViolations(series).length === 0),
    { numRuns: SERIES_COUNT, seed: SEED, endOnFailure: true },
  );
}

// A start that is not answered and carried out late, and two runs that fail.
const FAILING_ROUND: readonly ModelEvent["kind"][] = [
  "poll",
  "poll",
  "poll",
  "plan",
  "store",
  "timeOut",
  "plan",
  "store",
  "deliver",
  "deliver",
  "failed",
  "failed",
  "poll",
  "poll",
  "store",
];

// A start that is stopped and replaced, and carried out late after a restart.
const RESTARTING_ROUND: readonly ModelEvent["kind"][] = [
  "poll",
  "poll",
  "plan",
  "store",
  "timeOut",
  "poll",
  "plan",
  "deliver",
  "poll",
  "plan",
  "store",
  "deliver",
  "restart",
  "poll",
  "deliver",
  "deliver",
];

function repeatRounds(
  round: readonly ModelEvent["kind"][],
): fc.Arbitrary<ModelEvent[]> {
  return fc.array(
    fc.tuple(
      ...round.map((kind) =>
        fc.record({ kind: fc.constant(kind), pick: fc.nat({ max: 1_000 }) })
      ),
    ),
    { minLength: 4, maxLength: 10, size: "max" },
  ).map((rounds) => rounds.flat());
}

const failingEvents = repeatRounds(FAILING_ROUND);
const restartingEvents = repeatRounds(RESTARTING_ROUND);

// Guards against a task that runs on two workers, runs again after its end was
// stored, or fails more often than it may. All can happen around a change of
// lead or a restart of a worker, when calls, answers and store writes of an
// earlier lead arrive late.
it("takeover: no task runs twice, or too often, in any interleaving", () => {
  const result = checkTakeovers();
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

for (
  const fault of [
    "startBeforeStored",
    "acknowledgeBeforeStored",
    "takeoverWithoutWait",
    "refusalAfterTimeout",
  ] as const
) {
  it(`takeover: the model detects the injected fault ${fault}`, () => {
    expect(checkTakeovers(fault).failed).to.equal(true);
  }).timeout(TIMEOUT_MS);
}

it("takeover: no late call of a former lifetime makes a task run twice", () => {
  const result = checkEvents(
    (series) => simulateTakeovers(series, { steps: [step()] }),
    restartingEvents,
  );
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

it("takeover: the model detects the injected fault constantToken", () => {
  const result = checkEvents(
    (series) =>
      simulateTakeovers(series, { fault: "constantToken", steps: [step()] }),
    restartingEvents,
  );
  expect(result.failed).to.equal(true);
}).timeout(TIMEOUT_MS);

it("takeover: no task starts too often while its runs fail", () => {
  const result = checkEvents(
    (series) => simulateTakeovers(series, { workerCount: 6 }),
    failingEvents,
  );
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

// Guards against progress that is lost between a record of a whole step and the
// records of its parts.
it("takeover: no task runs twice while its progress is stored in parts", () => {
  const scenarios = fc.record({
    series: events,
    recordBytes: fc.constantFrom(1, 60, 90),
  });
  const result = fc.check(
    fc.property(
      scenarios,
      ({ series, recordBytes }) =>
        simulateTakeovers(series, {
          steps: [step({ taskCount: 3 })],
          recordBytes,
        }).length === 0,
    ),
    { numRuns: SERIES_COUNT, seed: SEED, endOnFailure: true },
  );
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

// With the fault, a run may start or fail unnoticed before the next one starts.
it("takeover: no task starts after failed ends that were reported", () => {
  const result = checkEvents(
    (series) =>
      simulateTakeovers(series, {
        fault: "refusalAfterTimeout",
        workerCount: 6,
      })
        .filter((violation) => violation.endsWith(" that were known")),
    failingEvents,
  );
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

// Guards against a task whose run neither ends nor can be proved gone, and a job
// that fails although none of its tasks has failed too often.
it("takeover: in a calm after any events, every task runs or is done", () => {
  const scenarios = fc.record({
    series: events,
    steps: fc.constantFrom(
      [step({ taskCount: 2 })],
      [step({ taskCount: 2, isGang: true })],
      [step(), step({ taskCount: 2, after: [0] })],
    ),
    workerCount: fc.constantFrom(2, 4),
    recordBytes: fc.constantFrom(Infinity, 60),
  });
  const result = fc.check(
    fc.property(
      scenarios,
      ({ series, ...options }) =>
        simulateTakeovers(series, { ...options, endsCalmly: true }).length ===
          0,
    ),
    { numRuns: CALM_SERIES_COUNT, seed: SEED, endOnFailure: true },
  );
  expect(result.counterexample, JSON.stringify(result.counterexample)).to.equal(
    null,
  );
}).timeout(TIMEOUT_MS);

/**
 * Returns events in which a lead loses its lease while its batch is being
 * stored, a successor takes over, and the confirmation of the store reaches the
 * first lead only then.
 *
 * @param polledWorker index of the worker that the successor polls
 * @returns the events, in order
 */
function overtakenLeadEvents(polledWorker: number): ModelEvent[] {
  const pollsOfBoth = [0, 1].map((pick) => ({ kind: "poll", pick }) as const);
  const renewals = Array.from({ length: 8 }, () => [
    { kind: "advance", pick: 15 } as const,
    { kind: "takeover", pick: 0 } as const,
    { kind: "poll", pick: polledWorker } as const,
  ]);
  const deliveries = [0, 0].map((pick) => ({ kind: "deliver", pick }) as const);
  return [
    ...pollsOfBoth,
    { kind: "plan", pick: 0 },
    { kind: "storeUnconfirmed", pick: 0 },
    { kind: "advance", pick: 39 },
    { kind: "takeover", pick: 0 },
    ...renewals.flat(),
    { kind: "plan", pick: 0 },
    { kind: "store", pick: 0 },
    ...deliveries,
    { kind: "storeUnconfirmed", pick: 0 },
    ...deliveries,
  ];
}

it("takeover: the model detects the injected fault startAfterLease", () => {
  const simulate = (fault?: InjectedFault) =>
    [0, 1].flatMap((polledWorker) =>
      simulateTakeovers(overtakenLeadEvents(polledWorker), { fault })
    );
  expect(simulate()).to.deep.equal([]);
  expect(simulate("startAfterLease")).not.to.deep.equal([]);
});

it("takeover: a job whose attempts are used up starts no further run", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(job("a"));
  for (let attempt = 1; attempt <= 2; attempt++) {
    cell.settle();
    cell.end("a", "failed");
  }
  cell.settle();
  cell.end("a", "failed");
  cell.clock.advance(1);
  cell.pollWorkers();
  const batch = cell.scheduler.takeBatch()!;
  expect(batch.outcomes).to.have.length(1);
  const next = createCell({ workers: 4 });
  next.book.apply({ kind: "submission", spec: cell.book.find("a")!.spec });
  for (const record of batch.records) {
    if (record.kind === "progress") cell.book.apply(record);
  }
  next.scheduler.restore(cell.book.find("a")!, next.clock.now());
  next.settle();
  expect(next.runs("a")).to.deep.equal([]);
});
