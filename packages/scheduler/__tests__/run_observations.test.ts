import { createManualClock } from "@rattanhill/shared";
import { expect } from "chai";
import {
  addJob,
  addRun,
  createCellState,
  createRunObservations,
  getOrCreateStep,
  type Run,
  RunPhase,
  type SpeedObservation,
  type StepSpec,
  type WorkerState,
} from "../src/mod.ts";
import { job, step } from "./cell_fixture.ts";

/** Creates the source of observations with one step and its runs. */
function createCase(changes: Partial<StepSpec> = {}, slowdown = 1) {
  const clock = createManualClock(1_000);
  const observed: SpeedObservation[] = [];
  const observations = createRunObservations({
    speeds: { recordRun: (observation) => observed.push(observation) },
    now: clock.now,
    slowdownOf: () => slowdown,
  });
  const spec = job("a", { steps: [step(changes)] });
  const state = getOrCreateStep(addJob(createCellState(), spec, 0), 0, 0);
  const runs = Array.from({ length: state.spec.taskCount }, (_, index) => {
    const worker = {
      id: `w${index}`,
      vm: `vm${index}`,
      runs: new Set(),
      used: { milliCores: 0, memoryMegabytes: 0, accelerators: 0 },
    };
    const run: Run = {
      step: state,
      index,
      number: 1,
      worker: worker as unknown as WorkerState,
      lifetime: 1,
      phase: RunPhase.running,
      placedAt: clock.now(),
      percent: 0,
      percentAt: 0,
      checkpoint: "",
    };
    addRun(run);
    return run;
  });
  /** Reports the percent of a run after a time. */
  const report = (run: Run, percent: number, afterMs = 0) => {
    clock.advance(afterMs);
    run.percent = percent;
    observations.recordProgress(run);
  };
  const ratios = () =>
    observed.map(({ logRatio }) => Number(Math.exp(logRatio).toFixed(2)));
  return { clock, observations, observed, runs, report, ratios };
}

it("run observations: intervals of progress and the whole run", () => {
  const { observations, observed, runs: [run], report, ratios, clock } =
    createCase();
  observations.recordStart(run);
  report(run, 5, 100);
  report(run, 25, 400);
  report(run, 50, 500);
  clock.advance(1_000);
  observations.recordCompletion(run);
  expect(ratios()).to.deep.equal([2, 2, 2]);
  expect(observed.map(({ worker }) => worker))
    .to.deep.equal(["vm0", "vm0", "vm0"]);
});

// Guards against a slow placement that is blamed on the worker.
it("run observations: the slowdown by the placement is divided out", () => {
  const { observations, runs: [run], report, ratios } = createCase({}, 3);
  observations.recordStart(run);
  report(run, 50, 1_500);
  expect(ratios()).to.deep.equal([1]);
});

// Guards against the wait for the last member that is blamed on the others.
it("run observations: a gang is timed from the start of its last member", () => {
  const { observations, runs, report, ratios, clock } = createCase({
    taskCount: 2,
    isGang: true,
  });
  observations.recordStart(runs[0]);
  clock.advance(3_000);
  observations.recordStart(runs[1]);
  report(runs[0], 50, 500);
  report(runs[1], 25);
  expect(ratios()).to.deep.equal([1, 2]);
  report(runs[0], 100, 500);
  observations.recordCompletion(runs[0]);
  expect(ratios()).to.deep.equal([1, 2]);
});

// Guards against a gang that lost a member, whose others stand still.
it("run observations: an incomplete gang is not timed", () => {
  const { observations, runs, report, observed } = createCase({
    taskCount: 2,
    isGang: true,
  });
  runs.forEach(observations.recordStart);
  runs[0].step.runs.delete(1);
  report(runs[0], 50, 5_000);
  expect(observed).to.deep.equal([]);
});

// Failure: the lead is replaced while runs continue, or a run resumes. Guards
// against progress of an earlier attempt that makes a worker look fast.
it("run observations: a run with earlier work is timed by its rate", () => {
  const { observations, runs: [run], report, ratios, clock } = createCase();
  run.checkpoint = "saved";
  observations.recordStart(run);
  report(run, 60, 100);
  report(run, 80, 400);
  clock.advance(100);
  observations.recordCompletion(run);
  expect(ratios()).to.deep.equal([2]);
});

// Guards against reports that contradict each other.
it("run observations: a percent that falls is no observation", () => {
  for (const fall of [10, 0, -5, NaN]) {
    const { observations, runs: [run], report, ratios, clock } = createCase();
    observations.recordStart(run);
    report(run, 50, 500);
    report(run, fall, 300);
    report(run, 40, 300);
    report(run, 60, 400);
    clock.advance(100);
    observations.recordCompletion(run);
    expect(ratios()[0]).to.equal(1);
    expect(ratios().every((ratio) => ratio >= 1 && ratio <= 2), `${fall}`)
      .to.equal(true);
  }
});

it("run observations: a percent that leaps is no observation", () => {
  const { observations, runs: [run], report, ratios } = createCase();
  observations.recordStart(run);
  report(run, 20, 200);
  report(run, 90, 1);
  expect(ratios()).to.deep.equal([1]);
});

// Guards against a clock that jumps, such as after a suspension of the VM.
it("run observations: a clock that jumps is no observation", () => {
  for (const jumpMs of [10_000_000, -600]) {
    const { observations, runs: [run], report, ratios } = createCase();
    observations.recordStart(run);
    report(run, 20, 200);
    report(run, 40, jumpMs);
    report(run, 60, 200);
    expect(ratios()).to.deep.equal([1, 1]);
  }
});

it("run observations: work without a duration of its own is not timed", () => {
  for (const changes of [{ isLongRunning: true }, { isFiller: true }]) {
    const { observations, runs: [run], report, observed } = createCase(changes);
    observations.recordStart(run);
    report(run, 50, 500);
    observations.recordCompletion(run);
    expect(observed).to.deep.equal([]);
  }
  const { observations, runs: [run], report, observed } = createCase();
  observations.recordStart(run);
  run.stopReason = "cancelled";
  report(run, 50, 500);
  expect(observed).to.deep.equal([]);
});
