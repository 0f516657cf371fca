import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "@rattanhill/shared";

/** Learned relation of real to declared run times. */
export interface RunTimes {
  /** Learns from a task that ended by itself. */
  learn(task: DeclaredTask, ranMs: Milliseconds): void;
  /** @returns the run time to plan with */
  expect(task: DeclaredTask): Milliseconds;
}

/** What a task's request declared. */
export interface DeclaredTask {
  account: string;
  class: string;
  expectedMs: Milliseconds;
}

const PLANNING_PERCENTILE = 75; // planned too short, a backfilled task delays a large job
const MINIMUM_SAMPLES = 8;
const RATIO_SCALE = 100; // histograms hold whole numbers
const MAXIMUM_RATIO = 10;
const MINIMUM_RATIO = 0.1;
const MAXIMUM_HISTOGRAMS = 2_000; // accounts times classes that are remembered

/**
 * Creates run times of which nothing is known yet.
 *
 * @returns the run times
 */
export function createRunTimes(): RunTimes {
  const histograms = new Map<string, Histogram>();
  const nameOf = (task: DeclaredTask) => `${task.account}/${task.class}`;

  return {
    learn: (task, ranMs) => {
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
    expect: (task) => {
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
