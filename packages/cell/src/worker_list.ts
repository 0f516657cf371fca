import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import type { WorkerEntry, WorkerListing } from "@rattanhill/scheduler";
import { PlatformTopic, type Store, type StoredRecord } from "./store.ts";
import { createTopicFollower, type TopicFollower } from "./topic_follower.ts";

/** Follows the platform's list of workers while this process leads. */
export interface WorkerList {
  /** Starts to follow the list. @returns the first whole list */
  follow(): Promise<WorkerListing>;
  /** Stops following it. */
  stop(): void;
}

/** Options of {@link createWorkerList}. */
export interface WorkerListOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  /** Decodes an entry. @throws InvalidError */
  decode(id: string, text: string): WorkerEntry;
  onChange(listing: WorkerListing): void;
  /** Interval at which workers write their entries. */
  heartbeatMs: Milliseconds;
}

const READ_WAIT_MS: Milliseconds = 1_000;
/** Silence is found after three heartbeats; an entry that goes sooner was withdrawn. */
const WITHDRAWN_HEARTBEATS = 2;
const READ_INTERVAL_MS: Milliseconds = 200; // each worker writes every 1.5 s; draining must be seen within 2 s

/**
 * Creates a list that is not followed yet.
 *
 * @param options the store and a decoder of its entries
 * @returns the list
 */
export function createWorkerList(options: WorkerListOptions): WorkerList {
  const { store, clock, log, decode, onChange } = options;
  let follower: TopicFollower | undefined;

  return {
    follow: () =>
      new Promise((resolve) => {
        follower?.close();
        const entries = new Map<string, WorkerEntry>();
        const invalidKeys = new Set<string>();
        const withdrawn = new Set<string>();
        /** Monotonic time of each worker's last heartbeat. */
        const lastHeartbeats = new Map<string, Milliseconds>();
        let lastReadAt = clock.now();
        let isFirst = true;

        const applyRecord = ({ key, value }: StoredRecord): void => {
          if (value === undefined) {
            const silenceMs = clock.now() -
              (lastHeartbeats.get(key) ?? -Infinity);
            // After a gap between reads, the time of a heartbeat is not known.
            const isHeartbeatTimeKnown =
              clock.now() - lastReadAt < options.heartbeatMs;
            const maximumSilenceMs = WITHDRAWN_HEARTBEATS * options.heartbeatMs;
            if (isHeartbeatTimeKnown && silenceMs < maximumSilenceMs) {
              withdrawn.add(key);
            }
            entries.delete(key);
            return;
          }
          lastHeartbeats.set(key, clock.now());
          withdrawn.delete(key);
          try {
            entries.set(key, decode(key, value));
            invalidKeys.delete(key);
          } catch (error) {
            entries.delete(key);
            if (invalidKeys.has(key)) return;
            invalidKeys.add(key);
            log.warn(
              { worker: key, error: describeError(error) },
              "worker entry skipped",
            );
          }
        };

        follower = createTopicFollower({
          store,
          topic: PlatformTopic.workers,
          clock,
          log,
          waitMs: READ_WAIT_MS,
          readIntervalMs: () => READ_INTERVAL_MS,
          apply: (records, isSnapshot) => {
            if (isSnapshot) entries.clear();
            records.forEach(applyRecord);
            lastReadAt = clock.now();
            const listing = { entries: [...entries.values()], left: withdrawn };
            if (isFirst) resolve(listing);
            else onChange(listing);
            isFirst = false;
          },
        });
      }),
    stop: () => {
      follower?.close();
      follower = undefined;
    },
  };
}
