import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";

// If a start command were sent before its placement is stored, a new lead would
// not know the run and would place the task a second time.
it("scheduler: a start is sent only after its placement is stored", () => {
  const cell = createCell();
  cell.submit(job("a"));
  cell.scheduler.plan();
  expect(cell.commands).to.deep.equal([]);
  cell.storeBatch();
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal(["start"]);
});

// The worker forgets an acknowledged end. If the lead failed before it had
// stored that end, the end would be lost.
it("scheduler: a run end is acknowledged only after it is stored", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.end("a", "done");
  cell.pollWorkers();
  const worker = cell.scheduler.state.workers.get("w0")!;
  expect([worker.lastHandledEnd, worker.lastStoredEnd]).to.deep.equal([1, 0]);
  cell.storeBatch();
  expect(worker.lastStoredEnd).to.equal(1);
});

it("scheduler: a job is completed when every task is done", () => {
  const cell = createCell();
  cell.submit(job("a", { steps: [step({ taskCount: 3 })] }));
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("running");
  cell.end("a", "done");
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("completed");
  expect(cell.scheduler.state.jobs.size).to.equal(0);
});

it("scheduler: a step waits for the steps before it", () => {
  const cell = createCell();
  const steps = [step(), step({ after: [0] })];
  cell.submit(job("a", { steps }));
  cell.settle();
  expect(cell.runs("a").map(({ task }) => task.step)).to.deep.equal([0]);
  cell.end("a", "done");
  cell.settle();
  expect(cell.runs("a").map(({ task }) => task.step)).to.deep.equal([1]);
});

it("scheduler: an occurrence does not start before it is due", () => {
  const cell = createCell();
  const startAt = cell.clock.wallTime() + 5_000;
  const repetition = { count: 2, startAt, intervalMs: 1_000 };
  cell.submit(job("a", { repetition }));
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
  cell.clock.advance(5_000);
  cell.settle();
  expect(cell.runs("a").map(({ task }) => task.occurrence)).to.deep.equal([0]);
  cell.clock.advance(1_000);
  cell.settle();
  expect(cell.runs("a")).to.have.length(2);
});

it("scheduler: a failed task is retried elsewhere, up to its limit", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(job("a"));
  const used = new Set<string>();
  for (let attempt = 0; attempt < 3; attempt++) {
    cell.settle();
    expect(cell.book.stateOf("a")).to.equal("running");
    used.add(cell.runs("a")[0].worker);
    cell.end("a", "failed");
  }
  cell.settle();
  expect(used.size).to.equal(3);
  expect(cell.book.stateOf("a")).to.equal("failed");
  expect(cell.runs("a")).to.deep.equal([]);
});

it("scheduler: a failed gang counts once and restarts as a whole", () => {
  const cell = createCell({ workers: 4 });
  const gang = step({ taskCount: 3, isGang: true });
  cell.submit(job("a", { steps: [gang] }));
  cell.settle();
  const [first, ...others] = cell.runs("a");
  cell.fleet.get(first.worker)!.end(first.task, "failed");
  for (const { worker, task } of others) {
    cell.fleet.get(worker)!.end(task, "broken");
  }
  cell.settle();
  const gangStep = [...cell.scheduler.state.jobs.get("a")!.steps.values()][0];
  expect(gangStep.failedRuns.get(0)?.size).to.equal(1);
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([2, 2, 2]);
});

it("scheduler: a gang that does not fit is not started partially", () => {
  const cell = createCell({ workers: 2 });
  cell.submit(
    job("a", {
      steps: [step({ taskCount: 3, accelerators: 8, isGang: true })],
    }),
  );
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
});

it("scheduler: one successful member completes the whole gang", () => {
  const cell = createCell();
  cell.submit(job("a", { steps: [step({ taskCount: 2, isGang: true })] }));
  cell.settle();
  const [first] = cell.runs("a");
  cell.fleet.get(first.worker)!.end(first.task, "done");
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("completed");
});

it("scheduler: a task resumes from its newest checkpoint", () => {
  const cell = createCell();
  cell.submit(job("a", { steps: [step({ isCheckpointing: true })] }));
  cell.settle();
  cell.end("a", "lapsed", "c1");
  cell.settle();
  expect(cell.runs("a")[0].checkpoint).to.equal("c1");
});

it("scheduler: a cancelled job is stopped and never started again", () => {
  const cell = createCell();
  cell.submit(job("a", { steps: [step({ taskCount: 2 })] }));
  cell.settle();
  cell.scheduler.cancel("a");
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
  expect(cell.book.stateOf("a")).to.equal("cancelled");
});

// The job is cancelled while the write of its placement is not confirmed yet.
it("scheduler: a start cancelled while it is being stored is not sent", () => {
  const cell = createCell();
  cell.submit(job("a"));
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  cell.scheduler.cancel("a");
  cell.scheduler.handleBatchStored(batch);
  expect(cell.commands.filter(({ kind }) => kind === "start")).to.deep.equal(
    [],
  );
});

// An unanswered start command may still arrive. If the task were placed again
// before the worker rejects that command, it would run twice.
it("scheduler: an unanswered start is stopped before a new placement", () => {
  const cell = createCell();
  cell.submit(job("a"));
  cell.scheduler.plan();
  cell.storeBatch();
  const [command] = cell.commands.splice(0);
  if (command.kind !== "start") throw new Error("expected a start");
  cell.scheduler.handleStartAnswer(command.run, "uncertain");
  cell.clock.advance(1);
  cell.pollWorkers();
  cell.scheduler.plan();
  cell.storeBatch();
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal(["stop"]);
  cell.scheduler.handleStopAnswer(command.run);
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([2]);
});

// The worker executed the start command and only its answer was lost, so the
// next report lists the run.
it("scheduler: a run continues if only the answer to its start is lost", () => {
  const cell = createCell();
  cell.submit(job("a"));
  cell.settle();
  const [run] = [...cell.scheduler.state.workers.values()].flatMap((worker) => [
    ...worker.runs,
  ]);
  cell.scheduler.handleStartAnswer(run, "uncertain");
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1]);
});

// A worker that does not answer may still run its tasks until its leases
// expire. If they were placed elsewhere before that, they would run twice.
it("scheduler: runs of a silent worker stay until its leases expire", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  const worker = cell.scheduler.state.workers.get("w0")!;
  cell.scheduler.recordNoAnswer(worker);
  cell.entries.splice(0);
  cell.updateListing();
  cell.clock.advance(9_000);
  cell.scheduler.plan();
  expect(worker.runs.size).to.equal(1);
  cell.clock.advance(2_000);
  cell.scheduler.plan();
  expect(worker.runs.size).to.equal(0);
});

it("scheduler: runs of a drained worker that left are released at once", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.entries[0] = { ...cell.entries[0], isDraining: true };
  cell.updateListing();
  const worker = cell.scheduler.state.workers.get("w0")!;
  cell.entries.splice(0);
  cell.updateListing(["w0"]);
  cell.scheduler.recordNoAnswer(worker);
  cell.scheduler.plan();
  expect(worker.runs.size).to.equal(0);
});

it("scheduler: nothing is placed on a draining worker", () => {
  const cell = createCell({ workers: 1 });
  cell.entries[0] = { ...cell.entries[0], isDraining: true };
  cell.updateListing();
  cell.submit(job("a"));
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
});

// The worker renews its entry while it drains, with less time each time.
it("scheduler: the time of a draining worker is not counted twice", () => {
  const cell = createCell({ workers: 2 });
  const isCheckpointing = true;
  cell.submit(
    job("a", { steps: [step({ estimateMs: 2_900, isCheckpointing })] }),
  );
  cell.settle();
  const [{ worker }] = cell.runs("a");
  const index = cell.entries.findIndex(({ id }) => id === worker);
  for (const remainingMs of [3_000, 2_000]) {
    const entry = { ...cell.entries[index], isDraining: true, remainingMs };
    cell.entries[index] = entry;
    cell.updateListing();
    cell.settle();
    cell.clock.advance(1_000);
  }
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1]);
});

// A restarted worker has lost the run but would accept a late start command of
// it. If the task were placed again before the worker rejects that command, it
// would run twice.
it("scheduler: a run of a restarted worker is stopped before it moves", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.fleet.get("w0")!.crash();
  cell.pollWorker("w0");
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal(["stop"]);
  cell.scheduler.plan();
  expect(cell.scheduler.state.workers.get("w0")!.runs.size).to.equal(1);
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([2]);
});

it("scheduler: a run without progress is moved to another worker", () => {
  const cell = createCell();
  cell.submit(job("a"));
  cell.settle();
  const before = cell.runs("a")[0].worker;
  cell.clock.advance(3_500);
  cell.settle();
  expect(cell.runs("a")[0].worker).not.to.equal(before);
});

// Members of a gang end together, so a finished member reports 100 percent
// until the slowest one is done. It must not be stopped for lack of progress.
it("scheduler: a finished gang member that waits is not stuck", () => {
  const cell = createCell();
  cell.submit(job("a", { steps: [step({ taskCount: 2, isGang: true })] }));
  cell.settle();
  const reportPercents = (percents: number[]) => {
    const runs = cell.runs("a");
    runs.forEach(({ worker, task }, index) => {
      const key = `${task.job}.${task.occurrence}.${task.step}.${task.index}`;
      cell.fleet.get(worker)!.running.get(key)!.percent = percents[index];
    });
    cell.settle();
  };
  for (let percent = 50; percent < 100; percent += 5) {
    reportPercents([100, percent]);
    cell.clock.advance(1_000);
  }
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1, 1]);
});
