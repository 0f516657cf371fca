import type { RecordBatch, Scheduler, WorkerCommand } from "../src/mod.ts";

/** A lead of the cell, current or earlier. */
export interface Lead {
  term: number;
  scheduler: Scheduler;
  /** Commands that have not been sent yet. */
  commands: WorkerCommand[];
  /** Monotonic time at which its lease expires; it sends nothing afterwards. */
  leaseEnd: number;
  /** Batch whose write is not confirmed yet. */
  batch?: RecordBatch;
}

/** A call that may still reach its worker. */
export interface Call {
  lead: Lead;
  command: WorkerCommand;
  leaseUntil: number;
  hasTimedOut: boolean;
  /** Fencing token that it carries. */
  token: number;
  /** Whether its task was known to be out of attempts when it was sent. */
  isOutOfAttempts: boolean;
}

/** Number of fencing tokens that a lead may use. */
export const TOKENS_PER_TERM = 1_000;
/** Number of failed runs of a task at which its job fails. */
export const MAXIMUM_ATTEMPTS = 2;
/** Time for which a lead leads after a renewal. */
export const LEAD_LEASE_MS = 2_000;
/** Lease that leads request from workers. */
export const WORKER_LEASE_MS = 9_700;
/**
 * Time after a takeover by which all leases that earlier leads granted to
 * workers have expired.
 */
export const INHERITED_LEASE_MS = 10_300;
