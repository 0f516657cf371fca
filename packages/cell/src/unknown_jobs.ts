import {
  type Clock,
  createLineLimit,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import type { Metrics } from "./metrics.ts";

/** Remembers which jobs were removed from the job book of an entry. */
export interface RemovedJobs {
  /**
   * Records a removal.
   *
   * @param job the job
   * @param offset offset of the record that removed it
   */
  add(job: string, offset: number): void;
  /** @returns the removal of a job; undefined if none is remembered */
  find(job: string): { offset: number; at: Milliseconds } | undefined;
}

/** A call that was answered with "unknown job". */
export interface UnknownJobAnswer {
  action: string;
  job: string;
  queue: string;
  account: string | undefined;
  /** Age of the job book before the journal was read to its end. */
  bookAgeMs: Milliseconds;
  /** Time that the read to the end of the journal took. */
  catchUpMs: Milliseconds;
  /** Whether records of the job are known, but not its submission. */
  hasEarlyRecords: boolean;
}

/** Options of {@link createUnknownJobLog}. */
export interface UnknownJobLogOptions {
  clock: Pick<Clock, "now">;
  log: Logger;
  metrics: Pick<Metrics, "incrementCounter">;
  removedJobs: RemovedJobs;
  /** @returns the offset up to which the journal has been read */
  journalPosition(): number;
}

// Callers ask for a job for minutes after its end at the longest, in which a
// cell removes fewer jobs than this.
const MAXIMUM_REMOVED_JOBS = 4_096;
const MAXIMUM_LINES = 20;
const LINE_PERIOD_MS: Milliseconds = 10_000;

/**
 * Creates the memory of removed jobs. The oldest are forgotten beyond a limit.
 *
 * @param clock the monotonic clock
 * @returns the memory, without jobs
 */
export function createRemovedJobs(clock: Pick<Clock, "now">): RemovedJobs {
  const removals = new Map<string, { offset: number; at: Milliseconds }>();
  return {
    add: (job, offset) => {
      if (removals.has(job)) return;
      removals.set(job, { offset, at: clock.now() });
      if (removals.size <= MAXIMUM_REMOVED_JOBS) return;
      const [oldest] = removals.keys();
      removals.delete(oldest);
    },
    find: (job) => removals.get(job),
  };
}

/**
 * Creates the log of calls that were answered with "unknown job", which would be
 * a fault for an accepted job. The number of lines is limited.
 *
 * @param options clock, log, metrics, and what the entry knows of the journal
 * @returns function that records one answer
 */
export function createUnknownJobLog(
  { clock, log, metrics, removedJobs, journalPosition }: UnknownJobLogOptions,
): (answer: UnknownJobAnswer) => void {
  const lines = createLineLimit({
    now: clock.now,
    maximumLines: MAXIMUM_LINES,
    periodMs: LINE_PERIOD_MS,
  });
  return (answer) => {
    const removal = removedJobs.find(answer.job);
    const known = removal !== undefined
      ? "removed"
      : answer.hasEarlyRecords
      ? "withoutSubmission"
      : "never";
    metrics.incrementCounter(`job.unknown.${known}`);
    const omitted = lines.take();
    if (omitted === undefined) return;
    const { action, job, queue, account, bookAgeMs, catchUpMs } = answer;
    log.warn(
      {
        action,
        job,
        queue,
        account,
        known,
        removedBeforeMs: removal && Math.round(clock.now() - removal.at),
        removalOffset: removal?.offset,
        bookAgeMs: Math.round(bookAgeMs),
        catchUpMs: Math.round(catchUpMs),
        journalPosition: journalPosition(),
        omitted,
      },
      "call answered: the job is unknown",
    );
  };
}
