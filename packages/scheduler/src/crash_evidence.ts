import type { Milliseconds } from "@rattanhill/shared";
import type { ActiveJob, Run, WorkerState } from "./cell_state.ts";

/** The crash of a worker, and what is known of its cause. */
export interface Crash {
  /** Identifies the crash by the worker and its lifetime. */
  key: string;
  /** VM of the worker; the worker itself if its VM is not known. */
  vm: string;
  /** Monotonic time of the worker's last sign of life. */
  from: Milliseconds;
  /** Monotonic time of the first sign of its end. */
  to: Milliseconds;
  /** Jobs with a run that may have been starting. */
  jobs: ReadonlySet<ActiveJob>;
  /** Runs that were starting and that the worker had confirmed. */
  suspects: readonly Run[];
}

/** The failure of a worker, which may be silent for another reason. */
export type Failure = Pick<Crash, "vm" | "from" | "to" | "suspects">;

// Time as a confirmed run after which a task has not crashed its worker by
// starting.
const STARTING_MS: Milliseconds = 5_000;
// Slack between two failures of a common cause, since each is noticed by a call
// of its own.
const SIMULTANEOUS_MS: Milliseconds = 300;
// Number of other VMs that fail with a worker, and that a job cannot have caused
// to, from which on a common cause is likelier than a task of the job.
const COMMON_CAUSE_VMS = 2;

/**
 * Returns the runs that may have been starting when their worker failed: those
 * that no report has listed yet; if there is none, those that were first listed
 * a short time before its last report.
 *
 * @param worker the worker
 * @param runs runs of its current lifetime
 * @returns the runs; not those of earlier leads, of which it is not known since
 * when their worker has them
 */
export function findStartingRuns(
  { reportedAt }: WorkerState,
  runs: Iterable<Run>,
): Run[] {
  const sent = [...runs].filter(({ isRestored }) => !isRestored);
  const unreported = sent.filter(({ reportedSince }) =>
    reportedSince === undefined
  );
  if (unreported.length > 0) return unreported;
  return sent.filter(({ reportedSince }) =>
    reportedAt - reportedSince! < STARTING_MS
  );
}

/** @returns the runs that their worker has confirmed */
export function confirmedOf(runs: readonly Run[]): Run[] {
  return runs.filter(({ confirmedAt }) => confirmedAt !== undefined);
}

/**
 * Bounds the time at which a worker failed.
 *
 * @param worker the worker, which has crashed or is silent
 * @param runs its runs
 * @param now monotonic time at which its end became known
 * @returns its last sign of life and the first sign of its end
 */
export function failureTimeOf(
  { reportedAt, silentSince = Infinity }: WorkerState,
  runs: readonly Run[],
  now: Milliseconds,
): { from: Milliseconds; to: Milliseconds } {
  const confirmations = runs.map(({ confirmedAt = 0 }) => confirmedAt);
  const to = Math.min(silentSince, now);
  const from = Math.min(to, Math.max(reportedAt, ...confirmations));
  return { from, to };
}

/**
 * Tests whether a crash probably has another cause than a job: several other VMs
 * failed at the same time, without a confirmed run of the job that was starting
 * there.
 *
 * @param crash the crash
 * @param job a job that may have caused it
 * @param failures all failures of the time, which may include the crash
 */
export function hasCommonCause(
  { vm, from, to }: Failure,
  job: ActiveJob,
  failures: Iterable<Failure>,
): boolean {
  const others = new Set<string>();
  for (const other of failures) {
    const isSimultaneous = other.from <= to + SIMULTANEOUS_MS &&
      other.to >= from - SIMULTANEOUS_MS;
    const isOfJob = other.suspects.some(({ step }) => step.job === job);
    if (isSimultaneous && !isOfJob) others.add(other.vm);
  }
  others.delete(vm);
  return others.size >= COMMON_CAUSE_VMS;
}
