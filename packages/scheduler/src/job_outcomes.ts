import {
  type ActiveJob,
  type CellState,
  isOver,
  type Run,
} from "./cell_state.ts";
import { isStepDoneAt } from "./job_steps.ts";
import { type JobOutcome, occurrencesOf } from "./job_types.ts";

/** Sets the outcome of a job once all steps of all occurrences are done. */
export function completeJobIfDone(state: CellState, job: ActiveJob): void {
  if (isOver(job)) return;
  const occurrenceCount = occurrencesOf(job.spec);
  for (let occurrence = 0; occurrence < occurrenceCount; occurrence++) {
    if (job.finishedOccurrences.has(occurrence)) continue;
    const doneSteps = countLeadingDoneSteps(job, occurrence);
    if (doneSteps < job.spec.steps.length) {
      job.leadingDoneSteps.set(occurrence, doneSteps);
      return;
    }
    job.leadingDoneSteps.delete(occurrence);
    job.finishedOccurrences.add(occurrence);
  }
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
