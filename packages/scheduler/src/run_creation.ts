import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  addRun,
  type CellState,
  RunPhase,
  type StepState,
} from "./cell_state.ts";
import { failedAttemptsOf } from "./failed_attempts.ts";
import type { Assignment } from "./placement.ts";
import { type Rules, rulesOf } from "./rules.ts";
import { speedKeyOf } from "./run_observations.ts";
import type { WorkerSpeeds } from "./worker_speeds.ts";

/** Options of {@link createRuns}. */
export interface RunCreationOptions {
  state: CellState;
  rules: Rules;
  speeds: WorkerSpeeds;
  now: Milliseconds;
  /** Whether the step has been idle too long; see {@link IdleJobs}. */
  isOverdue: boolean;
  log: Logger;
}

/**
 * Creates the runs of an assignment and occupies their capacity. Their start
 * commands are sent once their placement is stored.
 *
 * @param step the step
 * @param assignment the worker of each of its tasks that is to start
 * @param options the cell, its rules and learned speeds, the time and a logger
 */
export function createRuns(
  step: StepState,
  assignment: Assignment,
  { state, rules, speeds, now, isOverdue, log }: RunCreationOptions,
): void {
  const number = step.highestRun + 1;
  step.highestRun = number;
  const { needsAdvice, maximumAttempts } = rulesOf(rules, step.job.spec);
  state.unsavedSteps.add(step);
  for (const [index, worker] of assignment) {
    addRun({
      step,
      index,
      number,
      worker,
      lifetime: worker.lifetime,
      phase: RunPhase.storing,
      placedAt: now,
      percent: 0,
      percentAt: now,
      checkpoint: step.checkpoints.get(step.spec.isGang ? 0 : index) ?? "",
      ticket: needsAdvice ? step.advice?.tickets.get(worker.id) : undefined,
    });
  }
  const usedWorkers = [...new Set(assignment.values())];
  const factors = usedWorkers.map((worker) =>
    speeds.factorOf(speedKeyOf(worker))
  );
  log.info(
    {
      job: step.job.spec.id,
      step: step.key,
      run: number,
      tasks: assignment.size,
      of: step.spec.taskCount,
      accelerators: step.spec.accelerators,
      milliCores: step.spec.milliCores,
      workers: usedWorkers.map(({ id }) => id),
      slowestFactor: Number(Math.max(...factors).toFixed(2)),
      failedAttempts: failedAttemptsOf(step),
      attemptLimit: maximumAttempts,
      waitedMs: Math.round(now - step.job.waitingSince),
      isOverdue,
    },
    "tasks placed",
  );
}
