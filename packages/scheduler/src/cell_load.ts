import type { CellState, Resources } from "./cell_state.ts";
import type { WaitingStep } from "./step_ranking.ts";

/** Utilization of a cell. */
export interface CellLoad {
  /** Number of listed workers. */
  workers: number;
  /** Occupied share of the accelerators of all listed workers, 0 to 1. */
  accelerators: number;
  /** Occupied share of the processor cores of all listed workers, 0 to 1. */
  cores: number;
  /** Occupied share of the memory of all listed workers, 0 to 1. */
  memory: number;
  /** Number of unfinished tasks without a run, by queue. */
  waiting: Record<string, number>;
}

/**
 * Computes the utilization of the workers of a cell.
 *
 * @param state the cell
 * @param waitingSteps the steps that waited in the last planning pass
 * @returns the shares in use, and the waiting tasks by queue
 */
export function computeLoad(
  state: CellState,
  waitingSteps: readonly WaitingStep[],
): CellLoad {
  const listedWorkers = [...state.workers.values()].filter(({ isListed }) =>
    isListed
  );
  const utilizationOf = (name: keyof Resources): number => {
    const total = listedWorkers.reduce(
      (sum, worker) => sum + worker.capacity[name],
      0,
    );
    const used = listedWorkers.reduce(
      (sum, worker) => sum + worker.used[name],
      0,
    );
    return total === 0 ? 0 : Math.round(1000 * used / total) / 1000;
  };
  const waitingCounts: Record<string, number> = {};
  for (const { step, rules: { name } } of waitingSteps) {
    const waitingCount = step.spec.taskCount - step.done.size -
      step.runs.size;
    if (waitingCount > 0) {
      waitingCounts[name] = (waitingCounts[name] ?? 0) + waitingCount;
    }
  }
  return {
    workers: listedWorkers.length,
    accelerators: utilizationOf("accelerators"),
    cores: utilizationOf("milliCores"),
    memory: utilizationOf("memoryMegabytes"),
    waiting: waitingCounts,
  };
}
