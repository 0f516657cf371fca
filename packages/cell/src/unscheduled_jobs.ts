import {
  createLineLimit,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import type { JobBook, StoredJob } from "@rattanhill/scheduler";
import type { Metrics } from "./metrics.ts";

/** Options of {@link createUnscheduledJobs}. */
export interface UnscheduledJobsOptions {
  book: Pick<JobBook, "jobs">;
  now(): Milliseconds;
  log: Logger;
  metrics: Pick<Metrics, "incrementCounter">;
}

const MAXIMUM_LINES = 20;
const LINE_PERIOD_MS: Milliseconds = 10_000;

/**
 * Creates a check for unfinished jobs that the store holds and the scheduler of
 * the lead does not know. A job counts once, when two checks in a row have found
 * it, since records of it may be on their way.
 *
 * @param options the job book, a clock, log and metrics
 * @returns function that checks all jobs of the book
 */
export function createUnscheduledJobs(
  { book, now, log, metrics }: UnscheduledJobsOptions,
): (isScheduled: (job: string) => boolean) => void {
  const lines = createLineLimit({
    now,
    maximumLines: MAXIMUM_LINES,
    periodMs: LINE_PERIOD_MS,
  });
  /** Jobs that the last check found, and whether they were counted. */
  let missing = new Map<string, boolean>();

  const report = ({ spec: { id, queue }, hasStarted }: StoredJob): void => {
    metrics.incrementCounter("job.unscheduled");
    const omitted = lines.take();
    if (omitted === undefined) return;
    log.warn(
      { job: id, queue, hasStarted, omitted },
      "stored job is not known to the scheduler",
    );
  };

  return (isScheduled) => {
    const found = new Map<string, boolean>();
    for (const job of book.jobs()) {
      const { spec: { id }, outcome, isCancelled } = job;
      if (outcome !== undefined || isCancelled || isScheduled(id)) continue;
      const wasCounted = missing.get(id);
      if (wasCounted === false) report(job);
      found.set(id, wasCounted !== undefined);
    }
    missing = found;
  };
}
