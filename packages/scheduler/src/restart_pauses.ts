import type { Milliseconds } from "@rattanhill/shared";
import { isOver, type StepState } from "./cell_state.ts";

/** Pauses of long-running tasks before they are started again. */
export interface RestartPauses {
  /** Lets a task pause until a monotonic time. */
  set(step: StepState, index: number, until: Milliseconds): void;
  /** @returns whether a task pauses now */
  isPaused(step: StepState, index: number): boolean;
  /** Removes the pauses of jobs that are over. */
  prune(): void;
}

/**
 * Creates the pauses, of which there are none yet.
 *
 * @param now returns the monotonic time
 * @returns the pauses
 */
export function createRestartPauses(now: () => Milliseconds): RestartPauses {
  const ends = new Map<StepState, Map<number, Milliseconds>>();
  return {
    set: (step, index, until) => {
      const ofStep = ends.get(step) ?? new Map<number, Milliseconds>();
      ends.set(step, ofStep.set(index, until));
    },
    isPaused: (step, index) =>
      now() < (ends.get(step)?.get(index) ?? -Infinity),
    prune: () => {
      for (const step of ends.keys()) {
        if (isOver(step.job)) ends.delete(step);
      }
    },
  };
}
