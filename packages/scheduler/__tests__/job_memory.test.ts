import { expect } from "chai";
import {
  addJob,
  addStoredProgress,
  createCellState,
  createJobBook,
  decodeRecord,
  encodeRecord,
  estimateJobBytes,
  estimateOccurrenceBytes,
  findRunnableSteps,
  getOrCreateStep,
  type JobSpec,
  type KeyedValue,
  MAXIMUM_OCCURRENCE_BYTES,
  stepKey,
  type StepSpec,
  type StoredProgress,
  withProgress,
} from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";
import { chain, idsOf, measureHeap, readBook } from "./heap_fixture.ts";

const STEPS = 2_000;
const JOBS = 10;
const TIMEOUT_MS = 30_000;
const NOT_ENDED = { hasEnded: false };

const wide = (id: string, spec: StepSpec): JobSpec =>
  job(id, { steps: Array.from({ length: STEPS }, () => spec) });

/** Returns jobs and what a lead holds of them in a pass before they start. */
function submitToLead(specs: readonly JobSpec[]) {
  const book = readBook(specs);
  const state = createCellState();
  const waiting = [...book.jobs()].map(({ spec }) => {
    const added = addJob(state, spec, 0);
    return findRunnableSteps(
      added,
      (occurrence, index) => getOrCreateStep(added, occurrence, index),
      0,
    );
  });
  return { book, state, waiting };
}

/** Returns the stored progress of jobs of which each task saved a checkpoint. */
function storeProgress(specs: readonly JobSpec[]): KeyedValue[] {
  return specs.flatMap(({ id, steps }) =>
    steps.flatMap(({ taskCount }, index) =>
      encodeRecord({
        kind: "progress",
        step: stepKey(id, 0, index),
        progress: {
          highestRun: taskCount,
          done: [],
          runs: [],
          failedRuns: [],
          checkpoints: Array.from(
            { length: taskCount },
            (_, task) => [task, `${id.slice(8)}${task}`.padEnd(16, "0")],
          ),
          crashes: [],
        },
      })
    )
  );
}

function decodeProgress(records: readonly KeyedValue[]): StoredProgress {
  const progress: StoredProgress = new Map();
  for (const { key, value } of records) {
    addStoredProgress(progress, decodeRecord(key, value)!);
  }
  return progress;
}

/** Restores jobs in a new lead, as an entry does. */
function takeOver(
  specs: readonly JobSpec[],
  records: readonly KeyedValue[],
) {
  const book = readBook(specs);
  const progress = decodeProgress(records);
  const cell = createCell();
  for (const stored of book.jobs()) {
    const { id } = stored.spec;
    cell.scheduler.restore(withProgress(stored, progress.get(id)), 0);
  }
  return { book, cell };
}

const LABEL = "x".repeat(100);
const SHAPES: Readonly<Record<string, (id: string) => JobSpec>> = {
  "chains of steps": (id) => chain(id, STEPS),
  "independent steps": (id) => wide(id, step()),
  "steps with long labels": (id) => wide(id, step({ requiredLabel: LABEL })),
  "steps of eight tasks": (id) => wide(id, step({ taskCount: 8 })),
  "one step of many tasks": (id) =>
    job(id, { steps: [step({ taskCount: 16_384 })] }),
};

for (const [name, create] of Object.entries(SHAPES)) {
  it(`job memory: the estimate covers ${name} before their start`, () => {
    const specs = idsOf(JOBS).map(create);
    const { bytes } = measureHeap(() => submitToLead(specs));
    const estimate = JOBS * estimateJobBytes(specs[0], NOT_ENDED);
    expect(bytes).to.be.at.most(estimate);
  }).timeout(TIMEOUT_MS);

  it(`job memory: the estimate covers the progress of ${name} while it is read`, () => {
    const specs = idsOf(JOBS).map(create);
    const { bytes } = measureHeap(() => {
      const records = storeProgress(specs);
      return { book: readBook(specs), records, read: decodeProgress(records) };
    });
    const estimate = JOBS * estimateJobBytes(specs[0], NOT_ENDED);
    expect(bytes).to.be.at.most(estimate);
  }).timeout(TIMEOUT_MS);

  it(`job memory: the estimate covers ${name} after a change of lead`, () => {
    const specs = idsOf(JOBS).map(create);
    const records = storeProgress(specs);
    const { bytes } = measureHeap(() => takeOver(specs, records));
    const estimate = JOBS * estimateJobBytes(specs[0], NOT_ENDED);
    expect(bytes).to.be.at.most(estimate);
  }).timeout(TIMEOUT_MS);
}

it("job memory: the estimate covers small jobs", () => {
  const specs = idsOf(1_000).map((id) => job(id));
  const { bytes } = measureHeap(() => submitToLead(specs));
  expect(bytes).to.be.at.most(1_000 * estimateJobBytes(specs[0], NOT_ENDED));
}).timeout(TIMEOUT_MS);

it("job memory: the estimate covers ended jobs", () => {
  const specs = idsOf(JOBS).map((id) => chain(id, STEPS));
  const { bytes } = measureHeap(() => readBook(specs));
  const ended = { hasEnded: true };
  expect(bytes).to.be.at.most(JOBS * estimateJobBytes(specs[0], ended));
}).timeout(TIMEOUT_MS);

it("job memory: a book counts each job once, until it is removed", () => {
  const book = createJobBook();
  const spec = chain("a", 3);
  book.addUnconfirmed(spec, 1);
  book.apply({ kind: "submission", spec });
  const whole = estimateJobBytes(spec, NOT_ENDED);
  const ended = estimateJobBytes(spec, { ...NOT_ENDED, hasEnded: true });
  expect(book.memory.heldBytes(0)).to.equal(whole);
  book.apply({ kind: "outcome", job: "a", outcome: "completed", at: 1 });
  book.apply({ kind: "outcome", job: "a", outcome: "completed", at: 1 });
  expect(book.memory.heldBytes(0)).to.equal(ended);
  book.apply({ kind: "removal", job: "a", steps: [] });
  book.apply({ kind: "removal", job: "a", steps: [] });
  expect(book.memory.heldBytes(0)).to.equal(0);
  expect(book.memory.releasedBytes()).to.equal(whole);
});

it("job memory: a damaged job counts as a small one", () => {
  const book = createJobBook();
  const none = undefined as unknown as [];
  const nan = step({ taskCount: NaN });
  book.apply({ kind: "submission", spec: job("a", { steps: none }) });
  book.apply({ kind: "submission", spec: job("b", { steps: [nan] }) });
  const empty = job("c", { steps: [], payload: "" });
  expect(book.memory.heldBytes(0)).to.equal(
    2 * estimateJobBytes(empty, NOT_ENDED),
  );
});

it("job memory: a periodic job counts the occurrences that are due", () => {
  const repetition = { count: 3, startAt: 1_000, intervalMs: 100 };
  const spec = job("a", { repetition });
  const book = createJobBook();
  book.apply({ kind: "submission", spec });
  const heldAt = (wallTime: number) => book.memory.heldBytes(wallTime);
  const perOccurrence = heldAt(1_100) - heldAt(1_099);
  expect(perOccurrence).to.equal(estimateOccurrenceBytes(spec));
  expect(heldAt(0)).to.equal(estimateJobBytes(spec, NOT_ENDED));
  expect(heldAt(0)).to.equal(heldAt(1_099));
  expect(heldAt(1_000_000) - heldAt(0)).to.equal(2 * perOccurrence);
});

// Due occurrences took all the memory of jobs, so that other jobs were refused.
it("job memory: due occurrences of all periodic jobs count up to a bound", () => {
  const book = createJobBook();
  const repetition = { count: 1e9, startAt: 0, intervalMs: 5 };
  const specs = ["a", "b"].map((id) => job(id, { repetition }));
  for (const spec of specs) book.apply({ kind: "submission", spec });
  expect(book.memory.heldBytes(1e9)).to.equal(
    2 * estimateJobBytes(specs[0], NOT_ENDED) + MAXIMUM_OCCURRENCE_BYTES,
  );
  for (const { id } of specs) {
    book.apply({ kind: "removal", job: id, steps: [] });
  }
  expect(book.memory.heldBytes(1e9)).to.equal(0);
});
