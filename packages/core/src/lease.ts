import type { Milliseconds } from "@rattanhill/shared";

/** States of a lease on a worker. */
export const LeaseState = {
  /** Capacity is set aside; nothing runs. */
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

/** Description of a lease, carried by the worker so that any entry can rebuild its state. */
export interface LeaseDescriptor {
  /** Unique name of the lease. */
  lease: string;
  /** Request that the lease serves. */
  request: string;
  /** Idempotency key of the request. */
  key: string;
  /** Client account. */
  account: string;
  /** Class of the request. */
  class: string;
  /** Attempt number, raised for every new set of holds. */
  attempt: number;
  /** Index of the part, from 0. */
  part: number;
  /** Number of parts of the gang job. */
  parts: number;
  /** Accelerators set aside. */
  accelerators: number;
  /** Process that may start and renew the lease. */
  owner: string;
  /** Priority of the request. */
  priority: number;
  /** Whether the request may run again. */
  repeatable: boolean;
  /** Whether the scheduler may stop the task to return lent capacity. */
  preemptible: boolean;
  /** Expected run time, in milliseconds. */
  expectedMs: Milliseconds;
}

/** A live lease as its worker reports it. */
export interface LeaseReport extends LeaseDescriptor {
  /** Current state. */
  state: LeaseState;
  /** Milliseconds since the task started, 0 before that. */
  runningMs: Milliseconds;
  /** Milliseconds since the last checkpoint or the start. */
  sinceCheckpointMs: Milliseconds;
}

/** State of a worker as it reports it. */
export interface WorkerReport {
  /** Name of the worker. */
  worker: string;
  /** Address of its interface, `host:port`. */
  address: string;
  /** Availability zone. */
  zone: string;
  /** Rack within the zone. */
  rack: string;
  /** Identifier of this start of the worker. */
  boot: string;
  /** Whether the worker is leaving. */
  leaving: boolean;
  /** Accelerators in all. */
  accelerators: number;
  /** Number of changes of the worker's leases since it started. */
  sequence: number;
  /** Live leases. */
  leases: readonly LeaseReport[];
}

/**
 * Counts the accelerators of a worker that no lease holds.
 *
 * @param report state of the worker
 * @returns free accelerators
 */
export function freeAccelerators(report: WorkerReport): number {
  return report.leases.reduce(
    (free, lease) => free - lease.accelerators,
    report.accelerators,
  );
}
