import type { LeaseView, WorkerView } from "./inventory.ts";
import { adjacentGroups, type Placement } from "./fit.ts";
import type { Shape } from "./shape.ts";

/** A placement that needs running work to be stopped. */
export interface ReclaimPlan {
  placement: Placement;
  /** Leases to stop; all parts of a gang job together. */
  victims: readonly LeaseView[];
  /** Accelerator-milliseconds of work that are lost. */
  cost: number;
}

/** Options of {@link planReclaim}. */
export interface ReclaimOptions {
  shape: Shape;
  racks: readonly (readonly WorkerView[])[];
  /** Accelerators of a worker that the job may use, when nothing ran there that may be stopped. */
  limit(worker: WorkerView): number;
  /** Accelerators that are free for the job now. */
  free(worker: WorkerView): number;
  /** @returns whether a lease may be stopped for the job */
  isVictim(lease: LeaseView): boolean;
  /** Accelerators that an account may lose. */
  reclaimableFrom(account: string): number;
  /** All leases of a request, for gang jobs. */
  leasesOf(request: string): readonly LeaseView[];
}

const STOP_COST_MS = 1_000; // each stopped accelerator costs at least this much work
const PRIORITY_COST_MS = 100; // for each point of priority

/**
 * Finds the placement that loses the least running work.
 *
 * @param options the job and what may be stopped for it
 * @returns the plan, or `undefined` when nothing helps
 */
export function planReclaim(options: ReclaimOptions): ReclaimPlan | undefined {
  let best: ReclaimPlan | undefined;
  for (const group of adjacentGroups(options.shape, options.racks)) {
    const plan = planInGroup(group, options, best?.cost ?? Infinity);
    if (plan !== undefined) best = plan;
  }
  return best;
}

interface PartialPlan {
  victims: Map<string, LeaseView>;
  /** Accelerators freed on each worker. */
  freed: Map<string, number>;
  /** Accelerators taken from each account. */
  taken: Map<string, number>;
  cost: number;
}

/** Adds one part after the other, each where it costs the least. */
function planInGroup(
  group: readonly WorkerView[],
  options: ReclaimOptions,
  bound: number,
): ReclaimPlan | undefined {
  const { shape } = options;
  const placement: WorkerView[] = [];
  const placed = new Map<string, number>();
  let draft: PartialPlan = {
    victims: new Map(),
    freed: new Map(),
    taken: new Map(),
    cost: 0,
  };
  while (placement.length < shape.parts) {
    let best: { worker: WorkerView; draft: PartialPlan } | undefined;
    for (const worker of group) {
      const used = (placed.get(worker.name) ?? 0) + shape.accelerators;
      const next = freeUp(worker, used, draft, options);
      if (next === undefined || next.cost >= bound) continue;
      if (best !== undefined && next.cost >= best.draft.cost) continue;
      best = { worker, draft: next };
      if (next.cost === draft.cost) break; // cannot cost less
    }
    if (best === undefined) return undefined;
    draft = best.draft;
    placement.push(best.worker);
    const { name } = best.worker;
    placed.set(name, (placed.get(name) ?? 0) + shape.accelerators);
  }
  return { placement, victims: [...draft.victims.values()], cost: draft.cost };
}

/** Stops the cheapest leases of a worker until the needed accelerators are free. */
function freeUp(
  worker: WorkerView,
  needed: number,
  draft: PartialPlan,
  options: ReclaimOptions,
): PartialPlan | undefined {
  if (needed > options.limit(worker)) return undefined;
  const freeNow = (current: PartialPlan) =>
    options.free(worker) + (current.freed.get(worker.name) ?? 0);
  if (freeNow(draft) >= needed) return draft;
  let next = draft;
  const candidates = [...worker.leases.values()]
    .filter((lease) => !draft.victims.has(lease.lease))
    .filter(options.isVictim)
    .sort((a, b) => costOf(a) - costOf(b));
  for (const lease of candidates) {
    if (next.victims.has(lease.lease)) continue;
    next = addVictims(lease, next, options) ?? next;
    if (freeNow(next) >= needed) return next;
  }
  return undefined;
}

/** A gang job is stopped as a whole or not at all. */
function addVictims(
  lease: LeaseView,
  draft: PartialPlan,
  options: ReclaimOptions,
): PartialPlan | undefined {
  const members = lease.parts > 1 ? options.leasesOf(lease.request) : [lease];
  const accelerators = members.reduce(
    (sum, part) => sum + part.accelerators,
    0,
  );
  const taken = (draft.taken.get(lease.account) ?? 0) + accelerators;
  if (taken > options.reclaimableFrom(lease.account)) return undefined;
  const next: PartialPlan = {
    victims: new Map(draft.victims),
    freed: new Map(draft.freed),
    taken: new Map(draft.taken).set(lease.account, taken),
    cost: draft.cost,
  };
  for (const part of members) {
    next.victims.set(part.lease, part);
    const freed = (next.freed.get(part.worker) ?? 0) + part.accelerators;
    next.freed.set(part.worker, freed);
    next.cost += costOf(part);
  }
  return next;
}

function costOf(lease: LeaseView): number {
  return lease.accelerators *
    (STOP_COST_MS + lease.sinceCheckpointMs +
      lease.priority * PRIORITY_COST_MS);
}
