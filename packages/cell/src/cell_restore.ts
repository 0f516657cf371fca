import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  type JobBook,
  progressKeysOf,
  type Scheduler,
  type StoredJob,
  type StoredProgress,
  withProgress,
} from "@rattanhill/scheduler";
import { startWorkSlices } from "./work_slices.ts";

/** Options of {@link restoreCell}. */
export interface CellRestoreOptions {
  book: JobBook;
  /** Stored progress of the jobs in the book. */
  progress: StoredProgress;
  /** Monotonic time by which all leases that earlier leads granted end. */
  leasesEndBy: Milliseconds;
  /** Fencing token of the lead, for the log. */
  term: number;
  clock: Clock;
  log: Logger;
  /** @returns whether this process still leads; if not, the restoring ends */
  isLeading(): boolean;
}

/**
 * Restores the jobs of a cell after a change of lead, in slices, so that the
 * lead can renew its lease meanwhile. Jobs that the book gains meanwhile may be
 * restored as well.
 *
 * @param scheduler the scheduler, without jobs
 * @param options the stored jobs and their progress
 * @returns whether all of them were restored
 */
export async function restoreCell(
  scheduler: Scheduler,
  options: CellRestoreOptions,
): Promise<boolean> {
  const { book, progress, leasesEndBy, term, log, isLeading } = options;
  /** Restores a job; one that is not valid must not keep the others waiting. */
  const restoreJob = (job: StoredJob): void => {
    try {
      scheduler.restore(job, leasesEndBy);
    } catch (error) {
      log.error(
        { term, job: job.spec.id, error: describeError(error) },
        "stored job could not be restored; skipped",
      );
    }
  };
  const endSlice = startWorkSlices(options.clock);
  for (const job of book.jobs()) {
    const { id } = job.spec;
    restoreJob(withProgress(job, progress.get(id)));
    // Held twice, it would take as much memory as the jobs themselves.
    progress.delete(id);
    await endSlice();
    if (!isLeading()) return false;
  }
  for (const [job, steps] of progress) {
    if (book.find(job) !== undefined) continue;
    scheduler.removeProgress(progressKeysOf(steps));
  }
  return true;
}
