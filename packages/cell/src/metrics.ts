import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "@rattanhill/shared";

/** Counters and latency histograms of a process. */
export interface Metrics {
  incrementCounter(name: string): void;
  recordDuration(name: string, durationMs: Milliseconds): void;
  /** @returns everything in the text format of Prometheus */
  expose(): string;
}

const MAXIMUM_DURATION_MS = 600_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [0.5, 0.95, 0.99];

/**
 * Creates empty metrics.
 *
 * @returns the metrics
 */
export function createMetrics(): Metrics {
  const counters = new Map<string, number>();
  const histograms = new Map<string, Histogram>();

  return {
    incrementCounter: (name) =>
      counters.set(name, (counters.get(name) ?? 0) + 1),
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
