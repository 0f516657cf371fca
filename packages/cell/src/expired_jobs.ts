import type { CellRecord, JobBook } from "@rattanhill/scheduler";
import type { Milliseconds } from "@rattanhill/shared";

// Maximum number of jobs that are removed together, to limit the size of the
// append.
const MAXIMUM_REMOVALS_PER_APPEND = 50;

/**
 * Finds jobs whose records are no longer needed.
 *
 * @param book the jobs in the journal
 * @param endedBefore wall time before which a job must have ended
 * @returns the records that remove them, for one append
 */
export function findExpiredJobs(
  book: JobBook,
  endedBefore: Milliseconds,
): (CellRecord & { kind: "removal" })[] {
  return [...book.jobs()]
    .filter(({ endedAt }) => endedAt !== undefined && endedAt < endedBefore)
    .slice(0, MAXIMUM_REMOVALS_PER_APPEND)
    .map(({ spec, steps }) => ({
      kind: "removal" as const,
      job: spec.id,
      steps: [...steps.keys()],
    }));
}
