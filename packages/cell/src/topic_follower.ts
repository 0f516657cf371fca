import {
  type Clock,
  describeError,
  ErrorCode,
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import type { Store, StoredRecord } from "./store.ts";

/** Reads a topic from its newest records on and keeps up with it. */
export interface TopicFollower {
  /** @returns time since the topic's end was last known, both by the monotonic clock and the time of day */
  age(): Milliseconds;
  /** @returns whether the newest record of each key has been taken in */
  isLoaded(): boolean;
  /** @returns offset before which everything has been taken in */
  position(): number;
  /** Waits until everything before an offset has been taken in, or the follower is closed. */
  reached(offset: number): Promise<void>;
  /**
   * Waits until everything that was in the topic at the time of the call has
   * been taken in. @throws when the store does not tell
   */
  caughtUp(): Promise<void>;
  close(): void;
}

/** Options of {@link createTopicFollower}. */
export interface TopicFollowerOptions {
  store: Store;
  topic: string;
  clock: Clock;
  log: Logger;
  /**
   * Takes in records.
   *
   * @param isWhole whether they are all keys of the topic, not only changes
   */
  apply(records: readonly StoredRecord[], isWhole: boolean): void;
  /** Shortest time between the starts of two reads. */
  paceMs(): Milliseconds;
  /** Longest time that the store holds a read open. */
  waitMs: Milliseconds;
}

const ANSWER_TIMEOUT_MS: Milliseconds = 1_500; // a store slowed sixtyfold answers in 0.5 s
const RETRY_MS: Milliseconds = 200;

/**
 * Starts to follow a topic.
 *
 * @param options the topic and what to do with its records
 * @returns the follower
 */
export function createTopicFollower(
  options: TopicFollowerOptions,
): TopicFollower {
  const { store, topic, clock, log, apply, paceMs, waitMs } = options;
  let next = 0;
  let isLoaded = false;
  let isClosed = false;
  let confirmed: { now: Milliseconds; wall: Milliseconds } | undefined;
  let failures = 0;
  let lastProbe: Promise<void> = Promise.resolve();
  let nextProbe: Promise<void> | undefined;
  let waiting: { offset: number; resolve: () => void }[] = [];

  const settle = (): void => {
    const due = waiting.filter(({ offset }) => isClosed || offset <= next);
    waiting = waiting.filter(({ offset }) => !isClosed && offset > next);
    for (const { resolve } of due) resolve();
  };

  const reached = (offset: number): Promise<void> =>
    new Promise((resolve) => {
      waiting.push({ offset, resolve });
      settle();
    });

  const probe = async (): Promise<void> => {
    const result = await store.read(topic, next, {
      waitMs: 0,
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    if (result.kind !== "expired") {
      const { nextOffset } = result;
      await Promise.race([reached(nextOffset), pause(ANSWER_TIMEOUT_MS)]);
      if (isClosed || next >= nextOffset) return;
    }
    const text = `${topic} has more than was taken in`;
    const place = { step: "store.probe", peer: "store" };
    throw new UnavailableError(ErrorCode.logUnavailable, text, place);
  };

  const load = async (): Promise<void> => {
    const { records, endOffset } = await store.newest(topic, ANSWER_TIMEOUT_MS);
    if (isClosed) return;
    apply(records, true);
    next = Math.max(next, endOffset);
    isLoaded = true;
  };

  const follow = async (): Promise<void> => {
    // After a failure the answer itself is what matters, not a new record.
    const patienceMs = failures > 0 ? 0 : waitMs;
    const result = await store.read(topic, next, {
      waitMs: patienceMs,
      timeoutMs: patienceMs + ANSWER_TIMEOUT_MS,
    });
    if (isClosed) return;
    if (result.kind === "expired") {
      log.warn({ topic, from: next }, "history deleted ahead of the reader");
      isLoaded = false;
      return;
    }
    if (result.records.length > 0) apply(result.records, false);
    next = result.nextOffset;
  };

  const run = async (): Promise<void> => {
    while (!isClosed) {
      const sent = { now: clock.now(), wall: clock.wallTime() };
      try {
        if (isLoaded) await follow();
        else await load();
        if (failures > 0) log.info({ topic, failures }, "store read again");
        failures = 0;
        if (isLoaded) confirmed = sent;
        settle();
      } catch (error) {
        failures += 1;
        if (failures === 1) {
          log.warn({ topic, error: describeError(error) }, "store not read");
        }
        await pause(RETRY_MS);
      }
      const rest = sent.now + paceMs() - clock.now();
      if (rest > 0) await pause(rest);
    }
    settle();
  };
  void run();

  return {
    age: () => {
      if (confirmed === undefined) return Infinity;
      // The monotonic clock stands still while the VM is suspended.
      return Math.max(
        clock.now() - confirmed.now,
        clock.wallTime() - confirmed.wall,
      );
    },
    isLoaded: () => isLoaded,
    position: () => next,
    reached,
    caughtUp: () => {
      // One probe at a time; everybody who comes meanwhile shares the next.
      nextProbe ??= lastProbe.catch(() => {}).then(() => {
        nextProbe = undefined;
        lastProbe = probe();
        return lastProbe;
      });
      return nextProbe;
    },
    close: () => {
      isClosed = true;
      settle();
    },
  };
}
