import type { Milliseconds } from "@rattanhill/shared";
import { dueAt, type JobSpec, type StepSpec } from "./job_types.ts";

// Of a job with its entries in the book and in the lead's state.
const JOB_BYTES = 2_048;
// Of a step with its state, its entry in a planning pass, and its stored progress
// while a new lead reads it.
const STEP_BYTES = 1_024;
// Of a task that has run: its end, its checkpoint, and its stored progress.
const TASK_BYTES = 160;
// Of a step of an ended job, with its text while a starting entry reads it.
const ENDED_STEP_BYTES = 256;
// Of a character, which is held as part of the job and of its text.
const CHARACTER_BYTES = 2;
// Of an index of an earlier step that a step waits for, and its text.
const DEPENDENCY_BYTES = 16;

/**
 * Estimates the memory that an entry needs for a job, at most: as the lead, also
 * while it takes over. An entry that does not lead needs less.
 *
 * @param spec the job
 * @param state whether the job has ended, and the wall time, by which the
 * occurrences of a periodic job are counted
 * @returns bytes
 */
export function estimateJobBytes(
  spec: JobSpec,
  { hasEnded, wallTime }: { hasEnded: boolean; wallTime: Milliseconds },
): number {
  let bytes = JOB_BYTES + CHARACTER_BYTES * spec.payload.length;
  let tasks = 0;
  for (const step of spec.steps) {
    bytes += CHARACTER_BYTES * charactersOf(step) +
      DEPENDENCY_BYTES * step.after.length;
    tasks += step.taskCount;
  }
  const { length: steps } = spec.steps;
  if (hasEnded) return bytes + ENDED_STEP_BYTES * steps;
  return bytes +
    dueOccurrencesOf(spec, wallTime) *
      (STEP_BYTES * steps + TASK_BYTES * tasks);
}

/** Returns an estimate also of a stored job that is damaged. */
function estimateStoredJob(
  spec: JobSpec,
  state: { hasEnded: boolean; wallTime: Milliseconds },
): number {
  try {
    const bytes = estimateJobBytes(spec, state);
    return Number.isFinite(bytes) ? bytes : JOB_BYTES;
  } catch {
    return JOB_BYTES;
  }
}

/** Returns the number of occurrences that are due, at least one. */
function dueOccurrencesOf(spec: JobSpec, wallTime: Milliseconds): number {
  const { repetition } = spec;
  if (repetition === undefined) return 1;
  const { count, intervalMs } = repetition;
  const sinceFirst = wallTime - dueAt(spec, 0);
  if (sinceFirst < 0) return 1;
  const due = intervalMs > 0 ? Math.floor(sinceFirst / intervalMs) + 1 : count;
  return Math.min(count, due);
}

function charactersOf({ requiredLabel, dataRack, image }: StepSpec): number {
  return (requiredLabel?.length ?? 0) + (dataRack?.length ?? 0) +
    (image?.length ?? 0);
}

/** Sum of the estimates of a number of jobs; see {@link estimateJobBytes}. */
export interface JobMemory {
  /** Adds a job, or estimates it anew after a change. */
  update(id: string, spec: JobSpec, hasEnded: boolean): void;
  /** Removes a job. */
  remove(id: string): void;
  /**
   * @param wallTime wall time, by which occurrences of periodic jobs are counted
   * @returns bytes that the jobs need
   */
  heldBytes(wallTime: Milliseconds): number;
  /** @returns bytes that ended and removed jobs have ceased to need so far */
  releasedBytes(): number;
}

/** @returns the memory of no jobs */
export function createJobMemory(): JobMemory {
  /** Estimates of jobs that do not grow, by job. */
  const estimates = new Map<string, number>();
  /** Unfinished periodic jobs, which grow with each occurrence. */
  const periodicJobs = new Map<string, JobSpec>();
  let heldBytes = 0;
  let releasedBytes = 0;

  const setEstimate = (id: string, bytes: number): void => {
    const change = bytes - (estimates.get(id) ?? 0);
    heldBytes += change;
    releasedBytes += Math.max(0, -change);
    if (bytes === 0) estimates.delete(id);
    else estimates.set(id, bytes);
  };

  return {
    update: (id, spec, hasEnded) => {
      const isGrowing = spec.repetition !== undefined && !hasEnded;
      if (isGrowing) periodicJobs.set(id, spec);
      else periodicJobs.delete(id);
      const wallTime = spec.submittedAt;
      const bytes = estimateStoredJob(spec, { hasEnded, wallTime });
      setEstimate(id, isGrowing ? 0 : bytes);
    },
    remove: (id) => {
      periodicJobs.delete(id);
      setEstimate(id, 0);
    },
    heldBytes: (wallTime) => {
      let sum = heldBytes;
      for (const spec of periodicJobs.values()) {
        sum += estimateStoredJob(spec, { hasEnded: false, wallTime });
      }
      return sum;
    },
    releasedBytes: () => releasedBytes,
  };
}
