import type { WorkerView } from "./inventory.ts";
import { Adjacency, type Shape } from "./shape.ts";

/** Workers chosen for the parts of a job, one for each part. */
export type Placement = readonly WorkerView[];

/** Counts the accelerators of a worker that are free for a job. */
export type CountFree = (worker: WorkerView) => number;

/**
 * Finds a placement by a best-fit heuristic, which tends to keep workers and
 * racks entirely free.
 *
 * @param shape accelerators needed
 * @param racks usable workers by rack
 * @param countFree counts the accelerators of a worker that are free for the
 * job
 * @returns one worker for each part, or `undefined` when the shape does not fit
 */
export function findPlacement(
  shape: Shape,
  racks: Iterable<readonly WorkerView[]>,
  countFree: CountFree,
): Placement | undefined {
  switch (shape.adjacent) {
    case Adjacency.worker:
      return findOnOneWorker(shape, racks, countFree);
    case Adjacency.rack:
      return findInOneRack(shape, racks, countFree);
    case Adjacency.none:
      return findAnywhere(shape, racks, countFree);
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
  countFree: CountFree,
): Placement | undefined {
  const needed = shape.parts * shape.accelerators;
  const best = findBestWorker(racks, needed, countFree);
  return best && new Array<WorkerView>(shape.parts).fill(best);
}

function findBestWorker(
  racks: Iterable<readonly WorkerView[]>,
  needed: number,
  countFree: CountFree,
): WorkerView | undefined {
  let best: WorkerView | undefined;
  let bestScore = Infinity;
  for (const rack of racks) {
    const rackFree = sumFree(rack, countFree);
    for (const worker of rack) {
      const left = countFree(worker) - needed;
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
 * Scores a worker; the lowest score is chosen. The criteria are, in order, that
 * no entirely free worker is split, that few accelerators are left over, and
 * that the rack has few free accelerators. The factors make each criterion
 * outweigh all later ones.
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
  countFree: CountFree,
): Placement | undefined {
  let best: Placement | undefined;
  let leastFree = Infinity;
  for (const rack of racks) {
    const rackFree = sumFree(rack, countFree);
    if (rackFree >= leastFree) continue;
    const placement = packParts(shape, rack, countFree);
    if (placement === undefined) continue;
    best = placement;
    leastFree = rackFree;
  }
  return best;
}

/**
 * Prefers a placement within one rack. Across racks, those with the fewest free
 * accelerators come first where workers are otherwise equal.
 */
function findAnywhere(
  shape: Shape,
  racks: Iterable<readonly WorkerView[]>,
  countFree: CountFree,
): Placement | undefined {
  if (shape.parts === 1) {
    const best = findBestWorker(racks, shape.accelerators, countFree);
    return best && [best];
  }
  const within = findInOneRack(shape, racks, countFree);
  if (within !== undefined) return within;
  const ordered = [...racks]
    .map((rack) => ({ rack, free: sumFree(rack, countFree) }))
    .sort((a, b) => a.free - b.free)
    .flatMap(({ rack }) => rack);
  return packParts(shape, ordered, countFree);
}

/**
 * Places the parts on workers in the order of `orderCandidates`, so that as
 * many entirely free workers as possible stay free.
 */
function packParts(
  shape: Shape,
  workers: readonly WorkerView[],
  countFree: CountFree,
): Placement | undefined {
  const candidates = workers
    .map((worker) => ({
      worker,
      fittingParts: Math.floor(countFree(worker) / shape.accelerators),
      left: countFree(worker) % shape.accelerators,
    }))
    .filter(({ fittingParts }) => fittingParts > 0)
    .sort((a, b) => a.fittingParts - b.fittingParts || a.left - b.left);
  const total = candidates.reduce(
    (sum, { fittingParts }) => sum + fittingParts,
    0,
  );
  if (total < shape.parts) return undefined;
  const placement: WorkerView[] = [];
  for (
    const { worker, fittingParts } of orderCandidates(candidates, shape.parts)
  ) {
    const count = Math.min(fittingParts, shape.parts - placement.length);
    for (let part = 0; part < count; part++) placement.push(worker);
  }
  return placement;
}

interface Candidate {
  worker: WorkerView;
  /** Number of parts that fit on the worker. */
  fittingParts: number;
}

/**
 * Returns only the worker on which exactly `parts` parts fit, if there is one.
 * Otherwise, partly used workers come first, in ascending order of the parts
 * that fit, then entirely free ones in descending order, so that as few of
 * these as possible are split.
 */
function orderCandidates(
  candidates: readonly Candidate[],
  parts: number,
): readonly Candidate[] {
  const exact = candidates.find(({ fittingParts }) => fittingParts === parts);
  if (exact !== undefined) return [exact];
  const partlyUsed = candidates.filter(({ worker }) =>
    worker.free < worker.accelerators
  );
  const entirelyFree = candidates.filter(({ worker }) =>
    worker.free === worker.accelerators
  );
  return [...partlyUsed, ...entirelyFree.reverse()];
}

function sumFree(
  workers: readonly WorkerView[],
  countFree: CountFree,
): number {
  let sum = 0;
  for (const worker of workers) sum += countFree(worker);
  return sum;
}
