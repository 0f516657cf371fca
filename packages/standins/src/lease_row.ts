import type { Milliseconds } from "@rattanhill/shared";
import { type LeaseDescriptor, LeaseState } from "@rattanhill/core";

/** One lease of a worker. */
export interface LeaseRow {
  descriptor: LeaseDescriptor;
  state: LeaseState;
  /** Expiry of the hold, or of the last renewal of a running task. */
  expiresAt: Milliseconds;
  /** Absent until the task starts. */
  startedAt?: Milliseconds;
  /** Time at which the task finishes unless it is stopped or paused first. */
  endsAt: Milliseconds;
  /** Absent unless the task is paused. */
  pause?: { since: Milliseconds; until: Milliseconds };
  /** Time of the newest checkpoint, or of the task's start without one. */
  checkpointAt: Milliseconds;
  endedAt: Milliseconds;
  /** Sequence number of the change that ended the lease. */
  endedSequence: number;
  payload?: string;
  /** Progress restored from a checkpoint at the start of the task. */
  progressMs: Milliseconds;
  failure?: string;
}

/**
 * Creates a row without a task.
 *
 * @param descriptor the lease
 * @param expiresAt expiry of the hold
 */
export function createHeldRow(
  descriptor: LeaseDescriptor,
  expiresAt: Milliseconds,
): LeaseRow {
  return {
    descriptor,
    state: LeaseState.held,
    expiresAt,
    endsAt: 0,
    checkpointAt: 0,
    endedAt: 0,
    endedSequence: 0,
    progressMs: 0,
  };
}

/**
 * Pauses a running task, or prolongs its pause.
 *
 * @param row lease that runs a task
 * @param until time at which the task continues by itself
 * @param now time by the worker's clock
 */
export function pauseRow(
  row: LeaseRow,
  until: Milliseconds,
  now: Milliseconds,
): void {
  row.pause = { since: row.pause?.since ?? now, until };
}

/**
 * Continues a paused task. The time of the pause counts as if it had not
 * passed.
 *
 * @param row any lease
 * @param now time by the worker's clock
 */
export function continueRow(row: LeaseRow, now: Milliseconds): void {
  if (row.pause === undefined || row.startedAt === undefined) return;
  const pausedMs = Math.min(now, row.pause.until) - row.pause.since;
  row.startedAt += pausedMs;
  row.checkpointAt += pausedMs;
  row.endsAt += pausedMs;
  row.pause = undefined;
}

/**
 * @param row a live lease
 * @returns the time at which the lease expires or its task ends or continues
 */
export function dueAtOf(row: LeaseRow): Milliseconds {
  if (row.state !== LeaseState.running) return row.expiresAt;
  return Math.min(row.pause?.until ?? row.endsAt, row.expiresAt);
}

/**
 * Formats the progress at the newest checkpoint, in milliseconds. A task
 * without a checkpoint of its own reports the progress that it resumed from.
 *
 * @param row any lease
 * @returns the progress; absent when no task was started
 */
export function checkpointOf(row: LeaseRow): string | undefined {
  if (row.startedAt === undefined) return undefined;
  return String(row.progressMs + row.checkpointAt - row.startedAt);
}

/**
 * @param row any lease
 * @param now time by the worker's clock
 * @returns time since the task started; 0 before that
 */
export function runningMsOf(row: LeaseRow, now: Milliseconds): Milliseconds {
  return row.startedAt === undefined ? 0 : now - row.startedAt;
}
