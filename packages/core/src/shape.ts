import type { Milliseconds } from "@rattanhill/shared";

/** How close together the accelerators of all parts must be. */
export const Adjacency = {
  none: "none",
  worker: "worker",
  rack: "rack",
} as const;

/** One of the values of {@link Adjacency}. */
export type Adjacency = typeof Adjacency[keyof typeof Adjacency];

/** Accelerators that a job needs at the same time. */
export interface Shape {
  /** Number of parts; more than one makes it a gang job. */
  parts: number;
  /** Accelerators of one part; a part never spans workers. */
  accelerators: number;
  /** Required closeness of all parts. */
  adjacent: Adjacency;
}

/** Everything the scheduler has to know about a request. */
export interface RequestSpec {
  /** Identifier given by the entry that admitted the request. */
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
  /** Whether running work may be stopped to return lent capacity. */
  preemptible: boolean;
  /** Larger values go first. */
  priority: number;
  /** Run time declared by the caller. */
  expectedMs: Milliseconds;
  /** Time from admission until the answer is worthless. */
  deadlineMs: Milliseconds;
  /** Whether the request was accepted as a job that outlives its caller's connection. */
  isJob: boolean;
  /** Digest of the request body, to detect a reused key. */
  bodyDigest: string;
}

/**
 * Counts the accelerators of a shape.
 *
 * @param shape the shape
 * @returns accelerators over all parts
 */
export function totalAccelerators(shape: Shape): number {
  return shape.parts * shape.accelerators;
}
