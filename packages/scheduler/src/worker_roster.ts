import type { Logger, Milliseconds } from "@rattanhill/shared";
import {
  type CellState,
  release,
  reserve,
  type Resources,
  type Run,
  RunPhase,
  type StepState,
  type WorkerEntry,
  type WorkerState,
} from "./cell_state.ts";

/** What the platform lists. */
export interface WorkerListing {
  entries: readonly WorkerEntry[];
  /** Workers whose entries were removed too early for silence: they left. */
  left: ReadonlySet<string>;
}

/** Keeps the workers of a cell. */
export interface WorkerRoster {
  /** Takes in the whole list. */
  list(listing: WorkerListing): void;
  /** Compares the lifetime that a worker names with the one it had. */
  noteLifetime(worker: WorkerState, lifetime: number): void;
  /** Takes over a run that an earlier lead stored. */
  restoreRun(
    step: StepState,
    task: number,
    number: number,
    workerId: string,
    leasesEndBy: Milliseconds,
  ): void;
  /** Releases the runs of workers whose leases have surely run out. */
  expire(): void;
}

/** Options of {@link createWorkerRoster}. */
export interface WorkerRosterOptions {
  state: CellState;
  now(): Milliseconds;
  stop(run: Run, reason: string): void;
  log: Logger;
}

const NOTHING: Resources = {
  milliCores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/**
 * Creates the roster of a cell.
 *
 * @param options the cell's state and a clock
 * @returns the roster
 */
export function createWorkerRoster(options: WorkerRosterOptions): WorkerRoster {
  const { state, now, stop, log } = options;

  const create = (id: string): WorkerState => {
    const worker: WorkerState = {
      id,
      lifetime: 0,
      service: "",
      address: "",
      zone: "",
      labels: [],
      rack: "",
      capacity: { ...NOTHING },
      used: { ...NOTHING },
      runs: new Set(),
      isDraining: false,
      remainingMs: 0,
      isListed: false,
      hasLeft: false,
      hasAnswered: false,
      reportedAt: 0,
      leasesEndBy: 0,
      closedUntil: 0,
      handledEnd: 0,
      storedEnd: 0,
    };
    state.workers.set(id, worker);
    return worker;
  };

  const forgetIfGone = (worker: WorkerState): void => {
    if (worker.isListed || worker.runs.size > 0) return;
    state.workers.delete(worker.id);
  };

  const noteLifetime = (worker: WorkerState, lifetime: number): void => {
    if (lifetime === 0 || lifetime <= worker.lifetime) return;
    const isFirst = worker.lifetime === 0;
    worker.lifetime = lifetime;
    if (isFirst) return;
    log.warn({ worker: worker.id, lifetime }, "worker restarted");
    worker.handledEnd = 0;
    worker.storedEnd = 0;
    worker.hasAnswered = false;
    for (const run of [...worker.runs]) {
      if (run.phase === RunPhase.storing) continue;
      // A late order for the old life would be carried out by the new one.
      run.provableFrom = undefined;
      run.phase = RunPhase.ordered;
      run.stopReason = undefined;
      stop(run, "worker restarted");
    }
  };

  return {
    noteLifetime,
    list: ({ entries, left }) => {
      const listed = new Set(entries.map(({ id }) => id));
      for (const entry of entries) {
        const known = state.workers.get(entry.id);
        const worker = known ?? create(entry.id);
        if (entry.lifetime < worker.lifetime) continue;
        if (!worker.isListed) {
          log.info({ worker: entry.id, zone: entry.zone }, "worker found");
        }
        noteLifetime(worker, entry.lifetime);
        if (entry.isDraining && !worker.isDraining) {
          worker.drainingSince = now();
          log.info(
            { worker: entry.id, remainingMs: entry.remainingMs },
            "worker draining",
          );
        }
        const { service, address, zone, labels, rack, capacity } = entry;
        const { isDraining, remainingMs } = entry;
        Object.assign(worker, {
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
        if (listed.has(worker.id)) continue;
        if (worker.isListed) {
          worker.hasLeft = worker.isDraining && left.has(worker.id);
          log.warn(
            { worker: worker.id, left: worker.hasLeft },
            "worker unlisted",
          );
        }
        worker.isListed = false;
        forgetIfGone(worker);
      }
    },
    restoreRun: (step, task, number, workerId, leasesEndBy) => {
      const worker = state.workers.get(workerId) ?? create(workerId);
      worker.leasesEndBy = Math.max(worker.leasesEndBy, leasesEndBy);
      reserve({
        step,
        index: task,
        number,
        worker,
        phase: RunPhase.ordered,
        placedAt: now(),
        // Orders of earlier leads are rejected from our first call on.
        provableFrom: now(),
        percent: 0,
        percentAt: now(),
        checkpoint: "",
      });
    },
    expire: () => {
      for (const worker of [...state.workers.values()]) {
        const isGone = worker.hasLeft && worker.silentSince !== undefined;
        if (worker.runs.size > 0 && (isGone || now() > worker.leasesEndBy)) {
          for (const run of [...worker.runs]) {
            if (run.phase === RunPhase.storing) continue;
            log.warn(
              { worker: worker.id, step: run.step.key, task: run.index },
              isGone
                ? "run lost: its worker left"
                : "run given up: its lease has run out",
            );
            release(state, run);
          }
        }
        forgetIfGone(worker);
      }
    },
  };
}
