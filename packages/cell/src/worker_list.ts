import {
  type Clock,
  createIsolation,
  describeError,
  elapsedSince,
  type Instant,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import type {
  RemovedWorkers,
  WorkerEntry,
  WorkerListing,
} from "@rattanhill/scheduler";
import { PlatformTopic, type Store, type StoredRecord } from "./store.ts";
import {
  createTopicFollower,
  type TopicFollower,
  type TopicRead,
} from "./topic_follower.ts";
import { judgeRemovals } from "./worker_history.ts";

/** The platform's list of workers, followed while this process leads. */
export interface WorkerList {
  /**
   * Starts to follow the list.
   *
   * @returns the first complete list
   */
  follow(): Promise<WorkerListing>;
  /**
   * Reads what the store still has of workers that were removed from the list.
   *
   * @param ids IDs of the workers
   * @returns their last entries, and which of them left; see
   * {@link judgeRemovals}
   * @throws UnavailableError, UncertainError when the store cannot be read
   */
  readRemoved(ids: ReadonlySet<string>): Promise<RemovedWorkers>;
  /** Stops following the list. */
  stop(): void;
}

/** Options of {@link createWorkerList}. */
export interface WorkerListOptions {
  store: Store;
  clock: Clock;
  log: Logger;
  /**
   * Decodes a worker's entry.
   *
   * @throws InvalidError when it is not valid
   */
  decode(id: string, text: string): WorkerEntry;
  /**
   * Called with the complete list after each change that follows the first
   * list.
   */
  onChange(listing: WorkerListing): void;
  /** Interval at which workers renew their entries in the list. */
  heartbeatMs: Milliseconds;
  /** @returns time since this process last met a disturbance of the store */
  storeSteadyMs(): Milliseconds;
}

// A read may be held across an outage of the store that is shorter than its
// wait, and would not show it.
const READ_WAIT_MS: Milliseconds = 500;
// An entry that is deleted at most this many heartbeat intervals after a
// renewal was withdrawn by the worker itself, since the platform deletes the
// entry of a silent worker only after three intervals.
const MAXIMUM_WITHDRAWAL_HEARTBEATS = 2;
// While the store is away, entries may lapse sooner. Those of live workers are
// back about 2 s after its return; heartbeats count again after that.
const SETTLING_MS: Milliseconds = 3_000;
// Each worker renews its entry every 1.5 s, and this process must detect within
// 2 s that a worker drains.
const READ_INTERVAL_MS: Milliseconds = 200;

// Length of the history in which removed workers are looked for, in heartbeats
// of all workers.
const HISTORY_HEARTBEATS = 6;
const HISTORY_TIMEOUT_MS: Milliseconds = 1_500;

// Number of invalid entries that are told of, since another writer may write
// any number.
const MAXIMUM_INVALID_KEYS = 1_000;

/**
 * Creates the list without reading it.
 *
 * @param options the store, a decoder of entries and a callback for changes
 * @returns the list, not followed yet
 */
export function createWorkerList(options: WorkerListOptions): WorkerList {
  const { store, clock, log, decode, onChange } = options;
  const isolate = createIsolation({ clock, log });
  let follower: TopicFollower | undefined;
  /** Number of workers in the newest list. */
  let listedCount = 0;

  /** Reads the records that the store has kept from an offset on. */
  const readHistory = async (
    from: number,
    end: number,
  ): Promise<StoredRecord[]> => {
    const history: StoredRecord[] = [];
    const limits = { waitMs: 0, timeoutMs: HISTORY_TIMEOUT_MS };
    while (from < end) {
      const result = await store.read(PlatformTopic.workers, from, limits);
      if (result.kind === "expired") from = Math.ceil((from + end) / 2);
      else {
        history.push(...result.records);
        from = Math.max(from + 1, result.nextOffset);
      }
    }
    return history;
  };

  return {
    readRemoved: async (ids) => {
      const end = follower?.position() ?? 0;
      const length = HISTORY_HEARTBEATS * (listedCount + ids.size);
      const history = await readHistory(Math.max(0, end - length), end);
      const { heartbeatMs, storeSteadyMs } = options;
      const removed = judgeRemovals(history, { ids, decode, heartbeatMs });
      // Entries may have been removed while the store was away.
      const isSteady = storeSteadyMs() >= HISTORY_HEARTBEATS * heartbeatMs;
      return isSteady ? removed : { ...removed, left: new Set() };
    },
    follow: () =>
      new Promise((resolve) => {
        follower?.close();
        const entries = new Map<string, WorkerEntry>();
        /** Workers whose invalid entry has been logged. */
        const invalidKeys = new Set<string>();
        /** Workers that withdrew their entries themselves. */
        const withdrawn = new Set<string>();
        /**
         * Earliest time at which each worker can have sent its last heartbeat.
         * A worker known only from a snapshot has none: when it renewed its
         * entry is unknown, so its removal does not prove that it left.
         */
        const lastHeartbeats = new Map<string, Instant>();
        let isFirst = true;

        const recordHeartbeat = (key: string, read: TopicRead): void => {
          if (read.appendedAfter === undefined) lastHeartbeats.delete(key);
          else lastHeartbeats.set(key, read.appendedAfter);
        };
        /**
         * Returns whether the removal of an entry shows that its worker left:
         * the entry cannot have lapsed, neither for lack of heartbeats nor
         * while the store was away.
         */
        const isWithdrawal = (key: string, read: TopicRead): boolean => {
          const heartbeatAt = lastHeartbeats.get(key);
          if (heartbeatAt === undefined) return false;
          // By the monotonic clock alone: time during which the VM was
          // suspended must not count as steady.
          const steadyMs = heartbeatAt.monotonicMs -
            read.steadySince.monotonicMs;
          const limitMs = MAXIMUM_WITHDRAWAL_HEARTBEATS * options.heartbeatMs;
          return steadyMs >= SETTLING_MS &&
            elapsedSince(clock, heartbeatAt) < limitMs;
        };
        const applyRecord = (
          { key, value }: StoredRecord,
          read: TopicRead,
        ): void => {
          if (value === undefined) {
            if (isWithdrawal(key, read)) withdrawn.add(key);
            entries.delete(key);
            lastHeartbeats.delete(key);
            invalidKeys.delete(key);
            return;
          }
          withdrawn.delete(key);
          try {
            entries.set(key, decode(key, value));
            recordHeartbeat(key, read);
            invalidKeys.delete(key);
          } catch (error) {
            // A worker's own entries are valid, so this is no heartbeat.
            entries.delete(key);
            lastHeartbeats.delete(key);
            if (invalidKeys.has(key)) return;
            if (invalidKeys.size >= MAXIMUM_INVALID_KEYS) return;
            invalidKeys.add(key);
            log.warn(
              { worker: key, error: describeError(error) },
              "invalid worker entry skipped",
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
          apply: (records, read) => {
            if (read.isSnapshot) {
              entries.clear();
              lastHeartbeats.clear();
            }
            for (const record of records) {
              isolate(
                { operation: "worker.entry", item: record.key },
                () => applyRecord(record, read),
              );
            }
            listedCount = entries.size;
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
