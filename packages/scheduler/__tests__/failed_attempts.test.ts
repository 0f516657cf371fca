import { expect } from "chai";
import type { Rules } from "../src/mod.ts";
import { createCell, job, queueRules, RULES, step } from "./cell_fixture.ts";

type Cell = ReturnType<typeof createCell>;

/** Returns the cell of the next lead, on the same workers and store. */
function takeOver(cell: Cell, rules: Partial<Rules> = {}): Cell {
  const next = createCell({ workers: cell.fleet.size, rules });
  for (const [id, worker] of cell.fleet) next.fleet.set(id, worker);
  for (const stored of cell.book.jobs()) {
    next.book.apply({ kind: "submission", spec: stored.spec });
    for (const [key, progress] of stored.steps) {
      next.book.apply({ kind: "progress", step: key, progress });
    }
    next.scheduler.restore(stored, next.clock.now() + 10_300);
  }
  return next;
}

it("attempts: a gang that failed once counts once after a change of lead", () => {
  const cell = createCell({ workers: 12 });
  const gang = step({ taskCount: 3, accelerators: 8, isGang: true });
  cell.submit(job("a", { steps: [gang] }));
  cell.settle();
  const [first, second, third] = cell.runs("a");
  cell.fleet.get(first.worker)!.end(first.task, "failed");
  cell.pollWorker(first.worker);
  cell.storeBatch();
  const next = takeOver(cell);
  next.fleet.get(second.worker)!.end(second.task, "failed");
  next.fleet.get(third.worker)!.end(third.task, "broken");
  next.settle();
  next.end("a", "failed");
  next.settle();
  expect(next.book.stateOf("a")).to.equal("running");
  expect(next.runs("a").map(({ number }) => number)).to.deep.equal([3, 3, 3]);
});

function startsOf(cell: Cell): number {
  return [...cell.fleet.values()].flatMap(({ started }) => started).length;
}

/**
 * Ends the run of job "a" on a worker that is silent until its leases have
 * expired and the run is released.
 */
function endUnheard(cell: Cell, end: "done" | "failed"): void {
  cell.settle();
  const [{ worker, task }] = cell.runs("a");
  const known = cell.scheduler.state.workers.get(worker)!;
  cell.scheduler.recordNoAnswer(known);
  cell.fleet.get(worker)!.end(task, end);
  cell.clock.advance(11_000);
  cell.scheduler.plan();
  expect(known.runs.size).to.equal(0);
  cell.pollWorker(worker);
}

it("attempts: a run that was released before its failed end still counts", () => {
  const cell = createCell({ workers: 12 });
  cell.submit(job("a"));
  for (let attempt = 1; attempt <= 3; attempt++) endUnheard(cell, "failed");
  cell.settle();
  expect([cell.book.stateOf("a"), startsOf(cell)]).to.deep.equal(["failed", 3]);
});

it("attempts: a run counts that failed although its start was called refused", () => {
  const cell = createCell({ workers: 12 });
  cell.submit(job("a"));
  for (let attempt = 1; attempt <= 3; attempt++) {
    cell.settle();
    const [{ worker, task }] = cell.runs("a");
    const [run] = cell.scheduler.state.workers.get(worker)!.runs;
    cell.scheduler.handleStartAnswer(run, "unhealthy");
    cell.fleet.get(worker)!.end(task, "failed");
    cell.pollWorker(worker);
  }
  cell.settle();
  expect([cell.book.stateOf("a"), startsOf(cell)]).to.deep.equal(["failed", 3]);
});

it("attempts: a task is done although its run was released before its end", () => {
  const cell = createCell();
  cell.submit(job("a"));
  endUnheard(cell, "done");
  cell.settle();
  expect([cell.book.stateOf("a"), startsOf(cell)]).to.deep.equal([
    "completed",
    1,
  ]);
});

it("attempts: a failed end that is reported to two leads counts once", () => {
  const cell = createCell({ workers: 12 });
  cell.submit(job("a"));
  cell.settle();
  const [{ worker, task }] = cell.runs("a");
  cell.fleet.get(worker)!.end(task, "failed");
  cell.pollWorker(worker);
  cell.storeBatch();
  const next = takeOver(cell);
  next.settle();
  next.end("a", "failed");
  next.settle();
  expect(next.book.stateOf("a")).to.equal("running");
});

it("attempts: a failed end that arrives late fails no task that is done", () => {
  const cell = createCell({ workers: 12 });
  cell.submit(job("a", { steps: [step(), step({ after: [0] })] }));
  for (let attempt = 1; attempt <= 2; attempt++) {
    cell.settle();
    cell.end("a", "failed");
  }
  cell.settle();
  const [{ worker, task }] = cell.runs("a");
  const [run] = cell.scheduler.state.workers.get(worker)!.runs;
  cell.scheduler.handleStartAnswer(run, "unhealthy");
  const late = cell.fleet.get(worker)!;
  late.end(task, "failed");
  const lateEnds = late.ends.splice(0);
  cell.settle();
  cell.end("a", "done");
  cell.settle();
  late.ends.push(...lateEnds);
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("running");
  expect(cell.runs("a").map(({ task }) => task.step)).to.deep.equal([1]);
});

it("attempts: a job keeps its limit when its queue is gone from the configuration", () => {
  const cell = createCell({ workers: 12 });
  cell.submit(job("a", { maximumAttempts: 3 }));
  for (let attempt = 1; attempt <= 2; attempt++) {
    cell.settle();
    cell.end("a", "failed");
  }
  cell.settle();
  const next = takeOver(cell, { queues: new Map() });
  next.settle();
  next.end("a", "failed");
  next.settle();
  expect([next.book.stateOf("a"), startsOf(next)]).to.deep.equal(["failed", 3]);
});

it("attempts: a lower limit holds for the next start of a task", () => {
  const cell = createCell({ workers: 12 });
  cell.submit(job("a"));
  for (let attempt = 1; attempt <= 2; attempt++) {
    cell.settle();
    cell.end("a", "failed");
  }
  cell.pollWorkers();
  const normal = { ...queueRules("normal", 1), maximumAttempts: 2 };
  cell.scheduler.setRules({ ...RULES, queues: new Map([["normal", normal]]) });
  cell.settle();
  expect([cell.book.stateOf("a"), startsOf(cell)]).to.deep.equal(["failed", 2]);
});

it("attempts: a run is kept while its worker has more ends to report", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.end("a", "failed");
  const worker = cell.scheduler.state.workers.get("w0")!;
  cell.clock.advance(1);
  cell.scheduler.applyWorkerReport(worker, 1, {
    askedAt: cell.clock.now(),
    running: [],
    ended: [],
    hasMoreEnds: true,
  });
  expect(worker.runs.size).to.equal(1);
  cell.pollWorkers();
  expect(worker.runs.size).to.equal(0);
});
