import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  type CellState,
  endJob,
  isOver,
  isStepDone,
  release,
  type Run,
  RunPhase,
  settleJob,
  type WorkerState,
} from "./cell_state.ts";
import type { RunEnd, TaskName } from "./job_types.ts";

/** A run that a worker reports. */
export interface ReportedRun {
  task: TaskName;
  number: number;
  checkpoint: string;
  /** Share of its work that is done, 0 to 100. */
  percent: number;
}

/** An end that a worker reports until it is acknowledged. */
export interface ReportedEnd {
  /** Number of the end; rises during a lifetime of the worker. */
  position: number;
  task: TaskName;
  number: number;
  end: RunEnd;
  checkpoint: string;
}

/** A worker's account of what runs on it. */
export interface WorkerReport {
  /** Monotonic time at which the question was sent. */
  askedAt: Milliseconds;
  running: readonly ReportedRun[];
  ended: readonly ReportedEnd[];
}

/** What run ends need to know and to tell. */
export interface RunEndOptions {
  state: CellState;
  now: Milliseconds;
  /** Largest number of failed attempts of a task. */
  attemptsOf(queue: string): number;
  /** Hears of each end of a run that was known. */
  ended(run: Run, end: RunEnd): void;
  /** Ends a run on its worker. */
  stop(run: Run, reason: string): void;
  /** Ends a run that should not exist. */
  stopUnknown(worker: WorkerState, reported: ReportedRun): void;
  log: Logger;
}

/**
 * Takes in a worker's report.
 *
 * @param worker the worker that answered
 * @param report its running and ended runs
 * @param options state and callbacks
 */
export function applyReport(
  worker: WorkerState,
  report: WorkerReport,
  options: RunEndOptions,
): void {
  const { state, now } = options;
  const known = new Map([...worker.runs].map((run) => [nameOf(run), run]));
  const seen = new Set<Run>();

  for (const reported of report.ended) {
    if (reported.position <= worker.handledEnd) continue;
    worker.handledEnd = reported.position;
    const run = known.get(reportedName(reported));
    if (run === undefined) continue;
    seen.add(run);
    known.delete(nameOf(run));
    finishRun(run, reported, options);
  }
  for (const reported of report.running) {
    const run = known.get(reportedName(reported));
    if (run === undefined || run.phase === RunPhase.storing) {
      options.stopUnknown(worker, reported);
      continue;
    }
    seen.add(run);
    noteRunning(run, reported, now);
  }
  for (const run of [...worker.runs]) {
    if (seen.has(run)) continue;
    if (
      run.uncertainSince !== undefined && run.uncertainSince < report.askedAt
    ) {
      // Its start may still arrive; a stop makes the worker reject it.
      options.stop(run, "no answer to its start");
      for (const member of run.step.spec.isGang ? run.step.runs.values() : []) {
        options.stop(member, "a member of the gang was not started");
      }
    }
    if (!isCertainlyGone(run, report.askedAt)) continue;
    options.log.warn(
      {
        job: run.step.job.spec.id,
        step: run.step.key,
        task: run.index,
        run: run.number,
        worker: worker.id,
      },
      "run vanished from its worker",
    );
    release(state, run);
  }
}

/**
 * Notes the end of a run.
 *
 * @param run the run that ended
 * @param reported how, and its last checkpoint
 * @param options state and callbacks
 */
function finishRun(
  run: Run,
  reported: ReportedEnd,
  options: RunEndOptions,
): void {
  const { state } = options;
  const { step } = run;
  saveCheckpoint(run, reported.checkpoint);
  options.ended(run, reported.end);
  release(state, run);
  if (reported.end === "done") return noteDone(run, options);
  if (reported.end === "failed") noteFailure(run, options);
  if (step.spec.isGang && !isStepDone(step) && !step.spec.isLongRunning) {
    for (const member of [...step.runs.values()]) {
      options.stop(member, "another member of the gang ended");
    }
  }
}

function noteDone(run: Run, options: RunEndOptions): void {
  const { step } = run;
  const { spec, job } = step;
  if (spec.isLongRunning) return;
  if (spec.isGang) {
    for (let index = 0; index < spec.taskCount; index++) step.done.add(index);
  } else {
    step.done.add(run.index);
  }
  if (isStepDone(step)) settleJob(options.state, job);
}

function noteFailure(run: Run, options: RunEndOptions): void {
  const { step, worker } = run;
  const { job, spec } = step;
  step.avoided.add(worker.id);
  if (spec.isLongRunning) return;
  if (spec.isGang && step.countedRun === run.number) return;
  step.countedRun = run.number;
  const task = spec.isGang ? 0 : run.index;
  const failures = (step.failures.get(task) ?? 0) + 1;
  step.failures.set(task, failures);
  if (failures < options.attemptsOf(job.spec.queue) || isOver(job)) return;
  options.log.info(
    { job: job.spec.id, step: step.key, task: run.index, failures },
    "job failed: attempts used up",
  );
  endJob(options.state, job, "failed");
  for (const other of job.steps.values()) {
    for (const member of [...other.runs.values()]) {
      options.stop(member, "the job failed");
    }
  }
}

function noteRunning(run: Run, reported: ReportedRun, now: Milliseconds): void {
  if (run.phase === RunPhase.ordered) run.phase = RunPhase.running;
  run.provableFrom ??= now;
  run.uncertainSince = undefined;
  if (reported.percent !== run.percent) {
    run.percent = reported.percent;
    run.percentAt = now;
    run.firstPercent ??= { percent: reported.percent, at: now };
  }
  saveCheckpoint(run, reported.checkpoint);
}

/** A gang keeps one checkpoint, which is valid for all of its members. */
function saveCheckpoint(run: Run, checkpoint: string): void {
  if (checkpoint === "") return;
  run.checkpoint = checkpoint;
  const { step } = run;
  step.checkpoints.set(step.spec.isGang ? 0 : run.index, checkpoint);
}

/** The worker had the run, or was told to reject it, before it was asked. */
function isCertainlyGone(run: Run, askedAt: Milliseconds): boolean {
  return run.provableFrom !== undefined && run.provableFrom < askedAt;
}

function nameOf(run: Run): string {
  return `${run.step.key}.${run.index}/${run.number}`;
}

function reportedName({ task, number }: ReportedRun | ReportedEnd): string {
  const { job, occurrence, step, index } = task;
  return `${job}.${occurrence}.${step}.${index}/${number}`;
}
