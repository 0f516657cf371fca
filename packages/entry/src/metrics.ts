import { build, type Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import type { Milliseconds } from "@rattanhill/shared";
import type { Outcome } from "@rattanhill/core";

/** Durations of a request that are measured by class. */
export const RequestDuration = {
  /**
   * From admission until a wait for capacity is over, with or without success;
   * recorded for each wait.
   */
  queueWait: "queue_wait",
  /**
   * From admission until the commands that run its tasks are sent; recorded for
   * each attempt.
   */
  start: "start",
  /** From admission until its final result. */
  completion: "completion",
} as const;

/** One of the values of {@link RequestDuration}. */
export type RequestDuration =
  typeof RequestDuration[keyof typeof RequestDuration];

/** Metrics of one entry. */
export interface Metrics {
  /**
   * Records a duration of a request; longer ones than one day are recorded as
   * one day.
   */
  recordDuration(
    kind: RequestDuration,
    requestClass: string,
    durationMs: Milliseconds,
  ): void;
  /** Counts a request with its final result. */
  countResult(requestClass: string, outcome: Outcome): void;
  /** Counts a submission that joined an earlier request with the same key. */
  countJoin(): void;
  /** @returns all metrics as Prometheus text, and its media type */
  exportText(): Promise<{ text: string; type: string }>;
}

const MAXIMUM_DURATION_MS = 86_400_000;
const SIGNIFICANT_DIGITS = 2;
const PERCENTILES = [50, 95, 99];
// Maximum number of classes with time series of their own. Further classes are
// recorded as "other".
const MAXIMUM_CLASSES = 200;

/**
 * Creates the metrics of one entry.
 *
 * @param gauges functions that read a value at each scrape, by the name of the
 * metric without the prefix `rattanhill_`
 */
export function createMetrics(
  gauges: Readonly<Record<string, () => number>>,
): Metrics {
  const registry = new Registry();
  const registers = [registry];
  const histograms = new Map<string, Map<RequestDuration, Histogram>>();
  const outcomeCounter = new Counter({
    name: "rattanhill_requests_total",
    help: "Final answers by class and outcome.",
    labelNames: ["class", "outcome"],
    registers,
  });
  const joinCounter = new Counter({
    name: "rattanhill_requests_joined_total",
    help: "Duplicates that joined a request in progress.",
    registers,
  });
  for (const [name, readValue] of Object.entries(gauges)) {
    new Gauge({
      name: `rattanhill_${name}`,
      help: `Current value of ${name.replaceAll("_", " ")}.`,
      registers,
      collect() {
        this.set(readValue());
      },
    });
  }
  for (const kind of Object.values(RequestDuration)) {
    new Gauge({
      name: `rattanhill_${kind}_milliseconds`,
      help: `Quantiles of ${kind.replaceAll("_", " ")} by class.`,
      labelNames: ["class", "quantile"],
      registers,
      collect() {
        for (const [requestClass, histogramByKind] of histograms) {
          const histogram = histogramByKind.get(kind);
          if (histogram === undefined) continue;
          for (const percentile of PERCENTILES) {
            const labels = { class: requestClass, quantile: percentile / 100 };
            this.set(labels, histogram.getValueAtPercentile(percentile));
          }
        }
      },
    });
  }
  const toClassLabel = (name: string) =>
    histograms.has(name) || histograms.size < MAXIMUM_CLASSES ? name : "other";

  return {
    recordDuration: (kind, requestClass, durationMs) => {
      const label = toClassLabel(requestClass);
      const histogramByKind = histograms.get(label) ??
        new Map<RequestDuration, Histogram>();
      histograms.set(label, histogramByKind);
      const histogram = histogramByKind.get(kind) ?? build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAXIMUM_DURATION_MS,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      histogramByKind.set(kind, histogram);
      const boundedDurationMs = Math.min(
        MAXIMUM_DURATION_MS,
        Math.max(1, Math.round(durationMs)),
      );
      histogram.recordValue(boundedDurationMs);
    },
    countResult: (requestClass, outcome) =>
      outcomeCounter.inc({ class: toClassLabel(requestClass), outcome }),
    countJoin: () => joinCounter.inc(),
    exportText: async () => ({
      text: await registry.metrics(),
      type: registry.contentType,
    }),
  };
}
