import type { LeaseView, WorkerView } from "./inventory.ts";
import { adjacentGroups, type Placement } from "./fit.ts";
import type { Shape } from "./shape.ts";

/** A placement that requires leases to be preempted first. */
export interface ReclaimPlan {
  placement: Placement;
  /** Leases to preempt; a gang job is included with all its parts. */
  victims: readonly LeaseView[];
  /**
   * Work lost by the preemptions, in accelerator-milliseconds, plus surcharges
   * for each preempted accelerator and its priority.
   */
  cost: number;
}

/** Options of {@link planReclaim}. */
export interface ReclaimOptions {
  shape: Shape;
  racks: readonly (readonly WorkerView[])[];
  /**
   * @returns the most accelerators of a worker that the job may use, however
   * many leases are preempted there
   */
  capacity(worker: WorkerView): number;
  /** @returns accelerators of a worker that are free for the job now */
  free(worker: WorkerView): number;
  /** @returns whether a lease may be preempted for the job */
  isVictim(lease: LeaseView): boolean;
  /** @returns the most accelerators that the plan may take from an account */
  reclaimableFrom(account: string): number;
  /** @returns all leases of a request, to preempt gang jobs as a whole */
  leasesOf(request: string): readonly LeaseView[];
  /**
   * @returns whether a gang job may be preempted, given its known leases of one
   *   attempt
   */
  mayStopGang(leases: readonly LeaseView[]): boolean;
}

// Surcharge for each preempted accelerator, so that plans which preempt fewer
// accelerators are preferred.
const STOP_COST_MS = 1_000;
// Surcharge for each preempted accelerator and point of its lease's priority,
// so that work of lower priority is preempted first.
const PRIORITY_COST_MS = 100;

/**
 * Searches for the placement whose preemptions cost the least. The search is
 * greedy within each group of adjacent workers, so it may miss a cheaper plan.
 *
 * @param options shape of the job, workers, and which leases may be preempted
 * @returns the plan, or `undefined` when no allowed preemption makes the job
 * fit
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

/**
 * Places one part after the other greedily, each on the worker where it adds
 * the least cost. Returns `undefined` when a part does not fit or the cost
 * reaches `costBound`.
 */
function planInGroup(
  group: readonly WorkerView[],
  options: ReclaimOptions,
  costBound: number,
): ReclaimPlan | undefined {
  const { shape } = options;
  const placement: WorkerView[] = [];
  const placedByWorker = new Map<string, number>();
  let draft: PartialPlan = {
    victims: new Map(),
    freed: new Map(),
    taken: new Map(),
    cost: 0,
  };
  while (placement.length < shape.parts) {
    let best: { worker: WorkerView; draft: PartialPlan } | undefined;
    for (const worker of group) {
      const needed = (placedByWorker.get(worker.name) ?? 0) +
        shape.accelerators;
      const next = freeUp(worker, needed, draft, options);
      if (next === undefined || next.cost >= costBound) continue;
      if (best !== undefined && next.cost >= best.draft.cost) continue;
      best = { worker, draft: next };
      // A part that needs no preemption cannot be cheaper elsewhere.
      if (next.cost === draft.cost) break;
    }
    if (best === undefined) return undefined;
    draft = best.draft;
    placement.push(best.worker);
    const { name } = best.worker;
    placedByWorker.set(
      name,
      (placedByWorker.get(name) ?? 0) + shape.accelerators,
    );
  }
  return { placement, victims: [...draft.victims.values()], cost: draft.cost };
}

/**
 * Adds the cheapest leases of a worker to the victims until the needed
 * accelerators are free. Returns `undefined` when that is not possible.
 */
function freeUp(
  worker: WorkerView,
  needed: number,
  draft: PartialPlan,
  options: ReclaimOptions,
): PartialPlan | undefined {
  if (needed > options.capacity(worker)) return undefined;
  const freeAfter = (plan: PartialPlan) =>
    options.free(worker) + (plan.freed.get(worker.name) ?? 0);
  if (freeAfter(draft) >= needed) return draft;
  let next = draft;
  const candidates = [...worker.leases.values()]
    .filter((lease) => !draft.victims.has(lease.lease))
    .filter(options.isVictim)
    .sort((a, b) => costOf(a) - costOf(b));
  for (const lease of candidates) {
    if (next.victims.has(lease.lease)) continue;
    next = addVictims(lease, next, options) ?? next;
    if (freeAfter(next) >= needed) return next;
  }
  return undefined;
}

/**
 * Adds a lease to the victims, for a gang job with all other leases of the job.
 * Returns `undefined` when the gang job may not be stopped, or the plan would
 * take more accelerators from the account than are reclaimable.
 */
function addVictims(
  lease: LeaseView,
  draft: PartialPlan,
  options: ReclaimOptions,
): PartialPlan | undefined {
  const isGang = lease.parts > 1;
  const members = isGang ? options.leasesOf(lease.request) : [lease];
  const attemptMembers = members.filter(({ attempt }) =>
    attempt === lease.attempt
  );
  if (isGang && !options.mayStopGang(attemptMembers)) return undefined;
  const accelerators = members.reduce(
    (sum, member) => sum + member.accelerators,
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
  for (const member of members) {
    next.victims.set(member.lease, member);
    const freed = (next.freed.get(member.worker) ?? 0) + member.accelerators;
    next.freed.set(member.worker, freed);
    next.cost += costOf(member);
  }
  return next;
}

function costOf(lease: LeaseView): number {
  return lease.accelerators *
    (STOP_COST_MS + lease.sinceCheckpointMs +
      lease.priority * PRIORITY_COST_MS);
}
