import type { Milliseconds } from "@rattanhill/shared";
import type { RunTimeEstimator } from "@rattanhill/core";
import type { Run } from "./cell_state.ts";
import type { JobSpec } from "./job_types.ts";
import type { Deployment } from "./rules.ts";

/** Estimates the durations of tasks. */
export interface DurationEstimator {
  /**
   * @returns the expected duration of a task, from its declared estimate and
   * earlier runs of its account and queue
   */
  expectedDuration(spec: JobSpec, estimateMs: Milliseconds): Milliseconds;
  /** @returns the factor by which a run is slowed by its placement */
  slowdownFactor(run: Run): number;
  /**
   * @returns the expected time until a run ends. For a run that is being
   * stopped, this is the longest time that a stop takes. For others, it is
   * extrapolated from the reported progress, or computed from the expected
   * duration while no rate of progress is known.
   */
  remainingTime(run: Run): Milliseconds;
}

/** Options of {@link createDurationEstimator}. */
export interface DurationEstimatorOptions {
  runTimes: RunTimeEstimator;
  now(): Milliseconds;
  deployment(): Deployment;
}

/**
 * Creates the estimator of task durations.
 *
 * @param options learned run times, a clock and the deployment
 * @returns the estimator
 */
export function createDurationEstimator(
  options: DurationEstimatorOptions,
): DurationEstimator {
  const { runTimes, now, deployment } = options;

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

  return {
    expectedDuration,
    slowdownFactor,
    remainingTime: (run) => {
      const { step, percent, percentAt, firstPercent, placedAt } = run;
      if (run.stopReason !== undefined) return deployment().stopMs;
      if (firstPercent !== undefined && percent > firstPercent.percent) {
        const rate = (percent - firstPercent.percent) /
          (percentAt - firstPercent.at);
        return Math.max(0, (100 - percent) / rate - (now() - percentAt));
      }
      const totalMs = expectedDuration(step.job.spec, step.spec.estimateMs) *
        slowdownFactor(run);
      return Math.max(0, totalMs - (now() - placedAt));
    },
  };
}
