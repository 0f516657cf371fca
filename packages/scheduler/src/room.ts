import type { Milliseconds } from "@rattanhill/shared";
import {
  addResources,
  isOver,
  needsOf,
  type Resources,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import type { Assignment } from "./placement.ts";
import type { Reservation } from "./reservation.ts";

/** Free capacity during a planning pass, and what is kept of it for steps. */
export interface Room {
  /** Starts a pass: forgets what was kept, except claims that are still of use. */
  begin(): void;
  /** @returns what is free on a worker for a step that comes next */
  free(worker: WorkerState): Resources;
  /** @returns the same, as if every stop that was ordered had been done */
  freeAfterStops(worker: WorkerState): Resources;
  /** Keeps capacity from what comes later in this pass. */
  keep(slots: ReadonlyMap<WorkerState, number>, step: StepState): void;
  /** Keeps the workers of a large step from later steps that would not end in time. */
  reserve(step: StepState, reservation: Reservation): void;
  /** @returns number of reservations in this pass */
  reservationCount(): number;
  /** @returns workers that are not reserved for longer than a task takes */
  unreserved(
    workers: readonly WorkerState[],
    step: StepState,
    expectedMs: Milliseconds,
  ): readonly WorkerState[];
  /** Keeps reclaimed room for a step over passes, until it is placed. */
  claim(step: StepState, assignment: Assignment): void;
  hasClaim(step: StepState): boolean;
  /** Calls a function with the step's own claim free. @returns its result */
  withClaim<Result>(
    step: StepState,
    place: (claimed: ReadonlySet<WorkerState>) => Result,
  ): Result;
  /** Ends a claim; its step was placed. */
  settle(step: StepState): void;
}

/** Options of {@link createRoom}. */
export interface RoomOptions {
  now(): Milliseconds;
  /** Longest time that a stop takes. */
  stopMs(): Milliseconds;
  /** Whether a worker may get new work. */
  isOpen(worker: WorkerState): boolean;
}

interface Claim {
  slots: Map<WorkerState, number>;
  madeAt: Milliseconds;
}

/** A claim that was not used after the stops and this time is given up. */
const CLAIM_MARGIN_MS: Milliseconds = 1_000; // a few planning passes and store writes

/**
 * Creates the room of a cell.
 *
 * @param options a clock and which workers are open
 * @returns the room
 */
export function createRoom(options: RoomOptions): Room {
  const { now, stopMs, isOpen } = options;
  let kept = new Map<WorkerState, Resources>();
  let reservations: { step: StepState; reservation: Reservation }[] = [];
  const claims = new Map<StepState, Claim>();

  const change = (
    slots: ReadonlyMap<WorkerState, number>,
    step: StepState,
    sign: 1 | -1,
  ): void => {
    const needs = needsOf(step.spec);
    for (const [worker, count] of slots) {
      const sum = kept.get(worker) ??
        { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
      kept.set(worker, sum);
      addResources(sum, needs, sign * count);
    }
  };

  const free = (worker: WorkerState): Resources => {
    const room = { ...worker.capacity };
    addResources(room, worker.used, -1);
    const away = kept.get(worker);
    if (away !== undefined) addResources(room, away, -1);
    return room;
  };

  return {
    begin: () => {
      kept = new Map();
      reservations = [];
      const limit = stopMs() + CLAIM_MARGIN_MS;
      for (const [step, { slots, madeAt }] of claims) {
        const isUsable = !isOver(step.job) && now() - madeAt < limit &&
          [...slots.keys()].every(isOpen);
        if (isUsable) change(slots, step, 1);
        else claims.delete(step);
      }
    },
    free,
    freeAfterStops: (worker) => {
      const room = free(worker);
      for (const run of worker.runs) {
        if (run.stopReason === undefined) continue;
        addResources(room, needsOf(run.step.spec));
      }
      return room;
    },
    keep: (slots, step) => change(slots, step, 1),
    reserve: (step, reservation) => reservations.push({ step, reservation }),
    reservationCount: () => reservations.length,
    unreserved: (workers, step, expectedMs) => {
      const blocking = reservations.filter((entry) =>
        entry.step !== step && expectedMs > entry.reservation.startsInMs
      );
      if (blocking.length === 0) return workers;
      return workers.filter((worker) =>
        !blocking.some(({ reservation }) => reservation.slots.has(worker))
      );
    },
    claim: (step, assignment) => {
      const slots = new Map<WorkerState, number>();
      for (const worker of assignment.values()) {
        slots.set(worker, (slots.get(worker) ?? 0) + 1);
      }
      claims.set(step, { slots, madeAt: now() });
      change(slots, step, 1);
    },
    hasClaim: (step) => claims.has(step),
    withClaim: (step, place) => {
      const claim = claims.get(step);
      if (claim === undefined) return place(new Set());
      change(claim.slots, step, -1);
      const result = place(new Set(claim.slots.keys()));
      if (claims.has(step)) change(claim.slots, step, 1);
      return result;
    },
    settle: (step) => {
      claims.delete(step);
    },
  };
}
