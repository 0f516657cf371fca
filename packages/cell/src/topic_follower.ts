import {
  type Clock,
  createIsolation,
  describeError,
  elapsedSince,
  ErrorCode,
  type Instant,
  type Logger,
  type Milliseconds,
  pause,
  readInstant,
  UnavailableError,
} from "@rattanhill/shared";
import type { Store, StoredRecord } from "./store.ts";

/**
 * Loads the newest record of each key of a topic, and then reads new records as
 * they are appended.
 */
export interface TopicFollower {
  /**
   * @returns time since the last read that reached the end of the topic was
   * sent, by the monotonic or the wall clock, whichever is larger; Infinity
   * before the first one
   */
  ageMs(): Milliseconds;
  /** @returns whether the newest record of each key has been applied */
  isLoaded(): boolean;
  /**
   * @returns time since a read last failed or was answered late; Infinity if
   * none has been so far
   */
  steadyMs(): Milliseconds;
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
   * end, or the follower was closed before that
   */
  catchUp(): Promise<void>;
  /** Stops reading and resolves all calls that wait for an offset. */
  close(): void;
}

/** How records were read from a topic. */
export interface TopicRead {
  /**
   * Whether the records are the newest of each key, rather than those appended
   * since the previous read.
   */
  isSnapshot: boolean;
  /**
   * Moment before which none of the records was appended: the previous read
   * was sent then and did not return them. Undefined for a snapshot, whose
   * records may have any age.
   */
  appendedAfter?: Instant;
  /**
   * Moment since which the store has answered every read, and in time: the
   * first answer after a failed or late read. A snapshot begins anew, since
   * nothing is known of the time before it.
   */
  steadySince: Instant;
}

/** Options of {@link createTopicFollower}. */
export interface TopicFollowerOptions {
  store: Store;
  topic: string;
  clock: Clock;
  log: Logger;
  /**
   * Applies records. If it throws, reading goes on with the records after them,
   * so a receiver that must not miss any isolates each record.
   *
   * @param records the records, in the order of their offsets
   * @param read how they were read
   */
  apply(records: readonly StoredRecord[], read: TopicRead): void;
  /** @returns the minimum time between the starts of two reads */
  readIntervalMs(): Milliseconds;
  /**
   * Longest time for which a read waits at the store for a new record (long
   * poll).
   */
  waitMs: Milliseconds;
}

// Time for the store's answer, added to the wait of a read. A store that is
// slowed down 60-fold answers in 0.5 s.
const ANSWER_TIMEOUT_MS: Milliseconds = 1_500;
const RETRY_DELAY_MS: Milliseconds = 200;
// An answer that is this much later than the interval and the wait of its read
// counts as late. The store answers in 1 to 3 ms; the rest allows for a slow VM.
const LATE_ANSWER_MS: Milliseconds = 300;

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
    readIntervalMs,
    waitMs,
  } = options;
  const isolate = createIsolation({ clock, log });
  let position = 0;
  let isLoaded = false;
  let isClosed = false;
  /** When the last read that reached the end of the topic was sent. */
  let lastCurrentAt: Instant | undefined;
  /** When the last successful read was sent. */
  let lastReadSentAt: Instant | undefined;
  /** When the last answer to a read of the loop arrived. */
  let lastAnswerAt: Instant | undefined;
  let steadySince = readInstant(clock);
  /** When a read last failed or was answered late. */
  let lastDisturbedAt: Instant | undefined;
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
   * Reads the current end of the topic from the store, and waits until the read
   * loop has reached it.
   */
  const readToEnd = async (): Promise<void> => {
    const result = await store.read(topic, position, {
      waitMs: 0,
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    if (result.kind !== "expired") {
      const { endOffset } = result;
      await Promise.race([waitForOffset(endOffset), pause(ANSWER_TIMEOUT_MS)]);
      if (position >= endOffset) return;
    }
    const message = `topic ${topic} was not read to its end`;
    const context = { step: "store.probe", peer: "store" };
    throw new UnavailableError(ErrorCode.logUnavailable, message, context);
  };

  const apply = (records: readonly StoredRecord[], read: TopicRead): void => {
    isolate(
      { operation: "topic.apply", item: `${topic} from ${position}` },
      () => options.apply(records, read),
    );
  };

  /**
   * Notes that a read was answered. From answer to answer, so that a suspension
   * of the VM between two reads counts as well.
   */
  const recordAnswer = (isSnapshot: boolean): void => {
    const limitMs = readIntervalMs() + waitMs + LATE_ANSWER_MS;
    const isSteady = !isSnapshot && failures === 0 &&
      lastAnswerAt !== undefined &&
      elapsedSince(clock, lastAnswerAt) <= limitMs;
    lastAnswerAt = readInstant(clock);
    if (isSteady) return;
    steadySince = lastAnswerAt;
    if (!isSnapshot) lastDisturbedAt = lastAnswerAt;
  };

  /** @returns whether all records of the topic have been applied */
  const loadSnapshot = async (): Promise<boolean> => {
    const { records, endOffset } = await store.readNewest(
      topic,
      ANSWER_TIMEOUT_MS,
    );
    if (isClosed) return false;
    recordAnswer(true);
    apply(records, { isSnapshot: true, steadySince });
    position = Math.max(position, endOffset);
    isLoaded = true;
    return true;
  };

  /** @returns whether all records of the topic have been applied */
  const readNewRecords = async (): Promise<boolean> => {
    // After a failure the read only has to show that the store answers again;
    // a long poll would delay that until there is a new record.
    const longPollMs = failures > 0 ? 0 : waitMs;
    const result = await store.read(topic, position, {
      waitMs: longPollMs,
      timeoutMs: longPollMs + ANSWER_TIMEOUT_MS,
    });
    if (isClosed) return false;
    recordAnswer(false);
    if (result.kind === "expired") {
      log.warn(
        { topic, from: position },
        "records deleted before they were read; loading the topic again",
      );
      isLoaded = false;
      return false;
    }
    if (result.records.length > 0) {
      apply(result.records, {
        isSnapshot: false,
        appendedAfter: lastReadSentAt,
        steadySince,
      });
    }
    position = result.nextOffset;
    return position >= result.endOffset;
  };

  const runReadLoop = async (): Promise<void> => {
    while (!isClosed) {
      const sentAt = readInstant(clock);
      try {
        const isCurrent = isLoaded
          ? await readNewRecords()
          : await loadSnapshot();
        if (failures > 0) log.info({ topic, failures }, "store reads resumed");
        failures = 0;
        lastReadSentAt = sentAt;
        if (isCurrent) lastCurrentAt = sentAt;
        resolveWaiters();
      } catch (error) {
        failures += 1;
        lastDisturbedAt = readInstant(clock);
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
    ageMs: () =>
      lastCurrentAt === undefined
        ? Infinity
        : elapsedSince(clock, lastCurrentAt),
    isLoaded: () => isLoaded,
    steadyMs: () =>
      lastDisturbedAt === undefined
        ? Infinity
        : elapsedSince(clock, lastDisturbedAt),
    position: () => position,
    waitForOffset,
    catchUp: () => {
      // Only one read runs at a time; all calls during it share the next one.
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
