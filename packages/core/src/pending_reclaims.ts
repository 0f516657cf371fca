import type { Milliseconds } from "@rattanhill/shared";
import type { ReclaimPlan } from "./reclaim.ts";

/** A placement that waits for leases to stop. */
export interface PendingReclaim {
  plan: ReclaimPlan;
  kept: ReadonlyMap<string, number>;
  plannedAt: Milliseconds;
}

/** Reclaims in progress, with what they keep on each worker. */
export interface PendingReclaims {
  get(id: string): PendingReclaim | undefined;
  set(id: string, reclaim: PendingReclaim): void;
  delete(id: string): void;
  /** @returns accelerators of a worker that are kept, over all reclaims */
  kept(worker: string): number;
  size(): number;
}

/**
 * Creates the set of reclaims, empty.
 *
 * @returns the set
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
    const known = pending.get(id);
    if (known === undefined) return;
    pending.delete(id);
    updateTotals(known, -1);
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
