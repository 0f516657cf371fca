import type { Milliseconds } from "@rattanhill/shared";
import type { RunTimeEstimator } from "@rattanhill/core";
import type { Run } from "./cell_state.ts";
import type { JobSpec } from "./job_types.ts";
import type { Deployment } from "./rules.ts";
import { speedKeyOf } from "./run_observations.ts";
import type { WorkerSpeeds } from "./worker_speeds.ts";

/** Estimates the durations of tasks. */
export interface DurationEstimator {
  /**
   * @returns the expected duration of a task on a worker of usual speed, from
   * its declared estimate and earlier runs of its account and queue
   */
  expectedDuration(spec: JobSpec, estimateMs: Milliseconds): Milliseconds;
  /** @returns the factor by which a run is slowed by its placement */
  slowdownFactor(run: Run): number;
  /**
   * @returns the expected time until a run ends. For a run that is being
   * stopped, this is the longest time that a stop takes. For others, it is
   * extrapolated from the reported progress, or computed from the expected
   * duration and the speed of its worker while no rate of progress is known.
   */
  remainingTime(run: Run): Milliseconds;
  /** Starts a planning pass, in which the remaining times do not change. */
  beginPass(): void;
}

/** Options of {@link createDurationEstimator}. */
export interface DurationEstimatorOptions {
  runTimes: RunTimeEstimator;
  speeds: Pick<WorkerSpeeds, "factorOf">;
  now(): Milliseconds;
  deployment(): Deployment;
}

/**
 * Creates the estimator of task durations.
 *
 * @param options learned run times and worker speeds, a clock and the
 * deployment
 * @returns the estimator
 */
export function createDurationEstimator(
  options: DurationEstimatorOptions,
): DurationEstimator {
  const { runTimes, speeds, now, deployment } = options;

  const expectedDuration = (
    spec: JobSpec,
    estimateMs: Milliseconds,
  ): Milliseconds =>
    runTimes.estimate({
      account: spec.account,
      class: spec.queue,
      expectedMs: estimateMs,
    });

  const slowdownFactor = ({ step, worker }: Run): number => {
    const { spec } = step;
    const isAwayFromData = spec.dataRack !== undefined &&
      spec.dataRack !== worker.rack;
    const isSplit = spec.needsOneRack &&
      [...step.runs.values()].some((run) => run.worker.rack !== worker.rack);
    return isAwayFromData || isSplit ? deployment().remoteFactor : 1;
  };

  /** Remaining times of runs that were computed in this pass. */
  let knownTimes = new Map<Run, Milliseconds>();
  const computeRemainingTime = (run: Run): Milliseconds => {
    const { step, percent, percentAt, firstPercent, placedAt } = run;
    if (firstPercent !== undefined && percent > firstPercent.percent) {
      const rate = (percent - firstPercent.percent) /
        (percentAt - firstPercent.at);
      return Math.max(0, (100 - percent) / rate - (now() - percentAt));
    }
    const totalMs = expectedDuration(step.job.spec, step.spec.estimateMs) *
      slowdownFactor(run) * workerFactorOf(run, speeds);
    return Math.max(0, totalMs - (now() - placedAt));
  };

  return {
    expectedDuration,
    slowdownFactor,
    beginPass: () => {
      knownTimes = new Map();
    },
    remainingTime: (run) => {
      if (run.stopReason !== undefined) return deployment().stopMs;
      const known = knownTimes.get(run);
      if (known !== undefined) return known;
      const remainingMs = computeRemainingTime(run);
      knownTimes.set(run, remainingMs);
      return remainingMs;
    },
  };
}

/**
 * Computes the factor by which a run is slowed by its worker. A gang is as slow
 * as its slowest member.
 *
 * @param run the run, with the other runs of its step
 * @param speeds the learned speeds
 * @returns the factor; 1 on a worker of usual or unknown speed
 */
export function workerFactorOf(
  run: Run,
  speeds: Pick<WorkerSpeeds, "factorOf">,
): number {
  const { isGang } = run.step.spec;
  const members = isGang ? [run, ...run.step.runs.values()] : [run];
  return Math.max(
    ...members.map(({ worker }) => speeds.factorOf(speedKeyOf(worker))),
  );
}
