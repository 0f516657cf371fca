import { expect } from "chai";
import {
  addStoredProgress,
  type CellRecord,
  decodeRecord,
  encodeRecord,
  type KeyedValue,
  type StoredProgress,
} from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

const RECORD_BYTES = 2_000;
const TASKS = 120;
const WIDE = job("a", { steps: [step({ taskCount: TASKS, accelerators: 0 })] });
const SMALL_NEEDS = { milliCores: 10, memoryMegabytes: 1 };

const sizeOf = (record: CellRecord) =>
  Math.max(
    ...encodeRecord(record).map(({ key, value = "" }) =>
      key.length + value.length
    ),
  );

/** Creates a cell with a store that takes only records of limited size. */
function createStoredCell(limit: { recordBytes: number }) {
  const cell = createCell({
    workers: 2,
    fits: (record) => sizeOf(record) <= limit.recordBytes,
  });
  const stored = new Map<string, KeyedValue>();
  const sizes: number[] = [];
  const store = (records: readonly CellRecord[]) => {
    for (const record of records) {
      sizes.push(sizeOf(record));
      for (const value of encodeRecord(record)) {
        stored.delete(value.key);
        if (value.value !== undefined) stored.set(value.key, value);
      }
    }
  };
  /** Plans, stores, and executes the commands. */
  const settle = () => {
    for (let round = 0; round < 10; round++) {
      cell.clock.advance(1);
      cell.pollWorkers();
      cell.scheduler.plan();
      cell.storeBatch(store);
      cell.executeCommands();
    }
  };
  const progressKeys = () =>
    [...stored.keys()].filter((key) => key.startsWith("step/"));
  const readProgress = (): StoredProgress => {
    const progress: StoredProgress = new Map();
    for (const { key, value } of stored.values()) {
      const record = decodeRecord(key, value);
      if (record !== undefined) addStoredProgress(progress, record);
    }
    return progress;
  };
  return { ...cell, settle, sizes, progressKeys, readProgress };
}

const wideJob = () => {
  const spec = { ...WIDE.steps[0], ...SMALL_NEEDS };
  return { ...WIDE, steps: [spec] };
};

// The progress of a wide step outgrew the largest record of the store, and the
// lead repeated the rejected append for good.
it("progress parts: no record of a wide step outgrows the store", () => {
  const cell = createStoredCell({ recordBytes: RECORD_BYTES });
  cell.submit(wideJob());
  cell.settle();
  expect(cell.runs("a")).to.have.length(TASKS);
  expect(Math.max(...cell.sizes)).to.be.at.most(RECORD_BYTES);
  cell.end("a", "done");
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("completed");
  expect(cell.progressKeys()).to.deep.equal([]);
});

it("progress parts: a step is stored as a whole while its record fits", () => {
  const limit = { recordBytes: 1_000_000 };
  const cell = createStoredCell(limit);
  cell.submit(wideJob());
  cell.settle();
  expect(cell.progressKeys()).to.deep.equal(["step/a.0.0"]);
  limit.recordBytes = RECORD_BYTES;
  cell.end("a", "failed", "checkpoint");
  cell.settle();
  expect(cell.progressKeys()).to.not.include("step/a.0.0");
  expect(cell.progressKeys().length).to.be.above(1);
});

it("progress parts: a later lead reads what was stored in parts", () => {
  const limit = { recordBytes: 1_000_000 };
  const cell = createStoredCell(limit);
  cell.submit(wideJob());
  cell.settle();
  limit.recordBytes = RECORD_BYTES;
  const [{ worker, task }] = cell.runs("a");
  cell.fleet.get(worker)!.end(task, "done");
  cell.settle();
  const { highestRun, done, runs } = cell.readProgress().get("a")!.get(
    "a.0.0",
  )!;
  const known = cell.scheduler.state.jobs.get("a")!.steps.get("a.0.0")!;
  expect(highestRun).to.equal(known.highestRun);
  expect(done).to.deep.equal([task.index]);
  expect(runs.map(([index]) => index)).to.have.members([...known.runs.keys()]);
});

it("progress parts: only parts that have changed are stored again", () => {
  const cell = createStoredCell({ recordBytes: RECORD_BYTES });
  cell.submit(wideJob());
  cell.settle();
  cell.sizes.length = 0;
  const [{ worker, task }] = cell.runs("a");
  cell.fleet.get(worker)!.end(task, "done");
  cell.settle();
  expect(cell.sizes).to.have.length(1);
});

it("progress parts: of a record of the whole step and parts the newest counts", () => {
  const progressOf = (highestRun: number, done: number[]) => ({
    highestRun,
    done,
    runs: [],
    failedRuns: [],
    checkpoints: [],
    crashes: [],
  });
  const progress: StoredProgress = new Map();
  const add = (key: string, highestRun: number, done: number[]) =>
    addStoredProgress(progress, {
      kind: "progress",
      step: key,
      progress: progressOf(highestRun, done),
    });
  add("a.0.0", 3, [0, 1, 7]);
  add("a.0.0:0-4", 2, [2]);
  expect(progress.get("a")!.get("a.0.0")).to.deep.include({
    highestRun: 3,
    done: [7, 2],
    keys: ["a.0.0", "a.0.0:0-4"],
  });
  add("a.0.0", 4, [5]);
  expect(progress.get("a")!.get("a.0.0")).to.deep.include({ done: [5] });
});

it("progress parts: a job of which the store takes no progress fails", () => {
  const cell = createStoredCell({ recordBytes: 1_000_000 });
  cell.submit(wideJob());
  cell.submit(job("b"));
  cell.scheduler.plan();
  cell.scheduler.takeBatch();
  cell.scheduler.handleUnstorable(["a.0.0"]);
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("failed");
  expect(cell.runs("a")).to.deep.equal([]);
  expect(cell.runs("b")).to.have.length(1);
  expect(cell.scheduler.state.jobs.has("a")).to.equal(false);
});
