import type { WorkerView } from "./inventory.ts";

/** How scattered the free accelerators of a zone are. */
export interface Fragmentation {
  /** Free accelerators. */
  free: number;
  /** 1 − free accelerators in blocks that fit the reference shape ÷ free accelerators; 0 when nothing is free. */
  ratio: number;
  /** Free accelerators of the emptiest rack. */
  largestRackBlock: number;
  /** Free accelerators of the emptiest worker. */
  largestWorkerBlock: number;
}

/** Shape against which fragmentation is measured: whole workers within one rack. */
export interface ReferenceShape {
  /** Whole free workers that a block needs. */
  workers: number;
}

/** Reference used by reports: two whole workers of one rack. */
export const REFERENCE_SHAPE: ReferenceShape = { workers: 2 };

/**
 * Measures fragmentation.
 *
 * @param racks usable workers by rack
 * @param reference the large shape
 * @returns the measure; a ratio of 0 means that all free capacity can take the reference shape
 */
export function measureFragmentation(
  racks: Iterable<readonly WorkerView[]>,
  reference: ReferenceShape = REFERENCE_SHAPE,
): Fragmentation {
  let free = 0;
  let usable = 0;
  let largestRackBlock = 0;
  let largestWorkerBlock = 0;
  for (const rack of racks) {
    let rackFree = 0;
    const empty: number[] = [];
    for (const worker of rack) {
      rackFree += worker.free;
      largestWorkerBlock = Math.max(largestWorkerBlock, worker.free);
      if (worker.free === worker.accelerators) empty.push(worker.accelerators);
    }
    free += rackFree;
    largestRackBlock = Math.max(largestRackBlock, rackFree);
    const blocks = Math.floor(empty.length / reference.workers);
    usable += sum(empty.slice(0, blocks * reference.workers));
  }
  const ratio = free === 0 ? 0 : 1 - usable / free;
  return { free, ratio, largestRackBlock, largestWorkerBlock };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
