import type { WorkerView } from "./inventory.ts";
import type { Guarantee, Rules } from "./rules.ts";
import { Adjacency } from "./shape.ts";

/** Accelerators of a worker that are set apart for guarantees, and the rest. */
export interface WorkerShares {
  /** Accelerators set apart, by account. */
  shares: ReadonlyMap<string, number>;
  /** Accelerators that are not set apart for any guarantee. */
  unassigned: number;
}

/** Assignment of a zone's guarantees to its workers. */
export interface GuaranteeShares {
  /** Shares by worker name. */
  workers: ReadonlyMap<string, WorkerShares>;
  /**
   * Accounts whose guarantee does not fit on the workers together with the
   * other guarantees.
   */
  unmet: readonly string[];
}

interface AccountGuarantee extends Guarantee {
  account: string;
}

/** A worker during the assignment. */
interface AssignableWorker {
  worker: WorkerView;
  /** Accelerators not yet assigned to an account. */
  left: number;
  shares: Map<string, number>;
}

/** Assignment of a zone without guarantees. */
export const NO_GUARANTEE_SHARES: GuaranteeShares = {
  workers: new Map(),
  unmet: [],
};

/**
 * Assigns all guarantees of a zone to separate accelerators of its workers, so
 * that they can be met at the same time. Non-preemptible work is kept off other
 * accounts' shares, so that preemption can always free each guaranteed shape.
 *
 * @param rules accounts with their guarantees
 * @param zone the availability zone
 * @param racks workers by rack
 * @returns the shares, and the accounts whose guarantee does not fit
 */
export function assignGuarantees(
  rules: Rules,
  zone: string,
  racks: Iterable<readonly WorkerView[]>,
): GuaranteeShares {
  const assignableRacks = [...racks].map((rack) =>
    rack.map((worker): AssignableWorker => ({
      worker,
      left: worker.accelerators,
      shares: new Map(),
    }))
  );
  const unmet: string[] = [];
  for (const guarantee of listGuarantees(rules, zone)) {
    const isMet = guarantee.adjacent === Adjacency.none
      ? assignAnywhere(guarantee, assignableRacks)
      : assignWithinGroup(guarantee, assignableRacks);
    if (!isMet) unmet.push(guarantee.account);
  }
  const workers = new Map(
    assignableRacks.flat().map(({ worker, left, shares }) =>
      [worker.name, { shares, unassigned: left }] as const
    ),
  );
  return { workers, unmet };
}

/**
 * Lists the guarantees of a zone, the hardest to fit first: by adjacency, then
 * by size. The account name breaks ties, so that every process gets the same
 * order.
 */
function listGuarantees(rules: Rules, zone: string): AccountGuarantee[] {
  const strictness = [Adjacency.none, Adjacency.rack, Adjacency.worker];
  return [...rules.accounts.values()]
    .flatMap(({ name, guarantees }) =>
      guarantees.map((guarantee): AccountGuarantee => ({
        ...guarantee,
        account: name,
      }))
    )
    .filter((guarantee) =>
      guarantee.zone === zone && guarantee.accelerators > 0
    )
    .sort((a, b) =>
      strictness.indexOf(b.adjacent) - strictness.indexOf(a.adjacent) ||
      b.accelerators - a.accelerators || (a.account < b.account ? -1 : 1)
    );
}

/** Assigns a guarantee to one worker or one rack if it fits there. */
function assignWithinGroup(
  guarantee: AccountGuarantee,
  racks: AssignableWorker[][],
): boolean {
  const groups = guarantee.adjacent === Adjacency.worker
    ? racks.flat().map((candidate) => [candidate])
    : racks;
  const fitting = groups
    .map((group) => ({
      group,
      left: sumLeft(group) - guarantee.accelerators,
      ownUse: nonPreemptibleUse(guarantee.account, group),
    }))
    .filter(({ left }) => left >= 0)
    // Prefers the group where most of the account's non-preemptible work
    // already runs, then the tightest fit, since such a share takes the least
    // capacity from other accounts.
    .sort((a, b) => b.ownUse - a.ownUse || a.left - b.left);
  if (fitting.length === 0) return false;
  assignToWorkers(guarantee, fitting[0].group);
  return true;
}

/** Assigns a guarantee to any workers if it fits on all of them together. */
function assignAnywhere(
  guarantee: AccountGuarantee,
  racks: AssignableWorker[][],
): boolean {
  const ordered = [...racks].sort((a, b) => sumLeft(a) - sumLeft(b))
    .flat();
  if (sumLeft(ordered) < guarantee.accelerators) return false;
  assignToWorkers(guarantee, ordered);
  return true;
}

/**
 * Assigns the guarantee to workers one after the other, first to those with the
 * account's own non-preemptible work.
 */
function assignToWorkers(
  guarantee: AccountGuarantee,
  candidates: readonly AssignableWorker[],
): void {
  let needed = guarantee.accelerators;
  const byPreference = [...candidates].sort((a, b) => {
    const ownUseA = nonPreemptibleUse(guarantee.account, [a]);
    const ownUseB = nonPreemptibleUse(guarantee.account, [b]);
    return ownUseB - ownUseA ||
      assignmentOrder(needed, a) - assignmentOrder(needed, b);
  });
  for (const candidate of byPreference) {
    const assigned = Math.min(needed, candidate.left);
    if (assigned === 0) continue;
    candidate.left -= assigned;
    candidate.shares.set(guarantee.account, assigned);
    needed -= assigned;
    if (needed === 0) return;
  }
}

/**
 * Computes a sort key, lower for preferred workers. A need of at least a whole
 * worker prefers workers without other shares, so that large parts fit into the
 * new share; a smaller need prefers partly assigned workers.
 */
function assignmentOrder(
  needed: number,
  { worker, left }: AssignableWorker,
): number {
  const isFullyUnassigned = left === worker.accelerators;
  if (needed >= worker.accelerators) return isFullyUnassigned ? 0 : 1;
  return isFullyUnassigned ? 1 : 0;
}

/** Counts the accelerators that non-preemptible work of an account uses. */
function nonPreemptibleUse(
  account: string,
  candidates: readonly AssignableWorker[],
): number {
  let use = 0;
  for (const { worker } of candidates) {
    use += worker.firm.get(account) ?? 0;
  }
  return use;
}

function sumLeft(candidates: readonly AssignableWorker[]): number {
  return candidates.reduce((sum, { left }) => sum + left, 0);
}

/**
 * Counts the accelerators of a worker that non-preemptible work of an account
 * may use.
 *
 * @param worker the worker
 * @param guaranteeShares assignment of the zone's guarantees
 * @param account account of the work
 * @returns accelerators that can be used while every other account's share
 * stays reclaimable; may exceed those free now
 */
export function nonPreemptibleCapacity(
  worker: WorkerView,
  guaranteeShares: GuaranteeShares,
  account: string,
): number {
  const workerShares = guaranteeShares.workers.get(worker.name);
  if (workerShares === undefined) return worker.free;
  const { firm: nonPreemptible } = worker;
  // Non-preemptible use beyond an account's share takes up unassigned
  // accelerators.
  let overflow = 0;
  for (const [other, used] of nonPreemptible) {
    overflow += Math.max(0, used - (workerShares.shares.get(other) ?? 0));
  }
  const ownShare = workerShares.shares.get(account) ?? 0;
  const ownUnused = Math.max(0, ownShare - (nonPreemptible.get(account) ?? 0));
  return Math.max(0, workerShares.unassigned - overflow) + ownUnused;
}
