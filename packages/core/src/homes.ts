import type { WorkerView } from "./inventory.ts";
import type { Guarantee, Rules } from "./rules.ts";
import { Adjacency } from "./shape.ts";

/** Accelerators of a worker that are set apart for guarantees. */
export interface HomeShares {
  /** Accelerators by account. */
  shares: ReadonlyMap<string, number>;
  /** Accelerators that no guarantee needs. */
  unassigned: number;
}

/** Where the guarantees of a zone are kept. */
export interface HomeMap {
  /** Shares of each worker, by its name. */
  workers: ReadonlyMap<string, HomeShares>;
  /** Accounts whose guarantee does not fit beside the others. */
  unmet: readonly string[];
}

interface Claim extends Guarantee {
  account: string;
}

interface Room {
  worker: WorkerView;
  left: number;
  shares: Map<string, number>;
}

/** Map of a zone without guarantees. */
export const NO_HOMES: HomeMap = { workers: new Map(), unmet: [] };

/**
 * Sets capacity apart for every guarantee of a zone at once. Work that cannot
 * be stopped stays off another account's share, so that each guaranteed shape
 * can be reclaimed by stopping work that can.
 *
 * @param rules accounts with their guarantees
 * @param zone the availability zone
 * @param racks workers by rack
 * @returns the shares, and the accounts whose guarantee does not fit
 */
export function assignHomes(
  rules: Rules,
  zone: string,
  racks: Iterable<readonly WorkerView[]>,
): HomeMap {
  const rooms = [...racks].map((rack) =>
    rack.map((worker): Room => ({
      worker,
      left: worker.accelerators,
      shares: new Map(),
    }))
  );
  const unmet: string[] = [];
  for (const claim of claimsOf(rules, zone)) {
    const isMet = claim.adjacent === Adjacency.none
      ? takeAnywhere(claim, rooms)
      : takeTogether(claim, rooms);
    if (!isMet) unmet.push(claim.account);
  }
  const workers = new Map(
    rooms.flat().map(({ worker, left, shares }) =>
      [worker.name, { shares, unassigned: left }] as const
    ),
  );
  return { workers, unmet };
}

/** Shapes that are hard to fit go first; names make the order the same everywhere. */
function claimsOf(rules: Rules, zone: string): Claim[] {
  const hardness = [Adjacency.none, Adjacency.rack, Adjacency.worker];
  return [...rules.accounts.values()]
    .flatMap(({ name, guarantees }) =>
      guarantees.map((guarantee): Claim => ({ ...guarantee, account: name }))
    )
    .filter((claim) => claim.zone === zone && claim.accelerators > 0)
    .sort((a, b) =>
      hardness.indexOf(b.adjacent) - hardness.indexOf(a.adjacent) ||
      b.accelerators - a.accelerators || (a.account < b.account ? -1 : 1)
    );
}

function takeTogether(claim: Claim, racks: Room[][]): boolean {
  const groups = claim.adjacent === Adjacency.worker
    ? racks.flat().map((room) => [room])
    : racks;
  const fitting = groups
    .map((rooms) => ({
      rooms,
      left: sumLeft(rooms) - claim.accelerators,
      kept: keptBy(claim.account, rooms),
    }))
    .filter(({ left }) => left >= 0)
    // The tightest group that already holds the account's work costs the least.
    .sort((a, b) => b.kept - a.kept || a.left - b.left);
  if (fitting.length === 0) return false;
  take(claim, fitting[0].rooms);
  return true;
}

function takeAnywhere(claim: Claim, racks: Room[][]): boolean {
  const ordered = [...racks].sort((a, b) => sumLeft(a) - sumLeft(b)).flat();
  if (sumLeft(ordered) < claim.accelerators) return false;
  take(claim, ordered);
  return true;
}

/** Whole workers first, so that shares keep room for large parts. */
function take(claim: Claim, rooms: readonly Room[]): void {
  let needed = claim.accelerators;
  const bySize = [...rooms].sort((a, b) => {
    const keptA = keptBy(claim.account, [a]);
    const keptB = keptBy(claim.account, [b]);
    return keptB - keptA || rankFor(needed, a) - rankFor(needed, b);
  });
  for (const room of bySize) {
    const taken = Math.min(needed, room.left);
    if (taken === 0) continue;
    room.left -= taken;
    room.shares.set(claim.account, taken);
    needed -= taken;
    if (needed === 0) return;
  }
}

function rankFor(needed: number, { worker, left }: Room): number {
  const isWhole = left === worker.accelerators;
  if (needed >= worker.accelerators) return isWhole ? 0 : 1;
  return isWhole ? 1 : 0;
}

/** Work that cannot be stopped and that the account already has there. */
function keptBy(account: string, rooms: readonly Room[]): number {
  let kept = 0;
  for (const { worker } of rooms) {
    kept += worker.firm.get(account) ?? 0;
  }
  return kept;
}

function sumLeft(rooms: readonly Room[]): number {
  return rooms.reduce((sum, { left }) => sum + left, 0);
}

/**
 * Counts the accelerators of a worker that work which cannot be stopped may use.
 *
 * @param worker the worker
 * @param homes shares of the zone
 * @param account account of the work
 * @returns accelerators that leave every other account's share reclaimable
 */
export function firmCapacity(
  worker: WorkerView,
  homes: HomeMap,
  account: string,
): number {
  const home = homes.workers.get(worker.name);
  if (home === undefined) return worker.free;
  const { firm } = worker;
  let overflow = 0;
  for (const [other, used] of firm) {
    overflow += Math.max(0, used - (home.shares.get(other) ?? 0));
  }
  const ownShare = home.shares.get(account) ?? 0;
  const ownLeft = Math.max(0, ownShare - (firm.get(account) ?? 0));
  return Math.max(0, home.unassigned - overflow) + ownLeft;
}
