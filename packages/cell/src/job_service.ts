import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import {
  encodeRecord,
  type JobBook,
  type JobSpec,
  type JobState,
  type KeyedValue,
  type StoredJob,
} from "@rattanhill/scheduler";
import { sizeOfRecord } from "./append_limits.ts";
import { createBatchWriter } from "./batch_writer.ts";
import type { ActiveConfig, Queue } from "./cluster_config.ts";
import type { Metrics } from "./metrics.ts";
import type { Store } from "./store.ts";

/** One call of a client program to a queue. */
export interface CallerCall {
  action: "submit" | "cancel" | "ask";
  host: string;
  path: string;
  /** API key of the calling client account; public queues need none. */
  key?: string;
  /** Time for which the caller waits for the reply. */
  deadlineMs?: Milliseconds;
  /**
   * Decodes the submitted job.
   *
   * @throws InvalidError when the body is not a valid job
   */
  readJob?(): SubmittedJob;
}

/** Part of a job that the caller provides; the entry adds the rest. */
export type SubmittedJob = Pick<JobSpec, "payload" | "steps" | "repetition">;

/** Reply to a call. Its kind is logged and is part of metric names. */
export type CallerReply =
  | { kind: "accepted" }
  | { kind: "cancelled" }
  | { kind: "state"; state: JobState }
  | { kind: "pending"; count: number }
  /** The call had no effect and may be retried after `retryAfterMs`. */
  | { kind: "unavailable"; retryAfterMs: Milliseconds; reason: string }
  /**
   * The store did not confirm the write: the call may have taken effect, or may
   * still do so.
   */
  | { kind: "uncertain" }
  | { kind: "unknownQueue" }
  | { kind: "unknownJob" }
  | { kind: "unknownKey" }
  | { kind: "invalid"; reason: string };

/** Handles calls of client programs, using the job book and the store. */
export interface JobService {
  /** Handles one call. Failures of the store are replies, not errors. */
  handle(call: CallerCall): Promise<CallerReply>;
}

/** Options of {@link createJobService}. */
export interface JobServiceOptions {
  store: Store;
  /** Topic of the cell's journal. */
  topic: string;
  /** In-memory index of the jobs in the cell's journal. */
  book: JobBook;
  clock: Clock;
  log: Logger;
  /**
   * @returns the configuration in force; undefined before the first one has
   * been read
   */
  config(): ActiveConfig | undefined;
  /**
   * @returns the time since the configuration was last confirmed to be the
   * newest
   */
  configAgeMs(): Milliseconds;
  /**
   * @returns the time since the book was last confirmed to contain the whole
   * journal
   */
  bookAgeMs(): Milliseconds;
  /**
   * Waits until the book contains everything that was stored at the time of the
   * call.
   *
   * @throws when the store cannot be read
   */
  catchUpBook(): Promise<void>;
  /** Maximum age of the configuration at which API keys are still accepted. */
  maximumConfigAgeMs: Milliseconds;
  /**
   * Maximum age of the book at which a missing job may be reported as unknown.
   */
  maximumBookAgeMs: Milliseconds;
  /** @returns the time since the store stopped answering; 0 while it answers */
  storeOutageMs(): Milliseconds;
  metrics: Metrics;
}

const BOOK_OUTDATED_REASON = "the list of stored jobs may be out of date";
const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;
// Client programs of the deployment sites wait this long for a reply.
const DEFAULT_DEADLINE_MS: Milliseconds = 3_000;
// Part of the caller's deadline that is reserved for the reply to arrive.
const REPLY_MARGIN_MS: Milliseconds = 250;
// Maximum fraction of the deadline that is reserved for the reply. The store
// answers in 8 ms, so calls with short deadlines can still be served.
const MAXIMUM_REPLY_MARGIN_FRACTION = 0.25;
// A store that is slowed down 60-fold answers in 0.3 s.
const APPEND_TIMEOUT_MS: Milliseconds = 1_000;
// Number of refusals after which a record is not tried again, if no attempt is
// uncertain. A full partition of the store clears within 2 s, an outage does
// not.
const MAXIMUM_REFUSALS = 2;
const RETRY_DELAY_MS: Milliseconds = 150;
// Stored size of the progress of one task: its index and run number, its worker
// and the worker's lifetime, and a checkpoint.
const PROGRESS_BYTES_PER_TASK = 120;
// Length of a store outage above which writes are refused without an attempt.
// An outage counts from the end of the 1 s for which a read may wait.
const FAIL_FAST_OUTAGE_MS: Milliseconds = 1_500;
// Length of a store outage above which callers get the long retry delay.
const MAXIMUM_SHORT_OUTAGE_MS: Milliseconds = 1_000;
const RETRY_AFTER_SHORT_MS: Milliseconds = 1_000;
// Four retries at this delay span an outage of 8 s.
const RETRY_AFTER_LONG_MS: Milliseconds = 2_000;

/**
 * Creates the service that answers client programs.
 *
 * @param options the book, the store, the configuration and the age limits
 * @returns a service that needs no closing
 */
export function createJobService(options: JobServiceOptions): JobService {
  const { book, clock, log, metrics } = options;
  const writer = createBatchWriter(options);

  const unavailable = (reason: string): CallerReply => ({
    kind: "unavailable",
    retryAfterMs: options.storeOutageMs() > MAXIMUM_SHORT_OUTAGE_MS
      ? RETRY_AFTER_LONG_MS
      : RETRY_AFTER_SHORT_MS,
    reason,
  });

  /**
   * Appends a record, with retries until the deadline. Returns `refused` only
   * when no attempt can have stored the record.
   */
  const storeRecord = async (
    value: KeyedValue,
    deadline: Milliseconds,
  ): Promise<"stored" | "refused" | "uncertain"> => {
    // The call fails fast, so that the caller can retry at another entry, which
    // may be able to reach the store.
    if (options.storeOutageMs() > FAIL_FAST_OUTAGE_MS) return "refused";
    let isUncertain = false;
    let refusals = 0;
    while (true) {
      const remainingMs = deadline - clock.now();
      try {
        await writer.append(
          value,
          Math.max(0, Math.min(remainingMs, APPEND_TIMEOUT_MS)),
        );
        return "stored";
      } catch (error) {
        if (error instanceof UnavailableError) refusals += 1;
        else isUncertain = true;
      }
      if (!isUncertain && refusals >= MAXIMUM_REFUSALS) return "refused";
      const hasTimeLeft = clock.now() + RETRY_DELAY_MS < deadline;
      if (!hasTimeLeft) return isUncertain ? "uncertain" : "refused";
      await pause(RETRY_DELAY_MS);
    }
  };

  const submit = async (
    call: CallerCall,
    { queue, id, account }: JobTarget,
  ): Promise<CallerReply> => {
    if (book.find(id) !== undefined) return { kind: "accepted" };
    let job: SubmittedJob;
    try {
      job = call.readJob!();
    } catch (error) {
      return { kind: "invalid", reason: describeError(error) };
    }
    const spec: JobSpec = {
      id,
      queue: queue.name,
      account,
      service: queue.service,
      maximumAttempts: queue.maximumAttempts,
      submittedAt: clock.wallTime(),
      ...job,
    };
    const [value] = encodeRecord({ kind: "submission", spec });
    if (isTooLarge(spec, value)) {
      return {
        kind: "invalid",
        reason:
          "the job or its progress exceeds the record size limit of the store",
      };
    }
    const outcome = await storeRecord(value, deadlineOf(call));
    if (outcome === "uncertain") return { kind: "uncertain" };
    if (outcome === "refused") return unavailable("the store refuses writes");
    book.apply({ kind: "submission", spec });
    return { kind: "accepted" };
  };

  /**
   * Checks whether the submission, or the progress record of one of the steps
   * while it runs, would exceed the store's limit on the size of a record.
   */
  const isTooLarge = ({ steps }: JobSpec, value: KeyedValue): boolean => {
    const { recordBytes } = options.store.limits;
    return sizeOfRecord(value) > recordBytes ||
      steps.some(({ taskCount }) =>
        taskCount * PROGRESS_BYTES_PER_TASK > recordBytes
      );
  };

  const cancel = async (
    call: CallerCall,
    { id }: JobTarget,
  ): Promise<CallerReply> => {
    const job = book.find(id) ?? await findAfterCatchUp(id);
    if (job === undefined) return { kind: "unknownJob" };
    if (job === "unclear") return unavailable(BOOK_OUTDATED_REASON);
    if (job.isCancelled || job.outcome !== undefined) {
      return { kind: "cancelled" };
    }
    const record = { kind: "cancellation", job: id } as const;
    const [value] = encodeRecord(record);
    const outcome = await storeRecord(value, deadlineOf(call));
    if (outcome === "uncertain") return { kind: "uncertain" };
    if (outcome === "refused") return unavailable("the store refuses writes");
    book.apply(record);
    return { kind: "cancelled" };
  };

  /**
   * Updates the book and looks up a job that another entry may just have
   * accepted. Returns `unclear` when the book cannot be brought up to date.
   */
  const findAfterCatchUp = async (
    id: string,
  ): Promise<StoredJob | "unclear" | undefined> => {
    if (options.bookAgeMs() > options.maximumBookAgeMs) return "unclear";
    try {
      await options.catchUpBook();
    } catch (error) {
      log.warn(
        { job: id, error: describeError(error) },
        "job lookup failed: the journal was not read to its end",
      );
      return "unclear";
    }
    return book.find(id);
  };

  const queryState = async ({ id }: JobTarget): Promise<CallerReply> => {
    if (book.find(id) === undefined) {
      const job = await findAfterCatchUp(id);
      if (job === "unclear") return unavailable(BOOK_OUTDATED_REASON);
      if (job === undefined) return { kind: "unknownJob" };
    }
    const state = book.stateOf(id);
    return state === undefined
      ? { kind: "unknownJob" }
      : { kind: "state", state };
  };

  /** Computes the monotonic time by which the reply must be sent. */
  const deadlineOf = (call: CallerCall): Milliseconds => {
    const { deadlineMs = DEFAULT_DEADLINE_MS } = call;
    const marginMs = Math.min(
      REPLY_MARGIN_MS,
      MAXIMUM_REPLY_MARGIN_FRACTION * deadlineMs,
    );
    return clock.now() + deadlineMs - marginMs;
  };

  const dispatch = async (call: CallerCall): Promise<CallerReply> => {
    const config = options.config();
    if (config === undefined) return unavailable("no configuration yet");
    const queue = config.findQueue(call.host, call.path);
    if (queue === undefined) return { kind: "unknownQueue" };
    let account = "";
    if (!queue.isPublic) {
      if (options.configAgeMs() > options.maximumConfigAgeMs) {
        return unavailable("the configuration is too old to accept keys");
      }
      const found = config.findAccount(call.key ?? "");
      if (found === undefined) return { kind: "unknownKey" };
      account = found;
    }
    const id = call.path.slice(queue.pathPrefix.length);
    if (id === "" && call.action === "ask") {
      if (options.bookAgeMs() > options.maximumBookAgeMs) {
        return unavailable(BOOK_OUTDATED_REASON);
      }
      return { kind: "pending", count: book.pending(queue.name) };
    }
    if (!JOB_ID_PATTERN.test(id)) return { kind: "unknownQueue" };
    const target = { queue, id, account };
    if (call.action === "submit") return await submit(call, target);
    if (call.action === "cancel") return await cancel(call, target);
    return await queryState(target);
  };

  return {
    handle: async (call) => {
      const startedAt = clock.now();
      const reply = await dispatch(call);
      const tookMs = clock.now() - startedAt;
      metrics.incrementCounter(`calls.${call.action}.${reply.kind}`);
      metrics.recordDuration(`call.${call.action}`, tookMs);
      if (call.action === "ask" && reply.kind !== "unavailable") return reply;
      log.info(
        {
          path: call.path,
          action: call.action,
          outcome: reply.kind,
          reason: "reason" in reply ? reply.reason : undefined,
          version: options.config()?.config.version,
          configAgeMs: Math.round(options.configAgeMs()),
          tookMs,
        },
        "call answered",
      );
      return reply;
    },
  };
}

/** The job that a call addresses, and the authorization of the call. */
interface JobTarget {
  queue: Queue;
  id: string;
  /** Client account that the API key belongs to; empty for public queues. */
  account: string;
}
