import type { JobSpec } from "./job_types.ts";
import { type NumberRange, NumberRanges } from "./number_ranges.ts";

/** Which occurrences of a job are open or finished; a job may have only one. */
export interface JobOccurrences {
  /**
   * Unfinished occurrences whose steps may run. Those of a periodic job are
   * opened in order, as they are due and as memory allows.
   */
  open: Set<number>;
  /** Occurrence below which all were opened. */
  next: number;
  /** Occurrences whose steps have all ended successfully. */
  finished: NumberRanges;
  /** Finished occurrences that are stored as such, without their progress. */
  compacted: NumberRanges;
  /** Finished occurrences of a periodic job that are not compacted. */
  uncompacted: Set<number>;
  /** Whether the store has rejected the record of finished ones for good. */
  isUnstorable?: boolean;
}

/**
 * @param spec the job
 * @param compacted its occurrences that are stored as finished
 * @returns its occurrences; all others of a periodic job are yet to be opened
 */
export function createJobOccurrences(
  { repetition }: JobSpec,
  compacted: readonly NumberRange[] = [],
): JobOccurrences {
  const isPeriodic = repetition !== undefined;
  return {
    open: new Set(isPeriodic ? [] : [0]),
    next: isPeriodic ? 0 : 1,
    finished: new NumberRanges(compacted),
    compacted: new NumberRanges(compacted),
    uncompacted: new Set(),
  };
}

/** @returns the lowest occurrence that is neither open nor finished */
export function nextOccurrence(occurrences: JobOccurrences): number {
  const { open, finished } = occurrences;
  let { next } = occurrences;
  while (open.has(next) || finished.has(next)) {
    next = open.has(next) ? next + 1 : finished.nextAbsent(next);
  }
  occurrences.next = next;
  return next;
}

/** Records that all steps of an occurrence have ended successfully. */
export function finishOccurrence(
  { open, finished, uncompacted }: JobOccurrences,
  occurrence: number,
): void {
  open.delete(occurrence);
  finished.add(occurrence);
  uncompacted.add(occurrence);
}
