import {
  describeError,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import type {
  RemovedWorkers,
  Scheduler,
  WorkerState,
} from "@rattanhill/scheduler";

/** Options of {@link createRemovedWorkerSearch}. */
export interface RemovedWorkerSearchOptions {
  /** Reads what the store still has of workers that are not listed. */
  readRemovedWorkers(ids: ReadonlySet<string>): Promise<RemovedWorkers>;
  now(): Milliseconds;
  /** Fencing token of the lead, for the log. */
  term: number;
  log: Logger;
  /** Called when something was found. */
  onFound(): void;
}

// The workers by whose entries a removal is judged renew theirs within two of
// these intervals.
const SEARCH_INTERVAL_MS: Milliseconds = 1_000;
const MAXIMUM_SEARCHES = 4;

/**
 * Creates a search for workers that have runs and were removed from the list
 * when this lead did not follow it, or hardly so: their addresses, and whether
 * they left. Each is looked for a few times.
 *
 * @param options how to read the history of the list, a clock and the log
 * @returns function that starts a search if one is due
 */
export function createRemovedWorkerSearch(
  options: RemovedWorkerSearchOptions,
): (scheduler: Scheduler) => void {
  const { readRemovedWorkers, now, term, log, onFound } = options;
  const searches = new Map<string, number>();
  let nextSearchAt = -Infinity;

  const isWanted = (worker: WorkerState): boolean => {
    const { id, isListed, hasLeft, isDraining, address, runs } = worker;
    if (isListed || hasLeft || runs.size === 0) return false;
    if (address !== "" && !isDraining) return false;
    return (searches.get(id) ?? 0) < MAXIMUM_SEARCHES;
  };

  const search = async (
    scheduler: Scheduler,
    ids: ReadonlySet<string>,
  ): Promise<void> => {
    try {
      const removed = await readRemovedWorkers(ids);
      log.info(
        {
          term,
          workers: ids.size,
          found: removed.entries.length,
          left: removed.left.size,
        },
        "history of the list of workers read",
      );
      scheduler.updateRemovedWorkers(removed);
      onFound();
    } catch (error) {
      log.warn(
        { term, workers: ids.size, error: describeError(error) },
        "history of the list of workers could not be read",
      );
    }
  };

  return (scheduler) => {
    if (now() < nextSearchAt) return;
    const ids = new Set<string>();
    for (const worker of scheduler.state.workers.values()) {
      if (isWanted(worker)) ids.add(worker.id);
    }
    if (ids.size === 0) return;
    nextSearchAt = now() + SEARCH_INTERVAL_MS;
    for (const id of ids) searches.set(id, (searches.get(id) ?? 0) + 1);
    void search(scheduler, ids);
  };
}
