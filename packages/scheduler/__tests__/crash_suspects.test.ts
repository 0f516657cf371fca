import { expect } from "chai";
import { silentLogger } from "@rattanhill/shared";
import {
  addJob,
  createCellState,
  createCrashBlame,
  getOrCreateStep,
  isOver,
  type Run,
  type WorkerState,
} from "../src/mod.ts";
import { job } from "./cell_fixture.ts";

/** Creates the crash records of a cell whose workers were just told to start. */
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
  /** Crashes a worker that had runs of these tasks. */
  const crashOn = (
    vm: string,
    tasks: [job: string, index: number][],
    { reportedMs }: { reportedMs?: number } = {},
  ): void => {
    now += 5_000;
    workers += 1;
    const worker = { id: `w${workers}`, vm, reportedAt: now } as WorkerState;
    const reportedSince = reportedMs === undefined
      ? undefined
      : now - reportedMs;
    const runs = tasks.map(([id, index]) => {
      const step = getOrCreateStep(addJob(state, job(id), now), 0, 0);
      return {
        step,
        index,
        worker,
        lifetime: 1,
        confirmedAt: reportedSince ?? now,
        reportedSince,
      } as Run;
    });
    blame.recordCrash(worker, runs);
    now += 2_000;
    blame.judgeCrashes();
  };
  return {
    isOver: (id: string) => isOver(state.jobs.get(id)!),
    crashOn,
    /** Crashes a worker of its own VM that was just told to start these tasks. */
    crash: (...tasks: [job: string, index: number][]) =>
      crashOn(`own-${workers}`, tasks),
    /** @returns the penalty on a worker of a VM for a job without crashes */
    penaltyOn: (vm: string) => {
      const step = getOrCreateStep(addJob(state, job("new"), now), 0, 0);
      return blame.penaltyOf(
        step,
        { id: "next", vm, runs: new Set<Run>() } as WorkerState,
      );
    },
  };
}

// Two tasks of the blamed job share crashes with the other one.
it("crash blame: a crash that two tasks of a job explain counts for its neighbour", () => {
  const { crash, isOver } = createCrashes();
  for (let n = 0; n < 3; n++) crash(["a", 0], ["a", 1], ["b", 0]);
  crash(["a", 0], ["a", 1]);
  expect(isOver("a")).to.equal(true);
  let crashes = 3;
  while (!isOver("b")) {
    crashes += 1;
    crash(["b", 0], [`x${crashes}`, 0]);
  }
  expect(crashes).to.equal(4);
});

// It was suspected once on another VM; this one crashed before without it.
it("crash blame: a VM that crashed a short time before is to blame", () => {
  const { crash, crashOn, isOver } = createCrashes();
  crash(["a", 0]);
  crashOn("m0", [["b", 0]]);
  crashOn("m0", [["a", 0]]);
  expect(isOver("a")).to.equal(false);
  crash(["a", 0]);
  expect(isOver("a")).to.equal(true);
});

it("crash blame: a VM that has crashed is used last", () => {
  const { crashOn, penaltyOn } = createCrashes();
  crashOn("m0", [["a", 0]]);
  expect(penaltyOn("m0")).to.be.above(penaltyOn("m1"));
});

it("crash blame: a task that ran for seconds is no suspect", () => {
  const { crashOn, isOver } = createCrashes();
  for (const vm of ["m0", "m1"]) {
    crashOn(vm, [["a", 0]], { reportedMs: 1_000 });
    crashOn(`${vm}-b`, [["b", 0]], { reportedMs: 500 });
  }
  expect([isOver("a"), isOver("b")]).to.deep.equal([false, true]);
});

it("crash blame: a task that crashes its workers after seconds is bounded", () => {
  const { crashOn, isOver } = createCrashes();
  let crashes = 0;
  while (crashes < 10 && (crashes === 0 || !isOver("a"))) {
    crashes += 1;
    crashOn(`m${crashes}`, [["a", 0]], { reportedMs: 4_000 });
  }
  expect(crashes).to.equal(5);
});
