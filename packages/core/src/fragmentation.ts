import type { WorkerView } from "./inventory.ts";

/** Distribution of the free accelerators of a zone. */
export interface Fragmentation {
  free: number;
  /**
   * Fraction of the free accelerators, from 0 to 1, that the reference shape
   * cannot use; 0 when nothing is free.
   */
  ratio: number;
  /** Free accelerators of the rack that has the most. */
  largestRackBlock: number;
  /** Free accelerators of the worker that has the most. */
  largestWorkerBlock: number;
}

/**
 * Shape by which fragmentation is measured: entirely free workers of one rack.
 */
export interface ReferenceShape {
  /** Entirely free workers that make up one block. */
  workers: number;
}

/** Default reference: two entirely free workers of one rack. */
export const REFERENCE_SHAPE: ReferenceShape = { workers: 2 };

/**
 * Measures the fragmentation of the free accelerators.
 *
 * @param racks usable workers by rack
 * @param reference the shape by which fragmentation is measured
 * @returns the fragmentation; a ratio of 0 means that the reference shape can
 * use all free capacity
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
    const freeWorkerSizes: number[] = [];
    for (const worker of rack) {
      rackFree += worker.free;
      largestWorkerBlock = Math.max(largestWorkerBlock, worker.free);
      if (worker.free === worker.accelerators) {
        freeWorkerSizes.push(worker.accelerators);
      }
    }
    free += rackFree;
    largestRackBlock = Math.max(largestRackBlock, rackFree);
    const blocks = Math.floor(freeWorkerSizes.length / reference.workers);
    usable += sum(freeWorkerSizes.slice(0, blocks * reference.workers));
  }
  const ratio = free === 0 ? 0 : 1 - usable / free;
  return { free, ratio, largestRackBlock, largestWorkerBlock };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
