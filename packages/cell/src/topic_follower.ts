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
  ageMs(): Milliseconds;
  /** @returns whether the newest record of each key has been taken in */
  isLoaded(): boolean;
  /** @returns offset before which everything has been taken in */
  position(): number;
  /** Waits until everything before an offset has been taken in, or the follower is closed. */
  waitForOffset(offset: number): Promise<void>;
  /**
   * Waits until everything that was in the topic at the time of the call has
   * been taken in. @throws when the store does not tell
   */
  catchUp(): Promise<void>;
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
   * @param isSnapshot whether they are all keys of the topic, not only changes
   */
  apply(records: readonly StoredRecord[], isSnapshot: boolean): void;
  /** Shortest time between the starts of two reads. */
  readIntervalMs(): Milliseconds;
  /** Longest time that the store holds a read open. */
  waitMs: Milliseconds;
}

const ANSWER_TIMEOUT_MS: Milliseconds = 1_500; // a store slowed sixtyfold answers in 0.5 s
const RETRY_DELAY_MS: Milliseconds = 200;

/**
 * Starts to follow a topic.
 *
 * @param options the topic and what to do with its records
 * @returns the follower
 */
export function createTopicFollower(
  options: TopicFollowerOptions,
): TopicFollower {
  const {
    store,
    topic,
    clock,
    log,
    apply,
    readIntervalMs,
    waitMs,
  } = options;
  let position = 0;
  let isLoaded = false;
  let isClosed = false;
  let lastReadSentAt:
    | { monotonicMs: Milliseconds; wallMs: Milliseconds }
    | undefined;
  let failures = 0;
  let currentCatchUp: Promise<void> = Promise.resolve();
  let queuedCatchUp: Promise<void> | undefined;
  let waiters: { offset: number; resolve: () => void }[] = [];

  const resolveWaiters = (): void => {
    const reached = waiters.filter(({ offset }) =>
      isClosed || offset <= position
    );
    waiters = waiters.filter(({ offset }) => !isClosed && offset > position);
    for (const { resolve } of reached) resolve();
  };

  const waitForOffset = (offset: number): Promise<void> =>
    new Promise((resolve) => {
      waiters.push({ offset, resolve });
      resolveWaiters();
    });

  const readToEnd = async (): Promise<void> => {
    const result = await store.read(topic, position, {
      waitMs: 0,
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    if (result.kind !== "expired") {
      const { nextOffset } = result;
      await Promise.race([waitForOffset(nextOffset), pause(ANSWER_TIMEOUT_MS)]);
      if (isClosed || position >= nextOffset) return;
    }
    const message = `${topic} has more than was taken in`;
    const context = { step: "store.probe", peer: "store" };
    throw new UnavailableError(ErrorCode.logUnavailable, message, context);
  };

  const loadSnapshot = async (): Promise<void> => {
    const { records, endOffset } = await store.newest(topic, ANSWER_TIMEOUT_MS);
    if (isClosed) return;
    apply(records, true);
    position = Math.max(position, endOffset);
    isLoaded = true;
  };

  const readNewRecords = async (): Promise<void> => {
    // After a failure the answer itself is what matters, not a new record.
    const longPollMs = failures > 0 ? 0 : waitMs;
    const result = await store.read(topic, position, {
      waitMs: longPollMs,
      timeoutMs: longPollMs + ANSWER_TIMEOUT_MS,
    });
    if (isClosed) return;
    if (result.kind === "expired") {
      log.warn(
        { topic, from: position },
        "history deleted ahead of the reader",
      );
      isLoaded = false;
      return;
    }
    if (result.records.length > 0) apply(result.records, false);
    position = result.nextOffset;
  };

  const runReadLoop = async (): Promise<void> => {
    while (!isClosed) {
      const sentAt = { monotonicMs: clock.now(), wallMs: clock.wallTime() };
      try {
        if (isLoaded) await readNewRecords();
        else await loadSnapshot();
        if (failures > 0) log.info({ topic, failures }, "store read again");
        failures = 0;
        if (isLoaded) lastReadSentAt = sentAt;
        resolveWaiters();
      } catch (error) {
        failures += 1;
        if (failures === 1) {
          log.warn({ topic, error: describeError(error) }, "store not read");
        }
        await pause(RETRY_DELAY_MS);
      }
      const pauseMs = sentAt.monotonicMs + readIntervalMs() - clock.now();
      if (pauseMs > 0) await pause(pauseMs);
    }
    resolveWaiters();
  };
  void runReadLoop();

  return {
    ageMs: () => {
      if (lastReadSentAt === undefined) return Infinity;
      // The monotonic clock stands still while the VM is suspended.
      return Math.max(
        clock.now() - lastReadSentAt.monotonicMs,
        clock.wallTime() - lastReadSentAt.wallMs,
      );
    },
    isLoaded: () => isLoaded,
    position: () => position,
    waitForOffset,
    catchUp: () => {
      // One probe at a time; everybody who comes meanwhile shares the next.
      queuedCatchUp ??= currentCatchUp.catch(() => {}).then(() => {
        queuedCatchUp = undefined;
        currentCatchUp = readToEnd();
        return currentCatchUp;
      });
      return queuedCatchUp;
    },
    close: () => {
      isClosed = true;
      resolveWaiters();
    },
  };
}
