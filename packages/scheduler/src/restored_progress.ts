import {
  type ActiveJob,
  type CellState,
  getOrCreateStep,
  type StepState,
} from "./cell_state.ts";
import type { StoredJob } from "./job_book.ts";
import { createJobOccurrences } from "./job_occurrences.ts";
import { dropIfDone } from "./job_steps.ts";
import type { StepRecord } from "./records.ts";

/** Options of {@link restoreProgress}. */
export interface RestoreOptions {
  state: CellState;
  /** Restores a run that may exist. */
  restoreRun(step: StepState, run: StepRecord["runs"][number]): void;
}

/**
 * Restores the progress of a job that earlier leads have stored.
 *
 * @param job the job, without progress
 * @param stored its records
 * @param options the cell and how to restore a run
 */
export function restoreProgress(
  job: ActiveJob,
  { spec, steps, finishedOccurrences }: StoredJob,
  { state, restoreRun }: RestoreOptions,
): void {
  job.occurrences = createJobOccurrences(spec, finishedOccurrences);
  const { open, finished } = job.occurrences;
  for (const [key, record] of steps) {
    const [, occurrence, index] = key.split(".").map(Number);
    if (finished.has(occurrence)) {
      // The earlier lead has ended before it deleted this progress.
      for (const part of record.keys ?? [key]) state.removedSteps.add(part);
      continue;
    }
    open.add(occurrence);
    const step = getOrCreateStep(job, occurrence, index);
    step.highestRun = record.highestRun;
    for (const task of record.done) step.done.add(task);
    for (const [task, runs] of record.failedRuns) {
      step.failedRuns.set(task, new Set(runs));
    }
    for (const [task, checkpoint] of record.checkpoints) {
      step.checkpoints.set(task, checkpoint);
    }
    for (const part of record.keys ?? []) step.storedParts.set(part, "");
    for (const [task, met, suspected, areConfirmed] of record.crashes) {
      step.crashes.set(task, {
        met: new Set(met),
        // Earlier versions suspected tasks whose starts had not arrived.
        suspected: new Set(areConfirmed ? suspected : []),
      });
    }
    // The earlier lead may have ended between the two appends.
    if (!job.hasStarted && step.highestRun > 0) {
      state.unsavedSteps.add(step);
    }
    for (const run of record.runs) {
      restoreRun(step, run);
    }
    if (!state.unsavedSteps.has(step)) dropIfDone(step);
  }
}
