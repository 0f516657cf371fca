import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "@rattanhill/shared";

/** Counters and duration histograms of a process. */
export interface Metrics {
  /**
   * Adds an amount, 1 by default, to a counter; the name becomes part of the
   * metric name.
   */
  incrementCounter(name: string, amount?: number): void;
  /**
   * Adds a duration to a histogram; the name becomes part of the metric name.
   */
  recordDuration(name: string, durationMs: Milliseconds): void;
  /** @returns all metrics in the Prometheus text format */
  expose(): string;
}

const MAXIMUM_DURATION_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99];

/**
 * Creates metrics without any series; a series appears with its first value.
 *
 * @returns the empty metrics
 */
export function createMetrics(): Metrics {
  const counters = new Map<string, number>();
  const histograms = new Map<string, Histogram>();

  return {
    incrementCounter: (name, amount = 1) =>
      counters.set(name, (counters.get(name) ?? 0) + amount),
    recordDuration: (name, durationMs) => {
      const histogram = histograms.get(name) ?? build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_DURATION_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        bitBucketSize: 32,
      });
      histograms.set(name, histogram);
      const boundedMs = Math.min(
        MAXIMUM_DURATION_MS,
        Math.max(1, Math.round(durationMs)),
      );
      histogram.recordValue(boundedMs);
    },
    expose: () => {
      const lines = [...counters].map(([name, value]) =>
        `rattanhill_${toSeriesName(name)}_total ${value}`
      );
      for (const [name, histogram] of histograms) {
        const series = `rattanhill_${toSeriesName(name)}_milliseconds`;
        for (const quantile of QUANTILES) {
          const value = histogram.getValueAtPercentile(quantile * 100);
          lines.push(`${series}{quantile="${quantile}"} ${value}`);
        }
        lines.push(`${series}_count ${histogram.totalCount}`);
      }
      return lines.join("\n") + "\n";
    },
  };
}

function toSeriesName(name: string): string {
  return name.replaceAll(/[^a-zA-Z0-9]+/g, "_").toLowerCase();
}
