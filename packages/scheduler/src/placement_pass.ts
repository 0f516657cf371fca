import type { Isolate } from "@rattanhill/shared";
import type { StepState } from "./cell_state.ts";
import type { PassLimits } from "./pass_limits.ts";
import { placementShapeOf } from "./placement_shape.ts";
import type { WaitingStep } from "./step_ranking.ts";

/** Options of {@link placeInOrder}. */
export interface PlacementPassOptions {
  limits: PassLimits;
  /** Places tasks of a step. */
  place(waiting: WaitingStep): void;
  /**
   * Called for a step that is not tried, since `failed`, which has the same
   * shape, could not be placed earlier in the pass.
   */
  onSkipped(waiting: WaitingStep, failed: StepState): void;
  /** Called for a step that the limits of the pass keep from being tried. */
  onNotReached(waiting: WaitingStep): void;
  /** Keeps the failure of one step from the others. */
  isolate: Isolate;
}

/**
 * Tries to place waiting steps, one after the other, within the limits of a
 * pass.
 *
 * @param waitingSteps the steps in planning order
 * @param options the limits, and what is done with each step
 */
export function placeInOrder(
  waitingSteps: readonly WaitingStep[],
  { limits, place, onSkipped, onNotReached, isolate }: PlacementPassOptions,
): void {
  const failedShapes = new Map<string, WaitingStep>();
  let isCut = false;
  for (const waiting of waitingSteps) {
    const { step, tasks, expectedMs } = waiting;
    isCut ||= limits.remainingStarts() === 0 || limits.isOutOfTime();
    if (isCut) {
      onNotReached(waiting);
      continue;
    }
    const shape = isolate(
      { operation: "step.shape", item: step.key },
      () => placementShapeOf(waiting),
    );
    const failed = failedShapes.get(shape ?? "");
    // Shorter tasks may end before the start of a gang with a reservation.
    if (failed !== undefined && expectedMs >= failed.expectedMs) {
      onSkipped(waiting, failed.step);
      continue;
    }
    if (!limits.mayTry(step)) {
      onNotReached(waiting);
      continue;
    }
    const runCountBefore = step.runs.size;
    isolate(
      { operation: "step.place", item: step.key },
      () => place(waiting),
    );
    const placedCount = step.runs.size - runCountBefore;
    limits.recordPlaced(placedCount);
    if (shape !== undefined && placedCount < tasks.length) {
      failedShapes.set(shape, waiting);
    }
  }
  if (!isCut) limits.endRound();
}

/**
 * Limits the tasks of a step to the number that a pass may still start. A gang
 * starts as a whole.
 *
 * @param waiting the step
 * @param limits the limits of the pass
 * @returns the step with the tasks to place now
 */
export function withinStartLimit(
  waiting: WaitingStep,
  limits: Pick<PassLimits, "remainingStarts">,
): WaitingStep {
  const count = limits.remainingStarts();
  const { step, tasks } = waiting;
  if (step.spec.isGang || tasks.length <= count) return waiting;
  return { ...waiting, tasks: tasks.slice(0, count) };
}
