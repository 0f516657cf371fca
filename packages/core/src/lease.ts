import type { Milliseconds } from "@rattanhill/shared";

/** States of a lease on a worker. */
export const LeaseState = {
  /** The lease holds its accelerators; no task runs. */
  held: "held",
  /** A part of a gang job has its payload and waits for the run message. */
  ready: "ready",
  /** The task runs. */
  running: "running",
  /** The task ended by itself with an answer. */
  ended: "ended",
  /** The task ended by itself with an error. */
  failed: "failed",
  /** The task was stopped, or its lease lapsed while it ran. */
  stopped: "stopped",
  /** The lease ended without any start. */
  released: "released",
} as const;

/** One of the values of {@link LeaseState}. */
export type LeaseState = typeof LeaseState[keyof typeof LeaseState];

/**
 * Description of a lease, stored on the worker so that any entry can rebuild
 * the state of the request.
 */
export interface LeaseDescriptor {
  /** Unique identifier of the lease. */
  lease: string;
  /** Request that the lease serves. */
  request: string;
  /** Idempotency key of the request. */
  key: string;
  /** Client account. */
  account: string;
  /** Class of the request. */
  class: string;
  /** Attempt number, incremented for every new set of holds. */
  attempt: number;
  /** Index of the part, from 0. */
  part: number;
  /** Number of parts of the request; more than 1 for a gang job. */
  parts: number;
  /** Number of accelerators that the lease holds. */
  accelerators: number;
  /** Entry process that may start the task and renew the lease. */
  owner: string;
  /** Priority of the request. */
  priority: number;
  /** Whether the request may run more than once. */
  repeatable: boolean;
  /**
   * Whether the running task may be stopped to free capacity for other
   * requests.
   */
  preemptible: boolean;
  /** Expected run time, in milliseconds. */
  expectedMs: Milliseconds;
}

/** A live lease, as reported by its worker. */
export interface LeaseReport extends LeaseDescriptor {
  state: LeaseState;
  /** Time since the task started; 0 before that. */
  runningMs: Milliseconds;
  /** Time since the last checkpoint, or since the start when there is none. */
  sinceCheckpointMs: Milliseconds;
}

/** State of a worker, as reported by itself. */
export interface WorkerReport {
  /** Name of the worker. */
  worker: string;
  /** Address of its interface, `host:port`. */
  address: string;
  /** Availability zone. */
  zone: string;
  /** Rack within the zone. */
  rack: string;
  /** Identifier of the worker's current process start. */
  boot: string;
  /** Whether the worker is shutting down and takes no new work. */
  leaving: boolean;
  /** Total number of accelerators. */
  accelerators: number;
  /** Number of changes of the worker's leases since it started. */
  sequence: number;
  /** Live leases, which hold their accelerators. */
  leases: readonly LeaseReport[];
}

/**
 * Counts the accelerators of a worker that no lease holds.
 *
 * @param report state of the worker
 * @returns number of free accelerators
 */
export function countFreeAccelerators(report: WorkerReport): number {
  return report.leases.reduce(
    (free, lease) => free - lease.accelerators,
    report.accelerators,
  );
}
