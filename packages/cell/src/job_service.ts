import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  encodeRecord,
  type JobBook,
  type JobSpec,
  type KeyedValue,
  type StoredJob,
} from "@rattanhill/scheduler";
import { sizeOfRecord } from "./append_limits.ts";
import { createAccessRefusals } from "./access_refusals.ts";
import type { CallerCall, CallerReply, SubmittedJob } from "./caller_calls.ts";
import type { ActiveConfig, IdentifiedQueue } from "./cluster_config.ts";
import {
  createBodyDigest,
  type JobCaller,
  judgeSubmission,
  mayAccessJob,
} from "./job_access.ts";
import type { Metrics } from "./metrics.ts";
import { createJobAdmission } from "./job_admission.ts";
import { createRecordWriter } from "./record_writer.ts";
import type { Store } from "./store.ts";
import { createSubmissionsInProgress } from "./submissions_in_progress.ts";
import type { UnknownJobAnswer } from "./unknown_jobs.ts";

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
  /**
   * Waits until the book contains the journal up to an offset, without a call
   * to the store.
   */
  waitForBook(offset: number): Promise<void>;
  /** Maximum age of the configuration at which API keys are still accepted. */
  maximumConfigAgeMs: Milliseconds;
  /**
   * Maximum age of the book at which a missing job may be reported as unknown.
   */
  maximumBookAgeMs: Milliseconds;
  /** @returns the time since the store stopped answering; 0 while it answers */
  storeOutageMs(): Milliseconds;
  /** See {@link JobAdmissionOptions.maximumJobBytes}; unbounded by default. */
  maximumJobBytes?: number;
  /** Called for each call that is answered with "unknown job". */
  onUnknownJob?(answer: UnknownJobAnswer): void;
  metrics: Metrics;
}

const BOOK_OUTDATED_REASON = "the list of stored jobs may be out of date";
const KEY_UNCHECKED_REASON = "the configuration is too old to accept keys";
const CONFLICT_REASON = {
  foreign: "not accepted: the job ID is already in use",
  otherBody: "not accepted: the job ID was used before with another body",
} as const;
const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;
// Client programs of the deployment sites wait this long for a reply.
const DEFAULT_DEADLINE_MS: Milliseconds = 3_000;
// Part of the caller's deadline that is reserved for the reply to arrive.
const REPLY_MARGIN_MS: Milliseconds = 250;
// Maximum fraction of the deadline that is reserved for the reply. The store
// answers in 8 ms, so calls with short deadlines can still be served.
const MAXIMUM_REPLY_MARGIN_FRACTION = 0.25;
// Stored size of the progress of one task: its index and run number, its worker
// and the worker's lifetime, and a checkpoint.
const PROGRESS_BYTES_PER_TASK = 120;
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
  const storeRecord = createRecordWriter(options);
  const recordRefusal = createAccessRefusals(options);
  const refusals = new WeakSet<CallerReply>();
  const writing = createSubmissionsInProgress();
  const admission = createJobAdmission({
    ...options,
    maximumJobBytes: options.maximumJobBytes ?? Infinity,
  });

  const unavailable = (reason: string): CallerReply => ({
    kind: "unavailable",
    retryAfterMs: options.storeOutageMs() > MAXIMUM_SHORT_OUTAGE_MS
      ? RETRY_AFTER_LONG_MS
      : RETRY_AFTER_SHORT_MS,
    reason,
  });

  /** Counts and logs a call that was refused access to a job. */
  const refuseAccess = (
    target: JobTarget,
    cause: string,
    reply: CallerReply,
  ): CallerReply => {
    const { action, id, queue, account } = target;
    recordRefusal({
      action,
      job: id,
      queue: queue.name,
      account,
      outcome: reply.kind,
      cause,
    });
    refusals.add(reply);
    return reply;
  };

  /**
   * Waits until the journal has confirmed or replaced a job that this entry has
   * stored. Returns undefined when the deadline comes first.
   */
  const waitUntilConfirmed = async (
    { spec, unconfirmedUntil }: StoredJob,
    deadline: Milliseconds,
  ): Promise<StoredJob | undefined> => {
    if (unconfirmedUntil !== undefined) {
      const remainingMs = Math.max(0, deadline - clock.now());
      await Promise.race([
        options.waitForBook(unconfirmedUntil),
        pause(remainingMs),
      ]);
    }
    const job = book.find(spec.id);
    return job?.unconfirmedUntil === undefined ? job : undefined;
  };

  /**
   * Answers a submission whose ID is known. A conflict is only reported against
   * a job that the journal has confirmed.
   */
  const answerKnown = async (
    known: StoredJob,
    target: JobTarget,
    { bodyDigest, deadline }: { bodyDigest: string; deadline: Milliseconds },
  ): Promise<CallerReply> => {
    const submission = { caller: callerOf(target), bodyDigest };
    if (judgeSubmission(known.spec, submission) === "repetition") {
      return { kind: "accepted" };
    }
    const job = await waitUntilConfirmed(known, deadline);
    if (job === undefined) return unavailable(BOOK_OUTDATED_REASON);
    const verdict = judgeSubmission(job.spec, submission);
    if (verdict === "repetition") return { kind: "accepted" };
    if (verdict === "foreign" && target.account === undefined) {
      return unavailable(KEY_UNCHECKED_REASON);
    }
    const reason = CONFLICT_REASON[verdict];
    return refuseAccess(target, verdict, { kind: "conflict", reason });
  };

  const submit = async (
    call: CallerCall,
    target: JobTarget,
  ): Promise<CallerReply> => {
    const { queue, id } = target;
    const deadline = deadlineOf(call);
    const known = book.find(id);
    const isStoredWithoutDigest = known !== undefined &&
      known.spec.bodyDigest === undefined &&
      mayAccessJob(known.spec, callerOf(target));
    if (isStoredWithoutDigest) return { kind: "accepted" };
    let job: SubmittedJob;
    try {
      job = call.readJob!();
    } catch (error) {
      return { kind: "invalid", reason: describeError(error) };
    }
    const bodyDigest = createBodyDigest(job);
    if (known !== undefined) {
      return await answerKnown(known, target, { bodyDigest, deadline });
    }
    const spec: JobSpec = {
      id,
      queue: queue.id,
      account: queue.isPublic ? "" : target.account ?? "",
      service: queue.service,
      maximumAttempts: queue.maximumAttempts,
      submittedAt: clock.wallTime(),
      bodyDigest,
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
    if (!writing.begin(spec)) {
      return unavailable("another job with the same ID is being stored");
    }
    try {
      const waitUntil = (clock.now() + deadline) / 2;
      const refusal = await admission.admit(spec, waitUntil);
      if (refusal !== undefined) return { kind: "unavailable", ...refusal };
      const outcome = await storeRecord(value, deadline);
      if (outcome === "refused") return unavailable("the store refuses writes");
      if (outcome === "rejected") {
        return { kind: "invalid", reason: "the store rejects the job" };
      }
      // The journal may already have shown an earlier submission with the ID.
      const first = book.find(id);
      const reply: CallerReply = first === undefined
        ? { kind: "accepted" }
        : await answerKnown(first, target, { bodyDigest, deadline });
      if (reply.kind === "conflict") return reply;
      if (outcome === "uncertain") return { kind: "uncertain" };
      if (first === undefined) book.addUnconfirmed(spec, outcome);
      // The submission was stored, so it may count although it is not known yet.
      return reply.kind === "unavailable" ? { kind: "uncertain" } : reply;
    } finally {
      writing.end(id);
      admission.end(spec);
    }
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
    target: JobTarget,
  ): Promise<CallerReply> => {
    const { id } = target;
    const deadline = deadlineOf(call);
    const found = await findAccessible(target);
    if ("reply" in found) return found.reply;
    // An unconfirmed job may be replaced by one of another account.
    const job = await waitUntilConfirmed(found.job, deadline);
    if (job === undefined) return unavailable(BOOK_OUTDATED_REASON);
    if (!mayAccessJob(job.spec, callerOf(target))) {
      return refuseAccess(target, "foreign", { kind: "unknownJob" });
    }
    if (job.isCancelled || job.outcome !== undefined) {
      return { kind: "cancelled" };
    }
    const record = { kind: "cancellation", job: id } as const;
    const [value] = encodeRecord(record);
    const outcome = await storeRecord(value, deadline);
    if (outcome === "uncertain") return { kind: "uncertain" };
    if (outcome === "refused" || outcome === "rejected") {
      return unavailable("the store refuses writes");
    }
    book.apply(record);
    return { kind: "cancelled" };
  };

  /**
   * Finds the job of a call, or the reply when there is none that the call may
   * access. A job of another caller takes the same steps as one that does not
   * exist, so that neither the reply nor its delay tells them apart.
   */
  const findAccessible = async (
    target: JobTarget,
  ): Promise<{ job: StoredJob } | { reply: CallerReply }> => {
    const caller = callerOf(target);
    const known = book.find(target.id);
    if (known !== undefined && mayAccessJob(known.spec, caller)) {
      return { job: known };
    }
    const startedAt = clock.now();
    const bookAgeMs = options.bookAgeMs();
    const job = await findAfterCatchUp(target.id);
    const catchUpMs = clock.now() - startedAt;
    const isFound = job !== undefined && job !== "unclear";
    if (isFound && mayAccessJob(job.spec, caller)) return { job };
    const reply = ((): CallerReply => {
      if (job === "unclear") return unavailable(BOOK_OUTDATED_REASON);
      if (target.account === undefined) {
        return unavailable(KEY_UNCHECKED_REASON);
      }
      return { kind: "unknownJob" };
    })();
    const isForeign = known !== undefined || isFound;
    if (!isForeign && reply.kind === "unknownJob") {
      const { action, id, queue, account } = target;
      const hasEarlyRecords = book.hasEarlyRecords(id);
      options.onUnknownJob?.({
        action,
        job: id,
        queue: queue.name,
        account,
        bookAgeMs,
        catchUpMs,
        hasEarlyRecords,
      });
    }
    return {
      reply: isForeign ? refuseAccess(target, "foreign", reply) : reply,
    };
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

  const queryState = async (target: JobTarget): Promise<CallerReply> => {
    const found = await findAccessible(target);
    if ("reply" in found) return found.reply;
    const state = book.stateOf(target.id);
    return state === undefined
      ? { kind: "unknownJob" }
      : { kind: "state", state };
  };

  /** Computes the monotonic time by which the reply must be sent. */
  const deadlineOf = (call: CallerCall): Milliseconds => {
    const { deadlineMs = DEFAULT_DEADLINE_MS, remainingMs = Infinity } = call;
    const marginMs = Math.min(
      REPLY_MARGIN_MS,
      MAXIMUM_REPLY_MARGIN_FRACTION * deadlineMs,
    );
    return clock.now() + Math.min(deadlineMs - marginMs, remainingMs);
  };

  const dispatch = async (call: CallerCall): Promise<CallerReply> => {
    const config = options.config();
    if (config === undefined) return unavailable("no configuration yet");
    const queue = config.findQueue(call.host, call.path);
    if (queue === undefined) return { kind: "unknownQueue" };
    const isConfigCurrent = options.configAgeMs() <= options.maximumConfigAgeMs;
    const foundAccount = config.findAccount(call.key ?? "");
    if (!queue.isPublic) {
      if (!isConfigCurrent) return unavailable(KEY_UNCHECKED_REASON);
      if (foundAccount === undefined) return { kind: "unknownKey" };
    }
    // A public queue needs no key, but one still proves the account of a job
    // that was submitted before the queue became public.
    const account = isConfigCurrent || call.key === undefined
      ? foundAccount ?? ""
      : undefined;
    const id = call.path.slice(queue.pathPrefix.length);
    if (id === "" && call.action === "ask") {
      if (options.bookAgeMs() > options.maximumBookAgeMs) {
        return unavailable(BOOK_OUTDATED_REASON);
      }
      return { kind: "pending", count: book.pending(queue.id) };
    }
    if (!JOB_ID_PATTERN.test(id)) return { kind: "unknownQueue" };
    const target = { action: call.action, queue, id, account };
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
      // Refusals of access have a bounded number of lines of their own.
      if (refusals.has(reply)) return reply;
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
  action: CallerCall["action"];
  queue: IdentifiedQueue;
  id: string;
  /**
   * Client account that the API key belongs to; empty without one, undefined
   * while the key cannot be checked.
   */
  account: string | undefined;
}

function callerOf({ queue, account }: JobTarget): JobCaller {
  return { queue: queue.id, account };
}
