import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { Milliseconds } from "@rattanhill/shared";
import type { Outcome } from "@rattanhill/core";

/** Times of a request that are measured by class. */
export const Timing = {
  /** From admission until its capacity was held. */
  queueWait: "queue_wait",
  /** From admission until all of its parts ran. */
  start: "start",
  /** From admission until its final answer. */
  completion: "completion",
} as const;

/** One of the values of {@link Timing}. */
export type Timing = typeof Timing[keyof typeof Timing];

/** Metrics of one entry. */
export interface Metrics {
  /** Records a time in milliseconds. */
  time(timing: Timing, requestClass: string, duration: Milliseconds): void;
  /** Counts a final answer. */
  answered(requestClass: string, outcome: Outcome): void;
  /** Counts a request that joined another one. */
  joined(): void;
  /** @returns all metrics in the text format of Prometheus, and its media type */
  expose(): Promise<{ text: string; type: string }>;
}

const HIGHEST_MS = 86_400_000;
const SIGNIFICANT_DIGITS = 2;
const QUANTILES = [50, 95, 99];
const MAXIMUM_CLASSES = 200; // series beyond this are counted under "other"

/**
 * Creates the metrics of one entry.
 *
 * @param gauges values read when the metrics are asked for, by name
 * @returns the metrics
 */
export function createMetrics(
  gauges: Readonly<Record<string, () => number>>,
): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const histograms = new Map<string, Map<Timing, Histogram>>();
  const outcomes = new Counter({
    name: "rattanhill_requests_total",
    help: "Final answers by class and outcome.",
    labelNames: ["class", "outcome"],
    registers,
  });
  const joins = new Counter({
    name: "rattanhill_requests_joined_total",
    help: "Duplicates that joined a request in progress.",
    registers,
  });
  for (const [name, read] of Object.entries(gauges)) {
    new Gauge({
      name: `rattanhill_${name}`,
      help: `Current value of ${name.replaceAll("_", " ")}.`,
      registers,
      collect() {
        this.set(read());
      },
    });
  }
  for (const timing of Object.values(Timing)) {
    new Gauge({
      name: `rattanhill_${timing}_milliseconds`,
      help: `Quantiles of ${timing.replaceAll("_", " ")} by class.`,
      labelNames: ["class", "quantile"],
      registers,
      collect() {
        for (const [requestClass, byTiming] of histograms) {
          const histogram = byTiming.get(timing);
          if (histogram === undefined) continue;
          for (const quantile of QUANTILES) {
            const labels = { class: requestClass, quantile: quantile / 100 };
            this.set(labels, histogram.getValueAtPercentile(quantile));
          }
        }
      },
    });
  }
  const classLabel = (name: string) =>
    histograms.has(name) || histograms.size < MAXIMUM_CLASSES ? name : "other";

  return {
    time: (timing, requestClass, duration) => {
      const label = classLabel(requestClass);
      const byTiming = histograms.get(label) ?? new Map<Timing, Histogram>();
      histograms.set(label, byTiming);
      const histogram = byTiming.get(timing) ?? build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: HIGHEST_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      byTiming.set(timing, histogram);
      const bounded = Math.min(HIGHEST_MS, Math.max(1, Math.round(duration)));
      histogram.recordValue(bounded);
    },
    answered: (requestClass, outcome) =>
      outcomes.inc({ class: classLabel(requestClass), outcome }),
    joined: () => joins.inc(),
    expose: async () => ({
      text: await registry.metrics(),
      type: registry.contentType,
    }),
  };
}
