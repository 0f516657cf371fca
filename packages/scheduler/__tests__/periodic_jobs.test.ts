import { expect } from "chai";
import {
  addJob,
  addStoredProgress,
  type CellRecord,
  createCellState,
  decodeRecord,
  encodeRecord,
  estimateOccurrenceBytes,
  finishOccurrence,
  isProgressRecord,
  type JobSpec,
  MAXIMUM_OCCURRENCE_BYTES,
  openDueOccurrences,
  stepKey,
  type StoredJob,
  type StoredProgress,
  withProgress,
} from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

const SMALL = step({ accelerators: 0, milliCores: 100 });

const periodic = (
  id: string,
  repetition: Partial<JobSpec["repetition"]>,
  changes: Partial<JobSpec> = {},
): JobSpec =>
  job(id, {
    steps: [SMALL],
    repetition: { count: 1e9, startAt: 0, intervalMs: 5, ...repetition },
    ...changes,
  });

/** Adds jobs to a state and returns how to open their occurrences. */
function createWindow(maximum: number, ...specs: JobSpec[]) {
  const state = createCellState();
  const jobs = specs.map((spec) => addJob(state, spec, 0));
  const maximumBytes = maximum * estimateOccurrenceBytes(specs[0]);
  return {
    jobs,
    open: (wallTime: number) => {
      openDueOccurrences(state.jobs.values(), wallTime, maximumBytes);
      return jobs.map(({ occurrences }) => [...occurrences.open]);
    },
  };
}

/** Returns a cell and the records that it has stored. */
function createStoredCell() {
  const cell = createCell();
  const stored = new Map<string, string>();
  const store = (records: readonly CellRecord[]) => {
    for (const { key, value } of records.flatMap(encodeRecord)) {
      if (value === undefined) stored.delete(key);
      else stored.set(key, value);
    }
  };
  const submit = (spec: JobSpec) => {
    cell.submit(spec);
    store([{ kind: "submission", spec }]);
  };
  const step = () => {
    cell.clock.advance(1);
    cell.pollWorkers();
    cell.scheduler.plan();
    cell.storeBatch(store);
    cell.executeCommands();
  };
  /** Polls, plans, stores and executes commands until nothing changes. */
  const settle = () => {
    for (let round = 0; round < 4; round++) step();
  };
  const progressKeys = () =>
    [...stored.keys()].filter((key) => key.startsWith("step/"));
  return { ...cell, submit, step, settle, stored, progressKeys };
}

// A lead held all due occurrences, until its heap and that of each next lead was
// full.
it("periodic jobs: due occurrences without room take a bounded amount of a lead", () => {
  const cell = createCell({ workers: 0 });
  const steps = Array.from({ length: 16 }, () => step());
  const spec = periodic("a", { startAt: 100_000 }, { steps });
  cell.submit(spec);
  cell.submit(periodic("b", { startAt: 100_000 }));
  cell.clock.advance(60_000);
  cell.scheduler.plan();
  cell.scheduler.plan();
  const held = ["a", "b"].map((id) => cell.scheduler.state.jobs.get(id)!);
  const bytes = held.reduce(
    (sum, { spec, occurrences: { open } }) =>
      sum + (open.size - 1) * estimateOccurrenceBytes(spec),
    0,
  );
  expect(bytes).to.be.within(1, MAXIMUM_OCCURRENCE_BYTES);
  for (const { spec, steps, occurrences: { open } } of held) {
    expect(steps.size).to.be.at.most(open.size * spec.steps.length);
  }
});

it("periodic jobs: any number of occurrences can be due at once", () => {
  const cell = createCell({ workers: 0 });
  cell.submit(periodic("a", { count: 9e15, intervalMs: 0 }));
  cell.submit(periodic("b", { count: 9e15, startAt: -1e15 }));
  cell.scheduler.plan();
  const { jobs } = cell.scheduler.state;
  for (const id of ["a", "b"]) {
    const { open } = jobs.get(id)!.occurrences;
    expect([...open].slice(0, 3)).to.deep.equal([0, 1, 2]);
  }
});

it("periodic jobs: a damaged job does not keep others from their occurrences", () => {
  const none = undefined as unknown as [];
  const { open } = createWindow(
    2,
    periodic("a", {}),
    periodic("b", {}, { steps: [] }),
    periodic("c", {}, { steps: none }),
    periodic("d", {}, { steps: [step({ taskCount: NaN })] }),
    periodic("e", { intervalMs: NaN }),
  );
  expect(open(1_000)).to.deep.equal([[0, 1], [0, 1], [0], [0], []]);
});

it("periodic jobs: occurrences are opened in order, as they are due", () => {
  const { open } = createWindow(10, periodic("a", { count: 4 }));
  expect(open(-1)).to.deep.equal([[]]);
  expect(open(0)).to.deep.equal([[0]]);
  expect(open(11)).to.deep.equal([[0, 1, 2]]);
  expect(open(1_000)).to.deep.equal([[0, 1, 2, 3]]);
});

it("periodic jobs: an occurrence is opened for each that is finished", () => {
  const { jobs: [{ occurrences }], open } = createWindow(2, periodic("a", {}));
  expect(open(1_000)).to.deep.equal([[0, 1, 2]]);
  finishOccurrence(occurrences, 1);
  expect(open(1_000)).to.deep.equal([[0, 2, 3]]);
  finishOccurrence(occurrences, 0);
  finishOccurrence(occurrences, 2);
  expect(open(1_000)).to.deep.equal([[3, 4, 5]]);
});

it("periodic jobs: a job that comes later shares the memory of occurrences", () => {
  const late = periodic("b", { startAt: 500 });
  const { jobs: [{ occurrences }], open } = createWindow(
    3,
    periodic("a", {}),
    late,
  );
  expect(open(400)).to.deep.equal([[0, 1, 2, 3], []]);
  expect(open(600)).to.deep.equal([[0, 1, 2, 3], [0]]);
  finishOccurrence(occurrences, 0);
  expect(open(600)).to.deep.equal([[1, 2, 3], [0, 1]]);
  finishOccurrence(occurrences, 1);
  finishOccurrence(occurrences, 2);
  expect(open(600)).to.deep.equal([[3, 4, 5], [0, 1]]);
});

/** Restores a job in a new lead from what earlier ones have stored. */
function takeOver(
  next: ReturnType<typeof createStoredCell>,
  stored: ReadonlyMap<string, string>,
): void {
  const progress: StoredProgress = new Map();
  for (const [key, value] of stored) {
    const record = decodeRecord(key, value)!;
    if (isProgressRecord(record)) addStoredProgress(progress, record);
    else next.book.apply(record);
    next.stored.set(key, value);
  }
  for (const { spec: { id } } of next.book.jobs()) {
    const job = withProgress(next.book.find(id)!, progress.get(id));
    next.scheduler.restore(job, next.clock.now());
  }
}

it("periodic jobs: each due occurrence runs once, through changes of lead", () => {
  const OCCURRENCES = 300;
  const repetition = { count: OCCURRENCES, startAt: 100_000, intervalMs: 0 };
  const spec = periodic("a", repetition, { steps: [SMALL, SMALL] });
  let cell = createStoredCell();
  cell.submit(spec);
  const ended = new Map<string, number>();
  let mostKeys = 0;
  for (let round = 0; cell.book.stateOf("a") !== "completed"; round++) {
    expect(round).to.be.below(100);
    for (let pass = 0; pass < 4; pass++) cell.step();
    for (const { worker, task } of cell.runs("a").slice(0, 50)) {
      const key = `${stepKey("a", task.occurrence, task.step)}.${task.index}`;
      ended.set(key, (ended.get(key) ?? 0) + 1);
      cell.fleet.get(worker)!.end(task, "done");
    }
    // The ends are stored, and what is deleted with the next batch is not.
    cell.step();
    if (round % 3 > 0) continue;
    const next = createStoredCell();
    takeOver(next, cell.stored);
    cell = next;
    mostKeys = Math.max(mostKeys, cell.progressKeys().length);
  }
  expect(ended.size).to.equal(2 * OCCURRENCES);
  expect(Math.max(...ended.values())).to.equal(1);
  expect(mostKeys).to.be.above(0);
  for (let pass = 0; pass < 4; pass++) cell.step();
  expect(cell.progressKeys()).to.deep.equal([]);
});

/** Runs the first occurrences of a job, one at a time. */
function runOccurrences(
  cell: ReturnType<typeof createStoredCell>,
  count: number,
) {
  for (let occurrence = 0; occurrence < count; occurrence++) {
    cell.settle();
    cell.end("a", "done");
  }
  cell.settle();
}

it("periodic jobs: the progress of finished occurrences is deleted", () => {
  const cell = createStoredCell();
  cell.submit(periodic("a", { startAt: 100_000, intervalMs: 4 }));
  runOccurrences(cell, 200);
  const { occurrences, droppedSteps } = cell.scheduler.state.jobs.get("a")!;
  expect(occurrences.finished.size).to.be.at.least(200);
  expect(cell.progressKeys().length).to.be.below(80);
  expect(droppedSteps.size).to.be.below(80);
  const [[first, last]] = cell.book.find("a")!.finishedOccurrences!;
  expect(first).to.equal(0);
  expect(last).to.be.above(100);
});

it("periodic jobs: a new lead runs no finished occurrence again", () => {
  const cell = createStoredCell();
  cell.submit(periodic("a", { startAt: 100_000, intervalMs: 4 }));
  runOccurrences(cell, 100);
  const stored: StoredJob = cell.book.find("a")!;
  const finished = cell.scheduler.state.jobs.get("a")!.occurrences.finished;
  const next = createCell();
  next.scheduler.restore(stored, next.clock.now());
  const { occurrences } = next.scheduler.state.jobs.get("a")!;
  expect(occurrences.finished.toList()).to.deep.equal(finished.toList());
  // The earlier lead had not deleted this progress yet.
  expect(next.scheduler.state.removedSteps).to.include("a.0.0");
  next.clock.advance(10_000);
  next.scheduler.plan();
  expect(Math.min(...occurrences.open)).to.equal(finished.size);
});

it("periodic jobs: progress without a record of finished occurrences is read", () => {
  const cell = createStoredCell();
  cell.submit(periodic("a", { startAt: 100_000, intervalMs: 4 }));
  runOccurrences(cell, 30);
  const stored: StoredJob = cell.book.find("a")!;
  expect(stored.finishedOccurrences).to.equal(undefined);
  const next = createCell();
  next.scheduler.restore(stored, next.clock.now());
  const { occurrences } = next.scheduler.state.jobs.get("a")!;
  expect(occurrences.finished.size).to.be.at.least(30);
});

it("periodic jobs: a rejected record of finished occurrences keeps their progress", () => {
  const cell = createStoredCell();
  cell.submit(periodic("a", { startAt: 100_000, intervalMs: 4 }));
  runOccurrences(cell, 20);
  cell.scheduler.handleUnstorableOccurrences(["a"]);
  runOccurrences(cell, 100);
  expect(cell.book.find("a")!.finishedOccurrences).to.equal(undefined);
  expect(cell.progressKeys().length).to.be.at.least(120);
  expect(cell.book.stateOf("a")).to.equal("running");
});
