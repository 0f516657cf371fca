import { expect } from "chai";
import { decodeRecord, encodeRecord, stepRecordOf } from "../src/mod.ts";
import { job, step } from "./cell_fixture.ts";
import {
  type Cell,
  createCellOnVms,
  replaceWorker,
  restartWorkers,
  settleJudgement,
} from "./crash_fixture.ts";

/** Plans and stores, and executes only the starts on some workers. */
function startOn(cell: Cell, isReached: (worker: string) => boolean): void {
  cell.scheduler.plan();
  cell.storeBatch();
  const kept = cell.commands.filter((command) =>
    command.kind === "stop" || isReached(command.run.worker.id)
  );
  cell.commands.splice(0, Infinity, ...kept);
  cell.executeCommands();
}

it("crash evidence: starts that never reached their workers fail no job", () => {
  const cell = createCellOnVms(6);
  cell.submit(job("a"));
  for (let crash = 0; crash < 5; crash++) {
    startOn(cell, () => false);
    expect(cell.book.stateOf("a")).not.to.equal("failed");
    const { runs } = cell.scheduler.state.jobs.get("a")!.steps.get("a.0.0")!;
    restartWorkers(cell, [runs.get(0)!.worker.id]);
    cell.executeCommands();
    cell.clock.advance(1);
    cell.pollWorkers();
  }
  settleJudgement(cell);
  expect(cell.book.stateOf("a")).not.to.equal("failed");
  expect(cell.runs("a")).to.have.length(1);
});

it("crash evidence: zones that restart one after the other fail no job", () => {
  const cell = createCellOnVms(16);
  const ids = [...cell.fleet.keys()];
  for (let index = 0; index < 8; index++) {
    cell.submit(job(`a${index}`, { steps: [step({ accelerators: 8 })] }));
  }
  for (const zone of [ids.slice(0, 8), ids.slice(8)]) {
    startOn(cell, () => true);
    restartWorkers(cell, zone);
    cell.executeCommands();
    cell.clock.advance(1);
    cell.pollWorkers();
  }
  settleJudgement(cell);
  for (let index = 0; index < 8; index++) {
    expect(cell.runs(`a${index}`)).to.have.length(1);
  }
});

it("crash evidence: a long-running task is restarted after every crash", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("a", { steps: [step({ isLongRunning: true })] }));
  cell.settle();
  for (let crash = 0; crash < 8; crash++) {
    const [{ worker }] = cell.runs("a");
    replaceWorker(cell, worker, `next-${crash}`);
    cell.clock.advance(1);
    cell.settle();
    // A task that crashes its workers pauses.
    cell.clock.advance(5_000);
    cell.settle();
    expect(cell.runs("a")).to.have.length(1);
  }
  expect(cell.book.stateOf("a")).to.equal("running");
});

it("crash evidence: a long-running task that crashes its workers pauses", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("a", { steps: [step({ isLongRunning: true })] }));
  cell.settle();
  let starts = 1;
  for (let second = 0; second < 30; second++) {
    const [run] = cell.runs("a");
    if (run !== undefined) {
      starts = run.number;
      replaceWorker(cell, run.worker, `next-${second}`);
    }
    cell.clock.advance(1_000);
    cell.settle();
  }
  expect(starts).to.be.within(5, 12);
});

// Eleven workers go down at the time at which a task crashes its own.
it("crash evidence: a crashing task beside a failing zone is bounded", () => {
  const cell = createCellOnVms(16);
  const zone = [...cell.fleet.keys()].slice(0, 11);
  cell.submit(job("bad", { steps: [step({ accelerators: 8 })] }));
  for (let index = 0; index < 11; index++) {
    cell.submit(job(`good${index}`, { steps: [step({ accelerators: 8 })] }));
  }
  let starts = 0;
  for (let round = 0; round < 12; round++) {
    cell.settle();
    const [run] = cell.runs("bad");
    if (run !== undefined) {
      starts = run.number;
      replaceWorker(cell, run.worker, `next-${round}`);
    }
    restartWorkers(cell, zone.filter((id) => cell.fleet.has(id)));
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("bad")).to.equal("failed");
  expect(starts).to.be.at.most(5);
});

it("crash evidence: crashes that an earlier version suspected count no more", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("a"));
  cell.settle();
  const step = cell.scheduler.state.jobs.get("a")!.steps.get("a.0.0")!;
  const [{ key, value }] = encodeRecord({
    kind: "progress",
    step: "a.0.0",
    progress: { ...stepRecordOf(step), crashes: [[0, ["w8/1"], ["w8/1"]]] },
  });
  cell.book.apply(decodeRecord(key, value)!);
  const next = createCellOnVms(4);
  next.book.apply({ kind: "submission", spec: cell.book.find("a")!.spec });
  next.scheduler.restore(cell.book.find("a")!, next.clock.now());
  next.settle();
  settleJudgement(next);
  const [{ worker }] = next.runs("a");
  replaceWorker(next, worker, "next");
  next.clock.advance(1);
  next.settle();
  settleJudgement(next);
  expect(next.book.stateOf("a")).to.equal("running");
});

it("crash evidence: the next lead judges with what was confirmed before it", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("bad"));
  cell.settle();
  replaceWorker(cell, cell.runs("bad")[0].worker, "next-0");
  cell.clock.advance(1);
  cell.settle();
  settleJudgement(cell);
  const { crashes } = cell.book.find("bad")!.steps.get("bad.0.0")!;
  expect(crashes).to.deep.equal([[0, ["w0/1"], ["w0/1"], true]]);
});

// Its worker ends before it can answer the start.
it("crash evidence: a task whose starts are never confirmed is bounded", () => {
  const cell = createCellOnVms(4);
  cell.submit(job("bad"));
  let starts = 0;
  for (let round = 0; round < 10; round++) {
    settleJudgement(cell);
    const { jobs } = cell.scheduler.state;
    const [run] = jobs.get("bad")?.steps.get("bad.0.0")?.runs.values() ?? [];
    if (run === undefined) break;
    starts = run.number;
    run.reportedSince = undefined;
    run.confirmedAt = undefined;
    cell.scheduler.recordInterruptedStart(run);
    replaceWorker(cell, run.worker.id, `next-${round}`);
  }
  expect(cell.book.stateOf("bad")).to.equal("failed");
  expect(starts).to.be.at.most(5);
});

// A worker that went down and up by turns, once without a run, made a job fail.
it("crash evidence: a VM that crashed without runs is to blame for its next crashes", () => {
  const cell = createCellOnVms(1);
  restartWorkers(cell, ["w0"]);
  cell.submit(job("a"));
  for (let crash = 0; crash < 5; crash++) {
    cell.settle();
    expect(cell.runs("a")).to.have.length(1);
    cell.clock.advance(700);
    restartWorkers(cell, ["w0"]);
    cell.clock.advance(700);
  }
  settleJudgement(cell);
  expect(cell.book.stateOf("a")).to.equal("running");
  expect(cell.runs("a")).to.have.length(1);
});

it("crash evidence: a task that crashes a VM long after it failed alone is to blame", () => {
  const cell = createCellOnVms(1);
  restartWorkers(cell, ["w0"]);
  cell.clock.advance(10_000);
  cell.submit(job("bad"));
  for (let crash = 0; crash < 2; crash++) {
    cell.settle();
    restartWorkers(cell, ["w0"]);
    settleJudgement(cell);
  }
  expect(cell.book.stateOf("bad")).to.equal("failed");
});
