import type { Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  isEntryCurrent,
  needsOf,
  type Resources,
  type Run,
  RunPhase,
  stepRecordOf,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { isEligible } from "./placement.ts";
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
  /** Keys of the steps whose progress the batch deletes. */
  removedSteps: string[];
}

/**
 * Collects the changes of a cell since its last batch. Run ends that changed
 * nothing count as stored at once.
 *
 * @param state the cell
 * @param wallTime time of the outcomes in the batch
 * @returns the batch; undefined when there is nothing to store
 */
export function takeBatch(
  state: CellState,
  wallTime: Milliseconds,
): RecordBatch | undefined {
  const ends: RecordBatch["ends"] = new Map();
  for (const worker of state.workers.values()) {
    const { lastHandledEnd: position, lifetime } = worker;
    if (position > worker.lastStoredEnd) {
      ends.set(worker, { position, lifetime });
    }
  }
  const records: CellRecord[] = [];
  const starting: Run[] = [];
  const startedJobs = new Set<ActiveJob>();
  for (const step of state.unsavedSteps) {
    const { job, highestRun } = step;
    if (highestRun > 0 && !job.hasStarted && !startedJobs.has(job)) {
      startedJobs.add(job);
      records.push({ kind: "start", job: job.spec.id });
    }
    records.push({
      kind: "progress",
      step: step.key,
      progress: stepRecordOf(step),
    });
    for (const run of step.runs.values()) {
      if (run.phase === RunPhase.storing) starting.push(run);
    }
  }
  const outcomes = [...state.unsavedOutcomes];
  for (const job of outcomes) {
    const { id } = job.spec;
    const outcome = job.outcome!;
    records.push({ kind: "outcome", job: id, outcome, at: wallTime });
  }
  const steps = [...state.unsavedSteps];
  const removedSteps = [...state.removedSteps];
  for (const step of removedSteps) {
    records.push({ kind: "progressRemoval", step });
  }
  state.unsavedSteps.clear();
  state.removedSteps.clear();
  if (records.length > 0) {
    return {
      records,
      starting,
      ends,
      outcomes,
      startedJobs,
      steps,
      removedSteps,
    };
  }
  // These run ends changed no step, so they can be acknowledged without a
  // record.
  for (const [worker, { position }] of ends) {
    worker.lastStoredEnd = position;
  }
  return undefined;
}

/**
 * Marks the changes of a batch as unsaved again, since it is not known to be
 * stored.
 */
export function returnBatch(
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
