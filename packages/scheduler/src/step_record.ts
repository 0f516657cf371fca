import type { StepState } from "./cell_state.ts";
import type { StepRecord } from "./records.ts";

/** @returns the record that stores the step's progress */
export function stepRecordOf(step: StepState): StepRecord {
  return {
    highestRun: step.highestRun,
    done: [...step.done],
    runs: [...step.runs.values()].map((run) => [
      run.index,
      run.number,
      run.worker.id,
      run.lifetime,
      run.worker.vm ?? "",
    ]),
    failedRuns: [...step.failedRuns].map(([index, runs]) => [index, [...runs]]),
    checkpoints: [...step.checkpoints],
    crashes: [...step.crashes].map(([index, { met, suspected }]) => [
      index,
      [...met],
      [...suspected],
      true,
    ]),
  };
}
