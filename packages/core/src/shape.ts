import type { Milliseconds } from "@rattanhill/shared";

/**
 * Required proximity of all parts of a job: none, the same worker or the same
 * rack.
 */
export const Adjacency = {
  none: "none",
  worker: "worker",
  rack: "rack",
} as const;

/** One of the values of {@link Adjacency}. */
export type Adjacency = typeof Adjacency[keyof typeof Adjacency];

/** Accelerators that a job needs at the same time. */
export interface Shape {
  /**
   * Number of parts; a job with more than one is a gang job, started as a
   * whole.
   */
  parts: number;
  /** Accelerators of each part; a part never spans workers. */
  accelerators: number;
  /** Required proximity of all parts. */
  adjacent: Adjacency;
}

/** Properties of a request that the scheduler uses; stored and sent whole. */
export interface RequestSpec {
  /** Identifier assigned by the entry that admitted the request. */
  id: string;
  /** Client account that owns the request. */
  account: string;
  /** Idempotency key of the caller, unique within the account. */
  key: string;
  /** Class of the request, named in the rules. */
  class: string;
  /** Accelerators needed. */
  shape: Shape;
  /** Whether the request may run more than once. */
  repeatable: boolean;
  /**
   * Whether a running task may be stopped to free capacity for other requests.
   */
  preemptible: boolean;
  /** Priority; requests with larger values are placed first. */
  priority: number;
  /** Run time declared by the caller. */
  expectedMs: Milliseconds;
  /** Time from admission after which the answer is no longer of use. */
  deadlineMs: Milliseconds;
  /**
   * Whether the request was accepted as a job that outlives its caller's
   * connection.
   */
  isJob: boolean;
  /** Digest of the request body, to detect a reused key. */
  bodyDigest: string;
}

/**
 * Counts the accelerators that a shape needs.
 *
 * @param shape the shape
 * @returns accelerators over all parts
 */
export function totalAccelerators(shape: Shape): number {
  return shape.parts * shape.accelerators;
}
