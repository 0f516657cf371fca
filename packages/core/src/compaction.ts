import type { LeaseView, WorkerView } from "./inventory.ts";

/** Options of {@link planCompaction}. */
export interface CompactionOptions {
  racks: readonly (readonly WorkerView[])[];
  /** @returns whether a lease may be preempted to be placed elsewhere */
  mayMove(lease: LeaseView): boolean;
}

// Upper bound on the accelerators whose work one compaction moves.
const MAXIMUM_MOVED_ACCELERATORS = 4;

/**
 * Finds the partly used worker with the fewest used accelerators whose leases
 * all fit into the free accelerators of other partly used workers. Once they
 * have moved, a large job can be placed on the worker.
 *
 * @param options workers and which leases may be moved
 * @returns leases to preempt; empty when no worker can be emptied
 */
export function planCompaction(
  { racks, mayMove }: CompactionOptions,
): readonly LeaseView[] {
  const partlyUsed = racks.flat().filter(isPartlyUsed);
  const partlyUsedFree = partlyUsed.reduce((sum, { free }) => sum + free, 0);
  let best: WorkerView | undefined;
  for (const worker of partlyUsed) {
    const used = worker.accelerators - worker.free;
    if (
      used > MAXIMUM_MOVED_ACCELERATORS || used > partlyUsedFree - worker.free
    ) continue;
    if (best !== undefined && used >= best.accelerators - best.free) continue;
    const leases = [...worker.leases.values()];
    if (leases.every(mayMove) && fitsElsewhere(leases, worker, partlyUsed)) {
      best = worker;
    }
  }
  return best === undefined ? [] : [...best.leases.values()];
}

function isPartlyUsed({ free, accelerators }: WorkerView): boolean {
  return free > 0 && free < accelerators;
}

function fitsElsewhere(
  leases: readonly LeaseView[],
  origin: WorkerView,
  partlyUsed: readonly WorkerView[],
): boolean {
  const freeElsewhere = partlyUsed.filter((worker) => worker !== origin)
    .map(({ free }) => free).sort((a, b) => a - b);
  const sizes = leases.map(({ accelerators }) => accelerators)
    .sort((a, b) => b - a);
  for (const size of sizes) {
    const index = freeElsewhere.findIndex((free) => free >= size);
    if (index < 0) return false;
    freeElsewhere[index] -= size;
  }
  return true;
}
