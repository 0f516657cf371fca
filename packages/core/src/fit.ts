import type { WorkerView } from "./inventory.ts";
import { Adjacency, type Shape } from "./shape.ts";

/** Workers chosen for the parts of a job, one for each part. */
export type Placement = readonly WorkerView[];

/** Returns the accelerators of a worker that a placement may use. */
export type Capacity = (worker: WorkerView) => number;

/**
 * Finds a placement by a best-fit heuristic, which tends to keep workers and
 * racks entirely free.
 *
 * @param shape accelerators needed
 * @param racks usable workers by rack
 * @param capacity accelerators that may be used on a worker
 * @returns one worker for each part, or `undefined` when the shape does not fit
 */
export function findPlacement(
  shape: Shape,
  racks: Iterable<readonly WorkerView[]>,
  capacity: Capacity,
): Placement | undefined {
  switch (shape.adjacent) {
    case Adjacency.worker:
      return findOnOneWorker(shape, racks, capacity);
    case Adjacency.rack:
      return findInOneRack(shape, racks, capacity);
    case Adjacency.none:
      return findAnywhere(shape, racks, capacity);
  }
}

/**
 * Lists the groups of workers that satisfy the adjacency of a shape.
 *
 * @param shape accelerators needed
 * @param racks workers by rack
 * @returns groups of workers; all parts must be placed within one group
 */
export function adjacentGroups(
  shape: Shape,
  racks: readonly (readonly WorkerView[])[],
): readonly (readonly WorkerView[])[] {
  const isOnOneWorker = shape.adjacent === Adjacency.worker ||
    (shape.adjacent === Adjacency.none && shape.parts === 1);
  if (isOnOneWorker) return racks.flat().map((worker) => [worker]);
  return shape.adjacent === Adjacency.rack ? racks : [racks.flat()];
}

function findOnOneWorker(
  shape: Shape,
  racks: Iterable<readonly WorkerView[]>,
  capacity: Capacity,
): Placement | undefined {
  const needed = shape.parts * shape.accelerators;
  const best = findBestWorker(racks, needed, capacity);
  return best && new Array<WorkerView>(shape.parts).fill(best);
}

function findBestWorker(
  racks: Iterable<readonly WorkerView[]>,
  needed: number,
  capacity: Capacity,
): WorkerView | undefined {
  let best: WorkerView | undefined;
  let bestScore = Infinity;
  for (const rack of racks) {
    const rackFree = sumCapacity(rack, capacity);
    for (const worker of rack) {
      const left = capacity(worker) - needed;
      if (left < 0) continue;
      const score = scoreWorker(worker, left, rackFree);
      if (score >= bestScore) continue;
      best = worker;
      bestScore = score;
    }
  }
  return best;
}

/**
 * Scores a worker; the lowest score is chosen. Splitting an entirely free
 * worker weighs most, then the accelerators left over, then the free
 * accelerators of the rack: partly used workers, tight fits and full racks are
 * preferred.
 */
function scoreWorker(
  worker: WorkerView,
  left: number,
  rackFree: number,
): number {
  const splitsFreeWorker = worker.free === worker.accelerators && left > 0
    ? 1
    : 0;
  return splitsFreeWorker * 1e9 + left * 1e5 + Math.min(rackFree, 99_999);
}

function findInOneRack(
  shape: Shape,
  racks: Iterable<readonly WorkerView[]>,
  capacity: Capacity,
): Placement | undefined {
  let best: Placement | undefined;
  let bestLeft = Infinity;
  for (const rack of racks) {
    const left = sumCapacity(rack, capacity);
    if (left >= bestLeft) continue;
    const placement = packParts(shape, rack, capacity);
    if (placement === undefined) continue;
    best = placement;
    bestLeft = left;
  }
  return best;
}

/**
 * Prefers a placement within one rack. Across racks, the racks with the least
 * free capacity come first where workers are otherwise equal.
 */
function findAnywhere(
  shape: Shape,
  racks: Iterable<readonly WorkerView[]>,
  capacity: Capacity,
): Placement | undefined {
  if (shape.parts === 1) {
    const best = findBestWorker(racks, shape.accelerators, capacity);
    return best && [best];
  }
  const within = findInOneRack(shape, racks, capacity);
  if (within !== undefined) return within;
  const ordered = [...racks]
    .map((rack) => ({ rack, free: sumCapacity(rack, capacity) }))
    .sort((a, b) => a.free - b.free)
    .flatMap(({ rack }) => rack);
  return packParts(shape, ordered, capacity);
}

/**
 * Fills workers in the order of `orderCandidates`, so that entirely free
 * workers stay free.
 */
function packParts(
  shape: Shape,
  workers: readonly WorkerView[],
  capacity: Capacity,
): Placement | undefined {
  const candidates = workers
    .map((worker) => ({
      worker,
      room: Math.floor(capacity(worker) / shape.accelerators),
      left: capacity(worker) % shape.accelerators,
    }))
    .filter(({ room }) => room > 0)
    .sort((a, b) => a.room - b.room || a.left - b.left);
  const total = candidates.reduce((sum, { room }) => sum + room, 0);
  if (total < shape.parts) return undefined;
  const placement: WorkerView[] = [];
  for (const { worker, room } of orderCandidates(candidates, shape.parts)) {
    const count = Math.min(room, shape.parts - placement.length);
    for (let part = 0; part < count; part++) placement.push(worker);
  }
  return placement;
}

interface Candidate {
  worker: WorkerView;
  /** Number of parts that fit on the worker. */
  room: number;
}

/**
 * Chooses a worker that fits exactly all parts if there is one. Otherwise
 * orders partly used workers by least room first, then entirely free ones by
 * most room first, so that as few of them as possible are split.
 */
function orderCandidates(
  candidates: readonly Candidate[],
  parts: number,
): readonly Candidate[] {
  const exact = candidates.find(({ room }) => room === parts);
  if (exact !== undefined) return [exact];
  const partlyUsed = candidates.filter(({ worker }) =>
    worker.free < worker.accelerators
  );
  const entirelyFree = candidates.filter(({ worker }) =>
    worker.free === worker.accelerators
  );
  return [...partlyUsed, ...entirelyFree.reverse()];
}

function sumCapacity(
  workers: readonly WorkerView[],
  capacity: Capacity,
): number {
  let sum = 0;
  for (const worker of workers) sum += capacity(worker);
  return sum;
}
