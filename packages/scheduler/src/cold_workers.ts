import type { Milliseconds } from "@rattanhill/shared";
import type { StepState, WorkerEntry, WorkerState } from "./cell_state.ts";
import { type Assignment, type PlacementView, placeStep } from "./placement.ts";

/**
 * Penalty on the placement score of a cold worker. It is above any score for
 * free capacity, at most 3, and below the penalty of 10 for failures: a slow run
 * is better than a failed one.
 */
export const COLD_PENALTY = 5;

/**
 * Computes until when a worker is cold. The list of workers is applied again
 * whenever any entry changes, so an unchanged entry does not extend the time.
 *
 * @param worker the worker before its entry is applied
 * @param entry its entry
 * @param now monotonic time
 * @returns monotonic time from which it is not cold
 */
export function coldUntilOf(
  worker: WorkerState,
  entry: WorkerEntry,
  now: Milliseconds,
): Milliseconds {
  const { coldRemainingMs = 0, lifetime } = entry;
  const isKnown = worker.isListed && lifetime === worker.listedLifetime &&
    coldRemainingMs === (worker.coldRemainingMs ?? 0);
  return isKnown ? worker.coldUntil ?? 0 : now + coldRemainingMs;
}

/** @returns whether runs on the worker are slow because it has just started */
export function isCold({ coldUntil }: WorkerState, now: Milliseconds): boolean {
  return coldUntil !== undefined && coldUntil > now;
}

/**
 * Places tasks of a step like {@link placeStep}, and a gang on cold workers only
 * if it does not fit on others without spanning more racks than it should. For
 * other steps, {@link COLD_PENALTY} is enough.
 *
 * @param step the step
 * @param tasks indices of the tasks to place
 * @param view workers, free capacity and constraints
 * @param now monotonic time
 * @returns the assignment; empty when nothing can be placed now
 */
export function placeOnWarmFirst(
  step: StepState,
  tasks: readonly number[],
  view: PlacementView,
  now: Milliseconds,
): Assignment {
  const warm = view.candidates.filter((worker) => !isCold(worker, now));
  if (step.spec.isGang && warm.length < view.candidates.length) {
    const assignment = placeStep(step, tasks, {
      ...view,
      candidates: warm,
      // Tasks that span racks may be slower than on a cold worker.
      mayUseAnyRack: false,
    });
    if (assignment.size > 0) return assignment;
  }
  return placeStep(step, tasks, view);
}
