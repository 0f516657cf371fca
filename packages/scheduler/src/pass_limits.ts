import type { Milliseconds } from "@rattanhill/shared";
import {
  type CellState,
  type Run,
  RunPhase,
  type StepState,
} from "./cell_state.ts";

/**
 * Limits on one planning pass, so that the lead can renew its lease, store
 * placements and handle answers in between, however much work waits.
 */
export interface PassLimits {
  /** Starts to place the waiting steps of a pass. */
  beginPass(): void;
  /**
   * @returns how many more runs the pass may create; at 0, it should end, since
   * enough start commands are under way
   */
  remainingStarts(): number;
  /** Counts runs that the pass has created. */
  recordPlaced(count: number): void;
  /** @returns whether the time of the pass is over */
  isOutOfTime(): boolean;
  /**
   * Decides whether the pass tries to place a step. The first part of its time
   * is for the steps that rank highest. After that, only those are tried that
   * no pass has reached since the last one that reached all, so that steps which
   * cannot be placed do not keep the later ones from being tried.
   */
  mayTry(step: StepState): boolean;
  /** Ends a pass that has reached all of its steps. */
  endRound(): void;
}

/** Options of {@link createPassLimits}. */
export interface PassLimitsOptions {
  state: Pick<CellState, "workers">;
  now(): Milliseconds;
}

/**
 * Number of runs whose start commands may be under way at the same time. A gang
 * may exceed it, since it starts as a whole.
 */
export const MAXIMUM_STARTS_UNDER_WAY = 512;
/** Time after which a pass tries no further step. */
export const PASS_TIME_MS: Milliseconds = 100;
// Part of the time of a pass that the steps which rank highest get.
const FIRST_PART_MS: Milliseconds = PASS_TIME_MS / 2;

/**
 * Creates the limits of a cell's planning passes.
 *
 * @param options the cell and a clock
 * @returns the limits, before the first pass
 */
export function createPassLimits(
  { state, now }: PassLimitsOptions,
): PassLimits {
  let beganAt = -Infinity;
  let remainingStarts = 0;
  /** Steps that were tried since a pass reached all of its steps. */
  const triedSteps = new Set<StepState>();

  return {
    beginPass: () => {
      beganAt = now();
      remainingStarts = MAXIMUM_STARTS_UNDER_WAY - countStartsUnderWay(state);
    },
    remainingStarts: () => Math.max(0, remainingStarts),
    recordPlaced: (count) => {
      remainingStarts -= count;
    },
    isOutOfTime: () => now() - beganAt >= PASS_TIME_MS,
    mayTry: (step) => {
      if (now() - beganAt >= FIRST_PART_MS && triedSteps.has(step)) {
        return false;
      }
      triedSteps.add(step);
      return true;
    },
    endRound: () => triedSteps.clear(),
  };
}

/** Counts the runs whose start commands are under way to answering workers. */
function countStartsUnderWay({ workers }: Pick<CellState, "workers">): number {
  let count = 0;
  for (const worker of workers.values()) {
    if (worker.silentSince !== undefined || worker.hasEnded) continue;
    for (const run of worker.runs) if (isStarting(run)) count += 1;
  }
  return count;
}

/**
 * Returns whether the start command of a run waits to be sent or to be answered.
 * An earlier lead has sent those of restored runs.
 */
function isStarting(run: Run): boolean {
  if (run.phase === RunPhase.storing) return true;
  return run.phase === RunPhase.ordered && run.uncertainSince === undefined &&
    run.absenceProvableFrom === undefined;
}
