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
  checkpointAt: Milliseconds;
}

/** Simulated workers: they hold leases and refuse tasks that do not fit. */
export interface Fleet {
  workers: readonly FleetWorker[];
  /** Starts a task. @throws Error when it does not fit */
  start(descriptor: LeaseDescriptor, worker: string, now: Milliseconds): void;
  /** Ends a task. @returns the task, or `undefined` when it was not running */
  end(lease: string): FleetTask | undefined;
  find(lease: string): FleetTask | undefined;
  worker(name: string): FleetWorker;
  /** @returns the worker's report with run times as of now */
  report(name: string, now: Milliseconds): WorkerReport;
  /** Kills a worker. @returns the leases it held */
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
        throw new Error(
          `cannot start task: ${name} is lost or has only ${free} free, ` +
            `needed ${descriptor.accelerators}`,
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
