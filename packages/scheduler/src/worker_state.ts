import type { WorkerState } from "./cell_state.ts";
import type { Resources } from "./resources.ts";

const NO_RESOURCES: Resources = {
  milliCores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};

/**
 * @param id the worker
 * @param tokenOffset see {@link WorkerState.tokenOffset}
 * @returns a worker of which only its ID is known
 */
export function createWorkerState(
  id: string,
  tokenOffset: number,
): WorkerState {
  return {
    id,
    lifetime: 0,
    pastLifetimes: new Set(),
    tokenOffset,
    lifetimeReadAt: 0,
    listedLifetime: 0,
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
    hasEnded: false,
    hasLeft: false,
    hasAnswered: false,
    reportedAt: 0,
    lastAnsweredPollAt: 0,
    leasesEndBy: 0,
    noPlacementBefore: 0,
    lastHandledEnd: 0,
    lastStoredEnd: 0,
  };
}
