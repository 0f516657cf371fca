import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "@rattanhill/shared";

/**
 * Estimates run times from the ratio of actual to declared run time, by account
 * and class.
 */
export interface RunTimeEstimator {
  /** Records the actual run time of a task that was not stopped. */
  recordRun(task: DeclaredTask, ranMs: Milliseconds): void;
  /**
   * @returns the run time to plan with; the declared one while there are too
   * few samples
   */
  estimate(task: DeclaredTask): Milliseconds;
}

/** Account, class and declared run time of a task. */
export interface DeclaredTask {
  account: string;
  class: string;
  expectedMs: Milliseconds;
}

// Percentile of the recorded ratios by which estimates are computed. It is
// above the median, because a backfilled task that overruns its estimate delays
// a large job.
const PLANNING_PERCENTILE = 75;
const MINIMUM_SAMPLES = 8;
// The histograms store integers: a ratio of 1 is recorded as 100.
const RATIO_SCALE = 100;
const MAXIMUM_RATIO = 10;
const MINIMUM_RATIO = 0.1;
// Bounds the memory, since each pair of account and class has a histogram. For
// further pairs, the declared run time is the estimate.
const MAXIMUM_HISTOGRAMS = 2_000;

/**
 * Creates an estimator without samples.
 *
 * @returns the estimator, which keeps its samples in memory only
 */
export function createRunTimeEstimator(): RunTimeEstimator {
  const histograms = new Map<string, Histogram>();
  const nameOf = (task: DeclaredTask) => `${task.account}/${task.class}`;

  return {
    recordRun: (task, ranMs) => {
      const name = nameOf(task);
      let histogram = histograms.get(name);
      if (histogram === undefined) {
        if (histograms.size >= MAXIMUM_HISTOGRAMS) return;
        histogram = build({
          lowestDiscernibleValue: 1,
          highestTrackableValue: MAXIMUM_RATIO * RATIO_SCALE,
          numberOfSignificantValueDigits: 1,
          bitBucketSize: 32,
        });
        histograms.set(name, histogram);
      }
      const ratio = ranMs / Math.max(1, task.expectedMs);
      const bounded = Math.min(MAXIMUM_RATIO, Math.max(MINIMUM_RATIO, ratio));
      histogram.recordValue(Math.round(bounded * RATIO_SCALE));
    },
    estimate: (task) => {
      const histogram = histograms.get(nameOf(task));
      const hasEnoughSamples = histogram !== undefined &&
        histogram.totalCount >= MINIMUM_SAMPLES;
      if (!hasEnoughSamples) return task.expectedMs;
      const ratio = histogram.getValueAtPercentile(PLANNING_PERCENTILE) /
        RATIO_SCALE;
      return task.expectedMs * ratio;
    },
  };
}
