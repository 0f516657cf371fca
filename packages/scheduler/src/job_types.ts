import type { Milliseconds } from "@rattanhill/shared";

/** One step of a job: a number of tasks with the same resource needs. */
export interface StepSpec {
  taskCount: number;
  /** Thousandths of a processor core that a task needs. */
  milliCores: number;
  memoryMegabytes: number;
  accelerators: number;
  /** The submitter's rough estimate of one task's duration. */
  estimateMs: Milliseconds;
  /** Indices, from 0, of the earlier steps that must be done first. */
  after: readonly number[];
  /** Whether tasks save checkpoints and can resume from them. */
  isCheckpointing?: boolean;
  /** Whether tasks make progress only while all of them run. */
  isGang?: boolean;
  /** Whether tasks run slower when they span racks. */
  needsOneRack?: boolean;
  /** Label that a worker must have. */
  requiredLabel?: string;
  /** Rack on which the tasks' data is stored; they run slower on others. */
  dataRack?: string;
  /** Largest number of the step's tasks on one worker. */
  maximumPerWorker?: number;
  /** Whether tasks run until the job is cancelled, restarting when they end. */
  isLongRunning?: boolean;
  /** Whether tasks use only idle processor time; they occupy no cores. */
  isFiller?: boolean;
  /** Image that the tasks run; tasks with the same image behave alike. */
  image?: string;
  /** Upper bound on the response time of a serving task. */
  latencyTargetMs?: Milliseconds;
  /**
   * Largest number of tasks of a long-running step that may be made unavailable
   * at a time.
   */
  maximumUnavailable?: number;
}

/** Schedule of a job whose steps run more than once. */
export interface Repetition {
  /** Number of occurrences. */
  count: number;
  /** Due time of the first occurrence, milliseconds since the Unix epoch. */
  startAt: Milliseconds;
  intervalMs: Milliseconds;
}

/** A submitted job. */
export interface JobSpec {
  id: string;
  /** ID of its queue, which renaming does not change. */
  queue: string;
  /** ID of its client account, which renaming does not change. */
  account: string;
  /** Opaque data that workers receive with each task. */
  payload: string;
  steps: readonly StepSpec[];
  repetition?: Repetition;
  /** Wall time at which the job was accepted. */
  submittedAt: Milliseconds;
  /**
   * Service of the queue at submission; used when the queue has been removed.
   */
  service: string;
  /**
   * Attempt limit of the queue at submission; used when the queue has been
   * removed. Jobs that earlier versions stored have none.
   */
  maximumAttempts?: number;
  /**
   * Digest of the submitter's part, by which repeated submissions are
   * recognized. Jobs that earlier versions stored have none.
   */
  bodyDigest?: string;
  /**
   * Whether the lead stored the submission again, since a later one with the
   * same ID had replaced it as the newest record of its key.
   */
  isRestored?: boolean;
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

/** How a run ended on its worker. */
export type RunEnd =
  /** Completed successfully. */
  | "done"
  /** Failed by a fault of the task or the worker; a failed attempt. */
  | "failed"
  /** Stopped by a command. */
  | "stopped"
  /** Its lease expired. */
  | "lapsed"
  /** Another member of its gang ended. */
  | "broken"
  /** Its gang was not complete in time. */
  | "alone";

/** Identifies a task of an occurrence of a job. */
export interface TaskName {
  job: string;
  occurrence: number;
  /** Index of the step in the job. */
  step: number;
  /** Index of the task in the step. */
  index: number;
}

/** @returns the key of a step of one occurrence */
export function stepKey(job: string, occurrence: number, step: number): string {
  return `${job}.${occurrence}.${step}`;
}

/** @returns how many times the steps of a job run */
export function occurrencesOf(spec: JobSpec): number {
  return spec.repetition?.count ?? 1;
}

/**
 * @returns the wall time from which an occurrence may start; for a job without
 * repetition, the time of its submission
 */
export function dueAt(spec: JobSpec, occurrence: number): Milliseconds {
  const { repetition } = spec;
  if (repetition === undefined) return spec.submittedAt;
  return repetition.startAt + occurrence * repetition.intervalMs;
}

/** @returns whether two submissions of an ID have the same sender and body */
export function isSameSubmission(one: JobSpec, other: JobSpec): boolean {
  return one.account === other.account && one.queue === other.queue &&
    one.bodyDigest === other.bodyDigest;
}
