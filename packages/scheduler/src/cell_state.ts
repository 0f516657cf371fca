import type { Milliseconds } from "@rattanhill/shared";
import {
  type JobOutcome,
  type JobSpec,
  occurrencesOf,
  stepKey,
  type StepSpec,
  type TaskName,
} from "./job_types.ts";
import type { StepRecord } from "./records.ts";

/** How far a run has come. */
export const RunPhase = {
  /** Its start is not stored yet; it must not be ordered. */
  storing: "storing",
  /** The worker was told, or may have been told, to start it. */
  ordered: "ordered",
  /** The worker has it. */
  running: "running",
  /** The worker was told to stop it. */
  stopping: "stopping",
} as const;

/** One of the values of {@link RunPhase}. */
export type RunPhase = typeof RunPhase[keyof typeof RunPhase];

/** One run of a task on a worker; it occupies capacity until it is released. */
export interface Run {
  step: StepState;
  index: number;
  number: number;
  worker: WorkerState;
  phase: RunPhase;
  /** Why it is to end; undefined while it should go on. */
  stopReason?: string;
  /** Monotonic time of its placement by this process. */
  placedAt: Milliseconds;
  /** Monotonic time; a later question answered without the run proves that it is gone. */
  provableFrom?: Milliseconds;
  /** Monotonic time from which its start is known to have no answer. */
  uncertainSince?: Milliseconds;
  /** Share of its work that is done, 0 to 100. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  percentAt: Milliseconds;
  /** First reported share and its time, to tell the speed. */
  firstPercent?: { percent: number; at: Milliseconds };
  checkpoint: string;
}

/** A step of one occurrence of a job. */
export interface StepState {
  job: ActiveJob;
  occurrence: number;
  index: number;
  spec: StepSpec;
  key: string;
  highestRun: number;
  done: Set<number>;
  runs: Map<number, Run>;
  failures: Map<number, number>;
  checkpoints: Map<number, string>;
  /** Workers on which a run of the step failed. */
  avoided: Set<string>;
  /** Run number of the gang whose failure was counted last. */
  countedRun: number;
  /** What its queue's policy said of workers; undefined while it was not asked. */
  advice?: StepAdvice;
}

/** Workers that a queue's policy allows for a step. */
export interface StepAdvice {
  /** Workers that were asked for, allowed or not. */
  asked: Set<string>;
  /** Allowed workers, for one lifetime each. */
  tickets: Map<string, Ticket>;
  isAsking: boolean;
}

/** Permission to run a step on a worker. */
export interface Ticket {
  text: string;
  lifetime: number;
  /** Monotonic time at which it ends. */
  validUntil: Milliseconds;
}

/** A job that has not been wound up yet. */
export interface ActiveJob {
  spec: JobSpec;
  /** Monotonic time from which its waiting counts. */
  since: Milliseconds;
  isCancelled: boolean;
  outcome?: JobOutcome;
  /** Steps of the occurrences that were touched, by key. */
  steps: Map<string, StepState>;
  /** Occurrences whose steps have all ended successfully. */
  finished: Set<number>;
}

/** Resources of a worker or a task. */
export interface Resources {
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
}

/** A worker as the platform lists it. */
export interface WorkerEntry {
  id: string;
  /** Its start in Unix milliseconds; 0 when the list does not tell. */
  lifetime: number;
  service: string;
  address: string;
  zone: string;
  labels: readonly string[];
  rack: string;
  capacity: Resources;
  isDraining: boolean;
  /** Shortest time that a draining worker stays. */
  remainingMs: Milliseconds;
}

/** A worker as the lead of its cell knows it. */
export interface WorkerState extends WorkerEntry {
  used: Resources;
  runs: Set<Run>;
  drainingSince?: Milliseconds;
  /** In the platform's list of workers. */
  isListed: boolean;
  /** Has answered this process in this lifetime; nothing is placed before. */
  hasAnswered: boolean;
  /** Monotonic time of its last report. */
  reportedAt: Milliseconds;
  /** Monotonic time from which it has not answered; undefined while it does. */
  silentSince?: Milliseconds;
  /** Its entry says that it left by itself. */
  hasLeft: boolean;
  /** Monotonic time from which every lease on it has surely run out. */
  leasesEndBy: Milliseconds;
  /** Monotonic time before which nothing is placed, after a refusal. */
  closedUntil: Milliseconds;
  /** Number of the last end that is reflected in this state. */
  handledEnd: number;
  /** Number of the last end whose effect is stored. */
  storedEnd: number;
}

/** Everything that the lead of a cell knows. */
export interface CellState {
  jobs: Map<string, ActiveJob>;
  workers: Map<string, WorkerState>;
  /** Steps whose record in the store is out of date. */
  unsavedSteps: Set<StepState>;
  /** Jobs whose outcome is not stored yet. */
  unsavedOutcomes: Set<ActiveJob>;
}

/** @returns a state without jobs and workers */
export function createCellState(): CellState {
  return {
    jobs: new Map(),
    workers: new Map(),
    unsavedSteps: new Set(),
    unsavedOutcomes: new Set(),
  };
}

/**
 * Adds a job, with its progress if it has any.
 *
 * @param state the cell
 * @param spec the job
 * @param now monotonic time
 * @returns the job, new or known
 */
export function addJob(
  state: CellState,
  spec: JobSpec,
  now: Milliseconds,
): ActiveJob {
  const known = state.jobs.get(spec.id);
  if (known !== undefined) return known;
  const job: ActiveJob = {
    spec,
    since: now,
    isCancelled: false,
    steps: new Map(),
    finished: new Set(),
  };
  state.jobs.set(spec.id, job);
  return job;
}

/** @returns a step of an occurrence, created when it is first used */
export function stepOf(
  job: ActiveJob,
  occurrence: number,
  index: number,
): StepState {
  const key = stepKey(job.spec.id, occurrence, index);
  let step = job.steps.get(key);
  if (step === undefined) {
    step = {
      job,
      occurrence,
      index,
      spec: job.spec.steps[index],
      key,
      highestRun: 0,
      done: new Set(),
      runs: new Map(),
      failures: new Map(),
      checkpoints: new Map(),
      avoided: new Set(),
      countedRun: 0,
    };
    job.steps.set(key, step);
  }
  return step;
}

/** @returns the name of the task that a run carries out */
export function taskOf(run: Run): TaskName {
  const { job, occurrence, index } = run.step;
  return { job: job.spec.id, occurrence, step: index, index: run.index };
}

/** @returns whether all tasks of the step have ended successfully */
export function isStepDone(step: StepState): boolean {
  return step.done.size >= step.spec.taskCount;
}

/** @returns whether nothing of the job may be started any more */
export function isOver(job: ActiveJob): boolean {
  return job.isCancelled || job.outcome !== undefined;
}

/** @returns what one task of the step occupies on a worker */
export function needsOf(spec: StepSpec): Resources {
  return {
    milliCores: spec.isFiller ? 0 : spec.milliCores,
    memoryMegabytes: spec.memoryMegabytes,
    accelerators: spec.accelerators,
  };
}

/** Occupies capacity for a run. */
export function reserve(run: Run): void {
  const { worker, step } = run;
  addResources(worker.used, needsOf(step.spec));
  worker.runs.add(run);
  step.runs.set(run.index, run);
}

/** Frees the capacity of a run that certainly does not exist any more. */
export function release(state: CellState, run: Run): void {
  const { worker, step } = run;
  if (!worker.runs.delete(run)) return;
  addResources(worker.used, needsOf(step.spec), -1);
  if (step.runs.get(run.index) === run) step.runs.delete(run.index);
  state.unsavedSteps.add(step);
  forgetWhenWoundUp(state, step.job);
}

/** Drops a job that has ended, is stored as such, and runs nowhere. */
export function forgetWhenWoundUp(state: CellState, job: ActiveJob): void {
  if (job.outcome === undefined || state.unsavedOutcomes.has(job)) return;
  for (const step of job.steps.values()) if (step.runs.size > 0) return;
  state.jobs.delete(job.spec.id);
}

/** @returns the record that makes the step's progress last */
export function recordOf(step: StepState): StepRecord {
  return {
    highestRun: step.highestRun,
    done: [...step.done],
    runs: [...step.runs.values()].map((run) => [
      run.index,
      run.number,
      run.worker.id,
      run.worker.lifetime,
    ]),
    failures: [...step.failures],
    checkpoints: [...step.checkpoints],
  };
}

/** Decides the job's outcome once every occurrence is done. */
export function settleJob(state: CellState, job: ActiveJob): void {
  if (isOver(job)) return;
  const count = occurrencesOf(job.spec);
  for (let occurrence = 0; occurrence < count; occurrence++) {
    if (job.finished.has(occurrence)) continue;
    const isFinished = job.spec.steps.every((_, index) => {
      const step = job.steps.get(stepKey(job.spec.id, occurrence, index));
      return step !== undefined && isStepDone(step);
    });
    if (!isFinished) return;
    job.finished.add(occurrence);
  }
  endJob(state, job, "completed");
}

/** Gives the job its outcome. */
export function endJob(
  state: CellState,
  job: ActiveJob,
  outcome: JobOutcome,
): void {
  job.outcome = outcome;
  state.unsavedOutcomes.add(job);
}

/** Adds resources to others, a number of times; a negative number takes them away. */
export function addResources(
  target: Resources,
  by: Resources,
  times = 1,
): void {
  target.milliCores += times * by.milliCores;
  target.memoryMegabytes += times * by.memoryMegabytes;
  target.accelerators += times * by.accelerators;
}
