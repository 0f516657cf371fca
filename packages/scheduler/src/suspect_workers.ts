import type { Quarantine } from "@rattanhill/core";
import type { Milliseconds } from "@rattanhill/shared";
import type { StepState, WorkerState } from "./cell_state.ts";
import { slotsWhenEmpty } from "./placement.ts";

/** Options of {@link withoutSuspects}. */
export interface SuspectWorkersOptions {
  quarantine: Pick<Quarantine, "isEligible" | "recentFailures">;
  now: Milliseconds;
  /** Number of the step's tasks to place. */
  taskCount: number;
}

// Number of different jobs that fail on a worker, with no success in between,
// from which the worker is suspected to fail everything. Single tasks also fail
// by their own fault.
const FAILED_JOBS_FOR_SUSPICION = 2;
// The other workers must hold this multiple of the tasks when empty. Otherwise
// the suspected ones are used, so that no job waits for workers that do not
// recover.
const MINIMUM_ROOM_FACTOR = 2;

/**
 * Leaves out workers that are suspected to fail whatever they start. Such a
 * worker is free again within milliseconds, so under load it would attract most
 * of the waiting work, and use up its attempts.
 *
 * @param step the step to place
 * @param workers workers that may get new runs
 * @param options recent failures, the time and the number of tasks
 * @returns the workers without the suspected ones; all workers if the others
 * have too little room for the step
 */
export function withoutSuspects(
  step: StepState,
  workers: readonly WorkerState[],
  { quarantine, now, taskCount }: SuspectWorkersOptions,
): readonly WorkerState[] {
  const sound = workers.filter(({ id }) =>
    quarantine.isEligible(id, now) &&
    quarantine.recentFailures(id, now) < FAILED_JOBS_FOR_SUSPICION
  );
  if (sound.length === workers.length) return workers;
  const hasRoom = slotsWhenEmpty(step, sound) >=
    MINIMUM_ROOM_FACTOR * taskCount;
  return hasRoom ? sound : workers;
}
