import type { Milliseconds } from "@rattanhill/shared";
import type { ReclaimPlan } from "./reclaim.ts";

/** A placement that waits for its victims to stop. */
export interface PendingReclaim {
  plan: ReclaimPlan;
  /** Accelerators kept for the placement, by worker. */
  kept: ReadonlyMap<string, number>;
  /** Time of planning, from which the time-out counts. */
  plannedAt: Milliseconds;
}

/**
 * Reclaims in progress, by request, with the capacity that they keep on each
 * worker.
 */
export interface PendingReclaims {
  get(id: string): PendingReclaim | undefined;
  /** Adds the reclaim of a request, replacing an earlier one. */
  set(id: string, reclaim: PendingReclaim): void;
  delete(id: string): void;
  /** @returns accelerators of a worker that all reclaims together keep */
  kept(worker: string): number;
  size(): number;
}

/**
 * Creates an empty set of reclaims.
 *
 * @returns the set; totals by worker are kept up to date, so that reading them
 * takes constant time
 */
export function createPendingReclaims(): PendingReclaims {
  const pending = new Map<string, PendingReclaim>();
  const totals = new Map<string, number>();
  const updateTotals = ({ kept }: PendingReclaim, sign: 1 | -1): void => {
    for (const [worker, accelerators] of kept) {
      const total = (totals.get(worker) ?? 0) + sign * accelerators;
      totals.set(worker, total);
    }
  };
  const remove = (id: string): void => {
    const reclaim = pending.get(id);
    if (reclaim === undefined) return;
    pending.delete(id);
    updateTotals(reclaim, -1);
  };
  return {
    get: (id: string) => pending.get(id),
    set: (id: string, reclaim: PendingReclaim): void => {
      remove(id);
      pending.set(id, reclaim);
      updateTotals(reclaim, 1);
    },
    delete: remove,
    kept: (worker: string): number => totals.get(worker) ?? 0,
    size: () => pending.size,
  };
}
