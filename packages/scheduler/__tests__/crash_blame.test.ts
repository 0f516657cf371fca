import { expect } from "chai";
import { silentLogger } from "@rattanhill/shared";
import {
  addJob,
  createCellState,
  createCrashBlame,
  decodeRecord,
  getOrCreateStep,
  isOver,
  type Run,
  type WorkerState,
} from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";
import {
  type Cell,
  createCellOnVms,
  replaceWorker as replaceWorkerBy,
  settleJudgement,
} from "./crash_fixture.ts";
import { createFakeWorker } from "./fake_worker.ts";

let lastId = 0;

/** Replaces a worker by one with another id on the same VM. */
function replaceWorker(cell: Cell, id: string): void {
  lastId += 1;
  replaceWorkerBy(cell, id, `next-${lastId}`);
}

/**
 * Settles a cell in which a job crashes each worker that runs it.
 *
 * @returns how many workers have crashed
 */
function settleWithCrashes(cell: Cell, crashing: string): number {
  for (let crashes = 0; crashes < 20; crashes++) {
    cell.settle();
    if (cell.runs(crashing).length === 0) settleJudgement(cell);
    const [run] = cell.runs(crashing);
    if (run === undefined) return crashes;
    replaceWorker(cell, run.worker);
    cell.clock.advance(1);
  }
  return 20;
}

// Guards against a task that is started without bound and takes down one
// worker after the other.
it("crash blame: a task that crashes its workers is given up", () => {
  const cell = createCellOnVms(6);
  cell.submit(job("bad"));
  const crashes = settleWithCrashes(cell, "bad");
  expect(crashes).to.equal(2);
  expect(cell.book.stateOf("bad")).to.equal("failed");
});

it("crash blame: tasks beside a crashing one are not given up", () => {
  const cell = createCellOnVms(6);
  cell.submit(job("good", { steps: [step({ taskCount: 30 })] }));
  cell.settle();
  cell.submit(job("bad"));
  cell.submit(job("new", { steps: [step({ taskCount: 8 })] }));
  expect(settleWithCrashes(cell, "bad")).to.be.within(2, 4);
  cell.settle();
  expect(cell.book.stateOf("bad")).to.equal("failed");
  expect(cell.runs("good")).to.have.length(30);
  expect(cell.runs("new")).to.have.length(8);
});

it("crash blame: several crashing tasks at once are each bounded", () => {
  const cell = createCellOnVms(8);
  const names = ["bad0", "bad1", "bad2", "bad3"];
  for (const name of names) cell.submit(job(name));
  const starts = new Map<string, number>();
  for (let round = 0; round < 20; round++) {
    settleJudgement(cell);
    for (const name of names) {
      const [run] = cell.runs(name);
      if (run === undefined) continue;
      starts.set(name, run.number);
      if (cell.fleet.has(run.worker)) replaceWorker(cell, run.worker);
    }
    cell.clock.advance(1);
  }
  for (const name of names) {
    expect(cell.book.stateOf(name)).to.equal("failed");
    expect(starts.get(name)).to.be.at.most(5);
  }
});

it("crash blame: the next lead knows the crashes of the earlier one", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("bad"));
  cell.settle();
  replaceWorker(cell, cell.runs("bad")[0].worker);
  settleJudgement(cell);
  const next = createCellOnVms(4);
  next.book.apply({ kind: "submission", spec: cell.book.find("bad")!.spec });
  replaceWorker(next, "w0");
  next.scheduler.restore(cell.book.find("bad")!, next.clock.now());
  next.clock.advance(1);
  expect(settleWithCrashes(next, "bad")).to.equal(1);
  expect(next.book.stateOf("bad")).to.equal("failed");
});

it("crash blame: a crash between two leads is counted by the next one", () => {
  const cell = createCellOnVms(1);
  cell.submit(job("bad"));
  cell.settle();
  const next = createCellOnVms(1);
  next.entries[0] = { ...next.entries[0], lifetime: 2 };
  next.fleet.get("w0")!.lifetime = 2;
  next.updateListing();
  next.scheduler.restore(cell.book.find("bad")!, next.clock.now() + 10_300);
  next.scheduler.plan();
  const restored = next.scheduler.state.jobs.get("bad")!.steps.get("bad.0.0")!;
  expect([...restored.crashes.get(0)!.met]).to.deep.equal(["w0/1"]);
});

it("crash blame: a restart under the same id counts as one crash", () => {
  const cell = createCellOnVms(1);
  cell.submit(job("a"));
  cell.settle();
  cell.fleet.get("w0")!.crash();
  cell.settle();
  const known = cell.scheduler.state.jobs.get("a")!.steps.get("a.0.0")!;
  expect([...known.crashes.get(0)!.met]).to.deep.equal(["w0/1"]);
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([2]);
});

// A worker that drains ends its process as planned.
it("crash blame: the end of a draining worker is no crash", () => {
  const cell = createCellOnVms(1);
  cell.submit(job("a"));
  cell.settle();
  cell.entries[0] = { ...cell.entries[0], isDraining: true };
  cell.updateListing();
  cell.scheduler.recordReplacement(cell.scheduler.state.workers.get("w0")!);
  const known = cell.scheduler.state.jobs.get("a")!.steps.get("a.0.0")!;
  expect(known.crashes.size).to.equal(0);
});

it("crash blame: leases that expire on silent workers fail no job", () => {
  const cell = createCellOnVms(8);
  cell.submit(job("a"));
  for (let round = 0; round < 6; round++) {
    cell.settle();
    const [{ worker }] = cell.runs("a");
    cell.fleet.get(worker)!.running.clear();
    cell.fleet.delete(worker);
    const index = cell.entries.findIndex(({ id }) => id === worker);
    cell.entries.splice(index, 1);
    cell.updateListing();
    cell.clock.advance(11_000);
  }
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("running");
  expect(cell.runs("a")).to.have.length(1);
});

// The VM crashes under different tasks, so none of them is to blame.
it("crash blame: a VM that crashes by itself blames no task", () => {
  const cell = createCellOnVms(1);
  for (let round = 0; round < 5; round++) {
    cell.submit(job(`a${round}`));
    cell.settle();
    const id = cell.entries[0].id;
    for (const task of cell.fleet.get(id)!.running.values()) {
      if (task.task.job !== `a${round}`) {
        cell.fleet.get(id)!.end(task.task, "done");
      }
    }
    cell.settle();
    replaceWorker(cell, id);
    cell.clock.advance(100);
  }
  cell.settle();
  const states = [0, 1, 2, 3, 4].map((round) => cell.book.stateOf(`a${round}`));
  expect(states).not.to.include("failed");
});

it("records: progress of earlier versions has no crashes", () => {
  const record = decodeRecord("step/a.0.0", "[1,[],[],[],[]]");
  if (record?.kind !== "progress") throw new Error("expected progress");
  expect(record.progress.crashes).to.deep.equal([]);
});

it("crash blame: progress without the outcome still knows the crashes", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("bad"));
  for (let crash = 1; crash <= 2; crash++) {
    cell.settle();
    replaceWorker(cell, cell.runs("bad")[0].worker);
    cell.clock.advance(1);
  }
  cell.pollWorkers();
  cell.scheduler.plan();
  cell.clock.advance(2_000);
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  expect(batch.outcomes).to.have.length(1);
  const [progress] = batch.records.flatMap((record) =>
    record.kind === "progress" ? [record.progress] : []
  );
  expect(progress.crashes.flatMap(([, met]) => met)).to.have.length(2);
});

it("crash blame: a crashing task that another cleared is started 5 times at most", () => {
  const state = createCellState();
  let now = 0;
  const blame = createCrashBlame({
    state,
    now: () => now,
    stop: () => {},
    log: silentLogger,
  });
  let workers = 0;
  /** Crashes a worker of its own VM that was just told to start these jobs. */
  const crash = (...names: string[]): void => {
    now += 5_000;
    workers += 1;
    const worker = {
      id: `w${workers}`,
      vm: `m${workers}`,
      reportedAt: now,
    } as WorkerState;
    const runs = names.map((name) => {
      const step = getOrCreateStep(addJob(state, job(name), now), 0, 0);
      const confirmedAt = now;
      return { step, index: 0, worker, lifetime: 1, confirmedAt } as Run;
    });
    blame.recordCrash(worker, runs);
    now += 2_000;
    blame.judgeCrashes();
  };
  // Both crash each worker that starts them.
  for (let n = 0; n < 3; n++) crash("a", "b");
  crash("a");
  expect(isOver(state.jobs.get("a")!)).to.equal(true);
  let starts = 3;
  while (!isOver(state.jobs.get("b")!)) {
    starts += 1;
    crash("b", `x${starts}`);
  }
  expect(starts).to.be.at.most(5);
});

for (const isLongRunning of [true, false]) {
  it(`crash blame: two crashes fail no job that ran for minutes, long-running ${isLongRunning}`, () => {
    const cell = createCellOnVms(4);
    cell.submit(job("a", { steps: [step({ isLongRunning })] }));
    for (let crash = 1; crash <= 2; crash++) {
      for (let minute = 0; minute < 600; minute++) {
        cell.clock.advance(900);
        cell.pollWorkers();
        for (
          const run of cell.fleet.get(cell.runs("a")[0]?.worker ?? "")
            ?.running.values() ?? []
        ) {
          run.percent = Math.min(99, run.percent + 0.1);
        }
        cell.scheduler.plan();
        if (minute === 0) cell.settle();
      }
      replaceWorker(cell, cell.runs("a")[0].worker);
      cell.clock.advance(1);
    }
    cell.settle();
    expect(cell.book.stateOf("a")).to.equal("running");
  });
}

it("crash blame: an end before the takeover makes no task suspect", () => {
  const cell = createCellOnVms(1);
  cell.submit(job("a"));
  cell.settle();
  // The worker drains, exits and is replaced while no lead is there.
  const next = createCell({ workers: 0 });
  next.entries.push({ ...cell.entries[0], id: "w9" });
  next.fleet.set("w9", createFakeWorker("w9"));
  next.updateListing();
  next.scheduler.restore(cell.book.find("a")!, next.clock.now() + 10_300);
  next.settle();
  const restored = next.scheduler.state.jobs.get("a")!.steps.get("a.0.0")!;
  expect(restored.crashes.get(0)?.suspected.size ?? 0).to.equal(0);
});

it("crash blame: a crash is counted though the successor answers after the leases", () => {
  const cell = createCellOnVms(3);
  cell.submit(job("bad"));
  let starts = 0;
  for (let round = 0; round < 10; round++) {
    cell.settle();
    const [run] = cell.runs("bad");
    if (run === undefined) break;
    starts = run.number;
    const id = run.worker;
    cell.fleet.delete(id);
    cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get(id)!);
    const index = cell.entries.findIndex((entry) => entry.id === id);
    const [entry] = cell.entries.splice(index, 1);
    cell.updateListing();
    cell.clock.advance(11_000);
    cell.scheduler.plan();
    const lateId = `late-${round}`;
    cell.entries.push({ ...entry, id: lateId });
    cell.fleet.set(lateId, createFakeWorker(lateId));
    cell.updateListing();
  }
  expect(starts).to.be.at.most(5);
});

it("crash blame: restored runs of two lifetimes are two crashes", () => {
  const cell = createCellOnVms(1);
  cell.submit(job("a"));
  cell.submit(job("b"));
  cell.settle();
  const next = createCellOnVms(1);
  next.entries[0] = { ...next.entries[0], lifetime: 3 };
  next.fleet.get("w0")!.lifetime = 3;
  next.updateListing();
  for (const id of ["a", "b"]) {
    const stored = cell.book.find(id)!;
    if (id === "b") {
      for (const record of stored.steps.values()) record.runs[0][3] = 2;
    }
    next.scheduler.restore(stored, next.clock.now() + 10_300);
  }
  next.scheduler.plan();
  const of = (
    id: string,
  ) => [
    ...next.scheduler.state.jobs.get(id)!.steps.get(`${id}.0.0`)!.crashes
      .get(0)!.met,
  ];
  expect([of("a"), of("b")]).to.deep.equal([["w0/1"], ["w0/2"]]);
});

it("crash blame: the next lead knows that a task was cleared", () => {
  const cell = createCellOnVms(1);
  cell.submit(job("a", { steps: [step({ isLongRunning: true })] }));
  cell.settle();
  cell.fleet.get("w0")!.crash();
  cell.settle();
  const stored = () => cell.book.find("a")!.steps.get("a.0.0")!.crashes;
  expect(stored()).to.have.length(1);
  for (let second = 0; second <= 61; second++) {
    cell.clock.advance(1_000);
    cell.pollWorkers();
  }
  cell.storeBatch();
  expect(stored()).to.deep.equal([]);
});

it("crash blame: a late crash stores no progress of a job that has ended", () => {
  const cell = createCellOnVms(2);
  cell.submit(job("a"));
  cell.settle();
  const [{ worker }] = cell.runs("a");
  const [entry] = cell.entries.filter(({ id }) => id === worker);
  cell.fleet.delete(worker);
  cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get(worker)!);
  cell.clock.advance(11_000);
  cell.settle();
  cell.end("a", "done");
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("completed");
  cell.records.splice(0);
  cell.entries.push({ ...entry, id: "late" });
  cell.fleet.set("late", createFakeWorker("late"));
  cell.updateListing();
  cell.settle();
  expect(cell.records).to.deep.equal([]);
});

// Its worker was cut off, and crashed or was replaced long after the run.
it("crash blame: a crash after the leases makes no task suspect", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("a"));
  for (let round = 0; round < 3; round++) {
    cell.settle();
    const [{ worker }] = cell.runs("a");
    const [entry] = cell.entries.filter(({ id }) => id === worker);
    cell.fleet.delete(worker);
    cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get(worker)!);
    cell.clock.advance(11_000);
    cell.scheduler.plan();
    cell.clock.advance(30_000);
    cell.entries.splice(cell.entries.indexOf(entry), 1);
    cell.entries.push({ ...entry, id: `late-${round}` });
    cell.fleet.set(`late-${round}`, createFakeWorker(`late-${round}`));
    cell.updateListing();
  }
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("running");
});
