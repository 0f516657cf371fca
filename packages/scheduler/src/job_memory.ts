import type { Milliseconds } from "@rattanhill/shared";
import type { JobSpec, StepSpec } from "./job_types.ts";

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
 * Largest estimate of all open occurrences of periodic jobs but the first of
 * each job.
 */
export const MAXIMUM_OCCURRENCE_BYTES = 4_194_304;

/**
 * Estimates the memory that an entry needs for a job with one occurrence, at
 * most: as the lead, also while it takes over. An entry that does not lead needs
 * less.
 *
 * @param spec the job
 * @param state whether the job has ended
 * @returns bytes
 */
export function estimateJobBytes(
  spec: JobSpec,
  { hasEnded }: { hasEnded: boolean },
): number {
  let bytes = JOB_BYTES + CHARACTER_BYTES * spec.payload.length;
  for (const step of spec.steps) {
    bytes += CHARACTER_BYTES * charactersOf(step) +
      DEPENDENCY_BYTES * step.after.length;
  }
  if (hasEnded) return bytes + ENDED_STEP_BYTES * spec.steps.length;
  return bytes + estimateOccurrenceBytes(spec);
}

/**
 * @returns bytes that the lead needs for the steps and tasks of one occurrence
 * of a job, at most
 */
export function estimateOccurrenceBytes({ steps }: JobSpec): number {
  const tasks = steps.reduce((sum, { taskCount }) => sum + taskCount, 0);
  return STEP_BYTES * steps.length + TASK_BYTES * tasks;
}

/** Returns a smallest estimate instead of none for a job that is damaged. */
function estimateStored(estimate: () => number, minimum: number): number {
  try {
    const bytes = estimate();
    return Number.isFinite(bytes) ? Math.max(bytes, minimum) : minimum;
  } catch {
    return minimum;
  }
}

/**
 * @returns the estimate of an occurrence, see {@link estimateOccurrenceBytes},
 * also of a stored job that is damaged
 */
export function estimateStoredOccurrence(spec: JobSpec): number {
  return estimateStored(() => estimateOccurrenceBytes(spec), STEP_BYTES);
}

/** Returns the estimate of the due occurrences of a job but the first. */
function estimateFurtherOccurrences(
  spec: JobSpec,
  wallTime: Milliseconds,
): number {
  const further = dueOccurrencesOf(spec, wallTime) - 1;
  return further > 0 ? further * estimateStoredOccurrence(spec) : 0;
}

/** Returns the number of occurrences that are due. */
function dueOccurrencesOf(spec: JobSpec, wallTime: Milliseconds): number {
  const { count, startAt, intervalMs } = spec.repetition!;
  const sinceFirst = wallTime - startAt;
  if (sinceFirst < 0) return 0;
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
  /** Estimates with one occurrence, by job. */
  const estimates = new Map<string, number>();
  /** Unfinished periodic jobs, of which several occurrences may be open. */
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
      if (spec.repetition !== undefined && !hasEnded) {
        periodicJobs.set(id, spec);
      } else periodicJobs.delete(id);
      const estimate = () => estimateJobBytes(spec, { hasEnded });
      setEstimate(id, estimateStored(estimate, JOB_BYTES));
    },
    remove: (id) => {
      periodicJobs.delete(id);
      setEstimate(id, 0);
    },
    heldBytes: (wallTime) => {
      let further = 0;
      for (const spec of periodicJobs.values()) {
        further += estimateFurtherOccurrences(spec, wallTime);
      }
      return heldBytes + Math.min(further, MAXIMUM_OCCURRENCE_BYTES);
    },
    releasedBytes: () => releasedBytes,
  };
}
