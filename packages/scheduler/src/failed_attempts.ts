import type { ActiveJob, StepState } from "./cell_state.ts";

/**
 * Counts a failed run of a task once, however often its end is reported. The
 * members of a gang share their run number, so a failed gang counts once.
 *
 * @param step the step of the task
 * @param index index of the task
 * @param number number of the run
 * @returns whether the run was not counted before
 */
export function countFailedRun(
  step: StepState,
  index: number,
  number: number,
): boolean {
  const task = step.spec.isGang ? 0 : index;
  const failedRuns = step.failedRuns.get(task) ?? new Set();
  if (failedRuns.has(number)) return false;
  step.failedRuns.set(task, failedRuns.add(number));
  return true;
}

/** @returns the highest number of failed attempts of a task of the step */
export function failedAttemptsOf({ failedRuns }: StepState): number {
  return Math.max(0, ...[...failedRuns.values()].map(({ size }) => size));
}

/** @returns whether an unfinished task of the job has failed as often as it may */
export function isOutOfAttempts(job: ActiveJob, limit: number): boolean {
  return [...job.steps.values()].some(({ failedRuns, done }) =>
    [...failedRuns].some(([index, runs]) =>
      runs.size >= limit && !done.has(index)
    )
  );
}
