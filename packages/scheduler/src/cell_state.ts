import type { Milliseconds } from "@rattanhill/shared";
import {
  type JobOutcome,
  type JobSpec,
  type StepSpec,
  type TaskName,
} from "./job_types.ts";
import type { StepAdvice, Ticket } from "./advice.ts";
import type { TaskCrashes } from "./crash_blame.ts";
import type { Refusals } from "./departed_workers.ts";
import {
  createJobOccurrences,
  type JobOccurrences,
} from "./job_occurrences.ts";
import { storedKeysOf } from "./job_steps.ts";
import type { LazyMap, LazySet } from "./lazy_collections.ts";
import type { ProgressParts } from "./progress_parts.ts";
import { addResources, type Resources } from "./resources.ts";

export { getOrCreateStep, isStepDone } from "./job_steps.ts";
export { addResources, type Resources } from "./resources.ts";

/** Phase of a run, from its placement to its release. */
export const RunPhase = {
  /** Its placement is not stored yet; no start command may be sent. */
  storing: "storing",
  /** A start command was sent, by this lead or possibly by an earlier one. */
  ordered: "ordered",
  /** The worker has confirmed that it runs. */
  running: "running",
  /** A stop command was issued. */
  stopping: "stopping",
} as const;

/** One of the values of {@link RunPhase}. */
export type RunPhase = typeof RunPhase[keyof typeof RunPhase];

/** One run of a task on a worker; it occupies capacity until it is released. */
export interface Run {
  step: StepState;
  /** Index of the task in its step. */
  index: number;
  /** Run number; rises with each placement of tasks of the step. */
  number: number;
  worker: WorkerState;
  /** Lifetime of the worker for which it was placed; 0 when unknown. */
  lifetime: number;
  phase: RunPhase;
  /** Why the run has to stop; undefined while it should continue. */
  stopReason?: string;
  /** Monotonic time at which this process placed or restored the run. */
  placedAt: Milliseconds;
  /**
   * Monotonic time from which the worker has the run or rejects its start
   * command. If a report requested later does not list the run, it no longer
   * exists.
   */
  absenceProvableFrom?: Milliseconds;
  /** Monotonic time at which the start command was found to be unanswered. */
  uncertainSince?: Milliseconds;
  /** Share of its work that is done, 0 to 100. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  percentAt: Milliseconds;
  /** First reported progress and its time, from which the rate is derived. */
  firstPercent?: { percent: number; at: Milliseconds };
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
  /** Ticket that its start command carries; undefined when it needs none. */
  ticket?: Ticket;
  /** Monotonic time at which a report of its worker first listed it. */
  reportedSince?: Milliseconds;
  /**
   * Monotonic time at which its worker first confirmed that it has the run, in
   * the answer to its start command or in a report.
   */
  confirmedAt?: Milliseconds;
  /**
   * Monotonic time at which the connection ended on which its start command had
   * just been sent; whether its worker has received the command is not known.
   */
  interruptedAt?: Milliseconds;
  /** Whether an earlier lead has placed it. */
  isRestored?: boolean;
  /**
   * Monotonic time at which its start command was answered; undefined if there
   * were several attempts.
   */
  startAnsweredAt?: Milliseconds;
  /**
   * Lifetime of its worker that has it, if no later one can have it as well.
   */
  confirmedLifetime?: number;
}

/** A step of one occurrence of a job. */
export interface StepState {
  job: ActiveJob;
  occurrence: number;
  index: number;
  spec: StepSpec;
  /** Identifies the step in the store: job, occurrence and index. */
  key: string;
  /** Highest run number assigned so far. */
  highestRun: number;
  /** Indices of the tasks that ended successfully. */
  done: LazySet<number>;
  /** Current run of each task, by task index. */
  runs: LazyMap<number, Run>;
  /** Numbers of the failed runs by task index; a gang counts as its task 0. */
  failedRuns: LazyMap<number, Set<number>>;
  /** Newest checkpoint by task index; a gang keeps one as its task 0. */
  checkpoints: LazyMap<number, string>;
  /** Crashes of workers by the index of a task that they ran. */
  crashes: LazyMap<number, TaskCrashes>;
  /** Stored parts of its progress; none if it is stored as a whole. */
  storedParts: ProgressParts | LazyMap<string, string>;
  /** Whether the store has rejected its progress for good. */
  isUnstorable?: boolean;
  /**
   * Workers on which a run of the step failed or made no progress, with the
   * monotonic time of the last one.
   */
  avoidedWorkers: LazyMap<string, Milliseconds>;
  /**
   * Advice of the policy of the job's queue; undefined until the policy is
   * first asked.
   */
  advice?: StepAdvice;
}

/** A job; kept until its outcome is stored and all its runs are released. */
export interface ActiveJob {
  spec: JobSpec;
  /** Monotonic time of its submission, from which its wait is measured. */
  waitingSince: Milliseconds;
  isCancelled: boolean;
  /** Whether the record of its first start is stored. */
  hasStarted: boolean;
  outcome?: JobOutcome;
  /**
   * Steps by step key: those whose turn has come, up to the storing of their
   * end.
   */
  steps: Map<string, StepState>;
  /**
   * By occurrence, the indices of the steps that are done and of which nothing
   * else has to be known.
   */
  droppedSteps: Map<number, Set<number>>;
  /** Number of runs of all steps. */
  runCount: number;
  occurrences: JobOccurrences;
  /**
   * By unfinished occurrence, the number of steps, from the first one on, that
   * were found done when it was last checked for its end.
   */
  leadingDoneSteps: Map<number, number>;
}

/** A worker as the platform lists it. */
export interface WorkerEntry {
  id: string;
  /**
   * Time at which it started, Unix milliseconds; 0 when the list does not give
   * it. Identifies this incarnation of the worker process.
   */
  lifetime: number;
  /** The VM on which it runs; undefined when the list does not give it. */
  vm?: string;
  service: string;
  address: string;
  zone: string;
  labels: readonly string[];
  rack: string;
  capacity: Resources;
  isDraining: boolean;
  /** Shortest time for which a draining worker remains. */
  remainingMs: Milliseconds;
  /** Time for which runs on the worker are still slow after its start. */
  coldRemainingMs?: Milliseconds;
}

/** A worker as the lead of its cell knows it. */
export interface WorkerState extends WorkerEntry {
  /** Its earlier lifetimes. */
  pastLifetimes: Set<number>;
  /**
   * Added to the term of the lead for the fencing token of calls to it. It rises
   * when the worker restarts, which then rejects late calls that were meant for
   * its earlier lifetime.
   */
  tokenOffset: number;
  /** Monotonic time at which its current lifetime was first read. */
  lifetimeReadAt: Milliseconds;
  /**
   * Lifetime that its entry in the list names, 0 for none. The address, labels
   * and capacity are those of that lifetime.
   */
  listedLifetime: number;
  /** Capacity that its runs occupy. */
  used: Resources;
  runs: Set<Run>;
  /**
   * Monotonic time at which `remainingMs` of a draining worker was first read.
   */
  remainingSince?: Milliseconds;
  /** Monotonic time until which runs on it are slow after its start. */
  coldUntil?: Milliseconds;
  /** Whether the platform's list of workers contains it. */
  isListed: boolean;
  /** Whether its process has certainly ended, and with it all of its runs. */
  hasEnded: boolean;
  /**
   * Whether it has answered this process in its current lifetime; nothing is
   * placed on it before.
   */
  hasAnswered: boolean;
  /** Monotonic time of its last report. */
  reportedAt: Milliseconds;
  /** Monotonic time at which its last answered poll was sent. */
  lastAnsweredPollAt: Milliseconds;
  /** Monotonic time since which its polls fail; undefined while it answers. */
  silentSince?: Milliseconds;
  /** Undefined unless the last poll was refused. */
  refusals?: Refusals;
  /** Whether it drained and then left by itself. */
  hasLeft: boolean;
  /**
   * Monotonic time by which every lease on it has certainly expired, also if it
   * has restarted unnoticed.
   */
  leasesEndBy: Milliseconds;
  /**
   * Monotonic time by which the leases of its current lifetime have certainly
   * expired; undefined before its clock was read.
   */
  lifetimeLeasesEndBy?: Milliseconds;
  /**
   * Monotonic time before which nothing is placed on it, after a failed start.
   */
  noPlacementBefore: Milliseconds;
  /** Position of the last run end that was applied. */
  lastHandledEnd: number;
  /**
   * Position of the last run end whose effect is stored; ends up to it are
   * acknowledged.
   */
  lastStoredEnd: number;
}

/** State of a cell as its lead knows it. */
export interface CellState {
  jobs: Map<string, ActiveJob>;
  workers: Map<string, WorkerState>;
  /** Steps whose stored record is out of date. */
  unsavedSteps: Set<StepState>;
  /** Keys of stored progress that is to be deleted. */
  removedSteps: Set<string>;
  /** Periodic jobs with finished occurrences that are not compacted. */
  jobsToCompact: Set<ActiveJob>;
  /** Jobs whose outcome is not confirmed to be stored. */
  unsavedOutcomes: Set<ActiveJob>;
}

/** @returns the state of a cell without jobs and workers */
export function createCellState(): CellState {
  return {
    jobs: new Map(),
    workers: new Map(),
    unsavedSteps: new Set(),
    removedSteps: new Set(),
    jobsToCompact: new Set(),
    unsavedOutcomes: new Set(),
  };
}

/**
 * Adds a job without progress; a job that is already known is kept as it is.
 *
 * @param state the cell
 * @param spec the job
 * @param now monotonic time from which its wait is measured
 * @returns the job, new or already known
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
    waitingSince: now,
    isCancelled: false,
    hasStarted: false,
    steps: new Map(),
    droppedSteps: new Map(),
    runCount: 0,
    occurrences: createJobOccurrences(spec),
    leadingDoneSteps: new Map(),
  };
  state.jobs.set(spec.id, job);
  return job;
}

/** @returns the name of the task that a run executes */
export function taskNameOf(run: Run): TaskName {
  const { job, occurrence, index } = run.step;
  return { job: job.spec.id, occurrence, step: index, index: run.index };
}

/** @returns the log fields that identify a run */
export function describeRun(run: Run) {
  const { step, index, number, worker, phase } = run;
  return {
    job: step.job.spec.id,
    step: step.key,
    task: index,
    run: number,
    worker: worker.id,
    phase,
  };
}

/**
 * @returns whether the job is cancelled or has ended, so that none of its tasks
 * may start
 */
export function isOver(job: ActiveJob): boolean {
  return job.isCancelled || job.outcome !== undefined;
}

/** @returns the capacity that one task of the step occupies on a worker */
export function needsOf(spec: StepSpec): Resources {
  return {
    milliCores: spec.isFiller ? 0 : spec.milliCores,
    memoryMegabytes: spec.memoryMegabytes,
    accelerators: spec.accelerators,
  };
}

/**
 * @returns whether the labels and the capacity of a worker are those of its
 * current lifetime, since they may change with a restart
 */
export function isEntryCurrent(
  { listedLifetime, lifetime }: WorkerState,
): boolean {
  return listedLifetime === 0 || listedLifetime === lifetime;
}

/** Adds a run to its worker and step, and occupies its capacity. */
export function addRun(run: Run): void {
  const { worker, step } = run;
  addResources(worker.used, needsOf(step.spec));
  worker.runs.add(run);
  if (!step.runs.has(run.index)) step.job.runCount += 1;
  step.runs.set(run.index, run);
}

/**
 * Removes a run from its worker and step, and frees its capacity. The run must
 * certainly no longer exist on the worker.
 */
export function releaseRun(state: CellState, run: Run): void {
  const { worker, step } = run;
  if (!worker.runs.delete(run)) return;
  addResources(worker.used, needsOf(step.spec), -1);
  if (step.runs.get(run.index) === run) {
    step.runs.delete(run.index);
    step.job.runCount -= 1;
  }
  state.unsavedSteps.add(step);
  deleteJobIfFinished(state, step.job);
}

/**
 * Deletes a job and its stored progress if its outcome is stored and all its
 * runs are released.
 */
export function deleteJobIfFinished(state: CellState, job: ActiveJob): void {
  if (job.outcome === undefined || state.unsavedOutcomes.has(job)) return;
  if (job.runCount > 0) return;
  state.jobs.delete(job.spec.id);
  state.jobsToCompact.delete(job);
  for (const step of job.steps.values()) {
    state.unsavedSteps.delete(step);
  }
  for (const key of storedKeysOf(job)) state.removedSteps.add(key);
}
