import type { Milliseconds } from "@rattanhill/shared";
import { type CellState, type Run, RunPhase } from "./cell_state.ts";

/**
 * Finds runs whose reported progress stands still although their worker
 * answers. A member of a gang counts only while all members run, since a gang
 * does not work before.
 *
 * @param state the cell
 * @returns the runs to end; of a gang, one member
 */
export function findStuckRuns(state: CellState): Run[] {
  const stuck: Run[] = [];
  for (const worker of state.workers.values()) {
    for (const run of worker.runs) {
      if (run.phase !== RunPhase.running || run.stopReason !== undefined) {
        continue;
      }
      if (run.step.spec.isLongRunning) continue;
      // Members of a gang end together; one that is done waits for the others.
      if (run.percent >= 100) continue;
      const limit = Math.max(
        STUCK_MS,
        STUCK_SHARE * run.step.spec.estimateMs,
      );
      if (worker.reportedAt - workingSince(run) < limit) continue;
      stuck.push(run);
    }
  }
  return stuck;
}

/** A worker may be slowed eightfold and a rack threefold; one percent of 10 s takes 2.4 s then. */
const STUCK_MS: Milliseconds = 3_000;
/** The same for tasks that are longer. */
const STUCK_SHARE = 0.25;

/** Time of the last progress; a gang cannot make any before it is complete. */
function workingSince(run: Run): Milliseconds {
  const { step } = run;
  if (!step.spec.isGang) return run.percentAt;
  if (step.runs.size < step.spec.taskCount) return Infinity;
  let since = run.percentAt;
  for (const { phase, provableFrom } of step.runs.values()) {
    if (phase !== RunPhase.running) return Infinity;
    since = Math.max(since, provableFrom ?? 0);
  }
  return since;
}
