import type { Milliseconds } from "@rattanhill/shared";
import { type Run, RunPhase, type WorkerState } from "./cell_state.ts";

/** Options of {@link evacuateIfDraining}. */
export interface EvacuationOptions {
  /** Monotonic time. */
  now: Milliseconds;
  /** @returns the expected time until a run ends */
  remainingOf(run: Run): Milliseconds;
  stop(run: Run, reason: string): void;
}

// A run is stopped early only if it would end more than this long after its
// draining worker has left.
const DRAIN_MARGIN_MS: Milliseconds = 300;

/**
 * Stops checkpointing runs of a draining worker, except those of gangs, that
 * would not end before it leaves.
 *
 * @param worker any worker
 * @param options time, estimates and how to stop a run
 */
export function evacuateIfDraining(
  worker: WorkerState,
  { now, remainingOf, stop }: EvacuationOptions,
): void {
  if (!worker.isDraining || worker.remainingSince === undefined) return;
  const leavesInMs = worker.remainingSince + worker.remainingMs - now;
  for (const run of worker.runs) {
    if (run.phase !== RunPhase.running) continue;
    if (!run.step.spec.isCheckpointing || run.step.spec.isGang) continue;
    const endsTooLate = remainingOf(run) > leavesInMs + DRAIN_MARGIN_MS;
    if (endsTooLate) stop(run, "its draining worker leaves too soon");
  }
}
