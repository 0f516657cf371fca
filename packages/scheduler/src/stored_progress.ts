import type { StoredJob } from "./job_book.ts";
import type { CellRecord, StepRecord } from "./records.ts";

/** Stored progress of steps, by job and then by step key. */
export type StoredProgress = Map<string, Map<string, StepRecord>>;

/**
 * Collects the progress of steps from the newest records of their topic.
 *
 * @param records the records; other kinds are ignored
 * @returns the progress of all steps
 */
export function collectProgress(
  records: Iterable<CellRecord>,
): StoredProgress {
  const progress: StoredProgress = new Map();
  for (const record of records) {
    if (record.kind !== "progress") continue;
    const job = record.step.slice(0, record.step.indexOf("."));
    const steps = progress.get(job) ?? new Map<string, StepRecord>();
    steps.set(record.step, record.progress);
    progress.set(job, steps);
  }
  return progress;
}

/**
 * Adds stored progress to a job. Of two records of a step, the one with the
 * higher run number is newer.
 *
 * @param job the job, which may have progress of its own
 * @param stored progress of its steps, if any
 * @returns the job with the newest progress of each step
 */
export function withProgress(
  job: StoredJob,
  stored: ReadonlyMap<string, StepRecord> = new Map(),
): StoredJob {
  const steps = new Map(job.steps);
  for (const [key, record] of stored) {
    const own = steps.get(key);
    if (own === undefined || own.highestRun <= record.highestRun) {
      steps.set(key, record);
    }
  }
  return { ...job, steps };
}
