import type { Milliseconds } from "@rattanhill/shared";
import type { WorkerState } from "./cell_state.ts";

/** Times at which the address of a worker refused connections. */
export interface Refusals {
  /** First of the refusals that nothing else has interrupted. */
  since: Milliseconds;
  last: Milliseconds;
}

// A process that shuts down may close its port a little before it exits.
const MINIMUM_REFUSAL_MS: Milliseconds = 500;

/**
 * Records the result of a poll.
 *
 * @param worker the worker
 * @param refusedAt monotonic time at which the connection was refused; undefined
 * if it was not
 */
export function recordRefusal(
  worker: Pick<WorkerState, "refusals">,
  refusedAt: Milliseconds | undefined,
): void {
  worker.refusals = refusedAt === undefined
    ? undefined
    : { since: worker.refusals?.since ?? refusedAt, last: refusedAt };
}

/**
 * Returns whether a worker has left as it announced, with all of its runs: it
 * was draining and no longer answers, and either withdrew its entry from the
 * list, or the entry is gone and no process listens at its address any more. One
 * that is only cut off does not refuse connections.
 */
export function hasDeparted(
  { hasLeft, isDraining, isListed, silentSince, refusals }: WorkerState,
): boolean {
  if (silentSince === undefined) return false;
  if (hasLeft) return true;
  return isDraining && !isListed && refusals !== undefined &&
    refusals.last - refusals.since >= MINIMUM_REFUSAL_MS;
}
