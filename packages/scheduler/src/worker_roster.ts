import type { Isolate, Logger, Milliseconds } from "@rattanhill/shared";
import {
  addRun,
  type CellState,
  releaseRun,
  type Run,
  RunPhase,
  type StepState,
  type WorkerEntry,
  type WorkerState,
} from "./cell_state.ts";
import { coldUntilOf } from "./cold_workers.ts";
import { findExpiredRuns } from "./confirmed_runs.ts";
import { hasDeparted } from "./departed_workers.ts";
import { createExpiredLosses } from "./expired_losses.ts";
import type { StepRecord } from "./records.ts";
import { createWorkerState } from "./worker_state.ts";

/** The platform's current list of workers. */
export interface WorkerListing {
  entries: readonly WorkerEntry[];
  /**
   * Workers that left by themselves: their entries were removed before they
   * could have expired for lack of heartbeats.
   */
  left: ReadonlySet<string>;
}

/** What is known of workers that the list no longer contains. */
export interface RemovedWorkers {
  /** Their last entries. */
  entries: readonly WorkerEntry[];
  /** Workers that left by themselves. */
  left: ReadonlySet<string>;
}

/** Tracks the workers of a cell, their lifetimes and leases. */
export interface WorkerRoster {
  /** Applies the complete list; other workers count as unlisted. */
  applyListing(listing: WorkerListing): void;
  /**
   * Applies what is known of workers that are not listed and have runs, so that
   * they can be asked, or lose their runs if they left.
   */
  applyRemoved(removed: RemovedWorkers): void;
  /**
   * Updates the lifetime of a worker by its report. Another lifetime than before
   * means that the worker has restarted, and all its runs are stopped.
   *
   * @param lifetime the lifetime that the report names; 0 for none
   * @param askedAt monotonic time at which the report was requested
   * @returns whether the report is of the current lifetime; not if an earlier
   * one answered a request that was sent before the current one was known
   */
  updateLifetime(
    worker: WorkerState,
    lifetime: number,
    askedAt: Milliseconds,
  ): boolean;
  /**
   * Records that the process of a worker has ended, and releases its runs.
   *
   * @param reason what proves it, for the log
   */
  recordProcessEnd(worker: WorkerState, reason: string): void;
  /** Restores a run that an earlier lead stored. */
  restoreRun(
    step: StepState,
    stored: StepRecord["runs"][number],
    leasesEndBy: Milliseconds,
  ): void;
  /**
   * Releases the runs of workers that have a successor on their VM, that
   * drained, left and no longer answer, or whose leases have certainly expired.
   * Deletes unlisted workers without runs.
   */
  releaseLostRuns(): void;
}

/** Options of {@link createWorkerRoster}. */
export interface WorkerRosterOptions {
  state: CellState;
  now(): Milliseconds;
  stop(run: Run, reason: string): void;
  /**
   * Called when the process of a worker has ended unplanned, with its runs;
   * `hadLapsed` if their leases had expired before that was known.
   */
  onCrash(
    worker: WorkerState,
    runs: readonly Run[],
    options?: { hadLapsed?: boolean },
  ): void;
  /** Keeps the failure of one worker from the others. */
  isolate: Isolate;
  log: Logger;
}

/**
 * Creates the roster of a cell.
 *
 * @param options the cell's state, a clock, how to stop a run, and a logger
 * @returns the roster
 */
export function createWorkerRoster(options: WorkerRosterOptions): WorkerRoster {
  const { state, now, stop, onCrash, isolate, log } = options;
  /**
   * Number of restarts of all workers, so that the token of a worker that was
   * deleted meanwhile does not fall.
   */
  let restarts = 0;
  /** Restored runs whose worker had restarted before, by worker. */
  const restoredLosses = new Map<WorkerState, Run[]>();

  const createWorker = (id: string): WorkerState => {
    const worker = createWorkerState(id, restarts);
    state.workers.set(id, worker);
    return worker;
  };

  const deleteIfUnused = (worker: WorkerState): void => {
    if (worker.isListed || worker.runs.size > 0) return;
    state.workers.delete(worker.id);
  };

  /** Returns the runs that a worker loses when its process ends. */
  const findLostRuns = ({ runs, lifetime }: WorkerState): Run[] =>
    [...runs].filter((run) =>
      run.phase !== RunPhase.storing && run.lifetime === lifetime
    );

  /** Reports the crash of a worker, unless its process ended as planned. */
  const reportCrash = (worker: WorkerState, lostRuns: readonly Run[]): void => {
    if (!worker.isDraining) onCrash(worker, lostRuns);
  };

  /** Sets the lifetime of a worker; unless it is the first, stops all its runs. */
  const setLifetime = (worker: WorkerState, lifetime: number): void => {
    const isFirst = worker.lifetime === 0;
    if (!isFirst && !worker.hasEnded) reportCrash(worker, findLostRuns(worker));
    if (!isFirst) worker.pastLifetimes.add(worker.lifetime);
    worker.pastLifetimes.delete(lifetime);
    worker.lifetime = lifetime;
    worker.lifetimeReadAt = now();
    if (isFirst) return;
    restarts += 1;
    worker.tokenOffset = restarts;
    log.warn({ worker: worker.id, lifetime }, "worker restarted");
    worker.lastHandledEnd = 0;
    worker.lastStoredEnd = 0;
    worker.hasAnswered = false;
    worker.hasEnded = false;
    worker.refusals = undefined;
    for (const run of [...worker.runs]) {
      if (run.phase === RunPhase.storing) {
        run.lifetime = lifetime;
        state.unsavedSteps.add(run.step);
        continue;
      }
      // The restarted worker would accept a late start command that was sent in
      // its old lifetime. A stop is sent even if the old lifetime acknowledged
      // one, so that the worker rejects that start command.
      run.absenceProvableFrom = undefined;
      run.phase = RunPhase.ordered;
      run.stopReason = undefined;
      stop(run, "worker restarted");
    }
  };

  /** Applies an entry of the list, unless it belongs to an earlier lifetime. */
  const applyEntry = (entry: WorkerEntry): void => {
    const knownWorker = state.workers.get(entry.id);
    const worker = knownWorker ?? createWorker(entry.id);
    // The entry belongs to an earlier lifetime or does not give one.
    if (
      entry.lifetime < worker.lifetime ||
      worker.pastLifetimes.has(entry.lifetime)
    ) return;
    if (!worker.isListed) {
      const { id, zone, vm, address, lifetime } = entry;
      log.info(
        { worker: id, zone, vm, address, lifetime },
        "worker found",
      );
    }
    if (entry.lifetime > worker.lifetime) {
      setLifetime(worker, entry.lifetime);
    }
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
    const { isDraining, remainingMs, coldRemainingMs } = entry;
    Object.assign(worker, {
      coldUntil: coldUntilOf(worker, entry, now()),
      coldRemainingMs,
      vm,
      service,
      address,
      zone,
      labels,
      rack,
      capacity,
      isDraining,
      remainingMs,
      listedLifetime: entry.lifetime,
      isListed: true,
      hasLeft: false,
    });
  };

  const recordProcessEnd = (worker: WorkerState, reason: string): void => {
    if (worker.hasEnded) return;
    worker.hasEnded = true;
    log.warn(
      {
        worker: worker.id,
        lifetime: worker.lifetime,
        vm: worker.vm,
        runs: worker.runs.size,
        reason,
      },
      "worker process ended",
    );
    const lostRuns = findLostRuns(worker);
    releaseSentRuns(
      worker.runs,
      "run lost: the process of its worker has ended",
    );
    reportCrash(worker, lostRuns);
  };

  /** Releases those of some runs whose start commands may have been sent. */
  const releaseSentRuns = (runs: Iterable<Run>, event: string): void => {
    for (const run of [...runs]) {
      if (run.phase === RunPhase.storing) continue;
      log.warn(
        { worker: run.worker.id, step: run.step.key, task: run.index },
        event,
      );
      releaseRun(state, run);
    }
  };

  /**
   * Returns whether another worker on the same VM answered a poll that was sent
   * after this worker's last report. A VM runs one worker process at a time, and
   * start times are not compared, since the clock of a VM may step.
   */
  const hasSuccessor = (worker: WorkerState): boolean => {
    const { vm, isListed, silentSince, reportedAt } = worker;
    if (vm === undefined || worker.runs.size === 0) return false;
    if (isListed && silentSince === undefined) return false;
    return isAnsweredOn(vm, worker.id, reportedAt);
  };

  /** Returns whether another worker on a VM answered a poll sent after a time. */
  const isAnsweredOn = (
    vm: string | undefined,
    exceptId: string,
    after: Milliseconds,
  ): boolean =>
    vm !== undefined &&
    [...state.workers.values()].some((other) =>
      other.id !== exceptId && other.vm === vm &&
      other.lastAnsweredPollAt > after
    );

  const expiredLosses = createExpiredLosses({
    state,
    now,
    hasSuccessor: ({ vm, id }, after) => isAnsweredOn(vm, id, after),
    onCrash: (worker, lostRuns) =>
      onCrash(worker, lostRuns, { hadLapsed: true }),
  });

  /**
   * Releases the runs of a worker that has certainly lost them, and deletes it
   * if it is unlisted and without runs.
   */
  const releaseIfLost = (worker: WorkerState): void => {
    if (hasSuccessor(worker)) {
      recordProcessEnd(worker, "another worker answers on its VM");
    }
    if (hasDeparted(worker)) {
      releaseSentRuns(worker.runs, "run lost: its worker drained and left");
    } else {
      const expiredRuns = findExpiredRuns(worker, now());
      if (expiredRuns.length > 0) {
        const lostRuns = findLostRuns(worker);
        expiredLosses.add(
          worker,
          lostRuns.filter((run) => expiredRuns.includes(run)),
        );
      }
      releaseSentRuns(
        expiredRuns,
        "run released: all leases on its worker have expired",
      );
    }
    deleteIfUnused(worker);
  };

  return {
    updateLifetime: (worker, lifetime, askedAt) => {
      if (lifetime === 0 || lifetime === worker.lifetime) return true;
      // The process that answers a later request is running. It may name an
      // earlier start, since the clock of a VM may step back, even one that a
      // late entry of the list has superseded.
      const isLate = askedAt <= worker.lifetimeReadAt &&
        (worker.pastLifetimes.has(lifetime) || lifetime < worker.lifetime);
      if (!isLate) setLifetime(worker, lifetime);
      return !isLate;
    },
    recordProcessEnd,
    applyListing: ({ entries, left }) => {
      const listedIds = new Set(entries.map(({ id }) => id));
      for (const entry of entries) {
        isolate(
          { operation: "worker.list", item: entry.id },
          () => applyEntry(entry),
        );
      }
      for (const worker of [...state.workers.values()]) {
        if (listedIds.has(worker.id)) continue;
        if (worker.isListed) {
          worker.hasLeft = worker.isDraining && left.has(worker.id);
          log.warn(
            { worker: worker.id, left: worker.hasLeft },
            "worker no longer listed by the platform",
          );
          // It is deleted at once, but others may have failed with it.
          const { silentSince, hasEnded, runs } = worker;
          const isFailed = silentSince !== undefined && !hasEnded;
          if (isFailed && runs.size === 0) reportCrash(worker, []);
        }
        worker.isListed = false;
        deleteIfUnused(worker);
      }
    },
    applyRemoved: ({ entries, left }) => {
      for (const entry of entries) {
        const worker = state.workers.get(entry.id);
        if (worker === undefined || worker.isListed) continue;
        // The entry may be that of another lifetime than the one with the runs.
        if (entry.lifetime !== worker.lifetime) continue;
        const isNew = worker.address === "";
        const hasLeft = entry.isDraining && left.has(entry.id);
        if (!isNew && hasLeft === worker.hasLeft) continue;
        if (isNew) {
          Object.assign(worker, { ...entry, listedLifetime: entry.lifetime });
        }
        worker.hasLeft = hasLeft;
        const { id, address, isDraining, runs: { size: runs } } = worker;
        log.info(
          { worker: id, address, isDraining, left: hasLeft, runs },
          "removed worker found in the history of the list",
        );
      }
    },
    restoreRun: (step, stored, leasesEndBy) => {
      const [index, number, workerId, lifetime, vm] = stored;
      let worker = state.workers.get(workerId);
      if (worker === undefined) {
        worker = createWorker(workerId);
        worker.lifetime = lifetime;
        worker.lifetimeReadAt = now();
        if (vm !== "") worker.vm = vm;
      }
      worker.leasesEndBy = Math.max(worker.leasesEndBy, leasesEndBy);
      const run: Run = {
        step,
        index,
        number,
        worker,
        lifetime,
        phase: RunPhase.ordered,
        placedAt: now(),
        // This lead's first call raises the fencing token of the worker, which
        // then rejects commands of earlier leads.
        absenceProvableFrom: now(),
        percent: 0,
        percentAt: now(),
        checkpoint: "",
        isRestored: true,
      };
      addRun(run);
      if (lifetime === 0 || lifetime >= worker.lifetime) return;
      restoredLosses.set(worker, [...restoredLosses.get(worker) ?? [], run]);
    },
    releaseLostRuns: () => {
      for (const [worker, runs] of restoredLosses) {
        for (const lifetime of new Set(runs.map((run) => run.lifetime))) {
          onCrash(worker, runs.filter((run) => run.lifetime === lifetime));
        }
      }
      restoredLosses.clear();
      expiredLosses.check();
      for (const worker of [...state.workers.values()]) {
        isolate(
          { operation: "worker.release", item: worker.id },
          () => releaseIfLost(worker),
        );
      }
    },
  };
}
