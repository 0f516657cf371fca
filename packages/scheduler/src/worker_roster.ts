import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  addRun,
  type CellState,
  releaseRun,
  type Resources,
  type Run,
  RunPhase,
  type StepState,
  type WorkerEntry,
  type WorkerState,
} from "./cell_state.ts";

/** The platform's current list of workers. */
export interface WorkerListing {
  entries: readonly WorkerEntry[];
  /**
   * Workers that left by themselves: their entries were removed before they
   * could have expired for lack of heartbeats.
   */
  left: ReadonlySet<string>;
}

/** Tracks the workers of a cell, their lifetimes and leases. */
export interface WorkerRoster {
  /** Applies the complete list; other workers count as unlisted. */
  applyListing(listing: WorkerListing): void;
  /**
   * Updates the lifetime of a worker. A higher lifetime than before means that
   * the worker has restarted, and all its runs are stopped.
   */
  updateLifetime(worker: WorkerState, lifetime: number): void;
  /** Restores a run that an earlier lead stored. */
  restoreRun(
    step: StepState,
    task: number,
    number: number,
    workerId: string,
    leasesEndBy: Milliseconds,
  ): void;
  /**
   * Releases the runs of workers that drained, left and no longer answer, and
   * of workers whose leases have certainly expired. Deletes unlisted workers
   * without runs.
   */
  releaseExpiredRuns(): void;
}

/** Options of {@link createWorkerRoster}. */
export interface WorkerRosterOptions {
  state: CellState;
  now(): Milliseconds;
  stop(run: Run, reason: string): void;
  log: Logger;
}

const NO_RESOURCES: Resources = {
  milliCores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/**
 * Creates the roster of a cell.
 *
 * @param options the cell's state, a clock, how to stop a run, and a logger
 * @returns the roster
 */
export function createWorkerRoster(options: WorkerRosterOptions): WorkerRoster {
  const { state, now, stop, log } = options;

  const createWorker = (id: string): WorkerState => {
    const worker: WorkerState = {
      id,
      lifetime: 0,
      service: "",
      address: "",
      zone: "",
      labels: [],
      rack: "",
      capacity: { ...NO_RESOURCES },
      used: { ...NO_RESOURCES },
      runs: new Set(),
      isDraining: false,
      remainingMs: 0,
      isListed: false,
      hasLeft: false,
      hasAnswered: false,
      reportedAt: 0,
      leasesEndBy: 0,
      noPlacementBefore: 0,
      lastHandledEnd: 0,
      lastStoredEnd: 0,
    };
    state.workers.set(id, worker);
    return worker;
  };

  const deleteIfUnused = (worker: WorkerState): void => {
    if (worker.isListed || worker.runs.size > 0) return;
    state.workers.delete(worker.id);
  };

  const updateLifetime = (worker: WorkerState, lifetime: number): void => {
    if (lifetime === 0 || lifetime <= worker.lifetime) return;
    const isFirst = worker.lifetime === 0;
    worker.lifetime = lifetime;
    if (isFirst) return;
    log.warn({ worker: worker.id, lifetime }, "worker restarted");
    worker.lastHandledEnd = 0;
    worker.lastStoredEnd = 0;
    worker.hasAnswered = false;
    for (const run of [...worker.runs]) {
      if (run.phase === RunPhase.storing) continue;
      // The restarted worker would accept a late start command that was sent in
      // its old lifetime. A stop is sent even if the old lifetime acknowledged
      // one, so that the worker rejects that start command.
      run.absenceProvableFrom = undefined;
      run.phase = RunPhase.ordered;
      run.stopReason = undefined;
      stop(run, "worker restarted");
    }
  };

  return {
    updateLifetime,
    applyListing: ({ entries, left }) => {
      const listedIds = new Set(entries.map(({ id }) => id));
      for (const entry of entries) {
        const knownWorker = state.workers.get(entry.id);
        const worker = knownWorker ?? createWorker(entry.id);
        // The entry belongs to an earlier lifetime or does not give one.
        if (entry.lifetime < worker.lifetime) continue;
        if (!worker.isListed) {
          const { id, zone, vm, address, lifetime } = entry;
          log.info(
            { worker: id, zone, vm, address, lifetime },
            "worker found",
          );
        }
        updateLifetime(worker, entry.lifetime);
        if (
          entry.isDraining &&
          (!worker.isDraining || entry.remainingMs !== worker.remainingMs)
        ) {
          worker.remainingSince = now();
        }
        if (entry.isDraining && !worker.isDraining) {
          log.info(
            { worker: entry.id, remainingMs: entry.remainingMs },
            "worker draining",
          );
        }
        const { vm, service, address, zone, labels, rack, capacity } = entry;
        const { isDraining, remainingMs } = entry;
        Object.assign(worker, {
          vm,
          service,
          address,
          zone,
          labels,
          rack,
          capacity,
          isDraining,
          remainingMs,
          isListed: true,
          hasLeft: false,
        });
      }
      for (const worker of [...state.workers.values()]) {
        if (listedIds.has(worker.id)) continue;
        if (worker.isListed) {
          worker.hasLeft = worker.isDraining && left.has(worker.id);
          log.warn(
            { worker: worker.id, left: worker.hasLeft },
            "worker no longer listed by the platform",
          );
        }
        worker.isListed = false;
        deleteIfUnused(worker);
      }
    },
    restoreRun: (step, task, number, workerId, leasesEndBy) => {
      const worker = state.workers.get(workerId) ?? createWorker(workerId);
      worker.leasesEndBy = Math.max(worker.leasesEndBy, leasesEndBy);
      addRun({
        step,
        index: task,
        number,
        worker,
        phase: RunPhase.ordered,
        placedAt: now(),
        // This lead's first call raises the fencing token of the worker, which
        // then rejects commands of earlier leads.
        absenceProvableFrom: now(),
        percent: 0,
        percentAt: now(),
        checkpoint: "",
      });
    },
    releaseExpiredRuns: () => {
      for (const worker of [...state.workers.values()]) {
        const hasDeparted = worker.hasLeft && worker.silentSince !== undefined;
        if (
          worker.runs.size > 0 && (hasDeparted || now() > worker.leasesEndBy)
        ) {
          for (const run of [...worker.runs]) {
            if (run.phase === RunPhase.storing) continue;
            log.warn(
              { worker: worker.id, step: run.step.key, task: run.index },
              hasDeparted
                ? "run lost: its worker drained and left"
                : "run released: all leases on its worker have expired",
            );
            releaseRun(state, run);
          }
        }
        deleteIfUnused(worker);
      }
    },
  };
}
