import type { ActiveJob, StepState } from "./cell_state.ts";
import { stepKey } from "./job_types.ts";
import { LazyMap, LazySet } from "./lazy_collections.ts";

/** @returns whether all tasks of the step have ended successfully */
export function isStepDone(step: StepState): boolean {
  return step.done.size >= step.spec.taskCount;
}

/** @returns whether all tasks of a step of an occurrence ended successfully */
export function isStepDoneAt(
  job: ActiveJob,
  occurrence: number,
  index: number,
): boolean {
  if (isDropped(job, occurrence, index)) return true;
  const step = findStep(job, occurrence, index);
  return step !== undefined && isStepDone(step);
}

/**
 * @returns the state of a step of an occurrence; undefined while its turn has
 * not come, and after it was dropped
 */
export function findStep(
  job: ActiveJob,
  occurrence: number,
  index: number,
): StepState | undefined {
  return job.steps.get(stepKey(job.spec.id, occurrence, index));
}

/**
 * Returns the state of a step of an occurrence, created on first use. It takes
 * memory for as long as the job does, so it is created only for a step whose turn
 * has come.
 *
 * @throws RangeError when the job has no step with this index
 */
export function getOrCreateStep(
  job: ActiveJob,
  occurrence: number,
  index: number,
): StepState {
  const key = stepKey(job.spec.id, occurrence, index);
  const known = job.steps.get(key);
  if (known !== undefined) return known;
  const spec = job.spec.steps[index];
  if (spec === undefined) {
    const { length } = job.spec.steps;
    throw new RangeError(`step ${key}: the job has ${length} steps`);
  }
  if (isDropped(job, occurrence, index)) {
    throw new RangeError(`step ${key}: it is done and was dropped`);
  }
  const step: StepState = {
    job,
    occurrence,
    index,
    spec,
    key,
    highestRun: 0,
    done: new LazySet(),
    runs: new LazyMap(),
    failedRuns: new LazyMap(),
    checkpoints: new LazyMap(),
    crashes: new LazyMap(),
    storedParts: new LazyMap(),
    avoidedWorkers: new LazyMap(),
  };
  job.steps.set(key, step);
  return step;
}

/**
 * Drops the state of a step if it is done, has no runs, and its progress is
 * stored. A step of which other records are needed is kept.
 *
 * @param step the step, whose stored progress is up to date
 */
export function dropIfDone(step: StepState): void {
  const { job, occurrence, index, key, runs, crashes, storedParts } = step;
  if (!isStepDone(step) || runs.size > 0 || step.isUnstorable) return;
  if (crashes.size > 0 || storedParts.size > 0) return;
  if (job.steps.get(key) === step) job.steps.delete(key);
  markDropped(job, occurrence, index);
}

/** Records that a step is done and needs no state. */
export function markDropped(
  { droppedSteps }: ActiveJob,
  occurrence: number,
  index: number,
): void {
  const dropped = droppedSteps.get(occurrence) ?? new Set();
  droppedSteps.set(occurrence, dropped.add(index));
}

/** @returns the keys under which progress of the job may be stored */
export function storedKeysOf({ spec, steps, droppedSteps }: ActiveJob) {
  const keys: string[] = [];
  for (const { key, storedParts } of steps.values()) {
    keys.push(key, ...storedParts.keys());
  }
  for (const [occurrence, indices] of droppedSteps) {
    for (const index of indices) {
      keys.push(stepKey(spec.id, occurrence, index));
    }
  }
  return keys;
}

/** Returns whether a step was done and its state is not needed. */
export function isDropped(
  { droppedSteps, occurrences }: ActiveJob,
  occurrence: number,
  index: number,
): boolean {
  if (occurrences.finished.has(occurrence)) return true;
  return droppedSteps.get(occurrence)?.has(index) ?? false;
}
