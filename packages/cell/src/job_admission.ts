import {
  type Clock,
  createLineLimit,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  estimateJobBytes,
  type JobBook,
  type JobSpec,
} from "@rattanhill/scheduler";
import type { Metrics } from "./metrics.ts";

/** Bounds the memory of accepted jobs by refusing new ones. */
export interface JobAdmission {
  /**
   * Reserves memory for a submission. A job that is refused was counted and
   * logged.
   *
   * @param spec the submission
   * @param waitUntil monotonic time until which it may wait for earlier ones to
   * be read back
   * @returns undefined if it is admitted; otherwise why not, and the time after
   * which it may fit
   */
  admit(
    spec: JobSpec,
    waitUntil: Milliseconds,
  ): Promise<{ reason: string; retryAfterMs: Milliseconds } | undefined>;
  /** Ends a reservation, when the job is in the book or was not stored. */
  end(spec: JobSpec): void;
}

/** Options of {@link createJobAdmission}. */
export interface JobAdmissionOptions {
  book: Pick<JobBook, "find" | "memory">;
  clock: Pick<Clock, "now" | "wallTime">;
  log: Logger;
  metrics: Pick<Metrics, "incrementCounter">;
  /** Bound of the estimated memory of all accepted jobs. */
  maximumJobBytes: number;
}

/** Memory that accepted jobs take and leave. */
interface Room {
  /** Estimate of all jobs that this entry knows. */
  heldBytes: number;
  /** Estimate of those that the other entries may not know yet. */
  unreadBytes: number;
  unreadBound: number;
}

// All entries accept jobs at the same time. What one has accepted and not read
// back yet, the others may not know either.
const UNREAD_SHARE = 1 / 16;
const UNREAD_LOOK_MS: Milliseconds = 20;
const MINIMUM_RETRY_MS: Milliseconds = 1_000;
const MAXIMUM_RETRY_MS: Milliseconds = 10_000;
// Period over which the rate is measured at which jobs release memory.
const RATE_PERIOD_MS: Milliseconds = 30_000;
const MAXIMUM_LINES = 20;
const LINE_PERIOD_MS: Milliseconds = 10_000;

/**
 * Creates an admission without reservations.
 *
 * @param options the book of accepted jobs, the bound, clocks, log and metrics
 * @returns the admission
 */
export function createJobAdmission(
  { book, clock, log, metrics, maximumJobBytes }: JobAdmissionOptions,
): JobAdmission {
  const lines = createLineLimit({
    now: clock.now,
    maximumLines: MAXIMUM_LINES,
    periodMs: LINE_PERIOD_MS,
  });
  /** Submissions that are being stored, and their estimates. */
  const writing = new Map<JobSpec, number>();
  /** Estimates of jobs stored by this entry and not read back, by job. */
  const unread = new Map<string, number>();
  let rateSince = { at: clock.now(), releasedBytes: 0 };
  let lastRate = 0;

  const sumUnread = (): number => {
    let bytes = 0;
    for (const estimate of writing.values()) bytes += estimate;
    for (const [id, estimate] of unread) {
      if (book.find(id)?.unconfirmedUntil === undefined) unread.delete(id);
      else bytes += estimate;
    }
    return bytes;
  };

  /** Measures how many bytes jobs release in a millisecond. */
  const measureRate = (): number => {
    const releasedBytes = book.memory.releasedBytes();
    const elapsedMs = clock.now() - rateSince.at;
    const rate = (releasedBytes - rateSince.releasedBytes) /
      Math.max(1, elapsedMs);
    if (elapsedMs >= RATE_PERIOD_MS) {
      rateSince = { at: clock.now(), releasedBytes };
      lastRate = rate;
    }
    return Math.max(rate, lastRate);
  };

  const refuse = (
    spec: JobSpec,
    { bytes, heldBytes, unreadBytes, unreadBound }: Room & { bytes: number },
  ) => {
    const missingBytes = heldBytes + bytes - maximumJobBytes;
    const waitMs = missingBytes > 0 ? missingBytes / measureRate() : 0;
    const retryAfterMs = Math.max(
      MINIMUM_RETRY_MS,
      Math.min(MAXIMUM_RETRY_MS, Math.ceil(waitMs)),
    );
    metrics.incrementCounter("job.refused.memory");
    const omitted = lines.take();
    if (omitted !== undefined) {
      log.warn(
        {
          job: spec.id,
          queue: spec.queue,
          steps: spec.steps.length,
          bytes,
          heldBytes,
          heldBound: maximumJobBytes,
          unreadBytes,
          unreadBound: Math.round(unreadBound),
          retryAfterMs,
          omitted,
        },
        "job refused: not enough memory for accepted jobs",
      );
    }
    return { reason: "not enough memory for accepted jobs", retryAfterMs };
  };

  const measureRoom = (wallTime: Milliseconds): Room => {
    let heldBytes = book.memory.heldBytes(wallTime);
    for (const estimate of writing.values()) heldBytes += estimate;
    const unreadBytes = sumUnread();
    const unreadBound = UNREAD_SHARE * (maximumJobBytes - heldBytes);
    return { heldBytes, unreadBytes, unreadBound };
  };

  return {
    admit: async (spec, waitUntil) => {
      const wallTime = clock.wallTime();
      const bytes = estimateJobBytes(spec, { hasEnded: false });
      measureRate();
      while (true) {
        const room = measureRoom(wallTime);
        const { heldBytes, unreadBytes, unreadBound } = room;
        const fits = heldBytes + bytes <= maximumJobBytes;
        if (fits && (unreadBytes === 0 || unreadBytes + bytes <= unreadBound)) {
          writing.set(spec, bytes);
          return undefined;
        }
        const mayWait = fits && clock.now() + UNREAD_LOOK_MS <= waitUntil;
        if (!mayWait) return refuse(spec, { ...room, bytes });
        await pause(UNREAD_LOOK_MS);
      }
    },
    end: (spec) => {
      const bytes = writing.get(spec);
      if (bytes === undefined) return;
      writing.delete(spec);
      unread.set(spec.id, bytes);
    },
  };
}
