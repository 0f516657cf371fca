import type { Milliseconds } from "@rattanhill/shared";
import {
  type CellState,
  isStepDone,
  type Run,
  RunPhase,
} from "./cell_state.ts";

/**
 * Finds runs without progress although their worker answers. Members of a gang
 * are checked only while all of them run, since a gang makes no progress before
 * that.
 *
 * @param state the cell
 * @returns the runs to stop; of a gang, possibly only some members
 */
export function findStuckRuns(state: CellState): Run[] {
  const stuck: Run[] = [];
  for (const worker of state.workers.values()) {
    for (const run of worker.runs) {
      if (run.phase !== RunPhase.running || run.stopReason !== undefined) {
        continue;
      }
      if (run.step.spec.isLongRunning) continue;
      // Members of a gang end together, so a finished member waits for the
      // others.
      if (run.percent >= 100) continue;
      const limitMs = Math.max(
        STUCK_TIMEOUT_MS,
        STUCK_TIMEOUT_SHARE * run.step.spec.estimateMs,
      );
      if (worker.reportedAt - progressDueFrom(run) < limitMs) continue;
      stuck.push(run);
    }
  }
  return stuck;
}

/**
 * Finds the remaining runs of gangs of which a member was released, as when its
 * worker crashed. A gang is placed as a whole, so they wait for it in vain.
 *
 * @param state the cell
 * @returns the runs to stop
 */
export function findIncompleteGangs(state: CellState): Run[] {
  const remaining: Run[] = [];
  for (const job of state.jobs.values()) {
    for (const step of job.steps.values()) {
      const { spec, runs } = step;
      if (!spec.isGang || spec.isLongRunning) continue;
      if (runs.size === spec.taskCount || isStepDone(step)) continue;
      remaining.push(...runs.values());
    }
  }
  return remaining;
}

// Minimum time without progress after which a run counts as stuck. If a worker
// is 8 times slower than usual, and the wrong rack makes the task 3 times
// slower, one percent of a 10 s task takes 2.4 s.
const STUCK_TIMEOUT_MS: Milliseconds = 3_000;
// Time without progress after which a run counts as stuck, as a share of the
// estimated duration of its task, if this is longer than the minimum.
const STUCK_TIMEOUT_SHARE = 0.25;

/**
 * Returns the monotonic time from which a run should make progress; Infinity
 * for a member of a gang that does not run as a whole yet.
 */
function progressDueFrom(run: Run): Milliseconds {
  const { step } = run;
  if (!step.spec.isGang) return run.percentAt;
  if (step.runs.size < step.spec.taskCount) return Infinity;
  let since = run.percentAt;
  for (const { phase, absenceProvableFrom } of step.runs.values()) {
    if (phase !== RunPhase.running) return Infinity;
    since = Math.max(since, absenceProvableFrom ?? 0);
  }
  return since;
}
