import type { Logger } from "@rattanhill/shared";
import type { ActiveJob, CellState } from "./cell_state.ts";
import { findStep, isStepDone } from "./job_steps.ts";
import { stepKey } from "./job_types.ts";
import type { CellRecord } from "./records.ts";
import { type NumberRange, NumberRanges } from "./number_ranges.ts";

/**
 * Replaces the stored progress of finished occurrences by one record that names
 * them. The record must be stored before the progress is deleted.
 */
export interface Compaction {
  job: ActiveJob;
  /** Occurrences whose progress is no longer needed with the record. */
  occurrences: readonly number[];
  /** All occurrences that the record names. */
  ranges: NumberRange[];
}

/** @returns the record of a compaction */
export function compactionRecordOf(
  { job, ranges }: Compaction,
): CellRecord & { kind: "finishedOccurrences" } {
  return { kind: "finishedOccurrences", job: job.spec.id, ranges };
}

// Finished steps of a job for which a record is stored; each record is read by
// all entries.
const MINIMUM_STEPS = 64;
// Keeps a record below 20 KB. With more gaps, an occurrence is compacted once a
// neighbour is.
const MAXIMUM_RANGES = 500;

/**
 * Finds the job's finished occurrences whose progress may be deleted: all steps
 * are done and stored, and neither runs nor crashes of them have to be known.
 *
 * @param state the cell
 * @param job a periodic job
 * @returns the compaction; undefined while there are too few, and for a job
 * whose record the store rejects
 */
export function findCompaction(
  state: CellState,
  job: ActiveJob,
): Compaction | undefined {
  const { spec: { steps }, occurrences: known } = job;
  const { uncompacted, compacted, isUnstorable } = known;
  const minimum = MINIMUM_STEPS / steps.length;
  if (uncompacted.size < minimum || isUnstorable) return undefined;
  const named = new NumberRanges(compacted.toList());
  const occurrences = [...uncompacted].sort((a, b) => a - b)
    .filter((occurrence) => {
      const isNamable = named.rangeCount < MAXIMUM_RANGES ||
        named.has(occurrence - 1) || named.has(occurrence + 1);
      const isSettled = isNamable &&
        steps.every((_, index) =>
          isStepSettled(state, job, { occurrence, index })
        );
      if (isSettled) named.add(occurrence);
      return isSettled;
    });
  if (occurrences.length < minimum) return undefined;
  return { job, occurrences, ranges: named.toList() };
}

/** Deletes the progress that a compaction replaces, after it was stored. */
export function applyCompaction(
  state: CellState,
  { job, occurrences: settled, ranges }: Compaction,
): void {
  const { spec, occurrences, steps, droppedSteps } = job;
  if (state.jobs.get(spec.id) !== job) return;
  occurrences.compacted = new NumberRanges(ranges);
  for (const occurrence of settled) {
    occurrences.uncompacted.delete(occurrence);
    droppedSteps.delete(occurrence);
    for (let index = 0; index < spec.steps.length; index++) {
      const key = stepKey(spec.id, occurrence, index);
      state.removedSteps.add(key);
      for (const part of steps.get(key)?.storedParts.keys() ?? []) {
        state.removedSteps.add(part);
      }
      steps.delete(key);
    }
  }
}

/**
 * Keeps the progress of the finished occurrences of a job, since the store
 * rejects the record that would replace it.
 *
 * @param state the cell
 * @param id ID of the job
 * @param log where it is told
 */
export function keepUncompacted(
  state: CellState,
  id: string,
  log: Logger,
): void {
  const job = state.jobs.get(id);
  if (job === undefined) return;
  job.occurrences.isUnstorable = true;
  log.error(
    { job: id, occurrences: job.occurrences.uncompacted.size },
    "finished occurrences stay stored: the store rejects their record",
  );
}

function isStepSettled(
  { unsavedSteps }: CellState,
  job: ActiveJob,
  { occurrence, index }: { occurrence: number; index: number },
): boolean {
  if (job.droppedSteps.get(occurrence)?.has(index)) return true;
  const step = findStep(job, occurrence, index);
  return step !== undefined && isStepDone(step) && step.runs.size === 0 &&
    step.crashes.size === 0 && !unsavedSteps.has(step);
}
