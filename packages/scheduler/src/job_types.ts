import type { Milliseconds } from "@rattanhill/shared";

/** Tasks of one step of a job; all of them have the same needs. */
export interface StepSpec {
  taskCount: number;
  /** Thousandths of a processor core that a task needs. */
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
  /** The submitter's rough estimate of one task's duration. */
  estimateMs: Milliseconds;
  /** Earlier steps, counted from 0, that must be done first. */
  after: readonly number[];
  /** Tasks save their progress and can go on from it. */
  isCheckpointing?: boolean;
  /** Tasks work only while all of them run. */
  isGang?: boolean;
  /** Tasks are slowed when they run on more than one rack. */
  needsOneRack?: boolean;
  /** Label that a worker must have. */
  requiredLabel?: string;
  /** Rack that holds the data; tasks are slowed on any other. */
  dataRack?: string;
  /** Largest number of the step's tasks on one worker. */
  maximumPerWorker?: number;
  /** Tasks run until the job is cancelled and are restarted however they end. */
  isLongRunning?: boolean;
  /** Uses processor time that other tasks leave; its cores are not reserved. */
  isFiller?: boolean;
  /** Tasks with the same image behave alike. */
  image?: string;
  /** Response time that a serving task has to stay below. */
  latencyTargetMs?: Milliseconds;
  /** Tasks of a long-running step that we may make unavailable at a time. */
  maximumUnavailable?: number;
}

/** When the steps of a job are run again. */
export interface Repetition {
  count: number;
  /** Due time of the first occurrence, milliseconds since the Unix epoch. */
  startAt: Milliseconds;
  intervalMs: Milliseconds;
}

/** A submitted job. */
export interface JobSpec {
  id: string;
  queue: string;
  account: string;
  /** What workers get with each task; not interpreted. */
  payload: string;
  steps: readonly StepSpec[];
  repetition?: Repetition;
  /** Wall time of the acceptance. */
  submittedAt: Milliseconds;
  /** Service of the queue at that time; used once the queue is gone. */
  service: string;
}

/** How a job ended. */
export const JobOutcome = {
  completed: "completed",
  failed: "failed",
  cancelled: "cancelled",
} as const;

/** One of the values of {@link JobOutcome}. */
export type JobOutcome = typeof JobOutcome[keyof typeof JobOutcome];

/** State of a job as its submitter sees it. */
export type JobState = JobOutcome | "queued" | "running";

/** How a run on a worker ended. */
export type RunEnd =
  | "done"
  /** By a fault of the task or the worker; counts as an attempt. */
  | "failed"
  | "stopped"
  /** Its lease ran out. */
  | "lapsed"
  /** Another member of its gang ended. */
  | "broken"
  /** Its gang was not complete in time. */
  | "alone";

/** A task of an occurrence of a job. */
export interface TaskName {
  job: string;
  occurrence: number;
  step: number;
  index: number;
}

/** @returns the key of a step of one occurrence */
export function stepKey(job: string, occurrence: number, step: number): string {
  return `${job}.${occurrence}.${step}`;
}

/** @returns the number of times that the steps of a job run */
export function occurrencesOf(spec: JobSpec): number {
  return spec.repetition?.count ?? 1;
}

/** @returns when an occurrence may start, wall time */
export function dueAt(spec: JobSpec, occurrence: number): Milliseconds {
  const { repetition } = spec;
  if (repetition === undefined) return spec.submittedAt;
  return repetition.startAt + occurrence * repetition.intervalMs;
}
