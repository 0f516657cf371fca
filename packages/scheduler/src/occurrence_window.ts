import type { Milliseconds } from "@rattanhill/shared";
import type { ActiveJob } from "./cell_state.ts";
import {
  estimateStoredOccurrence,
  MAXIMUM_OCCURRENCE_BYTES,
} from "./job_memory.ts";
import { nextOccurrence } from "./job_occurrences.ts";
import { dueAt, occurrencesOf } from "./job_types.ts";

/**
 * Opens due occurrences of periodic jobs, those of a job in their order. Each
 * job may have one open, for which its submission has reserved memory; further
 * ones share a bounded amount of memory, and the jobs with the fewest go first.
 * All others wait until open ones are finished.
 *
 * @param jobs the jobs, which may have ended
 * @param wallTime wall time, by which occurrences are due
 * @param maximumBytes memory of all open occurrences but the first of each job
 */
export function openDueOccurrences(
  jobs: Iterable<ActiveJob>,
  wallTime: Milliseconds,
  maximumBytes = MAXIMUM_OCCURRENCE_BYTES,
): void {
  let freeBytes = maximumBytes;
  let growing: { job: ActiveJob; bytes: number }[] = [];
  for (const job of jobs) {
    const { spec, occurrences: { open } } = job;
    if (spec.repetition === undefined) continue;
    const bytes = estimateStoredOccurrence(spec);
    freeBytes -= Math.max(0, open.size - 1) * bytes;
    if (isNextDue(job, wallTime)) growing.push({ job, bytes });
  }
  for (let size = 1; growing.length > 0; size++) {
    const isFirst = size === 1;
    if (!isFirst && growing.every(({ bytes }) => bytes > freeBytes)) return;
    growing = growing.filter(({ job, bytes }) => {
      if (job.occurrences.open.size >= size) return true;
      if (!isFirst && bytes > freeBytes) return false;
      if (!isFirst) freeBytes -= bytes;
      job.occurrences.open.add(nextOccurrence(job.occurrences));
      return isNextDue(job, wallTime);
    });
  }
}

/** Returns whether the next occurrence to open exists and is due. */
function isNextDue(
  { spec, occurrences }: ActiveJob,
  wallTime: Milliseconds,
): boolean {
  const next = nextOccurrence(occurrences);
  return next < occurrencesOf(spec) && dueAt(spec, next) <= wallTime;
}
