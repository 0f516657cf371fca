import { expect } from "chai";
import type { StepSpec } from "../src/mod.ts";
import { createCell, job, RULES, step } from "./cell_fixture.ts";

type Cell = ReturnType<typeof createCell>;

/** @returns a step whose tasks each occupy a whole worker */
const wholeWorkerStep = (taskCount: number, changes: Partial<StepSpec> = {}) =>
  step({ taskCount, accelerators: 8, estimateMs: 10_000, ...changes });

/** Submits an urgent gang of 3 s beyond the guarantee of its account. */
const submitUrgent = (cell: Cell, id: string, changes = {}) =>
  cell.submit(job(id, {
    queue: "urgent",
    account: "other",
    steps: [
      wholeWorkerStep(2, { isGang: true, estimateMs: 3_000, ...changes }),
    ],
  }));
/** Submits batch work that fills whole workers. */
const submitBatch = (
  cell: Cell,
  id: string,
  steps: readonly StepSpec[],
  queue = "batch",
) => cell.submit(job(id, { queue, steps }));

/** Lets all runs progress as their estimates say, up to 99%. */
const addProgress = (cell: Cell, durationMs: number) => {
  for (const { running } of cell.fleet.values()) {
    for (const run of running.values()) {
      const { spec } = cell.scheduler.state.jobs.get(run.task.job)!;
      const { estimateMs } = spec.steps[run.task.step];
      run.percent = Math.min(99, run.percent + 100 * durationMs / estimateMs);
    }
  }
};
/** Plans and runs the cell for a time in steps of 100 ms. */
const runFor = (cell: Cell, durationMs: number) => {
  for (let passed = 0; passed < durationMs; passed += 100) {
    cell.clock.advance(90);
    addProgress(cell, 100);
    cell.settle();
  }
};

// The load is a burst of urgent gangs on full workers. With a bound on lost work
// alone, gangs that are too late stopped as many runs as those in time.
it("reclaim: a burst stops runs only for gangs that will be in time", () => {
  const cell = createCell({ workers: 4 });
  const checkpointing = { isCheckpointing: true, estimateMs: 60_000 };
  submitBatch(cell, "batch", [wholeWorkerStep(4, checkpointing)]);
  cell.settle();
  for (const id of ["a", "b"]) submitUrgent(cell, id);
  runFor(cell, 300);
  expect(cell.runs("a")).to.have.length(2);
  expect(cell.runs("b")).to.have.length(2);
  expect(cell.runs("batch")).to.have.length(0);
  expect(cell.reclaims).to.deep.equal(["worthwhile", "worthwhile"]);
});

it("reclaim: runs of a checkpointing job are stopped before others", () => {
  const cell = createCell({ workers: 4 });
  submitBatch(cell, "costly", [wholeWorkerStep(2)]);
  const checkpointing = wholeWorkerStep(2, { isCheckpointing: true });
  submitBatch(cell, "cheap", [checkpointing]);
  cell.settle();
  runFor(cell, 1_000);
  submitUrgent(cell, "urgent");
  runFor(cell, 300);
  expect(cell.runs("costly")).to.have.length(2);
  expect(cell.runs("cheap")).to.have.length(0);
  expect(cell.runs("urgent")).to.have.length(2);
});

it("reclaim: batch work is stopped before work of the middle queue", () => {
  const cell = createCell({ workers: 4 });
  submitBatch(cell, "middle", [wholeWorkerStep(2)], "normal");
  submitBatch(cell, "batch", [wholeWorkerStep(2)]);
  cell.settle();
  submitUrgent(cell, "urgent", { estimateMs: 8_000 });
  runFor(cell, 300);
  expect(cell.runs("middle")).to.have.length(2);
  expect(cell.runs("batch")).to.have.length(0);
});

it("reclaim: nothing is stopped if a run ends by itself in time", () => {
  const cell = createCell({ workers: 2 });
  submitBatch(cell, "batch", [wholeWorkerStep(2, { isCheckpointing: true })]);
  cell.settle();
  runFor(cell, 9_400);
  submitUrgent(cell, "urgent");
  runFor(cell, 500);
  expect(cell.runs("batch")).to.have.length(2);
  expect(cell.reclaims).to.deep.equal(["inTimeAnyway"]);
});

it("reclaim: nothing is stopped for an urgent step that is too late", () => {
  const cell = createCell({ workers: 2 });
  const checkpointing = { isCheckpointing: true, estimateMs: 60_000 };
  submitBatch(cell, "batch", [wholeWorkerStep(2, checkpointing)]);
  cell.settle();
  cell.updateListing();
  submitUrgent(cell, "urgent", { estimateMs: 1_000 });
  // The slack is stretch 2 x 1 s + 0.5 s - 1 s = 1.5 s, and a stop takes 0.55 s.
  cell.clock.advance(1_000);
  cell.settle();
  runFor(cell, 500);
  expect(cell.runs("batch")).to.have.length(2);
  expect(cell.reclaims).to.deep.equal(["tooLate"]);
});

// A stop of one member stops its whole gang, so a wide gang costs too much even
// if a single member would not.
it("reclaim: all members of a gang count as lost", () => {
  const stopsFor = (isGang: boolean) => {
    const cell = createCell({ workers: 8 });
    submitBatch(cell, "batch", [wholeWorkerStep(8, { isGang })]);
    cell.settle();
    runFor(cell, 1_500);
    submitUrgent(cell, "urgent", { taskCount: 1, estimateMs: 2_000 });
    runFor(cell, 500);
    return cell.reclaims;
  };
  expect(stopsFor(false)).to.deep.equal(["worthwhile"]);
  expect(stopsFor(true)).to.deep.equal(["tooCostly"]);
});

// Guards against a job that each of a series of urgent jobs stops again.
it("reclaim: a job is stopped a bounded number of times", () => {
  const cell = createCell({ workers: 2 });
  const checkpointing = { isCheckpointing: true, estimateMs: 200_000 };
  submitBatch(cell, "batch", [wholeWorkerStep(2, checkpointing)]);
  cell.settle();
  for (let round = 0; round < 6; round++) {
    submitUrgent(cell, `urgent-${round}`);
    runFor(cell, 300);
    cell.end(`urgent-${round}`, "done");
    cell.settle();
  }
  expect(cell.reclaims.filter((outcome) => outcome === "worthwhile"))
    .to.have.length(3);
  expect(cell.reclaims).to.include("noVictims");
  expect(cell.runs("batch")).to.have.length(2);
});

it("reclaim: a guarantee stops a job that was stopped as often as it may", () => {
  const cell = createCell({ workers: 2 });
  const checkpointing = { isCheckpointing: true, estimateMs: 200_000 };
  submitBatch(cell, "batch", [wholeWorkerStep(2, checkpointing)]);
  cell.settle();
  for (let round = 0; round < 3; round++) {
    submitUrgent(cell, `urgent-${round}`);
    runFor(cell, 300);
    cell.end(`urgent-${round}`, "done");
    cell.settle();
  }
  const guaranteed = wholeWorkerStep(2, { isGang: true, estimateMs: 3_000 });
  cell.submit(job("guaranteed", { queue: "urgent", steps: [guaranteed] }));
  runFor(cell, 1_500);
  expect(cell.runs("guaranteed")).to.have.length(0);
  runFor(cell, 500);
  expect(cell.runs("guaranteed")).to.have.length(2);
  expect(cell.reclaims.at(-1)).to.equal("guaranteed");
});

// At a guarantee's deadline, neither the cost nor the lateness of the urgent job
// counts.
it("reclaim: a guarantee near its deadline stops costly runs", () => {
  const cell = createCell({ workers: 2 });
  submitBatch(cell, "batch", [wholeWorkerStep(2, { estimateMs: 100_000 })]);
  cell.settle();
  runFor(cell, 60_000);
  const short = wholeWorkerStep(2, { isGang: true, estimateMs: 500 });
  cell.submit(job("urgent", { queue: "urgent", steps: [short] }));
  runFor(cell, 1_500);
  expect(cell.runs("urgent")).to.have.length(0);
  runFor(cell, 300);
  expect(cell.runs("urgent")).to.have.length(2);
  expect(cell.reclaims).to.include("guaranteed");
});

// Guards against a guarantee that depends on the estimates of other jobs.
it("reclaim: a job that cannot be estimated delays no guarantee", () => {
  const failed: string[] = [];
  const cell = createCell({
    workers: 2,
    isolate: (item, run) => {
      try {
        return run();
      } catch {
        failed.push(item.operation);
        return undefined;
      }
    },
  });
  submitBatch(cell, "batch", [wholeWorkerStep(2, { estimateMs: 60_000 })]);
  cell.settle();
  const { spec } = cell.scheduler.state.jobs.get("batch")!;
  Object.defineProperty(spec, "account", {
    get: () => {
      throw new Error("no estimate");
    },
  });
  const short = wholeWorkerStep(2, { isGang: true });
  cell.submit(job("urgent", { queue: "urgent", steps: [short] }));
  cell.clock.advance(2_000);
  cell.scheduler.plan();
  const stops = cell.commands.filter(({ kind }) => kind === "stop");
  expect(stops).to.have.length(2);
  expect(failed).to.include("job.prospects");
});

// A split gang takes 3 times as long, so free workers on two racks are no
// reason to leave the batch work on a rack.
it("reclaim: runs are stopped for one rack if only a split is free", () => {
  const cell = createCell({ workers: 4 });
  const pinned = (label: string) =>
    wholeWorkerStep(1, {
      requiredLabel: label,
      isCheckpointing: true,
      estimateMs: 60_000,
    });
  submitBatch(cell, "batch-0", [pinned("r0")]);
  submitBatch(cell, "batch-1", [pinned("r1")]);
  cell.settle();
  submitUrgent(cell, "urgent", { needsOneRack: true });
  runFor(cell, 300);
  const workers = cell.runs("urgent").map(({ worker }) => worker);
  expect(workers).to.have.length(2);
  const racks = workers.map((id) => cell.scheduler.state.workers.get(id)!.rack);
  expect(new Set(racks).size).to.equal(1);
  expect(cell.reclaims).to.deep.equal(["worthwhile"]);
});

// Guards against a step that waits forever for a worker that does not answer the
// stop of its runs.
it("reclaim: the claim of unanswered stops expires", () => {
  const cell = createCell({ workers: 4 });
  const checkpointing = { isCheckpointing: true, estimateMs: 60_000 };
  submitBatch(cell, "batch", [wholeWorkerStep(4, checkpointing)]);
  cell.settle();
  submitUrgent(cell, "urgent", { estimateMs: 30_000 });
  cell.clock.advance(200);
  cell.pollWorkers();
  cell.scheduler.plan();
  const stops = cell.commands.splice(0).filter(({ kind }) => kind === "stop");
  expect(stops).to.have.length(2);
  const silent = new Set(
    stops.map((stop) => stop.kind === "stop" ? stop.worker.id : ""),
  );
  for (const id of silent) {
    cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get(id)!);
    cell.fleet.get(id)!.hold = () => undefined;
  }
  cell.clock.advance(2_000);
  cell.settle();
  cell.clock.advance(200);
  cell.settle();
  expect(cell.runs("urgent")).to.have.length(2);
  expect(cell.runs("urgent").some(({ worker }) => silent.has(worker)))
    .to.equal(false);
});

// The counts of stops are lost with the lead; the bound then starts anew, and
// nothing else changes.
it("reclaim: a new lead stops runs that an earlier one restored", () => {
  const cell = createCell({ workers: 2 });
  const checkpointing = { isCheckpointing: true, estimateMs: 60_000 };
  submitBatch(cell, "batch", [wholeWorkerStep(2, checkpointing)]);
  cell.settle();
  const next = createCell({ workers: 2 });
  for (const [id, worker] of cell.fleet) next.fleet.set(id, worker);
  for (const stored of cell.book.jobs()) {
    next.scheduler.restore(stored, next.clock.now() + 10_000);
  }
  next.pollWorkers();
  next.settle();
  expect(next.runs("batch")).to.have.length(2);
  submitUrgent(next, "urgent");
  runFor(next, 300);
  expect(next.reclaims).to.deep.equal(["worthwhile"]);
  expect(next.runs("urgent")).to.have.length(2);
});

it("reclaim: discarded work is counted by reason", () => {
  const cell = createCell({ workers: 2 });
  submitBatch(cell, "cancelled", [wholeWorkerStep(1)]);
  submitBatch(cell, "reclaimed", [wholeWorkerStep(1)]);
  cell.settle();
  runFor(cell, 1_000);
  cell.scheduler.cancel("cancelled");
  cell.settle();
  const [first] = cell.discarded;
  expect(first.reason).to.equal("cancelled");
  // 65 cores for about 1 s; an accelerator counts as 8 cores.
  expect(first.coreMs).to.be.within(65 * 1_000, 65 * 1_100);
  submitUrgent(cell, "urgent", { estimateMs: 10_000 });
  runFor(cell, 300);
  expect(cell.discarded.map(({ reason }) => reason))
    .to.deep.equal(["cancelled", "reclaimed"]);
});

it("reclaim: a decision against a stop is counted once per step", () => {
  const cell = createCell({ workers: 2, rules: RULES });
  submitBatch(cell, "batch", [wholeWorkerStep(2, { estimateMs: 60_000 })]);
  cell.settle();
  runFor(cell, 20_000);
  submitUrgent(cell, "urgent", { estimateMs: 5_000 });
  runFor(cell, 1_000);
  expect(cell.reclaims).to.deep.equal(["tooCostly"]);
});
