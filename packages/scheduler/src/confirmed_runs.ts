import type { Milliseconds } from "@rattanhill/shared";
import type { Run, WorkerState } from "./cell_state.ts";

/**
 * Time after a command without an answer during which its worker, or the next
 * lifetime of it, may still carry it out.
 */
export const LATE_COMMAND_MS: Milliseconds = 30_000;

/**
 * Notes that the only attempt to start a run was answered by its worker.
 *
 * @param run the run
 * @param now monotonic time
 */
export function recordOnlyStart(run: Run, now: Milliseconds): void {
  run.startAnsweredAt = now;
}

/**
 * Confirms a run that a report lists, unless an attempt to start it may yet be
 * carried out by a later lifetime of its worker.
 *
 * @param run the run, with the time at which a report first listed it
 * @param report lifetime that the report names, 0 for none, and the monotonic
 * time at which the report was requested
 */
export function confirmRun(
  run: Run,
  { lifetime, askedAt }: { lifetime: number; askedAt: Milliseconds },
): void {
  const { startAnsweredAt, reportedSince = Infinity } = run;
  if (lifetime === 0 || lifetime !== run.worker.lifetime) return;
  if (askedAt > (startAnsweredAt ?? reportedSince + LATE_COMMAND_MS)) {
    run.confirmedLifetime = lifetime;
  }
}

/**
 * Finds the runs whose leases have certainly expired. A run that was confirmed
 * ends with the leases of its lifetime; any other may be held by a later one
 * that started unnoticed.
 *
 * @param worker the worker
 * @param now monotonic time
 * @returns the runs; with `leasesEndBy` passed, all of the worker
 */
export function findExpiredRuns(
  worker: WorkerState,
  now: Milliseconds,
): Run[] {
  const { runs, lifetime, leasesEndBy, lifetimeLeasesEndBy } = worker;
  if (now > leasesEndBy) return [...runs];
  if (lifetimeLeasesEndBy === undefined || now <= lifetimeLeasesEndBy) {
    return [];
  }
  return [...runs].filter(({ confirmedLifetime }) =>
    confirmedLifetime === lifetime
  );
}
