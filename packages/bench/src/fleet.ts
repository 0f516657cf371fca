import type { Milliseconds } from "@rattanhill/shared";
import {
  countFreeAccelerators,
  type LeaseDescriptor,
  type LeaseReport,
  LeaseState,
  type WorkerReport,
} from "@rattanhill/core";

/** A worker of the fake fleet. */
export interface FleetWorker {
  report: WorkerReport;
  isAlive: boolean;
  /** Fails every task at once. */
  isBlackHole: boolean;
}

/** A task that runs on the fake fleet. */
export interface FleetTask {
  descriptor: LeaseDescriptor;
  worker: FleetWorker;
  startedAt: Milliseconds;
  checkpointAt: Milliseconds;
}

/** A small fake of workers: it holds leases and refuses what does not fit. */
export interface Fleet {
  workers: readonly FleetWorker[];
  /** Starts a task. @throws Error when it does not fit */
  start(descriptor: LeaseDescriptor, worker: string, now: Milliseconds): void;
  /** Ends a task. @returns the task, if it ran */
  end(lease: string): FleetTask | undefined;
  find(lease: string): FleetTask | undefined;
  worker(name: string): FleetWorker;
  /** @returns the worker's report at this time */
  report(name: string, now: Milliseconds): WorkerReport;
  /** Kills a worker. @returns leases that ran there */
  kill(name: string): string[];
  /** @returns accelerators of living workers */
  accelerators(): number;
  /** @returns accelerators in use */
  used(): number;
}

/**
 * Creates a fleet.
 *
 * @param zone name of the zone
 * @param sizes accelerators of each worker
 * @param workersPerRack workers that share a rack
 * @returns the fleet, with nothing running
 */
export function createFleet(
  zone: string,
  sizes: readonly number[],
  workersPerRack: number,
): Fleet {
  const tasks = new Map<string, FleetTask>();
  const byName = new Map<string, FleetWorker>();
  sizes.forEach((accelerators, index) => {
    const name = `w${String(index).padStart(4, "0")}`;
    const rack = `r${
      String(Math.floor(index / workersPerRack)).padStart(3, "0")
    }`;
    const report: WorkerReport = {
      worker: name,
      address: name,
      zone,
      rack,
      boot: "boot",
      leaving: false,
      accelerators,
      sequence: 0,
      leases: [],
    };
    byName.set(name, { report, isAlive: true, isBlackHole: false });
  });
  const workers = [...byName.values()];

  const setLeases = (worker: FleetWorker, leases: LeaseReport[]): void => {
    const { sequence } = worker.report;
    worker.report = { ...worker.report, leases, sequence: sequence + 1 };
  };
  const worker = (name: string) => byName.get(name)!;
  const end = (lease: string): FleetTask | undefined => {
    const task = tasks.get(lease);
    if (task === undefined) return undefined;
    tasks.delete(lease);
    const remaining = task.worker.report.leases.filter((held) =>
      held.lease !== lease
    );
    setLeases(task.worker, remaining);
    return task;
  };

  return {
    workers,
    worker,
    find: (lease) => tasks.get(lease),
    start: (descriptor, name, now) => {
      const target = worker(name);
      const free = countFreeAccelerators(target.report);
      if (!target.isAlive || free < descriptor.accelerators) {
        throw new Error(`${name} has ${free} free accelerators`);
      }
      tasks.set(descriptor.lease, {
        descriptor,
        worker: target,
        startedAt: now,
        checkpointAt: now,
      });
      const lease = {
        ...descriptor,
        state: LeaseState.running,
        runningMs: 0,
        sinceCheckpointMs: 0,
      };
      setLeases(target, [...target.report.leases, lease]);
    },
    end,
    report: (name, now) => {
      const { report } = worker(name);
      const leases = report.leases.map((lease) => {
        const task = tasks.get(lease.lease)!;
        return {
          ...lease,
          runningMs: now - task.startedAt,
          sinceCheckpointMs: now - task.checkpointAt,
        };
      });
      return { ...report, leases };
    },
    kill: (name) => {
      const target = worker(name);
      target.isAlive = false;
      const leases = target.report.leases.map(({ lease }) => lease);
      leases.forEach(end);
      return leases;
    },
    accelerators: () =>
      workers.reduce(
        (sum, { isAlive, report }) => sum + (isAlive ? report.accelerators : 0),
        0,
      ),
    used: () => {
      let used = 0;
      for (const { descriptor } of tasks.values()) {
        used += descriptor.accelerators;
      }
      return used;
    },
  };
}
