import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { Metrics } from "./metrics.ts";
import type { StoredRecord } from "./store.ts";
import type { TopicRead } from "./topic_follower.ts";

/** The zones that the operators evacuate, as their topic requests. */
export interface EvacuationRequests {
  /** Applies records of the operators' topic; those with other keys count not. */
  apply(records: readonly StoredRecord[], read: TopicRead): void;
  /** @returns the evacuated zones */
  zones(): ReadonlySet<string>;
}

/** Options of {@link createEvacuationRequests}. */
export interface EvacuationRequestsOptions {
  /** @returns the zone that a key names; undefined for other keys */
  zoneOf(key: string): string | undefined;
  /** Called with the evacuated zones when they have changed. */
  onChange(zones: ReadonlySet<string>): void;
  metrics: Metrics;
  log: Logger;
}

/** Limits on the age of the operators' topic that follow from a bound. */
export interface EvacuationTiming {
  /** Age from which no starts are sent; Infinity without a bound. */
  maximumAgeMs: Milliseconds;
  /** Longest time for which a read of the topic may wait at the store. */
  readWaitMs: Milliseconds;
}

// Time from the last check before a start is sent until the worker starts the
// task: a start command is given up after 0.7 s; the rest allows for slow VMs.
const START_MARGIN_MS: Milliseconds = 1_500;
// A shorter age would often be exceeded by reads that follow each other at once.
const MINIMUM_AGE_MS: Milliseconds = 500;
// A store that is slowed down 60-fold answers 0.5 s late. The topic's age
// covers two reads: it counts from the sending of the last answered one.
const SLOW_ANSWERS_MS: Milliseconds = 1_000;

/**
 * Derives the limits on the age of the operators' topic.
 *
 * @param evacuateMs bound from the acknowledgement of a request to the last
 * start in its zone; undefined for none
 * @param readWaitMs longest wait of a read without a bound
 * @returns the limits; a shorter wait if reads that wait longer would make a
 * healthy topic appear too old
 */
export function evacuationTimingOf(
  evacuateMs: Milliseconds | undefined,
  readWaitMs: Milliseconds,
): EvacuationTiming {
  if (evacuateMs === undefined) return { maximumAgeMs: Infinity, readWaitMs };
  const marginMs = Math.min(START_MARGIN_MS, evacuateMs / 2);
  const maximumAgeMs = Math.max(MINIMUM_AGE_MS, evacuateMs - marginMs);
  const waitMs = Math.floor((maximumAgeMs - SLOW_ANSWERS_MS) / 2);
  return {
    maximumAgeMs,
    readWaitMs: Math.max(0, Math.min(readWaitMs, waitMs)),
  };
}

/**
 * Creates the requests, of which there is none yet.
 *
 * @param options the decoder of keys and the receiver of changes
 * @returns the requests
 */
export function createEvacuationRequests(
  { zoneOf, onChange, metrics, log }: EvacuationRequestsOptions,
): EvacuationRequests {
  let zones: ReadonlySet<string> = new Set();

  return {
    apply: (records, { isSnapshot }) => {
      const next = new Set(isSnapshot ? [] : zones);
      for (const { key, value } of records) {
        const zone = zoneOf(key);
        if (zone === undefined) continue;
        if (value === undefined || value === "") next.delete(zone);
        else next.add(zone);
      }
      const added = [...next].filter((zone) => !zones.has(zone));
      const removed = [...zones].filter((zone) => !next.has(zone));
      if (added.length === 0 && removed.length === 0) return;
      zones = next;
      onChange(zones);
      for (const zone of added) {
        metrics.incrementCounter("evacuation.requested");
        log.warn({ zone, isSnapshot }, "zone evacuation requested");
      }
      for (const zone of removed) {
        metrics.incrementCounter("evacuation.withdrawn");
        log.info({ zone, isSnapshot }, "zone evacuation withdrawn");
      }
    },
    zones: () => zones,
  };
}
