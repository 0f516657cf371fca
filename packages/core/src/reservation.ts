import type { Milliseconds } from "@rattanhill/shared";
import { adjacentGroups } from "./fit.ts";
import type { LeaseView, WorkerView } from "./inventory.ts";
import type { Shape } from "./shape.ts";

/** Capacity that a large job waits for. */
export interface Reservation {
  /** Request that it is kept for. */
  request: string;
  /** Accelerators kept on each worker. */
  workers: ReadonlyMap<string, number>;
  /** When the capacity is expected to be free. */
  expectedAt: Milliseconds;
}

/** Options of {@link planReservation}. */
export interface ReservationOptions {
  request: string;
  shape: Shape;
  racks: readonly (readonly WorkerView[])[];
  now: Milliseconds;
  /** @returns when a lease is expected to end */
  expectedEndOf(lease: LeaseView): Milliseconds;
  /** Accelerators of a worker that the job may use at all. */
  limit(worker: WorkerView): number;
}

/**
 * Chooses the workers that are expected to be free first for a large job.
 *
 * @param options the job and what runs
 * @returns the reservation, or `undefined` when the shape fits nowhere
 */
export function planReservation(
  options: ReservationOptions,
): Reservation | undefined {
  let best: Reservation | undefined;
  for (const group of adjacentGroups(options.shape, options.racks)) {
    const found = planInGroup(group, options);
    if (found === undefined) continue;
    if (best !== undefined && found.expectedAt >= best.expectedAt) continue;
    best = found;
  }
  return best;
}

interface Slot {
  worker: WorkerView;
  freeAt: Milliseconds;
}

/** Each part takes the slot that becomes free first. */
function planInGroup(
  group: readonly WorkerView[],
  options: ReservationOptions,
): Reservation | undefined {
  const { request, shape, now } = options;
  const slots = group.flatMap((worker) => slotsOf(worker, options))
    .sort((a, b) => a.freeAt - b.freeAt);
  if (slots.length < shape.parts) return undefined;
  const taken = slots.slice(0, shape.parts);
  const workers = new Map<string, number>();
  for (const { worker } of taken) {
    const kept = (workers.get(worker.name) ?? 0) + shape.accelerators;
    workers.set(worker.name, kept);
  }
  const expectedAt = Math.max(now, taken[taken.length - 1].freeAt);
  return { request, workers, expectedAt };
}

/** Times at which a worker has room for one more part. */
function slotsOf(worker: WorkerView, options: ReservationOptions): Slot[] {
  const { shape, now, expectedEndOf: expectedEndOf } = options;
  const ends = [...worker.leases.values()]
    .map((lease) => ({
      at: expectedEndOf(lease),
      accelerators: lease.accelerators,
    }))
    .sort((a, b) => a.at - b.at);
  const slots: Slot[] = [];
  let free = worker.free;
  let used = 0;
  let freeAt = now;
  const limit = options.limit(worker);
  for (let next = 0;; next++) {
    while (free >= shape.accelerators && used + shape.accelerators <= limit) {
      slots.push({ worker, freeAt });
      free -= shape.accelerators;
      used += shape.accelerators;
    }
    if (next >= ends.length) return slots;
    free += ends[next].accelerators;
    freeAt = ends[next].at;
  }
}
