import type { Milliseconds } from "@rattanhill/shared";
import {
  countFreeAccelerators,
  type LeaseDescriptor,
  type LeaseReport,
  LeaseState,
  type WorkerReport,
} from "@rattanhill/core";

/** A worker of the simulated fleet. */
export interface FleetWorker {
  report: WorkerReport;
  isAlive: boolean;
  /** Whether the worker fails every task right after its start. */
  isBlackHole: boolean;
}

/** A task that runs on the simulated fleet. */
export interface FleetTask {
  descriptor: LeaseDescriptor;
  worker: FleetWorker;
  startedAt: Milliseconds;
  /** Time of the start; running tasks save no checkpoints. */
  checkpointAt: Milliseconds;
}

/** Simulated workers, which hold leases and run one task for each lease. */
export interface Fleet {
  workers: readonly FleetWorker[];
  /**
   * Starts a task on a worker.
   *
   * @throws Error if the worker is lost or has too few free accelerators
   */
  start(descriptor: LeaseDescriptor, worker: string, now: Milliseconds): void;
  /**
   * Ends a task and its lease.
   *
   * @returns the task, or `undefined` if it was not running
   */
  end(lease: string): FleetTask | undefined;
  /** @returns the running task of a lease */
  find(lease: string): FleetTask | undefined;
  /** @returns the worker of this name, which must exist */
  worker(name: string): FleetWorker;
  /** @returns the worker's report with the run times at the given time */
  report(name: string, now: Milliseconds): WorkerReport;
  /**
   * Kills a worker and ends its tasks.
   *
   * @returns the leases that the worker held
   */
  kill(name: string): string[];
  /** @returns the number of accelerators on live workers */
  countAccelerators(): number;
  /** @returns the number of accelerators in use */
  countUsedAccelerators(): number;
}

/**
 * Creates a simulated fleet.
 *
 * @param zone name of the availability zone
 * @param sizes number of accelerators of each worker
 * @param workersPerRack number of workers that share a rack
 * @returns the fleet, without running tasks
 */
export function createFleet(
  zone: string,
  sizes: readonly number[],
  workersPerRack: number,
): Fleet {
  const tasks = new Map<string, FleetTask>();
  const workersByName = new Map<string, FleetWorker>();
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
    workersByName.set(name, { report, isAlive: true, isBlackHole: false });
  });
  const workers = [...workersByName.values()];

  const setLeases = (worker: FleetWorker, leases: LeaseReport[]): void => {
    const { sequence } = worker.report;
    worker.report = { ...worker.report, leases, sequence: sequence + 1 };
  };
  const worker = (name: string) => workersByName.get(name)!;
  const end = (lease: string): FleetTask | undefined => {
    const task = tasks.get(lease);
    if (task === undefined) return undefined;
    tasks.delete(lease);
    const remaining = task.worker.report.leases.filter((report) =>
      report.lease !== lease
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
        throw new Error(
          `cannot start task on ${name}: worker is lost or has only ${free} ` +
            `of ${descriptor.accelerators} accelerators free`,
        );
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
    countAccelerators: () =>
      workers.reduce(
        (sum, { isAlive, report }) => sum + (isAlive ? report.accelerators : 0),
        0,
      ),
    countUsedAccelerators: () => {
      let used = 0;
      for (const { descriptor } of tasks.values()) {
        used += descriptor.accelerators;
      }
      return used;
    },
  };
}
