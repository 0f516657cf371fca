import { expect } from "chai";
import { silentLogger } from "@rattanhill/shared";
import {
  addJob,
  createCellState,
  createCrashBlame,
  getOrCreateStep,
  type Run,
  type WorkerState,
} from "../src/mod.ts";
import { job, step } from "./cell_fixture.ts";
import {
  addSuccessor,
  type Cell,
  createCellOnVms,
  restartWorkers,
  settleJudgement,
  silenceWorker,
} from "./crash_fixture.ts";

/** Creates the crash records of a cell whose workers are on VMs of their own. */
function createCrashes() {
  const state = createCellState();
  let now = 0;
  let workers = 0;
  const blame = createCrashBlame({
    state,
    now: () => now,
    stop: () => {},
    log: silentLogger,
  });
  const stepOf = (name: string) =>
    getOrCreateStep(addJob(state, job(name), now), 0, 0);
  return {
    /** Crashes a worker that has just confirmed a task of each of these jobs. */
    crash: (...names: string[]): void => {
      workers += 1;
      const worker = { id: `w${workers}`, vm: `m${workers}`, reportedAt: now };
      const runs = names.map((name) => ({
        step: stepOf(name),
        index: 0,
        worker,
        lifetime: 1,
        confirmedAt: now,
      }));
      blame.recordCrash(worker as WorkerState, runs as Run[]);
    },
    judge: (): void => {
      now += 5_000;
      blame.judgeCrashes();
    },
    isFailed: (name: string) => state.jobs.get(name)?.outcome === "failed",
    /** @returns the penalty of a job on a worker that runs another one */
    penaltyBeside: (name: string, other: string) => {
      const worker = { id: "w", runs: new Set([{ step: stepOf(other) }]) };
      blame.beginPass();
      return blame.penaltyOf(stepOf(name), worker as unknown as WorkerState);
    },
  };
}

/** Returns the only run of a job with one task. */
function runOf(cell: Cell, id: string) {
  const { jobs } = cell.scheduler.state;
  return [...jobs.get(id)?.steps.get(`${id}.0.0`)?.runs.values() ?? []][0];
}

/** Restores a job from the records of an earlier lead. */
function restore(from: Cell, to: Cell, id: string): void {
  const stored = from.book.find(id)!;
  to.book.apply({ kind: "submission", spec: stored.spec });
  to.scheduler.restore(stored, to.clock.now() + 10_300);
}

it("crash interleavings: zones that restart fail no job with a task on each worker", () => {
  const cell = createCellOnVms(16);
  const ids = [...cell.fleet.keys()];
  cell.submit(job("a", { steps: [step({ taskCount: 8, accelerators: 8 })] }));
  for (const zone of [ids.slice(0, 8), ids.slice(8)]) {
    cell.scheduler.plan();
    cell.storeBatch();
    cell.executeCommands();
    restartWorkers(cell, zone);
    cell.executeCommands();
    cell.clock.advance(1);
    cell.pollWorkers();
  }
  settleJudgement(cell);
  expect(cell.book.stateOf("a")).to.equal("running");
});

it("crash interleavings: workers that restart seconds after a start fail no job", () => {
  const cell = createCellOnVms(6);
  cell.submit(job("a"));
  for (let crash = 0; crash < 4; crash++) {
    cell.settle();
    cell.clock.advance(2_500);
    cell.pollWorkers();
    const [run] = cell.runs("a");
    if (run === undefined) break;
    restartWorkers(cell, [run.worker]);
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("a")).to.equal("running");
});

it("crash interleavings: a crashing task that was reported before another start is bounded", () => {
  const cell = createCellOnVms(1);
  let starts = 0;
  cell.submit(job("bad"));
  for (let round = 0; round < 10; round++) {
    settleJudgement(cell);
    const run = runOf(cell, "bad");
    if (run === undefined) break;
    starts = run.number;
    const { worker } = run;
    run.reportedSince = cell.clock.now();
    run.confirmedAt = cell.clock.now();
    cell.submit(job(`x${round}`));
    cell.scheduler.plan();
    cell.storeBatch();
    // The starts of the others are on their way when the worker ends.
    cell.commands.splice(0);
    cell.clock.advance(10);
    silenceWorker(cell, worker.id);
    cell.clock.advance(3_000);
    addSuccessor(cell, worker.id, `next-${round}`);
  }
  expect(cell.book.stateOf("bad")).to.equal("failed");
  expect(starts).to.be.at.most(5);
});

it("crash interleavings: a task that met the last crash is not started by the next lead", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("bad"));
  cell.settle();
  const { crashes } = runOf(cell, "bad")!.step;
  const met = new Set(["v0/1", "v1/1", "v2/1", "v3/1"]);
  crashes.set(0, { met, suspected: new Set() });
  // The fifth crash is stored, and its lead ends before it judges it.
  restartWorkers(cell, [cell.runs("bad")[0].worker]);
  cell.storeBatch();
  const next = createCellOnVms(4);
  restore(cell, next, "bad");
  next.settle();
  settleJudgement(next);
  expect(next.runs("bad")).to.have.length(0);
  expect(next.book.stateOf("bad")).to.equal("failed");
});

it("crash interleavings: a long-running task whose successor is slow starts within 6 s", () => {
  const cell = createCellOnVms(6);
  cell.submit(job("a", { steps: [step({ isLongRunning: true })] }));
  for (let crash = 0; crash < 4; crash++) {
    cell.settle();
    const [{ worker }] = cell.runs("a");
    silenceWorker(cell, worker);
    cell.clock.advance(3_000);
    addSuccessor(cell, worker, `next-${crash}`);
    cell.settle();
    cell.clock.advance(2_500);
    cell.settle();
    expect(cell.runs("a")).to.have.length(1);
  }
});

it("crash interleavings: a start that broke off before the silence was noticed is bounded", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("bad"));
  let starts = 0;
  for (let round = 0; round < 10; round++) {
    settleJudgement(cell);
    const run = runOf(cell, "bad");
    if (run === undefined) break;
    starts = run.number;
    run.reportedSince = undefined;
    run.confirmedAt = undefined;
    cell.scheduler.recordInterruptedStart(run);
    cell.clock.advance(500);
    silenceWorker(cell, run.worker.id);
    cell.clock.advance(2_500);
    addSuccessor(cell, run.worker.id, `next-${round}`);
  }
  expect(cell.book.stateOf("bad")).to.equal("failed");
  expect(starts).to.be.at.most(5);
});

it("crash interleavings: four restarts between leads fail no job", () => {
  let cell = createCellOnVms(1);
  cell.submit(job("a"));
  cell.scheduler.plan();
  cell.storeBatch();
  for (let lead = 2; lead <= 5; lead++) {
    const next = createCellOnVms(1);
    next.entries[0] = { ...next.entries[0], lifetime: lead };
    next.fleet.get("w0")!.lifetime = lead;
    next.updateListing();
    restore(cell, next, "a");
    next.scheduler.plan();
    next.executeCommands();
    next.clock.advance(1);
    next.pollWorkers();
    next.clock.advance(2_000);
    next.scheduler.plan();
    next.storeBatch();
    expect(next.book.stateOf("a"), `lead ${lead}`).not.to.equal("failed");
    cell = next;
  }
});

it("crash interleavings: a zone whose other restarts are noticed 2 s later fails no job", () => {
  const cell = createCellOnVms(16);
  const ids = [...cell.fleet.keys()];
  cell.submit(job("a", { steps: [step({ accelerators: 8 })] }));
  for (let crash = 0; crash < 2; crash++) {
    cell.settle();
    const [{ worker }] = cell.runs("a");
    const others = ids.filter((id) => id !== worker);
    for (const id of others) cell.fleet.get(id)!.crash();
    restartWorkers(cell, [worker]);
    cell.executeCommands();
    cell.clock.advance(1);
    cell.pollWorker(worker);
    cell.clock.advance(1_600);
    cell.scheduler.plan();
    cell.clock.advance(400);
    cell.pollWorkers();
    cell.settle();
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("a")).to.equal("running");
});

it("crash interleavings: a job of which every task crashes its worker is bounded", () => {
  const cell = createCellOnVms(8);
  const spec = step({ taskCount: 6, accelerators: 8 });
  cell.submit(job("bad", { steps: [spec] }));
  let starts = 0;
  for (let round = 0; round < 10; round++) {
    cell.settle();
    const runs = cell.runs("bad");
    if (runs.length > 0) starts += 1;
    for (const { worker } of runs) {
      silenceWorker(cell, worker);
      addSuccessor(cell, worker, `${worker}+`);
    }
    cell.clock.advance(1);
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("bad")).to.equal("failed");
  expect(starts).to.be.at.most(5);
});

it("crash interleavings: a zone whose other workers are idle fails no job", () => {
  const cell = createCellOnVms(16);
  const ids = [...cell.fleet.keys()];
  cell.submit(job("a"));
  for (let crash = 0; crash < 2; crash++) {
    cell.settle();
    restartWorkers(cell, ids);
    cell.executeCommands();
    cell.clock.advance(1);
    cell.pollWorkers();
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("a")).to.equal("running");
});

it("crash interleavings: a zone whose idle workers are replaced fails no job", () => {
  const cell = createCellOnVms(8);
  cell.submit(job("a"));
  for (let crash = 0; crash < 2; crash++) {
    cell.settle();
    const ids = [...cell.fleet.keys()];
    for (const id of ids) silenceWorker(cell, id);
    cell.clock.advance(3_000);
    for (const id of ids) addSuccessor(cell, id, `${id}+`);
    cell.settle();
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("a")).to.equal("running");
});

it("crash interleavings: a crash shared with a job that was given up speaks against no other", () => {
  const { crash, judge, isFailed } = createCrashes();
  crash("bad");
  judge();
  crash("bad");
  crash("bad", "good");
  judge();
  expect(isFailed("bad")).to.equal(true);
  crash("good");
  judge();
  expect(isFailed("good")).to.equal(false);
});

it("crash interleavings: tasks that met a crash of a common cause are placed apart", () => {
  const { crash, judge, penaltyBeside } = createCrashes();
  crash("bad", "good");
  for (const name of ["b", "c", "d", "e"]) crash(name);
  judge();
  expect(penaltyBeside("bad", "good")).to.be.above(0);
});
