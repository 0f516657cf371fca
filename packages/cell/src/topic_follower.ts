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

/**
 * Loads the newest record of each key of a topic and then reads each new
 * record.
 */
export interface TopicFollower {
  /**
   * @returns time since the topic's end was last known; the larger of the
   * durations by monotonic clock and by wall clock
   */
  ageMs(): Milliseconds;
  /** @returns whether the newest record of each key has been applied */
  isLoaded(): boolean;
  /** @returns offset before which all records have been applied */
  position(): number;
  /**
   * Waits until all records before an offset have been applied, or the
   * follower is closed.
   */
  waitForOffset(offset: number): Promise<void>;
  /**
   * Waits until all records that were in the topic at the time of the call
   * have been applied.
   *
   * @throws UnavailableError, UncertainError when the topic was not read to its
   * end
   */
  catchUp(): Promise<void>;
  /** Stops reading and resolves all calls that wait for an offset. */
  close(): void;
}

/** Options of {@link createTopicFollower}. */
export interface TopicFollowerOptions {
  store: Store;
  topic: string;
  clock: Clock;
  log: Logger;
  /**
   * Applies records.
   *
   * @param isSnapshot whether the records are the newest of each key, rather
   * than those appended since the previous read
   */
  apply(records: readonly StoredRecord[], isSnapshot: boolean): void;
  /** Minimum time between the starts of two reads. */
  readIntervalMs(): Milliseconds;
  /**
   * Longest time for which the store holds a read open until there is a record
   * (long poll).
   */
  waitMs: Milliseconds;
}

const ANSWER_TIMEOUT_MS: Milliseconds = 1_500; // a store slowed 60-fold answers in 0.5 s
const RETRY_DELAY_MS: Milliseconds = 200;

/**
 * Starts to follow a topic.
 *
 * @param options the topic and the receiver of its records
 * @returns the running follower
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

  /**
   * Reads the end of the topic from the store and waits until the follower has
   * reached it.
   */
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
    const message = `topic ${topic} was not read to its end`;
    const context = { step: "store.probe", peer: "store" };
    throw new UnavailableError(ErrorCode.logUnavailable, message, context);
  };

  const loadSnapshot = async (): Promise<void> => {
    const { records, endOffset } = await store.readNewest(
      topic,
      ANSWER_TIMEOUT_MS,
    );
    if (isClosed) return;
    apply(records, true);
    position = Math.max(position, endOffset);
    isLoaded = true;
  };

  const readNewRecords = async (): Promise<void> => {
    // After a failure the read only has to show that the store answers again;
    // a long poll would delay that until there is a new record.
    const longPollMs = failures > 0 ? 0 : waitMs;
    const result = await store.read(topic, position, {
      waitMs: longPollMs,
      timeoutMs: longPollMs + ANSWER_TIMEOUT_MS,
    });
    if (isClosed) return;
    if (result.kind === "expired") {
      log.warn(
        { topic, from: position },
        "records deleted before they were read; loading the topic again",
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
        if (failures > 0) log.info({ topic, failures }, "store reads resumed");
        failures = 0;
        if (isLoaded) lastReadSentAt = sentAt;
        resolveWaiters();
      } catch (error) {
        failures += 1;
        if (failures === 1) {
          log.warn({ topic, error: describeError(error) }, "store read failed");
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
      // The monotonic clock stops while the VM is suspended.
      return Math.max(
        clock.now() - lastReadSentAt.monotonicMs,
        clock.wallTime() - lastReadSentAt.wallMs,
      );
    },
    isLoaded: () => isLoaded,
    position: () => position,
    waitForOffset,
    catchUp: () => {
      // One read at a time; all calls that arrive during it share the next one.
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
