import type { Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  isEntryCurrent,
  needsOf,
  type Resources,
  type Run,
  RunPhase,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { dropIfDone } from "./job_steps.ts";
import {
  applyCompaction,
  type Compaction,
  compactionRecordOf,
  findCompaction,
} from "./occurrence_compaction.ts";
import { isEligible } from "./placement.ts";
import {
  type ProgressParts,
  type ProgressRecord,
  updateProgress,
} from "./progress_parts.ts";
import type { CellRecord } from "./records.ts";

/**
 * Records to store together, with the runs to start, the run ends to
 * acknowledge and the jobs to delete once they are stored.
 */
export interface RecordBatch {
  records: CellRecord[];
  /** Runs whose placement the batch records; started once it is stored. */
  starting: Run[];
  /**
   * By worker, the position of the last run end that the batch reflects, and the
   * lifetime in which the end was reported.
   */
  ends: Map<WorkerState, { position: number; lifetime: number }>;
  /** Jobs whose outcome the batch records; deleted when they have no runs. */
  outcomes: ActiveJob[];
  /** Jobs whose first start the batch records. */
  startedJobs: Set<ActiveJob>;
  /** Steps whose progress the batch records. */
  steps: StepState[];
  /** The parts of those steps whose progress is stored in parts. */
  parts: Map<StepState, ProgressParts>;
  /** Keys of the progress that the batch deletes. */
  removedSteps: string[];
  /** Compactions whose records the batch contains. */
  compactions: Compaction[];
}

/**
 * Batches of the changes of a cell, one at a time. A change stays unsaved until
 * its batch is confirmed.
 */
export interface RecordBatches {
  /**
   * Collects all unsaved changes. An earlier batch that is not confirmed by then
   * counts as not stored; its changes are part of the new one.
   *
   * @returns the batch; undefined when there is nothing to store
   */
  take(): RecordBatch | undefined;
  /**
   * Marks the changes of a batch as stored, and its run ends as ready for
   * acknowledgement.
   *
   * @returns whether it is the last batch; an earlier one has no effect
   */
  confirm(batch: RecordBatch): boolean;
}

/** Options of {@link createRecordBatches}. */
export interface RecordBatchOptions {
  wallTime(): Milliseconds;
  /** @returns whether the store takes a record of this size */
  fits(record: ProgressRecord): boolean;
}

/**
 * Creates the batches of a cell.
 *
 * @param state the cell
 * @param options the wall time, stored with outcomes, and which records the
 * store takes
 * @returns the batches, of which none is taken yet
 */
export function createRecordBatches(
  state: CellState,
  options: RecordBatchOptions,
): RecordBatches {
  let unconfirmedBatch: RecordBatch | undefined;
  return {
    take: () => {
      if (unconfirmedBatch !== undefined) returnBatch(state, unconfirmedBatch);
      unconfirmedBatch = collectBatch(state, options);
      return unconfirmedBatch;
    },
    confirm: (batch) => {
      if (batch !== unconfirmedBatch) return false;
      unconfirmedBatch = undefined;
      const { ends, outcomes, startedJobs } = batch;
      for (const job of startedJobs) job.hasStarted = true;
      for (const [step, parts] of batch.parts) step.storedParts = parts;
      for (const step of batch.steps) {
        if (!state.unsavedSteps.has(step)) dropIfDone(step);
      }
      for (const compaction of batch.compactions) {
        applyCompaction(state, compaction);
      }
      for (const job of outcomes) state.unsavedOutcomes.delete(job);
      for (const [worker, { position, lifetime }] of ends) {
        // Positions start anew when a worker restarts.
        if (worker.lifetime !== lifetime) continue;
        worker.lastStoredEnd = Math.max(worker.lastStoredEnd, position);
      }
      return true;
    },
  };
}

/**
 * Collects the unsaved changes of a cell. Run ends that changed nothing count as
 * stored at once.
 */
function collectBatch(
  state: CellState,
  { wallTime, fits }: RecordBatchOptions,
): RecordBatch | undefined {
  const ends: RecordBatch["ends"] = new Map();
  for (const worker of state.workers.values()) {
    const { lastHandledEnd: position, lifetime } = worker;
    if (position > worker.lastStoredEnd) {
      ends.set(worker, { position, lifetime });
    }
  }
  const records: CellRecord[] = [];
  const parts = new Map<StepState, ProgressParts>();
  const starting: Run[] = [];
  const startedJobs = new Set<ActiveJob>();
  for (const step of state.unsavedSteps) {
    const { job, highestRun } = step;
    if (highestRun > 0 && !job.hasStarted && !startedJobs.has(job)) {
      startedJobs.add(job);
      records.push({ kind: "start", job: job.spec.id });
    }
    if (step.isUnstorable !== true) {
      const update = updateProgress(step, fits);
      records.push(...update.records);
      if (update.parts !== undefined) parts.set(step, update.parts);
    }
    for (const run of step.runs.values()) {
      if (run.phase === RunPhase.storing) starting.push(run);
    }
  }
  const outcomes = [...state.unsavedOutcomes];
  for (const job of outcomes) {
    const { id } = job.spec;
    const outcome = job.outcome!;
    records.push({ kind: "outcome", job: id, outcome, at: wallTime() });
  }
  const compactions = [...state.jobsToCompact].flatMap((job) =>
    findCompaction(state, job) ?? []
  );
  records.push(...compactions.map(compactionRecordOf));
  const steps = [...state.unsavedSteps];
  const removedSteps = [...state.removedSteps];
  for (const step of removedSteps) {
    records.push({ kind: "progressRemoval", step });
  }
  state.unsavedSteps.clear();
  state.removedSteps.clear();
  if (records.length > 0 || starting.length > 0) {
    return {
      records,
      starting,
      ends,
      outcomes,
      startedJobs,
      steps,
      parts,
      removedSteps,
      compactions,
    };
  }
  // These run ends changed no step, so they can be acknowledged without a
  // record.
  for (const [worker, { position }] of ends) {
    worker.lastStoredEnd = position;
  }
  return undefined;
}

/** Marks the changes of a batch as unsaved again. */
function returnBatch(
  state: CellState,
  { steps, removedSteps }: RecordBatch,
): void {
  for (const step of steps) {
    const { job } = step;
    if (state.jobs.get(job.spec.id) === job) state.unsavedSteps.add(step);
  }
  for (const step of removedSteps) state.removedSteps.add(step);
}

/**
 * @returns whether a run whose placement is stored may be started. Its worker
 * may have changed while the placement was being stored.
 */
export function mayStart({ stopReason, step, worker }: Run): boolean {
  const { isListed, hasEnded, isDraining, silentSince } = worker;
  if (stopReason !== undefined || !isListed || hasEnded || isDraining) {
    return false;
  }
  // If it has crashed, a start that never reached it would be suspected.
  if (silentSince !== undefined || !isEntryCurrent(worker)) return false;
  if (!isEligible(step, worker)) return false;
  const { used, capacity } = worker;
  const needs = needsOf(step.spec);
  return (Object.keys(needs) as (keyof Resources)[]).every((name) =>
    needs[name] === 0 || used[name] <= capacity[name]
  );
}
