import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  isOver,
  type Run,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { failJob } from "./job_outcomes.ts";

/**
 * Crashes of workers that had a run of one task, as {@link crashKeyOf}, without
 * those that another task has been blamed for.
 */
export interface TaskCrashes {
  /** All of them. */
  met: Set<string>;
  /** Those that the task may have caused. */
  suspected: Set<string>;
}

/** Finds out which tasks crash the workers that start them. */
export interface CrashBlame {
  /**
   * Counts the crash of a worker against the tasks that ran on it, and fails
   * the jobs of tasks that are to blame or have met too many crashes.
   *
   * @param worker the worker that crashed
   * @param runs the runs that it lost, all of one lifetime
   * @param options whether the runs had lapsed before the crash became known, so
   * that it may have happened later; it then makes no task a suspect
   */
  recordCrash(
    worker: WorkerState,
    runs: readonly Run[],
    options?: { hadLapsed?: boolean },
  ): void;
  /** Prepares {@link CrashBlame.penaltyOf} for a planning pass. */
  beginPass(): void;
  /**
   * @returns the penalty on the placement score of a worker for a step:
   * suspected tasks are placed away from the runs of other jobs and these away
   * from them, and VMs with an unexplained crash are used last
   */
  penaltyOf(step: StepState, worker: WorkerState): number;
}

/** Options of {@link createCrashBlame}. */
export interface CrashBlameOptions {
  state: CellState;
  now(): Milliseconds;
  /** Stops a run. */
  stop(run: Run, reason: string): void;
  log: Logger;
}

// Number of suspected crashes at which a task is blamed if no other job was
// under suspicion at the last one.
const CRASHES_WHEN_ALONE = 2;
// Number of suspected crashes at which a task is blamed although tasks of other
// jobs were under suspicion at the last one.
const CRASHES_IN_COMPANY = 3;
// Number of crashes at which a task is given up even if others are suspected
// of them, which bounds the workers that it can take down.
const MAXIMUM_CRASHES = 4;
// Time for which a reported run may still have crashed its worker by starting.
const FRESH_RUN_MS: Milliseconds = 5_000;
// Time for which a VM that crashed is used last. If it crashes again within
// this time under other tasks, the VM itself is to blame.
const UNSTABLE_VM_MS: Milliseconds = 30_000;
// Time for which the crash of a VM is counted in the log beside later ones.
const RECENT_CRASH_MS: Milliseconds = 1_000;
// Above any score that a worker gets for its free capacity.
const PENALTY = 5;

/**
 * Creates the crash records of a cell. Crashes of tasks are kept in their steps,
 * so that they are stored for the next lead; those of VMs only in memory.
 *
 * @param options the cell's state, a clock, how to stop a run, and a logger
 * @returns the crash records
 */
export function createCrashBlame(options: CrashBlameOptions): CrashBlame {
  const { state, now, stop, log } = options;
  /** Last unexplained crash of each VM, and the jobs suspected of it. */
  const vmCrashes = new Map<
    string,
    { key: string; at: Milliseconds; jobs: Set<ActiveJob> }
  >();

  /** Steps with a suspected task, as of the start of the planning pass. */
  let suspectedSteps = new Set<StepState>();

  const lastCrashOf = (vm: string | undefined) => {
    const crash = vm === undefined ? undefined : vmCrashes.get(vm);
    return crash !== undefined && now() - crash.at < UNSTABLE_VM_MS
      ? crash
      : undefined;
  };

  /**
   * Returns whether the crashes of a VM, and not a task, are the likely cause:
   * it crashed a short time before with none of these jobs.
   */
  const isUnstable = (worker: WorkerState, jobs: Set<ActiveJob>): boolean => {
    const earlier = lastCrashOf(worker.vm);
    return earlier !== undefined &&
      ![...jobs].some((job) => earlier.jobs.has(job));
  };

  /** Clears the other tasks of a crash that one of them has been blamed for. */
  const explainCrash = (key: string): void => {
    for (const [vm, crash] of vmCrashes) {
      if (crash.key === key) vmCrashes.delete(vm);
    }
    for (const step of stepsOf(state)) {
      // The next lead may have to fail the job once more.
      if (isOver(step.job)) continue;
      for (const { met, suspected } of step.crashes.values()) {
        // It still counts for other suspects, one of which may have caused it.
        if (suspected.delete(key) || met.delete(key)) {
          state.unsavedSteps.add(step);
        }
      }
    }
  };

  const giveUp = (run: Run): void => {
    const { step, index } = run;
    const { job } = step;
    if (isOver(job)) return;
    const { met, suspected } = crashesOf(run);
    log.warn(
      {
        job: job.spec.id,
        step: step.key,
        task: index,
        crashes: [...met],
        suspected: suspected.size,
      },
      "job failed: workers crashed under its task",
    );
    failJob(state, job, stop);
  };

  return {
    recordCrash: (worker, runs, { hadLapsed = false } = {}) => {
      if (runs.length === 0) return;
      const key = crashKeyOf(worker, runs[0]);
      const suspects = hadLapsed ? [] : findSuspects(worker, runs);
      const jobs = new Set(suspects.map(({ step }) => step.job));
      const isVmToBlame = isUnstable(worker, jobs);
      const recentVmCrashes =
        [...vmCrashes].filter(([vm, { at }]) =>
          vm !== worker.vm && now() - at < RECENT_CRASH_MS
        ).length;
      if (worker.vm !== undefined && !hadLapsed) {
        vmCrashes.set(worker.vm, { key, at: now(), jobs });
      }
      for (const run of runs) {
        crashesOf(run).met.add(key);
        // The progress of a job that has ended meanwhile is deleted.
        const { job } = run.step;
        if (state.jobs.get(job.spec.id) === job) {
          state.unsavedSteps.add(run.step);
        }
      }
      const blamed = isVmToBlame ? [] : findBlamed(suspects, key);
      log.warn(
        {
          worker: worker.id,
          vm: worker.vm,
          crash: key,
          runs: runs.length,
          suspects: suspects.map(nameOf),
          confirmed: suspects.filter(({ confirmedAt }) =>
            confirmedAt !== undefined
          ).map(nameOf),
          reportAgeMs: worker.reportedAt === 0
            ? undefined
            : now() - worker.reportedAt,
          silentMs: worker.silentSince === undefined
            ? undefined
            : now() - worker.silentSince,
          recentVmCrashes,
          isVmToBlame,
          blamed: blamed.length,
        },
        "worker crashed",
      );
      for (const run of runs) {
        const hasMetTooMany = crashesOf(run).met.size >= MAXIMUM_CRASHES;
        if (hasMetTooMany || blamed.includes(run)) giveUp(run);
      }
      // Two tasks of a job may share a crash, which is explained once.
      const explained = new Set(
        blamed.flatMap((run) => [...crashesOf(run).suspected]),
      );
      explained.forEach(explainCrash);
    },
    beginPass: () => {
      suspectedSteps = new Set([...stepsOf(state)].filter(isSuspected));
    },
    penaltyOf: (step, worker) => {
      const vmPenalty = lastCrashOf(worker.vm) === undefined ? 0 : PENALTY;
      if (suspectedSteps.size === 0) return vmPenalty;
      const isSuspect = suspectedSteps.has(step);
      let penalty = 0;
      for (const run of worker.runs) {
        if (run.step.job === step.job) continue;
        if (suspectedSteps.has(run.step)) penalty = 2 * PENALTY;
        else if (isSuspect) penalty = Math.max(penalty, PENALTY);
      }
      return vmPenalty + penalty;
    },
  };
}

function nameOf({ step, index }: Run): string {
  return `${step.key}.${index}`;
}

/** @returns a key that identifies the crash of a worker by one of its runs */
function crashKeyOf({ id }: WorkerState, { lifetime }: Run): string {
  return `${id}/${lifetime}`;
}

/**
 * Returns the runs that may have crashed their worker. A task that crashes its
 * worker does so when it starts, so these are the runs that no report has listed
 * yet; if there is none, those that were first listed a short time ago.
 */
function findSuspects(
  { reportedAt }: WorkerState,
  runs: readonly Run[],
): readonly Run[] {
  // A restored worker that has not answered this lead may have drained, and
  // which of its runs were reported is not known.
  if (reportedAt === 0) return [];
  const unreported = runs.filter(({ reportedSince }) =>
    reportedSince === undefined
  );
  if (unreported.length > 0) return unreported;
  return runs.filter(({ reportedSince }) =>
    reportedAt - reportedSince! < FRESH_RUN_MS
  );
}

/**
 * Adds a crash to its suspects, and returns those that are to blame: runs of one
 * job, since with several jobs it is not known which of them caused it.
 */
function findBlamed(suspects: readonly Run[], key: string): readonly Run[] {
  const jobs = new Set(suspects.map(({ step }) => step.job));
  const limit = jobs.size === 1 ? CRASHES_WHEN_ALONE : CRASHES_IN_COMPANY;
  const blamed = suspects.filter((run) =>
    crashesOf(run).suspected.add(key).size >= limit
  );
  return new Set(blamed.map(({ step }) => step.job)).size === 1 ? blamed : [];
}

function crashesOf({ step, index }: Run): TaskCrashes {
  const known = step.crashes.get(index);
  if (known !== undefined) return known;
  const crashes = { met: new Set<string>(), suspected: new Set<string>() };
  step.crashes.set(index, crashes);
  return crashes;
}

/** @returns whether an unfinished task of the step is suspected of a crash */
function isSuspected({ job, crashes, done }: StepState): boolean {
  if (crashes.size === 0 || isOver(job)) return false;
  return [...crashes].some(([index, { suspected }]) =>
    suspected.size > 0 && !done.has(index)
  );
}

function* stepsOf({ jobs }: CellState): Iterable<StepState> {
  for (const job of jobs.values()) yield* job.steps.values();
}
