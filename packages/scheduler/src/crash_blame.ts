import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  isOver,
  type Run,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import {
  assessFailure,
  type Failure,
  hasCommonCause,
} from "./crash_evidence.ts";
import { failJob } from "./job_outcomes.ts";
import { createRestartPauses } from "./restart_pauses.ts";
import { createVmCrashes } from "./vm_crashes.ts";

/**
 * Crashes of workers that had a run of one task, each by its worker and lifetime,
 * without those that another task has been blamed for.
 */
export interface TaskCrashes {
  /** Those that the task may have caused by starting. */
  met: Set<string>;
  /**
   * Those that speak against the task: its start had reached the worker, and
   * nothing else explains the crash.
   */
  suspected: Set<string>;
}

/** Finds out which tasks crash the workers that start them. */
export interface CrashBlame {
  /**
   * Counts the crash of a worker against the tasks that were starting on it. Who
   * is to blame is decided once other crashes of the time are known.
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
  /**
   * Judges the crashes of which all simultaneous ones are known: fails the jobs
   * of tasks that are to blame or have met too many crashes.
   */
  judgeCrashes(): void;
  /**
   * Fails a restored job of which a task has met as many crashes as it may: its
   * lead may have ended before it judged the last one.
   */
  judgeRestored(job: ActiveJob): void;
  /** Prepares {@link CrashBlame.penaltyOf} for a planning pass. */
  beginPass(): void;
  /**
   * @returns whether a task must not be started now: the crash that would be the
   * last of its job is not judged yet, or it is a long-running one that crashed
   * its worker a short time before
   */
  isHeld(step: StepState, index: number): boolean;
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

/** A crash that is not judged yet. */
interface OpenCrash extends Failure {
  /** Identifies the crash by the worker and its lifetime. */
  key: string;
  /** Whether its VM crashed shortly before under other jobs. */
  isVmToBlame: boolean;
  /** Runs of tasks that have met too many crashes with this one. */
  exhausted: readonly Run[];
}

// Number of suspected crashes at which a task is blamed if no other job was
// under suspicion at the last one.
const CRASHES_WHEN_ALONE = 2;
// Number of suspected crashes at which a task is blamed although tasks of other
// jobs were under suspicion at the last one.
const CRASHES_IN_COMPANY = 3;
// Number of crashes at which a task is given up unless the last one has another
// likely cause, and at which it is given up in any case. They bound the workers
// that it can take down while others are suspected too.
const MAXIMUM_CRASHES = 4;
const ABSOLUTE_MAXIMUM_CRASHES = 5;
// Time after the first sign of a crash within which others of the same cause
// become known.
const JUDGEMENT_DELAY_MS: Milliseconds = 1_500;
// Upper bound of that time. A worker that shows no sign until then is silent by
// its next poll, which waits for up to 3.5 s.
const MAXIMUM_JUDGEMENT_DELAY_MS: Milliseconds = 4_000;
// Time for which failures are kept to be compared with a crash.
const FAILURE_MEMORY_MS: Milliseconds = 10_000;
// Pause before a long-running task that crashes its workers is started again.
const RESTART_PAUSE_MS: Milliseconds = 3_000;
// Above any score that a worker gets for its free capacity.
const PENALTY = 5;

/**
 * Creates the crash records of a cell. Crashes of tasks are kept in their steps,
 * so that they are stored for the next lead; all else is kept only in memory.
 *
 * @param options the cell's state, a clock, how to stop a run, and a logger
 * @returns the crash records
 */
export function createCrashBlame(options: CrashBlameOptions): CrashBlame {
  const { state, now, stop, log } = options;
  const vmCrashes = createVmCrashes(now);
  const pauses = createRestartPauses(now);
  let openCrashes: OpenCrash[] = [];
  let recentFailures: Failure[] = [];
  /** Jobs that failed for their crashes, which explain those they share. */
  const givenUpJobs = new WeakSet<ActiveJob>();
  /** Steps with a suspected task, as of the start of the planning pass. */
  let suspectedSteps = new Set<StepState>();

  /** Clears the tasks of other jobs of a crash that one has been blamed for. */
  const explainCrash = (key: string, blamed: ReadonlySet<ActiveJob>): void => {
    vmCrashes.explain(key);
    for (const step of stepsOf(state)) {
      // The next lead may have to fail the job once more.
      if (isOver(step.job) || blamed.has(step.job)) continue;
      for (const { met, suspected } of step.crashes.values()) {
        // It still counts for other suspects, one of which may have caused it.
        if (suspected.delete(key) || met.delete(key)) {
          state.unsavedSteps.add(step);
        }
      }
    }
  };

  /** Fails the job of a task; a long-running task pauses instead. */
  const giveUp = (
    task: Pick<Run, "step" | "index">,
    crashedAt: Milliseconds,
  ): void => {
    const { step, index } = task;
    const { job } = step;
    if (isOver(job)) return;
    const { met, suspected } = crashesOf(task);
    const fields = {
      job: job.spec.id,
      step: step.key,
      task: index,
      crashes: [...met],
      suspected: suspected.size,
    };
    if (!step.spec.isLongRunning) {
      log.warn(fields, "job failed: workers crashed under its task");
      givenUpJobs.add(job);
      return failJob(state, job, stop);
    }
    // Of a worker that is replaced seconds later, the crash is known only then.
    const pausedUntil = crashedAt + RESTART_PAUSE_MS;
    log.warn(
      { ...fields, pauseMs: Math.max(0, pausedUntil - now()) },
      "long-running task pauses: workers crashed under it",
    );
    pauses.set(step, index, pausedUntil);
  };

  /** Returns the failures of workers that are silent for an unknown reason. */
  const silences = (): Failure[] =>
    [...state.workers.values()].filter(({ silentSince, isDraining }) =>
      silentSince !== undefined && !isDraining
    ).map((worker) => assessFailure(worker, [...worker.runs], now()));

  /**
   * Adds a crash to its suspects, and returns those that are to blame: runs of
   * one job, since with several jobs it is not known which of them caused it.
   */
  const findBlamed = (crash: OpenCrash, evidence: readonly Run[]): Run[] => {
    if (crash.isVmToBlame) return [];
    const limit = jobsOf(likelyRunsOf(crash)).size === 1
      ? CRASHES_WHEN_ALONE
      : CRASHES_IN_COMPANY;
    const blamed = evidence.filter((run) => {
      const { suspected } = crashesOf(run);
      addBounded(suspected, crash.key);
      state.unsavedSteps.add(run.step);
      return suspected.size >= limit;
    });
    return jobsOf(blamed).size === 1 ? blamed : [];
  };

  const judge = (crash: OpenCrash): void => {
    const failures = [...recentFailures, ...silences()];
    const isCommon = hasCommonCause(crash, failures);
    const isExplained = isCommon ||
      crash.suspects.some(({ step }) => givenUpJobs.has(step.job));
    const evidence = crash.suspects.filter(({ step: { job } }) =>
      !isExplained && state.jobs.get(job.spec.id) === job && !isOver(job)
    );
    const blamed = findBlamed(crash, evidence);
    log.info(
      {
        crash: crash.key,
        suspects: crash.suspects.map(nameOf),
        evidence: evidence.map(nameOf),
        blamed: blamed.map(nameOf),
        isVmToBlame: crash.isVmToBlame,
        durationMs: crash.to - crash.from,
      },
      "crash judged",
    );
    // Two tasks of a job may share a crash, which is explained once.
    const explained = new Set(
      blamed.flatMap((run) => [...crashesOf(run).suspected]),
    );
    const exhausted = crash.exhausted.filter((run) =>
      !isCommon || crashesOf(run).met.size >= ABSOLUTE_MAXIMUM_CRASHES
    );
    for (const run of new Set([...blamed, ...exhausted])) {
      giveUp(run, crash.to);
    }
    for (const key of explained) explainCrash(key, jobsOf(blamed));
  };

  /** Returns whether workers may have failed at a time without any sign yet. */
  const areOthersUnknown = (at: Milliseconds): boolean =>
    [...state.workers.values()].some(
      ({ hasAnswered, hasEnded, silentSince, reportedAt }) =>
        hasAnswered && !hasEnded && silentSince === undefined &&
        reportedAt <= at,
    );

  const isJudged = ({ to }: OpenCrash): boolean => {
    const passedMs = now() - to;
    if (passedMs < JUDGEMENT_DELAY_MS) return false;
    return passedMs >= MAXIMUM_JUDGEMENT_DELAY_MS || !areOthersUnknown(to);
  };

  return {
    recordCrash: (worker, runs, { hadLapsed = false } = {}) => {
      const failure = assessFailure(worker, runs, now());
      if (runs.length === 0) {
        recentFailures.push(failure);
        const { vm, hasAnswered } = worker;
        // A worker that was never asked may have had runs of an earlier lead.
        if (vm !== undefined && hasAnswered) vmCrashes.recordIdle(vm);
        return;
      }
      const key = crashKeyOf(worker, runs[0]);
      const { starting, suspects } = failure;
      const jobs = jobsOf(hadLapsed ? [] : likelyRunsOf(failure));
      const isVmFaulty = vmCrashes.hasCrashedIdle(worker.vm);
      const isVmToBlame = isVmFaulty || vmCrashes.isUnstable(worker.vm, jobs);
      if (worker.vm !== undefined && !hadLapsed) {
        vmCrashes.record(worker.vm, key, jobs);
      }
      // Of runs of an earlier lead, it is not known whether they had started.
      const unknown = runs.filter(({ isRestored, confirmedAt }) =>
        isRestored && confirmedAt === undefined
      );
      const observed = failure.isPrompt ? suspects : failure.recent;
      const met = [...(isVmFaulty ? [] : observed), ...unknown];
      for (const run of met) {
        addBounded(crashesOf(run).met, key);
        // The progress of a job that has ended meanwhile is deleted.
        const { job } = run.step;
        if (state.jobs.get(job.spec.id) === job) {
          state.unsavedSteps.add(run.step);
        }
      }
      const crash = {
        ...failure,
        key,
        suspects: hadLapsed ? [] : suspects,
        // Of what is unknown, only the upper bound is taken.
        exhausted: [
          ...suspects.filter((run) =>
            !isVmFaulty && crashesOf(run).met.size >= MAXIMUM_CRASHES
          ),
          ...met.filter((run) =>
            crashesOf(run).met.size >= ABSOLUTE_MAXIMUM_CRASHES
          ),
        ],
        isVmToBlame,
      };
      log.warn(
        {
          worker: worker.id,
          vm: worker.vm,
          crash: key,
          runs: runs.length,
          starting: starting.map(nameOf),
          suspects: suspects.map(nameOf),
          isPrompt: failure.isPrompt,
          hadLapsed,
          reportAgeMs: worker.reportedAt === 0
            ? undefined
            : now() - worker.reportedAt,
          silentMs: worker.silentSince === undefined
            ? undefined
            : now() - worker.silentSince,
          isVmToBlame,
        },
        "worker crashed",
      );
      if (!hadLapsed) recentFailures.push(crash);
      openCrashes.push(crash);
    },
    judgeCrashes: () => {
      const due = openCrashes.filter(isJudged);
      openCrashes = openCrashes.filter((crash) => !isJudged(crash));
      due.forEach(judge);
      recentFailures = recentFailures.filter(({ to }) =>
        now() - to < FAILURE_MEMORY_MS
      );
      pauses.prune();
      vmCrashes.prune();
    },
    judgeRestored: (job) => {
      for (const step of job.steps.values()) {
        if (step.spec.isLongRunning) continue;
        for (const [index, { met }] of step.crashes) {
          if (met.size < ABSOLUTE_MAXIMUM_CRASHES || step.done.has(index)) {
            continue;
          }
          giveUp({ step, index }, now());
        }
      }
    },
    beginPass: () => {
      suspectedSteps = new Set([...stepsOf(state)].filter(isSuspected));
      for (const { suspects } of openCrashes) {
        for (const { step } of suspects) suspectedSteps.add(step);
      }
    },
    isHeld: (step, index) => {
      if (pauses.isPaused(step, index)) return true;
      if (openCrashes.length === 0) return false;
      const isOf = (run: Run) => run.step === step && run.index === index;
      if (openCrashes.some(({ exhausted }) => exhausted.some(isOf))) {
        return true;
      }
      const open = openCrashes.filter(({ suspects }) => suspects.some(isOf));
      if (open.length === 0) return false;
      const judged = step.crashes.get(index)?.suspected.size ?? 0;
      return judged + open.length >= CRASHES_WHEN_ALONE;
    },
    penaltyOf: (step, worker) => {
      const vmPenalty = vmCrashes.hasCrashed(worker.vm) ? PENALTY : 0;
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

/** Returns the runs of which one has made a worker fail, if any has. */
function likelyRunsOf({ isPrompt, suspects, starting }: Failure) {
  return isPrompt ? suspects : starting;
}

function jobsOf(runs: readonly Run[]): Set<ActiveJob> {
  return new Set(runs.map(({ step }) => step.job));
}

/** Adds a crash to those of a task; of a long-running one, the last are kept. */
function addBounded(crashes: Set<string>, key: string): void {
  crashes.add(key);
  const [oldest] = crashes;
  if (crashes.size > ABSOLUTE_MAXIMUM_CRASHES) crashes.delete(oldest);
}

function crashesOf(
  { step, index }: Pick<Run, "step" | "index">,
): TaskCrashes {
  const known = step.crashes.get(index);
  if (known !== undefined) return known;
  const crashes = { met: new Set<string>(), suspected: new Set<string>() };
  step.crashes.set(index, crashes);
  return crashes;
}

/** @returns whether an unfinished task of the step has met a crash */
function isSuspected({ job, crashes, done }: StepState): boolean {
  if (crashes.size === 0 || isOver(job)) return false;
  // A common cause may be a mistake, and crashes that were met bound a task.
  return [...crashes].some(([index, { met, suspected }]) =>
    met.size + suspected.size > 0 && !done.has(index)
  );
}

function* stepsOf({ jobs }: CellState): Iterable<StepState> {
  for (const job of jobs.values()) yield* job.steps.values();
}
