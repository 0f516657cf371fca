import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import {
  type BookedJob,
  encodeRecord,
  type JobBook,
  type JobSpec,
  type JobState,
  type KeyedValue,
} from "@rattanhill/scheduler";
import { countFittingRecords, sizeOfRecord } from "./append_groups.ts";
import type { ActiveConfig, Queue } from "./cluster_config.ts";
import type { Metrics } from "./metrics.ts";
import type { Store } from "./store.ts";

/** A call of a client program. */
export interface CallerCall {
  action: "submit" | "cancel" | "ask";
  host: string;
  path: string;
  /** Key of its account. */
  key?: string;
  /** How long the caller waits. */
  deadlineMs?: Milliseconds;
  /** Reads a submitted job. @throws InvalidError when it is not one */
  readJob?(): SubmittedJob;
}

/** What a caller submits. */
export type SubmittedJob = Pick<JobSpec, "payload" | "steps" | "repetition">;

/** Answer to a call. */
export type CallerReply =
  | { kind: "accepted" }
  | { kind: "cancelled" }
  | { kind: "state"; state: JobState }
  | { kind: "pending"; count: number }
  /** Nothing was done; the caller may come back after a while. */
  | { kind: "unavailable"; retryAfterMs: Milliseconds; reason: string }
  /** It may have been done. */
  | { kind: "uncertain" }
  | { kind: "unknownQueue" }
  | { kind: "unknownJob" }
  | { kind: "unknownKey" }
  | { kind: "invalid"; reason: string };

/** Answers callers from the book and the store. */
export interface JobService {
  handle(call: CallerCall): Promise<CallerReply>;
}

/** Options of {@link createJobService}. */
export interface JobServiceOptions {
  store: Store;
  topic: string;
  book: JobBook;
  clock: Clock;
  log: Logger;
  config(): ActiveConfig | undefined;
  /** Time since the configuration was last known to be the newest. */
  configAgeMs(): Milliseconds;
  /** Time since the book was last known to be complete. */
  bookAgeMs(): Milliseconds;
  /** Waits until the book knows all that is stored now. @throws when the store does not tell */
  catchUpBook(): Promise<void>;
  /** Age of the configuration from which keys are no longer trusted. */
  maximumConfigAgeMs: Milliseconds;
  /** Age of the book from which unknown jobs may exist. */
  maximumBookAgeMs: Milliseconds;
  /** Time that the store has been failing; 0 while it works. */
  storeOutageMs(): Milliseconds;
  metrics: Metrics;
}

const BOOK_OUTDATED_REASON = "the book of jobs may be out of date";
const JOB_ID = /^[0-9a-f]{16}$/;
const DEFAULT_DEADLINE_MS: Milliseconds = 3_000; // clients of the milestone's sites wait this long
/** Left of the caller's time for the answer to arrive. */
const ANSWER_MARGIN_MS: Milliseconds = 250;
/** Largest share of it; the store answers in 8 ms, so a caller with little time can be served. */
const ANSWER_SHARE = 0.25;
const APPEND_TIMEOUT_MS: Milliseconds = 1_000; // a store slowed sixtyfold takes 0.3 s
const MAXIMUM_REFUSALS = 2; // a full partition clears within 2 s, an outage does not
const RETRY_DELAY_MS: Milliseconds = 150;
/** A run of a task: numbers, a worker and its lifetime, and a checkpoint. */
const PROGRESS_BYTES_PER_TASK = 120;
const FAIL_FAST_OUTAGE_MS: Milliseconds = 1_500; // a read that waits 1 s has had no answer for 1.5 s more
const MAXIMUM_SHORT_OUTAGE_MS: Milliseconds = 1_000;
const RETRY_AFTER_SHORT_MS: Milliseconds = 1_000;
const RETRY_AFTER_LONG_MS: Milliseconds = 2_000; // four retries then span outages of 8 s

/**
 * Creates the service.
 *
 * @param options the book, the store and the configuration
 * @returns the service
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

  /** Stores a record within the caller's time. */
  const storeRecord = async (
    value: KeyedValue,
    deadline: Milliseconds,
  ): Promise<"stored" | "refused" | "uncertain"> => {
    // Another entry may still reach the store; the caller must not wait here.
    if (options.storeOutageMs() > FAIL_FAST_OUTAGE_MS) return "refused";
    let isUncertain = false;
    let refusals = 0;
    while (true) {
      const remainingMs = deadline - clock.now();
      if (remainingMs <= 0) return isUncertain ? "uncertain" : "refused";
      try {
        await writer.append(value, Math.min(remainingMs, APPEND_TIMEOUT_MS));
        return "stored";
      } catch (error) {
        if (error instanceof UnavailableError) refusals += 1;
        else isUncertain = true;
      }
      if (!isUncertain && refusals >= MAXIMUM_REFUSALS) return "refused";
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
      submittedAt: clock.wallTime(),
      ...job,
    };
    const [value] = encodeRecord({ kind: "submission", spec });
    if (isTooLarge(spec, value)) {
      return { kind: "invalid", reason: "the job is too large to be stored" };
    }
    const outcome = await storeRecord(value, deadlineOf(call));
    if (outcome === "uncertain") return { kind: "uncertain" };
    if (outcome === "refused") return unavailable("the store refuses writes");
    book.apply({ kind: "submission", spec });
    return { kind: "accepted" };
  };

  /** What cannot be stored, now or while it runs, is refused at once. */
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

  /** Finds a job that another entry has just accepted. */
  const findAfterCatchUp = async (
    id: string,
  ): Promise<BookedJob | "unclear" | undefined> => {
    if (options.bookAgeMs() > options.maximumBookAgeMs) return "unclear";
    try {
      await options.catchUpBook();
    } catch (error) {
      log.warn({ job: id, error: describeError(error) }, "job not looked up");
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

  const deadlineOf = (call: CallerCall): Milliseconds => {
    const { deadlineMs = DEFAULT_DEADLINE_MS } = call;
    const marginMs = Math.min(ANSWER_MARGIN_MS, ANSWER_SHARE * deadlineMs);
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
        return unavailable("keys may have been revoked");
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
    if (!JOB_ID.test(id)) return { kind: "unknownQueue" };
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

interface JobTarget {
  queue: Queue;
  id: string;
  account: string;
}

/** Appends what arrives while an append is in flight with one call. */
function createBatchWriter({ store, topic }: JobServiceOptions) {
  interface PendingAppend {
    value: KeyedValue;
    timeoutMs: Milliseconds;
    resolve(): void;
    reject(error: unknown): void;
  }
  const pendingAppends: PendingAppend[] = [];
  let callsInFlight = 0;

  const sendNextBatch = async (): Promise<void> => {
    if (
      pendingAppends.length === 0 || callsInFlight >= MAXIMUM_CALLS_IN_FLIGHT
    ) return;
    const sizes = pendingAppends.map(({ value }) => sizeOfRecord(value));
    const count = countFittingRecords(sizes, {
      callBytes: store.limits.callBytes,
      maximumCount: MAXIMUM_RECORDS_PER_CALL,
    });
    const batch = pendingAppends.splice(0, count);
    callsInFlight += 1;
    try {
      await store.append(topic, batch.map(({ value }) => value), {
        timeoutMs: Math.min(...batch.map(({ timeoutMs }) => timeoutMs)),
      });
      for (const { resolve } of batch) resolve();
    } catch (error) {
      for (const { reject } of batch) reject(error);
    } finally {
      callsInFlight -= 1;
      void sendNextBatch();
    }
  };

  return {
    append: (value: KeyedValue, timeoutMs: Milliseconds): Promise<void> =>
      new Promise((resolve, reject) => {
        pendingAppends.push({ value, timeoutMs, resolve, reject });
        void sendNextBatch();
      }),
  };
}

const MAXIMUM_RECORDS_PER_CALL = 50; // bounds what one lost answer leaves uncertain
const MAXIMUM_CALLS_IN_FLIGHT = 2; // one lost answer does not hold up the others
