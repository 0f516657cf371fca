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
  rest(): void;
}

/** Options of {@link createWorkerList}. */
export interface WorkerListOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  /** Decodes an entry. @throws InvalidError */
  decode(id: string, text: string): WorkerEntry;
  changed(listing: WorkerListing): void;
  /** Interval at which workers write their entries. */
  heartbeatMs: Milliseconds;
}

const WAIT_MS: Milliseconds = 1_000;
/** Silence is found after three heartbeats; an entry that goes sooner was withdrawn. */
const WITHDRAWN_HEARTBEATS = 2;
const PACE_MS: Milliseconds = 200; // each worker writes every 1.5 s; draining must be seen within 2 s

/**
 * Creates a list that is not followed yet.
 *
 * @param options the store and a decoder of its entries
 * @returns the list
 */
export function createWorkerList(options: WorkerListOptions): WorkerList {
  const { store, clock, log, decode, changed } = options;
  let follower: TopicFollower | undefined;

  return {
    follow: () =>
      new Promise((resolve) => {
        follower?.close();
        const entries = new Map<string, WorkerEntry>();
        const unusable = new Set<string>();
        const left = new Set<string>();
        /** Monotonic time of each worker's last heartbeat. */
        const heartbeats = new Map<string, Milliseconds>();
        let readAt = clock.now();
        let isFirst = true;

        const take = ({ key, value }: StoredRecord): void => {
          if (value === undefined) {
            const silentMs = clock.now() - (heartbeats.get(key) ?? -Infinity);
            // After a gap between reads, the time of a heartbeat is not known.
            const isTimed = clock.now() - readAt < options.heartbeatMs;
            const limit = WITHDRAWN_HEARTBEATS * options.heartbeatMs;
            if (isTimed && silentMs < limit) left.add(key);
            entries.delete(key);
            return;
          }
          heartbeats.set(key, clock.now());
          left.delete(key);
          try {
            entries.set(key, decode(key, value));
            unusable.delete(key);
          } catch (error) {
            entries.delete(key);
            if (unusable.has(key)) return;
            unusable.add(key);
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
          waitMs: WAIT_MS,
          paceMs: () => PACE_MS,
          apply: (records, isWhole) => {
            if (isWhole) entries.clear();
            records.forEach(take);
            readAt = clock.now();
            const listing = { entries: [...entries.values()], left };
            if (isFirst) resolve(listing);
            else changed(listing);
            isFirst = false;
          },
        });
      }),
    rest: () => {
      follower?.close();
      follower = undefined;
    },
  };
}
