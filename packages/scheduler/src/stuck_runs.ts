import type { Milliseconds } from "@rattanhill/shared";
import { type CellState, type Run, RunPhase } from "./cell_state.ts";

/**
 * Finds runs without progress although their worker answers. Members of a gang
 * are judged only while all of them run, since a gang makes no progress before.
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
      // Members of a gang end together; a finished one waits for the others.
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
 * Time without progress after which a run is stuck. On a worker slowed 8-fold,
 * and 3-fold by the wrong rack, one percent of a 10 s task takes 2.4 s.
 */
const STUCK_TIMEOUT_MS: Milliseconds = 3_000;
/** The same for longer tasks, as a share of their estimate. */
const STUCK_TIMEOUT_SHARE = 0.25;

/**
 * Time from which progress is due; a gang makes none before all members run.
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
