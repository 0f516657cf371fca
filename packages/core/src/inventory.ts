import type { Milliseconds } from "@rattanhill/shared";
import {
  type LeaseDescriptor,
  type LeaseReport,
  LeaseState,
  type WorkerReport,
} from "./lease.ts";

/**
 * A lease known to the placer, either reported by its worker or requested and
 * not yet reported.
 */
export interface LeaseView extends LeaseReport {
  /** Name of the worker that grants it. */
  worker: string;
  /**
   * Time at which the placer requested it or first received it in a report, by
   * the placer's clock.
   */
  seenAt: Milliseconds;
}

/** State of a worker known to the placer. */
export interface WorkerView {
  name: string;
  address: string;
  rack: string;
  boot: string;
  accelerators: number;
  /** Accelerators that no lease holds. */
  free: number;
  /** Whether new work may be placed on it. */
  isUsable: boolean;
  leases: ReadonlyMap<string, LeaseView>;
  /** Accelerators of non-preemptible leases, by account. */
  firm: ReadonlyMap<string, number>;
}

/** Workers of one availability zone and their leases. */
export interface Inventory {
  /**
   * Applies a worker's report unless a newer one of the same boot was applied.
   *
   * @returns whether the worker is new, or its leases or `leaving` flag changed
   */
  applyReport(report: WorkerReport, now: Milliseconds): boolean;
  /** Removes a worker that has left or does not respond. */
  remove(worker: string): void;
  /** Excludes a worker from new placements, or admits it again. */
  setBlocked(worker: string, isBlocked: boolean): void;
  /**
   * Counts the accelerators of a requested hold as used before it is granted.
   */
  addPendingHold(
    worker: string,
    lease: LeaseDescriptor,
    now: Milliseconds,
  ): void;
  /**
   * Records that a hold was granted at the given sequence of the worker's
   * changes.
   */
  confirmHold(worker: string, lease: string, sequence: number): void;
  /** Frees the accelerators of a hold that was refused or released. */
  removeLease(worker: string, lease: string): void;
  /** @returns the worker of that name */
  find(worker: string): WorkerView | undefined;
  /** @returns all workers, ordered by rack and name */
  workers(): readonly WorkerView[];
  /** @returns workers by rack */
  racks(): ReadonlyMap<string, readonly WorkerView[]>;
  /** @returns all leases of a request, on every worker */
  leasesOf(request: string): readonly LeaseView[];
  /**
   * @returns the lowest priority among preemptible leases, or infinity when
   * there are none
   */
  lowestPreemptiblePriority(): number;
  /**
   * @returns accelerators used by an account; only leases of at least the given
   * priority count
   */
  used(account: string, minimumPriority?: number): number;
}

// The status for operators contains all of these fields, since it shows the
// workers of `workers()` as JSON.
interface MutableWorker extends WorkerView {
  sequence: number;
  leaving: boolean;
  isBlocked: boolean;
  leases: Map<string, LeaseView>;
  /**
   * Holds that no report has shown yet, with the sequence from which reports
   * contain them; `undefined` until granted. Reports older than that sequence
   * must not remove the hold.
   */
  expected: Map<string, number | undefined>;
}

/**
 * Creates an empty inventory.
 *
 * @returns the inventory, whose views are updated in place as reports arrive
 */
export function createInventory(): Inventory {
  const byName = new Map<string, MutableWorker>();
  let sortedWorkers: WorkerView[] | undefined;
  let byRack: Map<string, WorkerView[]> | undefined;
  const usage = createUsageIndex();

  const updateWorker = (worker: MutableWorker, action: () => void): void => {
    usage.subtract(worker);
    action();
    updateDerivedFields(worker);
    usage.add(worker);
  };
  const clearCaches = () => {
    sortedWorkers = undefined;
    byRack = undefined;
  };
  const workers = () =>
    sortedWorkers ??= [...byName.values()].sort(compareWorkers);

  return {
    applyReport: (report, now) => {
      let worker = byName.get(report.worker);
      if (worker !== undefined && worker.boot !== report.boot) {
        usage.subtract(worker);
        worker = undefined;
      }
      if (worker === undefined) {
        worker = createWorker(report, byName.get(report.worker)?.isBlocked);
        byName.set(report.worker, worker);
        clearCaches();
      } else if (report.sequence < worker.sequence) return false;
      const current = worker;
      const hasChanged = report.sequence > current.sequence ||
        report.leaving !== current.leaving;
      updateWorker(current, () => updateFromReport(current, report, now));
      return hasChanged;
    },
    remove: (name) => {
      const worker = byName.get(name);
      if (worker === undefined) return;
      usage.subtract(worker);
      byName.delete(name);
      clearCaches();
    },
    setBlocked: (name, isBlocked) => {
      const worker = byName.get(name);
      if (worker === undefined) return;
      worker.isBlocked = isBlocked;
      updateDerivedFields(worker);
    },
    addPendingHold: (name, lease, now) => {
      const worker = byName.get(name);
      if (worker === undefined) return;
      updateWorker(worker, () => {
        worker.leases.set(lease.lease, createHeldLease(name, lease, now));
        worker.expected.set(lease.lease, undefined);
      });
    },
    confirmHold: (name, lease, sequence) => {
      const worker = byName.get(name);
      if (worker === undefined || !worker.expected.has(lease)) return;
      if (sequence > worker.sequence) worker.expected.set(lease, sequence);
      else worker.expected.delete(lease);
    },
    removeLease: (name, lease) => {
      const worker = byName.get(name);
      if (worker === undefined || !worker.leases.has(lease)) return;
      updateWorker(worker, () => {
        worker.leases.delete(lease);
        worker.expected.delete(lease);
      });
    },
    find: (name) => byName.get(name),
    workers,
    leasesOf: (request) =>
      [...byName.values()].flatMap(({ leases }) =>
        [...leases.values()].filter((lease) => lease.request === request)
      ),
    racks: () => byRack ??= groupByRack(workers()),
    used: usage.used,
    lowestPreemptiblePriority: usage.lowestPreemptiblePriority,
  };
}

function createWorker(
  report: WorkerReport,
  isBlocked: boolean = false,
): MutableWorker {
  return {
    name: report.worker,
    address: report.address,
    rack: report.rack,
    boot: report.boot,
    accelerators: report.accelerators,
    free: report.accelerators,
    isUsable: !report.leaving,
    leaving: report.leaving,
    isBlocked,
    sequence: -1,
    leases: new Map(),
    firm: new Map(),
    expected: new Map(),
  };
}

function updateFromReport(
  worker: MutableWorker,
  report: WorkerReport,
  now: Milliseconds,
): void {
  worker.address = report.address;
  worker.accelerators = report.accelerators;
  worker.leaving = report.leaving;
  worker.sequence = report.sequence;
  const leases = new Map<string, LeaseView>();
  for (const lease of report.leases) {
    const seenAt = worker.leases.get(lease.lease)?.seenAt ?? now;
    leases.set(lease.lease, { ...lease, worker: worker.name, seenAt });
    worker.expected.delete(lease.lease);
  }
  for (const [lease, sequence] of worker.expected) {
    const isPending = sequence === undefined || sequence > report.sequence;
    const heldLease = worker.leases.get(lease);
    if (isPending && heldLease !== undefined) leases.set(lease, heldLease);
    else worker.expected.delete(lease);
  }
  worker.leases = leases;
}

function updateDerivedFields(worker: MutableWorker): void {
  let free = worker.accelerators;
  const nonPreemptible = new Map<string, number>();
  for (const { account, accelerators, preemptible } of worker.leases.values()) {
    free -= accelerators;
    if (preemptible) continue;
    nonPreemptible.set(
      account,
      (nonPreemptible.get(account) ?? 0) + accelerators,
    );
  }
  worker.free = free;
  worker.firm = nonPreemptible;
  worker.isUsable = !worker.leaving && !worker.isBlocked;
}

function createHeldLease(
  worker: string,
  lease: LeaseDescriptor,
  seenAt: Milliseconds,
): LeaseView {
  return {
    ...lease,
    worker,
    seenAt,
    state: LeaseState.held,
    runningMs: 0,
    sinceCheckpointMs: 0,
  };
}

function compareWorkers(a: WorkerView, b: WorkerView): number {
  if (a.rack !== b.rack) return a.rack < b.rack ? -1 : 1;
  return a.name < b.name ? -1 : 1;
}

function groupByRack(
  workers: readonly WorkerView[],
): Map<string, WorkerView[]> {
  const racks = new Map<string, WorkerView[]>();
  for (const worker of workers) {
    const members = racks.get(worker.rack);
    if (members === undefined) racks.set(worker.rack, [worker]);
    else members.push(worker);
  }
  return racks;
}

/**
 * Totals over all leases, updated with every change of a worker, so that
 * queries need not visit the workers.
 */
interface UsageIndex {
  add(worker: WorkerView): void;
  subtract(worker: WorkerView): void;
  used(account: string, minimumPriority?: number): number;
  lowestPreemptiblePriority(): number;
}

function createUsageIndex(): UsageIndex {
  const byAccount = new Map<string, Map<number, number>>();
  const preemptibleCounts = new Map<number, number>();
  const apply = (worker: WorkerView, sign: 1 | -1): void => {
    for (const lease of worker.leases.values()) {
      const { account, priority, accelerators } = lease;
      if (lease.preemptible) {
        const count = (preemptibleCounts.get(priority) ?? 0) + sign;
        if (count === 0) preemptibleCounts.delete(priority);
        else preemptibleCounts.set(priority, count);
      }
      let byPriority = byAccount.get(account);
      if (byPriority === undefined) {
        byPriority = new Map();
        byAccount.set(account, byPriority);
      }
      const total = (byPriority.get(priority) ?? 0) + sign * accelerators;
      if (total === 0) byPriority.delete(priority);
      else byPriority.set(priority, total);
      if (byPriority.size === 0) byAccount.delete(account);
    }
  };
  return {
    lowestPreemptiblePriority: () => Math.min(...preemptibleCounts.keys()),
    add: (worker) => apply(worker, 1),
    subtract: (worker) => apply(worker, -1),
    used: (account, minimumPriority = 0) => {
      let total = 0;
      for (const [priority, used] of byAccount.get(account) ?? []) {
        if (priority >= minimumPriority) total += used;
      }
      return total;
    },
  };
}
