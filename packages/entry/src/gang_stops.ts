import { type Clock, type Milliseconds, pause } from "@rattanhill/shared";
import {
  type ClaimedPart,
  LeaseState,
  PartPhase,
  type RequestState,
} from "@rattanhill/core";
import { continueParts, pauseParts } from "./gang_pause.ts";
import type { OwnedRequest } from "./request_registry.ts";
import type { EntryTiming } from "./settings.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Coordinates the stops of the parts of gang jobs that this entry owns. */
export interface GangStops {
  /**
   * Waits until a part of a gang job may be stopped: all of its parts are
   * paused, or one has ended and so has this one. The second wait is limited.
   * Returns at once when the gang job was not started as a whole.
   *
   * @param request the request; all parts are waited for in the same state
   * @param target the part
   */
  waitUntilStoppable(request: OwnedRequest, target: ClaimedPart): Promise<void>;
}

/** Options of {@link createGangStops}. */
export interface GangStopsOptions {
  timing: EntryTiming;
  clock: Clock;
  links: WorkerLinks;
}

// Time for which the remaining parts are left to end once a part has ended. It
// is limited since a caller may be waiting.
const END_TIMEOUT_MS: Milliseconds = 2_000;
const INSPECT_INTERVAL_MS: Milliseconds = 20;

/**
 * Creates the coordination of one entry.
 *
 * @param options time limits and links to the workers
 */
export function createGangStops(
  { timing, clock, links }: GangStopsOptions,
): GangStops {
  const decisions = new WeakMap<RequestState, Promise<boolean>>();
  const getClient = ({ worker, address }: ClaimedPart) =>
    links.getClient(worker, address);

  /** @returns whether a part has ended; otherwise all parts are paused */
  const pauseUnlessEnded = async (
    { parts }: RequestState,
  ): Promise<boolean> => {
    if (parts.some(({ phase }) => phase === PartPhase.ended)) return true;
    const gangParts = parts.map((part) => ({
      lease: part.lease,
      client: getClient(part),
    }));
    const pauseMs = timing.holdTtlMs;
    const states = await pauseParts(gangParts, { clock, pauseMs });
    const hasEnded = states.includes(LeaseState.ended);
    if (hasEnded) await continueParts(gangParts);
    return hasEnded;
  };

  const waitForEnd = async (target: ClaimedPart): Promise<void> => {
    const waitUntil = clock.now() + END_TIMEOUT_MS;
    while (clock.now() < waitUntil) {
      try {
        const { state } = await getClient(target).inspect(target.lease);
        if (!isEndAwaited(state)) return;
      } catch {
        // The worker may respond again within the time limit.
      }
      await pause(INSPECT_INTERVAL_MS);
    }
  };

  return {
    waitUntilStoppable: async ({ state }, target) => {
      if (!startedAsWhole(state)) return;
      const decision = decisions.get(state) ?? pauseUnlessEnded(state);
      decisions.set(state, decision);
      if (await decision) await waitForEnd(target);
    },
  };
}

/**
 * Tests whether the run messages of a gang job were sent and no part was lost,
 * stopped or refused since.
 */
function startedAsWhole({ parts }: RequestState): boolean {
  return parts.length > 1 &&
    parts.every(({ phase }) =>
      phase === PartPhase.sent || phase === PartPhase.running ||
      phase === PartPhase.ended
    );
}

/** Tests whether a part runs, or will when its run message arrives. */
function isEndAwaited(state: LeaseState | undefined): boolean {
  return state === LeaseState.ready || state === LeaseState.running;
}
