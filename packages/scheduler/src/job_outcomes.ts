import {
  type ActiveJob,
  type CellState,
  isOver,
  type Run,
} from "./cell_state.ts";
import { finishOccurrence } from "./job_occurrences.ts";
import { isStepDoneAt } from "./job_steps.ts";
import { type JobOutcome, occurrencesOf } from "./job_types.ts";

/**
 * Finishes occurrences of a job whose steps are all done, and sets the outcome
 * of the job once all of its occurrences are finished.
 *
 * @param state the cell
 * @param job the job
 * @param changed occurrences of which a step may have ended; by default all
 * that are open
 */
export function completeJobIfDone(
  state: CellState,
  job: ActiveJob,
  changed: Iterable<number> = [...job.occurrences.open],
): void {
  if (isOver(job)) return;
  const { spec, occurrences, leadingDoneSteps } = job;
  for (const occurrence of changed) {
    if (occurrences.finished.has(occurrence)) continue;
    const doneSteps = countLeadingDoneSteps(job, occurrence);
    if (doneSteps < spec.steps.length) {
      leadingDoneSteps.set(occurrence, doneSteps);
      continue;
    }
    leadingDoneSteps.delete(occurrence);
    finishOccurrence(occurrences, occurrence);
    if (spec.repetition !== undefined) state.jobsToCompact.add(job);
  }
  if (occurrences.finished.size < occurrencesOf(spec)) return;
  setJobOutcome(state, job, "completed");
}

/**
 * Counts the steps, from the first one on, that are done. Goes on where the last
 * count ended, since a step that is done stays so.
 */
function countLeadingDoneSteps(
  job: ActiveJob,
  occurrence: number,
): number {
  const { spec: { steps }, leadingDoneSteps } = job;
  let count = leadingDoneSteps.get(occurrence) ?? 0;
  while (count < steps.length && isStepDoneAt(job, occurrence, count)) {
    count += 1;
  }
  return count;
}

/**
 * Fails a job and stops its runs.
 *
 * @param state the cell
 * @param job the job, which has not ended
 * @param stop how to stop a run
 */
export function failJob(
  state: CellState,
  job: ActiveJob,
  stop: (run: Run, reason: string) => void,
): void {
  setJobOutcome(state, job, "failed");
  for (const step of job.steps.values()) {
    for (const run of [...step.runs.values()]) stop(run, "its job failed");
  }
}

/** Sets the outcome of a job, to be stored with the next batch. */
export function setJobOutcome(
  state: CellState,
  job: ActiveJob,
  outcome: JobOutcome,
): void {
  job.outcome = outcome;
  state.unsavedOutcomes.add(job);
}
