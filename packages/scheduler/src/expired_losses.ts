import type { Milliseconds } from "@rattanhill/shared";
import type { CellState, Run, WorkerState } from "./cell_state.ts";

/** Runs that were released at the end of their leases, worker by worker. */
export interface ExpiredLosses {
  /** Adds runs of the current lifetime of a silent worker. */
  add(worker: WorkerState, lostRuns: readonly Run[]): void;
  /**
   * Reports crashes that have become known, and forgets workers that are alive
   * or were lost long ago.
   */
  check(): void;
}

/** Options of {@link createExpiredLosses}. */
export interface ExpiredLossesOptions {
  state: CellState;
  now(): Milliseconds;
  /** @returns whether another worker on the VM answered a poll after a time */
  hasSuccessor(worker: WorkerState, after: Milliseconds): boolean;
  /** Called with a worker that has crashed unplanned, and its runs. */
  onCrash(worker: WorkerState, lostRuns: readonly Run[]): void;
}

/** Runs that a silent worker lost when its leases expired. */
interface ExpiredLoss {
  worker: WorkerState;
  lifetime: number;
  lostRuns: Run[];
  /** Monotonic time at which the first of them was released. */
  at: Milliseconds;
}

// Time for which the crash of a worker counts after its leases have expired.
const LATE_CRASH_MS: Milliseconds = 60_000;

/**
 * Creates the record of such losses, of which it is not known at first whether
 * the worker has crashed.
 *
 * @param options the cell's state, a clock and callbacks
 * @returns the record
 */
export function createExpiredLosses(
  { state, now, hasSuccessor, onCrash }: ExpiredLossesOptions,
): ExpiredLosses {
  let losses: ExpiredLoss[] = [];

  /** Returns whether it is still unknown what became of the worker. */
  const checkLoss = ({ worker, lifetime, lostRuns, at }: ExpiredLoss) => {
    const current = state.workers.get(worker.id);
    const hasRestarted = current !== undefined && current.lifetime !== lifetime;
    if (hasRestarted || hasSuccessor(worker, at)) {
      if (!worker.isDraining) onCrash(worker, lostRuns);
      return false;
    }
    const isAlive = current !== undefined && current.lastAnsweredPollAt > at;
    return !isAlive && now() - at < LATE_CRASH_MS;
  };

  return {
    add: (worker, lostRuns) => {
      if (lostRuns.length === 0) return;
      const { lifetime } = worker;
      // Runs of one worker may be released at different times.
      const known = losses.find((loss) =>
        loss.worker === worker && loss.lifetime === lifetime
      );
      if (known !== undefined) known.lostRuns.push(...lostRuns);
      else {losses.push({
          worker,
          lifetime,
          lostRuns: [...lostRuns],
          at: now(),
        });}
    },
    check: () => {
      losses = losses.filter(checkLoss);
    },
  };
}
