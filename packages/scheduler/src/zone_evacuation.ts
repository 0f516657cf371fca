import { createHash } from "node:crypto";
import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { WorkerState } from "./cell_state.ts";

/**
 * Decides which workers are closed to new runs because the operators evacuate
 * their zones, and when they reopen. Runs that have started go on.
 */
export interface ZoneEvacuation {
  /** Replaces the set of evacuated zones. */
  setZones(zones: ReadonlySet<string>): void;
  /**
   * Logs once which evacuated zones are unknown, and whether all zones with
   * workers are evacuated.
   *
   * @param workers all workers of the cell
   */
  review(workers: Iterable<WorkerState>): void;
  /** @returns whether the zone of the worker is evacuated now */
  isEvacuated(worker: WorkerState): boolean;
  /**
   * @returns whether the worker gets no new runs: its zone is evacuated, or was
   * until recently and the worker has not reopened yet
   */
  isClosed(worker: WorkerState): boolean;
  /** See {@link ZoneEvacuationOptions.isCurrent}. */
  isCurrent(): boolean;
  /** @returns whether a start command may be sent to the worker now */
  mayStartOn(worker: WorkerState): boolean;
}

/** Options of {@link createZoneEvacuation}. */
export interface ZoneEvacuationOptions {
  /** Monotonic time. */
  now(): Milliseconds;
  /**
   * @returns whether the requests of the operators are known up to a time that
   * is recent enough to start runs; while not, nothing is placed or started
   */
  isCurrent(): boolean;
  log: Logger;
}

// Time over which the workers of a zone reopen after its evacuation. If all
// reopened at once, the waiting work would be placed on them in one pass, and
// all of them would be slow from their restart at the same time.
const REOPENING_MS: Milliseconds = 3_000;

/** A zone whose workers reopen. */
interface Reopening {
  /** Monotonic time at which the evacuation ended. */
  since: Milliseconds;
  /** Delay until the worker reopens, by its id. */
  delays: Map<string, Milliseconds>;
}

/**
 * Creates the decision, without evacuated zones.
 *
 * @param options a clock and a logger
 * @returns the decision
 */
export function createZoneEvacuation(
  { now, isCurrent, log }: ZoneEvacuationOptions,
): ZoneEvacuation {
  let evacuatedZones: ReadonlySet<string> = new Set();
  const reopenings = new Map<string, Reopening>();
  /** Evacuated zones that were logged as unknown. */
  const unknownZones = new Set<string>();
  let areAllEvacuated = false;

  const isReopening = ({ zone, id }: WorkerState): boolean => {
    const reopening = reopenings.get(zone);
    if (reopening === undefined) return false;
    const elapsedMs = now() - reopening.since;
    if (elapsedMs >= REOPENING_MS) {
      reopenings.delete(zone);
      return false;
    }
    const delayMs = reopening.delays.get(id) ?? reopeningDelayOf(id);
    reopening.delays.set(id, delayMs);
    return elapsedMs < delayMs;
  };
  const isEvacuated = ({ zone }: WorkerState): boolean =>
    evacuatedZones.has(zone);
  const isClosed = (worker: WorkerState): boolean =>
    isEvacuated(worker) || isReopening(worker);

  return {
    setZones: (zones) => {
      for (const zone of evacuatedZones) {
        if (zones.has(zone)) continue;
        reopenings.set(zone, { since: now(), delays: new Map() });
        unknownZones.delete(zone);
      }
      for (const zone of zones) reopenings.delete(zone);
      evacuatedZones = new Set(zones);
    },
    review: (workers) => {
      if (evacuatedZones.size === 0) {
        areAllEvacuated = false;
        return;
      }
      const occupiedZones = new Set<string>();
      for (const { isListed, zone } of workers) {
        if (isListed) occupiedZones.add(zone);
      }
      // Before the first entry, no zone has a worker.
      if (occupiedZones.size === 0) return;
      for (const zone of evacuatedZones) {
        if (occupiedZones.has(zone)) unknownZones.delete(zone);
        else if (!unknownZones.has(zone)) {
          unknownZones.add(zone);
          log.warn({ zone }, "evacuated zone has no workers");
        }
      }
      const wereAllEvacuated = areAllEvacuated;
      areAllEvacuated = [...occupiedZones].every((zone) =>
        evacuatedZones.has(zone)
      );
      if (areAllEvacuated && !wereAllEvacuated) {
        log.warn(
          { zones: [...evacuatedZones] },
          "all zones with workers are evacuated; no work is started",
        );
      }
    },
    isEvacuated,
    isClosed,
    isCurrent,
    mayStartOn: (worker) => isCurrent() && !isClosed(worker),
  };
}

/**
 * Returns the delay after which a worker reopens, evenly spread over
 * {@link REOPENING_MS} and always the same for the same worker.
 */
function reopeningDelayOf(id: string): Milliseconds {
  const hash = createHash("sha256").update(id).digest().readUInt32BE(0);
  return REOPENING_MS * hash / 2 ** 32;
}
