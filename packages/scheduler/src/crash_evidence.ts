import type { Milliseconds } from "@rattanhill/shared";
import { type Run, RunPhase, type WorkerState } from "./cell_state.ts";

/** The failure of a worker, by a crash or for another reason. */
export interface Failure {
  /** Its VM; the worker itself if its VM is not known. */
  vm: string;
  /** Monotonic time of the worker's last sign of life. */
  from: Milliseconds;
  /** Monotonic time of the first sign of its end. */
  to: Milliseconds;
  /** Runs that may have been starting. */
  starting: readonly Run[];
  /** Those of them that had provably reached the worker just before. */
  suspects: readonly Run[];
  /** Runs that the worker had confirmed seconds before; they include suspects. */
  recent: readonly Run[];
  /** Whether there are suspects, which may explain the failure. */
  isPrompt: boolean;
}

// Longest time without a poll: 500 ms for the ends of runs to be stored, and time
// for the next poll to fail.
const POLL_PAUSE_MS: Milliseconds = 800;
// Longest time between a start and the first sign of a failure that it may have
// caused. Tasks that crash their workers do so within 40 ms.
const PROMPT_MS: Milliseconds = POLL_PAUSE_MS;
// Time as a listed run after which a task is not met by a crash of its worker.
const RECENT_MS: Milliseconds = 5_000;
// Slack between two signs of the same failure, and between two failures of a
// common cause, since each is noticed by a call of its own.
const SIMULTANEOUS_MS: Milliseconds = 300;
// Number of other VMs that fail with a worker from which on a common cause is
// likelier than a task; and a larger one if each may have a cause of its own,
// since it failed promptly after a start.
const COMMON_CAUSE_VMS = 2;
const COMMON_CAUSE_PROMPT_VMS = 4;

/**
 * Assesses which runs may have made a worker fail by starting.
 *
 * @param worker the worker, which has crashed or is silent
 * @param runs its runs of one lifetime
 * @param now monotonic time
 * @returns the time of the failure and the runs
 */
export function assessFailure(
  worker: WorkerState,
  runs: readonly Run[],
  now: Milliseconds,
): Failure {
  const to = findFailureTime(worker, runs, now);
  const reachedAt = new Map<Run, Milliseconds>();
  const starting: Run[] = [];
  for (const run of runs) {
    // Since when a worker has the runs of earlier leads is not known.
    if (run.isRestored || run.phase === RunPhase.storing) continue;
    const at = run.confirmedAt ?? findInterruption(run, worker, to);
    const isLate = at !== undefined && !isPrompt(at, to);
    if (isLate) continue;
    if (at !== undefined) reachedAt.set(run, at);
    starting.push(run);
  }
  return {
    vm: worker.vm ?? worker.id,
    from: Math.min(to, Math.max(worker.reportedAt, ...reachedAt.values())),
    to,
    starting,
    suspects: [...reachedAt.keys()],
    recent: runs.filter((run) => reachedAt.has(run) || isRecent(run, worker)),
    isPrompt: reachedAt.size > 0,
  };
}

/** @returns whether a worker first listed a run shortly before its last report */
function isRecent(run: Run, { reportedAt }: WorkerState): boolean {
  const { isRestored, confirmedAt, reportedSince = reportedAt } = run;
  return !isRestored && confirmedAt !== undefined &&
    reportedAt - reportedSince < RECENT_MS;
}

/** @returns whether a worker failed promptly after the start of a run */
function isPrompt(startedAt: Milliseconds, failedAt: Milliseconds): boolean {
  return Math.abs(failedAt - startedAt) <= PROMPT_MS;
}

/**
 * Returns the time of the first sign of a failure. A poll that fails may come
 * later than the end of the connection of a start command, since polls pause
 * while run ends are being stored.
 */
function findFailureTime(
  { silentSince }: WorkerState,
  runs: readonly Run[],
  now: Milliseconds,
): Milliseconds {
  if (silentSince === undefined) return now;
  const interruptions = runs.flatMap(({ interruptedAt: at }) =>
    at !== undefined && at <= silentSince && silentSince - at <= POLL_PAUSE_MS
      ? [at]
      : []
  );
  return Math.min(silentSince, now, ...interruptions);
}

/**
 * Returns when the connection ended on which a start command had just been sent,
 * if the worker failed at that time; undefined otherwise.
 */
function findInterruption(
  { interruptedAt }: Run,
  { silentSince }: WorkerState,
  failedAt: Milliseconds,
): Milliseconds | undefined {
  if (interruptedAt === undefined || silentSince === undefined) {
    return undefined;
  }
  return Math.abs(failedAt - interruptedAt) <= SIMULTANEOUS_MS
    ? interruptedAt
    : undefined;
}

/**
 * Tests whether a failure probably has another cause than a task: several other
 * VMs failed at the same time. Tasks of one job may well be on all of them.
 *
 * @param failure the failure
 * @param failures all failures of the time, which may include the first one
 */
export function hasCommonCause(
  { vm, from, to }: Failure,
  failures: Iterable<Failure>,
): boolean {
  const others = new Set<string>();
  const unexplained = new Set<string>();
  for (const other of failures) {
    const isSimultaneous = other.from <= to + SIMULTANEOUS_MS &&
      other.to >= from - SIMULTANEOUS_MS;
    if (!isSimultaneous || other.vm === vm) continue;
    others.add(other.vm);
    if (!other.isPrompt) unexplained.add(other.vm);
  }
  return unexplained.size >= COMMON_CAUSE_VMS ||
    others.size >= COMMON_CAUSE_PROMPT_VMS;
}
