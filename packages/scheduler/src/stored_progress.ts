import type { StoredJob } from "./job_book.ts";
import { mergeProgress, parseProgressKey } from "./progress_parts.ts";
import type { CellRecord, StepRecord } from "./records.ts";

/** Stored progress of steps, by job and then by step key. */
export type StoredProgress = Map<string, Map<string, StepRecord>>;

/**
 * Adds a record to the progress of a step. A step may have a record of its own
 * and others of ranges of its tasks; what a later one says of a task replaces
 * what an earlier one says.
 *
 * @param progress the progress of all steps
 * @param record a record; other kinds than progress are ignored
 */
export function addStoredProgress(
  progress: StoredProgress,
  record: CellRecord,
): void {
  if (record.kind !== "progress") return;
  const { step, range } = parseProgressKey(record.step);
  const job = step.slice(0, step.indexOf("."));
  const steps = progress.get(job) ?? new Map<string, StepRecord>();
  progress.set(job, steps);
  const earlier = steps.get(step);
  if (earlier === undefined && range === undefined) {
    steps.set(step, record.progress);
    return;
  }
  const merged = mergeProgress(
    earlier ?? NO_PROGRESS,
    record.progress,
    range ?? ALL_TASKS,
  );
  const earlierKeys = earlier === undefined ? [] : earlier.keys ?? [step];
  steps.set(step, { ...merged, keys: [...earlierKeys, record.step] });
}

const ALL_TASKS = { first: 0, end: Infinity };
const NO_PROGRESS: StepRecord = {
  highestRun: 0,
  done: [],
  runs: [],
  failedRuns: [],
  checkpoints: [],
  crashes: [],
};

/** @returns the keys under which the progress of steps is stored */
export function progressKeysOf(
  steps: ReadonlyMap<string, StepRecord>,
): string[] {
  return [...steps].flatMap(([step, { keys = [step] }]) => keys);
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
