import type { Logger } from "@rattanhill/shared";
import type { JobBook, JobSpec } from "@rattanhill/scheduler";
import type { CellJournal } from "./cell_journal.ts";
import type { Metrics } from "./metrics.ts";

/**
 * Submissions whose record another one with the same ID has replaced in the
 * journal. They are stored again, since a starting entry reads only the newest
 * record of an ID.
 */
export interface OverwrittenSubmissions {
  /** Notes a submission to be stored again. */
  add(spec: JobSpec): void;
  /**
   * @returns whether all noted submissions are stored, but those that the store
   * rejects for good; false when this process no longer leads
   */
  store(): Promise<boolean>;
}

/** Options of {@link createOverwrittenSubmissions}. */
export interface OverwrittenSubmissionsOptions {
  journal: Pick<CellJournal, "append">;
  book: JobBook;
  metrics: Pick<Metrics, "incrementCounter">;
  log: Logger;
}

// Number of job IDs in a log line.
const MAXIMUM_LOGGED_JOBS = 10;

/**
 * Creates an empty list of submissions.
 *
 * @param options the journal that stores them, the book of jobs and the log
 * @returns the list
 */
export function createOverwrittenSubmissions(
  { journal, book, metrics, log }: OverwrittenSubmissionsOptions,
): OverwrittenSubmissions {
  let overwritten: JobSpec[] = [];

  return {
    add: (spec) => {
      overwritten.push(spec);
    },
    store: async () => {
      // A job that was removed meanwhile must not come back.
      const specs = overwritten.filter(({ id }) => book.find(id) !== undefined);
      overwritten = [];
      if (specs.length === 0) return true;
      const rejected = await journal.append(
        specs.map((spec) => ({
          kind: "submission",
          spec: { ...spec, isRestored: true },
        })),
      );
      const isStored = rejected !== undefined;
      metrics.incrementCounter("submission.restored");
      log.warn(
        {
          jobs: specs.slice(0, MAXIMUM_LOGGED_JOBS).map(({ id }) => id),
          isStored,
          rejected: rejected?.length,
        },
        "submissions stored again: later ones had their IDs",
      );
      return isStored;
    },
  };
}
