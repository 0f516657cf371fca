import { build, type Histogram } from "hdr-histogram-js";
import type { Milliseconds } from "@rattanhill/shared";

/** Counters and latency histograms of a process. */
export interface Metrics {
  count(name: string): void;
  time(name: string, duration: Milliseconds): void;
  /** @returns everything in the text format of Prometheus */
  expose(): string;
}

const HIGHEST_MS = 600_000;
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
    count: (name) => counters.set(name, (counters.get(name) ?? 0) + 1),
    time: (name, duration) => {
      const histogram = histograms.get(name) ?? build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
        bitBucketSize: 32,
      });
      histograms.set(name, histogram);
      const bounded = Math.min(HIGHEST_MS, Math.max(1, Math.round(duration)));
      histogram.recordValue(bounded);
    },
    expose: () => {
      const lines = [...counters].map(([name, value]) =>
        `rattanhill_${seriesName(name)}_total ${value}`
      );
      for (const [name, histogram] of histograms) {
        const series = `rattanhill_${seriesName(name)}_milliseconds`;
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

function seriesName(name: string): string {
  return name.replaceAll(/[^a-zA-Z0-9]+/g, "_").toLowerCase();
}
