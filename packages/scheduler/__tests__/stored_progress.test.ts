import { expect } from "chai";
import {
  addStoredProgress,
  type CellRecord,
  encodeRecord,
  isProgressRecord,
  type StepRecord,
  type StoredProgress,
  withProgress,
} from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

const progressOf = (highestRun: number): StepRecord => ({
  highestRun,
  done: [],
  runs: [],
  failedRuns: [],
  checkpoints: [],
  crashes: [],
});

function collectProgress(records: readonly CellRecord[]): StoredProgress {
  const progress: StoredProgress = new Map();
  for (const record of records) addStoredProgress(progress, record);
  return progress;
}

it("stored progress: it is found by job and step", () => {
  const progress = collectProgress([
    { kind: "progress", step: "a.0.0", progress: progressOf(1) },
    { kind: "progress", step: "a.0.1", progress: progressOf(2) },
    { kind: "start", job: "b" },
  ]);
  expect([...progress.keys()]).to.deep.equal(["a"]);
  expect([...progress.get("a")!.keys()]).to.deep.equal(["a.0.0", "a.0.1"]);
});

it("stored progress: of two records of a step the newer one counts", () => {
  const stored = {
    spec: job("a"),
    isCancelled: false,
    hasStarted: true,
    steps: new Map([["a.0.0", progressOf(3)], ["a.0.1", progressOf(1)]]),
  };
  const newer = new Map([["a.0.0", progressOf(2)], ["a.0.1", progressOf(2)]]);
  const { steps } = withProgress(stored, newer);
  expect([...steps.values()].map(({ highestRun }) => highestRun))
    .to.deep.equal([3, 2]);
});

// Every entry reads the records that are not progress, so there must be few.
it("stored progress: entries read one start and one outcome for each job", () => {
  const cell = createCell();
  cell.submit(
    job("a", { steps: [step({ taskCount: 6 }), step({ after: [0] })] }),
  );
  for (let round = 0; round < 3; round++) {
    cell.settle();
    cell.end("a", "done");
  }
  cell.settle();
  const kinds = cell.records.filter((kind) =>
    kind !== "progress" && kind !== "progressRemoval"
  );
  expect(kinds).to.deep.equal(["start", "outcome"]);
  expect(cell.book.stateOf("a")).to.equal("completed");
});

it("stored progress: it is deleted once the outcome is stored", () => {
  const cell = createCell();
  const keys = new Set<string>();
  cell.submit(job("a"));
  cell.settle();
  cell.end("a", "done");
  cell.pollWorkers();
  for (let round = 0; round < 3; round++) {
    const batch = cell.scheduler.takeBatch();
    for (const record of batch?.records ?? []) {
      if (!isProgressRecord(record)) continue;
      for (const { key, value } of encodeRecord(record)) {
        if (value === undefined) keys.delete(key);
        else keys.add(key);
      }
    }
    if (round === 0) expect([...keys]).to.deep.equal(["step/a.0.0"]);
    if (batch !== undefined) cell.scheduler.handleBatchStored(batch);
  }
  expect([...keys]).to.deep.equal([]);
});

it("stored progress: a new lead stores a start that the last one did not", () => {
  const cell = createCell();
  cell.scheduler.restore({
    spec: job("a"),
    isCancelled: false,
    hasStarted: false,
    steps: new Map([["a.0.0", progressOf(1)]]),
  }, 0);
  const kinds = cell.scheduler.takeBatch()?.records.map(({ kind }) => kind);
  expect(kinds).to.deep.equal(["start", "progress"]);
});

it("stored progress: a new lead deletes that of jobs that have ended", () => {
  const cell = createCell();
  cell.scheduler.restore({
    spec: job("a"),
    isCancelled: false,
    outcome: "completed",
    hasStarted: true,
    steps: new Map([["a.0.0", progressOf(1)]]),
  }, 0);
  cell.scheduler.removeProgress(["b.0.0"]);
  expect(cell.scheduler.takeBatch()?.records).to.deep.equal([
    { kind: "progressRemoval", step: "a.0.0" },
    { kind: "progressRemoval", step: "b.0.0" },
  ]);
});

it("stored progress: a batch that is not confirmed acknowledges no run end", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.end("a", "failed");
  cell.pollWorkers();
  cell.scheduler.takeBatch();
  const batch = cell.scheduler.takeBatch();
  const worker = cell.scheduler.state.workers.get("w0")!;
  expect([worker.lastHandledEnd, worker.lastStoredEnd]).to.deep.equal([1, 0]);
  const progress = batch?.records.find(({ kind }) => kind === "progress");
  expect(progress).to.deep.include({ kind: "progress", step: "a.0.0" });
  cell.scheduler.handleBatchStored(batch!);
  expect(worker.lastStoredEnd).to.equal(1);
});

it("stored progress: a batch that is not confirmed starts its runs once", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.scheduler.plan();
  const lost = cell.scheduler.takeBatch()!;
  cell.scheduler.plan();
  cell.storeBatch();
  cell.scheduler.handleBatchStored(lost);
  expect(cell.records).to.deep.equal(["start", "progress"]);
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal(["start"]);
});

it("stored progress: it is kept until its job's outcome is confirmed", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.scheduler.cancel("a");
  cell.scheduler.takeBatch();
  cell.end("a", "stopped");
  cell.pollWorkers();
  cell.records.splice(0);
  cell.storeBatch();
  expect(cell.records).to.deep.equal(["progress", "outcome"]);
  cell.records.splice(0);
  cell.storeBatch();
  expect(cell.records).to.deep.equal(["progressRemoval"]);
});
