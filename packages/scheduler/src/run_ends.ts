import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  getOrCreateStep,
  isStepDone,
  releaseRun,
  type Run,
  RunPhase,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { completeJobIfDone } from "./job_outcomes.ts";
import { confirmRun } from "./confirmed_runs.ts";
import { countFailedRun } from "./failed_attempts.ts";
import { isDropped } from "./job_steps.ts";
import {
  occurrencesOf,
  type RunEnd,
  stepKey,
  type TaskName,
} from "./job_types.ts";

/** A run that a worker reports as running. */
export interface ReportedRun {
  task: TaskName;
  /** Run number. */
  number: number;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
  /** Share of its work that is done, 0 to 100. */
  percent: number;
}

/** The end of a run; a worker reports it until it is acknowledged. */
export interface ReportedEnd {
  /**
   * Position among the run ends of the worker; rises during a lifetime.
   */
  position: number;
  task: TaskName;
  /** Run number. */
  number: number;
  end: RunEnd;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
}

/** A worker's report of its running and ended runs. */
export interface WorkerReport {
  /** Monotonic time at which the report was requested. */
  askedAt: Milliseconds;
  running: readonly ReportedRun[];
  ended: readonly ReportedEnd[];
  /** Whether more ends follow once these are acknowledged. */
  hasMoreEnds?: boolean;
}

/** Options of {@link applyReport}. */
export interface ApplyReportOptions {
  state: CellState;
  now: Milliseconds;
  /** Lifetime that the report names; 0 for none. */
  lifetime: number;
  /** Fails a job if one of its tasks has failed as often as it may. */
  checkAttempts(job: ActiveJob): void;
  /** Called for each reported progress of a known run. */
  onProgress(run: Run): void;
  /** Called for each reported end of a known run. */
  onRunEnd(run: Run, end: RunEnd): void;
  /** Stops a run on its worker. */
  stop(run: Run, reason: string): void;
  /** Called for each reported end of a run that this lead does not know. */
  onUnknownRunEnd(end: RunEnd): void;
  /** Stops a reported run that this lead does not know or has not started. */
  stopUnknown(worker: WorkerState, reported: ReportedRun): void;
  log: Logger;
}

/**
 * Applies a worker's report: records the ends of runs, updates running ones,
 * stops unknown ones, and releases runs that provably no longer exist.
 *
 * @param worker the worker that reported
 * @param report its running and ended runs
 * @param options state and callbacks
 */
export function applyReport(
  worker: WorkerState,
  report: WorkerReport,
  options: ApplyReportOptions,
): void {
  const { state } = options;
  const knownRuns = new Map(
    [...worker.runs].map((run) => [runKeyOf(run), run]),
  );
  const reportedRuns = new Set<Run>();

  for (const reported of report.ended) {
    if (reported.position <= worker.lastHandledEnd) continue;
    worker.lastHandledEnd = reported.position;
    const run = knownRuns.get(reportedKeyOf(reported));
    if (run === undefined) {
      recordUnknownRunEnd(worker, reported, options);
      continue;
    }
    reportedRuns.add(run);
    knownRuns.delete(runKeyOf(run));
    recordRunEnd(run, reported, options);
  }
  for (const reported of report.running) {
    const run = knownRuns.get(reportedKeyOf(reported));
    if (run === undefined || run.phase === RunPhase.storing) {
      options.stopUnknown(worker, reported);
      continue;
    }
    reportedRuns.add(run);
    updateRunningRun(run, reported, options);
    const { lifetime } = options;
    confirmRun(run, { lifetime, askedAt: report.askedAt });
  }
  // The end of a run that is missing may be among those that follow.
  if (report.hasMoreEnds) return;
  for (const run of [...worker.runs]) {
    if (reportedRuns.has(run)) continue;
    if (
      run.uncertainSince !== undefined && run.uncertainSince < report.askedAt
    ) {
      // Its start command may still arrive; a stop makes the worker reject it.
      options.stop(run, "no answer to its start command");
      for (const member of run.step.spec.isGang ? run.step.runs.values() : []) {
        options.stop(member, "a member of the gang was not started");
      }
    }
    if (!isProvablyAbsent(run, report.askedAt)) continue;
    options.log.warn(
      {
        job: run.step.job.spec.id,
        step: run.step.key,
        task: run.index,
        run: run.number,
        worker: worker.id,
      },
      "run is missing from the report of its worker; released",
    );
    releaseRun(state, run);
  }
}

/**
 * Records the end of a run and frees its capacity.
 *
 * @param run the run that ended
 * @param reported how it ended, and its newest checkpoint
 * @param options state and callbacks
 */
function recordRunEnd(
  run: Run,
  reported: ReportedEnd,
  options: ApplyReportOptions,
): void {
  const { state } = options;
  const { step } = run;
  saveCheckpoint(run, reported.checkpoint);
  options.onRunEnd(run, reported.end);
  releaseRun(state, run);
  if (reported.end === "done") return recordSuccess(run, options);
  if (reported.end === "failed") recordFailure(run, options);
  if (step.spec.isGang && !isStepDone(step) && !step.spec.isLongRunning) {
    for (const member of [...step.runs.values()]) {
      options.stop(member, "another member of the gang ended");
    }
  }
}

/**
 * Records the end of a run that was released before, or that an earlier lead
 * has recorded. Its success or failure counts all the same.
 *
 * @param worker the worker that reported the end
 * @param reported how the run ended
 * @param options state and callbacks
 */
function recordUnknownRunEnd(
  worker: WorkerState,
  reported: ReportedEnd,
  options: ApplyReportOptions,
): void {
  const { task, number, end, position } = reported;
  const { index } = task;
  const job = options.state.jobs.get(task.job);
  const step = job && findNamedStep(job, task);
  options.log.warn(
    {
      job: task.job,
      step: stepKey(task.job, task.occurrence, task.step),
      task: index,
      run: number,
      worker: worker.id,
      end,
      position,
      isStepKnown: step !== undefined,
    },
    "end of an unknown run",
  );
  options.onUnknownRunEnd(end);
  if (step === undefined || index >= step.spec.taskCount) return;
  if (end === "failed") recordFailure({ step, index, number, worker }, options);
  if (end !== "done" || step.spec.isLongRunning) return;
  recordSuccess({ step, index }, options);
  for (const run of [...step.runs.values()]) {
    if (step.done.has(run.index)) options.stop(run, "its task is done");
  }
}

/**
 * Returns the step of a task that a worker names; undefined if the job has none,
 * or if the step is done and was dropped.
 */
function findNamedStep(
  job: ActiveJob,
  { occurrence, step: index }: TaskName,
): StepState | undefined {
  const isKnown = index < job.spec.steps.length &&
    occurrence < occurrencesOf(job.spec);
  if (!isKnown || isDropped(job, occurrence, index)) return undefined;
  return getOrCreateStep(job, occurrence, index);
}

/** A run that has ended, released or not. */
type EndedRun = Pick<Run, "step" | "index" | "number" | "worker">;

/**
 * Marks the task of a run as done. One successful member completes a whole
 * gang; tasks of long-running steps are never done.
 */
function recordSuccess(
  { step, index }: Pick<EndedRun, "step" | "index">,
  options: ApplyReportOptions,
): void {
  const { spec, job } = step;
  if (spec.isLongRunning) return;
  if (spec.isGang) {
    for (let member = 0; member < spec.taskCount; member++) {
      step.done.add(member);
    }
  } else {
    step.done.add(index);
  }
  step.checkpoints.delete(spec.isGang ? 0 : index);
  options.state.unsavedSteps.add(step);
  if (isStepDone(step)) {
    completeJobIfDone(options.state, job, [step.occurrence]);
  }
}

/**
 * Excludes the worker from further runs of the step, counts the failed attempt,
 * and fails the job when the attempt limit is reached. Failures of long-running
 * steps are not counted.
 */
function recordFailure(
  { step, index, number, worker }: EndedRun,
  options: ApplyReportOptions,
): void {
  const { job, spec } = step;
  step.avoidedWorkers.set(worker.id, options.now);
  if (spec.isLongRunning || step.done.has(index)) return;
  if (!countFailedRun(step, index, number)) return;
  options.state.unsavedSteps.add(step);
  options.checkAttempts(job);
}

// Time as a reported run after which its task is cleared of earlier crashes.
const INNOCENT_RUN_MS: Milliseconds = 60_000;

/**
 * Updates the phase, progress and checkpoint of a run that its worker reports.
 */
function updateRunningRun(
  run: Run,
  reported: ReportedRun,
  { state, now, onProgress }: ApplyReportOptions,
): void {
  if (run.phase === RunPhase.ordered) run.phase = RunPhase.running;
  run.absenceProvableFrom ??= now;
  run.uncertainSince = undefined;
  run.reportedSince ??= now;
  run.confirmedAt ??= now;
  // A task that runs on for long does not crash its worker by starting.
  if (
    now - run.reportedSince > INNOCENT_RUN_MS &&
    run.step.crashes.delete(run.index)
  ) state.unsavedSteps.add(run.step);
  if (reported.percent !== run.percent) {
    run.percent = reported.percent;
    run.percentAt = now;
    run.firstPercent ??= { percent: reported.percent, at: now };
  }
  onProgress(run);
  saveCheckpoint(run, reported.checkpoint);
}

/**
 * Saves the checkpoint of a run; a gang keeps one, valid for all its members.
 */
function saveCheckpoint(run: Run, checkpoint: string): void {
  if (checkpoint === "") return;
  run.checkpoint = checkpoint;
  const { step } = run;
  step.checkpoints.set(step.spec.isGang ? 0 : run.index, checkpoint);
}

/**
 * Returns whether a report that does not list the run proves that the run no
 * longer exists. This is so if, before the report was requested, the worker had
 * the run or was certain to reject its start command.
 */
function isProvablyAbsent(run: Run, askedAt: Milliseconds): boolean {
  return run.absenceProvableFrom !== undefined &&
    run.absenceProvableFrom < askedAt;
}

/** @returns the key of a run, equal to {@link reportedKeyOf} of its reports */
function runKeyOf(run: Run): string {
  return `${run.step.key}.${run.index}/${run.number}`;
}

function reportedKeyOf({ task, number }: ReportedRun | ReportedEnd): string {
  const { job, occurrence, step, index } = task;
  return `${job}.${occurrence}.${step}.${index}/${number}`;
}
