import type { Milliseconds } from "@rattanhill/shared";
import { adjacentGroups } from "./fit.ts";
import type { LeaseView, WorkerView } from "./inventory.ts";
import type { Shape } from "./shape.ts";

/** Capacity reserved for a large job that waits. */
export interface Reservation {
  /** Request that the capacity is reserved for. */
  request: string;
  /** Reserved accelerators by worker name. */
  workers: ReadonlyMap<string, number>;
  /** Time at which all of the capacity is expected to be free. */
  expectedAt: Milliseconds;
}

/** Options of {@link planReservation}. */
export interface ReservationOptions {
  request: string;
  shape: Shape;
  racks: readonly (readonly WorkerView[])[];
  now: Milliseconds;
  /** @returns the time at which a lease is expected to end */
  expectedEndOf(lease: LeaseView): Milliseconds;
  /**
   * @returns the most accelerators of a worker that the job may use, however
   * many leases end there
   */
  capacity(worker: WorkerView): number;
}

/**
 * Chooses the workers that are expected to have enough free accelerators for a
 * large job earliest.
 *
 * @param options the job, the workers and when their leases are expected to end
 * @returns the reservation, or `undefined` when the shape fits nowhere
 */
export function planReservation(
  options: ReservationOptions,
): Reservation | undefined {
  let best: Reservation | undefined;
  for (const group of adjacentGroups(options.shape, options.racks)) {
    const reservation = planInGroup(group, options);
    if (reservation === undefined) continue;
    if (best !== undefined && reservation.expectedAt >= best.expectedAt) {
      continue;
    }
    best = reservation;
  }
  return best;
}

/** Accelerators for one part on a worker, expected to be free from `freeAt`. */
interface Slot {
  worker: WorkerView;
  freeAt: Milliseconds;
}

/** Assigns the parts to the slots that become free earliest. */
function planInGroup(
  group: readonly WorkerView[],
  options: ReservationOptions,
): Reservation | undefined {
  const { request, shape, now } = options;
  const slots = group.flatMap((worker) => slotsOf(worker, options))
    .sort((a, b) => a.freeAt - b.freeAt);
  if (slots.length < shape.parts) return undefined;
  const chosen = slots.slice(0, shape.parts);
  const workers = new Map<string, number>();
  for (const { worker } of chosen) {
    const reserved = (workers.get(worker.name) ?? 0) + shape.accelerators;
    workers.set(worker.name, reserved);
  }
  const expectedAt = Math.max(now, chosen[chosen.length - 1].freeAt);
  return { request, workers, expectedAt };
}

/**
 * Lists the slots of a worker by replaying the expected ends of its leases in
 * order.
 */
function slotsOf(worker: WorkerView, options: ReservationOptions): Slot[] {
  const { shape, now, expectedEndOf } = options;
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
  const capacity = options.capacity(worker);
  for (let next = 0;; next++) {
    while (
      free >= shape.accelerators && used + shape.accelerators <= capacity
    ) {
      slots.push({ worker, freeAt });
      free -= shape.accelerators;
      used += shape.accelerators;
    }
    if (next >= ends.length) return slots;
    free += ends[next].accelerators;
    freeAt = ends[next].at;
  }
}
