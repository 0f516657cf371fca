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

/**
 * Free capacity of the workers during a planning pass, without the capacity
 * that is set aside for certain steps:
 * - held: capacity withheld from all later steps of this pass,
 * - reserved: workers withheld in this pass from later steps that would still
 *   run when the reservation starts,
 * - claimed: capacity reclaimed by preemption, kept for one step over several
 *   passes.
 *
 * Capacity set aside for guaranteed work is protected: it is withheld from other
 * steps however long they wait.
 */
export interface CapacityLedger {
  /**
   * Starts a pass: drops all holds and reservations, and claims that are no
   * longer usable.
   */
  beginPass(): void;
  /** @returns the capacity of a worker that is free for the next step */
  freeOn(worker: WorkerState): Resources;
  /**
   * @returns the capacity of a worker that no run uses and that is not protected
   */
  freeBesideProtected(worker: WorkerState): Resources;
  /** @returns whether capacity of the worker is held, reserved or claimed */
  isWithheld(worker: WorkerState): boolean;
  /**
   * @returns the capacity of a worker that would be free for the next step if
   * all pending stops were complete
   */
  freeAfterStops(worker: WorkerState): Resources;
  /** Withholds capacity from later steps of this pass. */
  hold(
    step: StepState,
    slots: ReadonlyMap<WorkerState, number>,
    options: { isProtected: boolean },
  ): void;
  /**
   * Withholds the workers of a reservation from later steps that would still
   * run when it starts.
   */
  reserve(step: StepState, reservation: Reservation): void;
  /** @returns the number of reservations in this pass */
  reservationCount(): number;
  /**
   * @returns the workers that a step may use: those that are not reserved for
   * another step, or only from a time when a task of the step would have ended
   */
  unreservedWorkers(
    workers: readonly WorkerState[],
    step: StepState,
    expectedMs: Milliseconds,
  ): readonly WorkerState[];
  /**
   * Keeps reclaimed capacity for a step over several passes, until the step is
   * placed or the claim expires.
   */
  claim(
    step: StepState,
    assignment: Assignment,
    options: { isProtected: boolean },
  ): void;
  /** @returns whether the step has a claim */
  hasClaim(step: StepState): boolean;
  /**
   * Calls a function while the capacity claimed for the step counts as free.
   *
   * @param step the step
   * @param place function that receives the workers of the claim
   * @returns the result of the function
   */
  withClaimReleased<Result>(
    step: StepState,
    place: (claimed: ReadonlySet<WorkerState>) => Result,
  ): Result;
  /** Drops the claim of a step. */
  dropClaim(step: StepState): void;
  /**
   * Lists what is withheld from a step for others in this pass.
   *
   * @param step the step
   * @param expectedMs expected duration of its tasks
   * @returns the holds, reservations and claims of other steps
   */
  withholdingsFrom(step: StepState, expectedMs: Milliseconds): Withholding[];
}

/** Capacity that is set aside for one step, and so withheld from others. */
export interface Withholding {
  kind: "held" | "reserved" | "claimed";
  /** The step that it is set aside for. */
  step: StepState;
  /** Number of its tasks by worker. */
  slots: ReadonlyMap<WorkerState, number>;
}

/** Options of {@link createCapacityLedger}. */
export interface CapacityLedgerOptions {
  now(): Milliseconds;
  /** @returns the longest time that a worker takes to stop a run */
  stopMs(): Milliseconds;
  /** @returns whether a worker may get new runs */
  isOpen(worker: WorkerState): boolean;
}

/** Capacity set aside for a step. */
interface SetAside {
  /** Number of tasks by worker. */
  slots: ReadonlyMap<WorkerState, number>;
  isProtected: boolean;
}

/** Capacity claimed for a step. */
interface Claim extends SetAside {
  madeAt: Milliseconds;
}

// A claim that is still unused expires after the longest time that a stop takes
// plus this margin, which covers a few planning passes and store writes.
const CLAIM_MARGIN_MS: Milliseconds = 1_000;

/**
 * Creates the capacity ledger of a cell.
 *
 * @param options a clock, the longest stop and which workers may get new runs
 * @returns the ledger
 */
export function createCapacityLedger(
  options: CapacityLedgerOptions,
): CapacityLedger {
  const { now, stopMs, isOpen } = options;
  /** Capacity withheld in this pass by holds and claims, by worker. */
  let held: Map<WorkerState, Resources> = new Map();
  /** The part of {@link held} that is protected. */
  let protectedCapacity: Map<WorkerState, Resources> = new Map();
  let holds: Withholding[] = [];
  let reservations: { step: StepState; reservation: Reservation }[] = [];
  const claims = new Map<StepState, Claim>();

  /** Adds the needs of tasks to the held capacity, or subtracts them. */
  const adjustHeld = (
    step: StepState,
    { slots, isProtected }: SetAside,
    sign: 1 | -1,
  ): void => {
    addNeeds(held, { step, slots, sign });
    if (isProtected) addNeeds(protectedCapacity, { step, slots, sign });
  };

  const freeBeside = (
    withheld: ReadonlyMap<WorkerState, Resources>,
    worker: WorkerState,
  ): Resources => {
    const available = { ...worker.capacity };
    addResources(available, worker.used, -1);
    const withheldOnWorker = withheld.get(worker);
    if (withheldOnWorker !== undefined) {
      addResources(available, withheldOnWorker, -1);
    }
    return available;
  };
  const freeOn = (worker: WorkerState): Resources => freeBeside(held, worker);

  /** Returns the reservations of other steps that a step would outlast. */
  const findBlocking = (step: StepState, expectedMs: Milliseconds) =>
    reservations.filter((entry) =>
      entry.step !== step && expectedMs > entry.reservation.startsInMs
    );

  return {
    beginPass: () => {
      held = new Map();
      protectedCapacity = new Map();
      holds = [];
      reservations = [];
      const claimTtlMs = stopMs() + CLAIM_MARGIN_MS;
      for (const [step, claim] of claims) {
        const isUsable = !isOver(step.job) &&
          now() - claim.madeAt < claimTtlMs &&
          [...claim.slots.keys()].every(isOpen);
        if (isUsable) adjustHeld(step, claim, 1);
        else claims.delete(step);
      }
    },
    freeOn,
    freeBesideProtected: (worker) => freeBeside(protectedCapacity, worker),
    isWithheld: (worker) =>
      held.has(worker) ||
      reservations.some(({ reservation }) => reservation.slots.has(worker)),
    freeAfterStops: (worker) => {
      const available = freeOn(worker);
      for (const run of worker.runs) {
        if (run.stopReason === undefined) continue;
        addResources(available, needsOf(run.step.spec));
      }
      return available;
    },
    hold: (step, slots, { isProtected }) => {
      adjustHeld(step, { slots, isProtected }, 1);
      holds.push({ kind: "held", step, slots });
    },
    reserve: (step, reservation) => reservations.push({ step, reservation }),
    reservationCount: () => reservations.length,
    unreservedWorkers: (workers, step, expectedMs) => {
      const blocking = findBlocking(step, expectedMs);
      if (blocking.length === 0) return workers;
      return workers.filter((worker) =>
        !blocking.some(({ reservation }) => reservation.slots.has(worker))
      );
    },
    claim: (step, assignment, { isProtected }) => {
      const slots = new Map<WorkerState, number>();
      for (const worker of assignment.values()) {
        slots.set(worker, (slots.get(worker) ?? 0) + 1);
      }
      const claim = { slots, madeAt: now(), isProtected };
      claims.set(step, claim);
      adjustHeld(step, claim, 1);
    },
    hasClaim: (step) => claims.has(step),
    withClaimReleased: (step, place) => {
      const claim = claims.get(step);
      if (claim === undefined) return place(new Set());
      adjustHeld(step, claim, -1);
      try {
        return place(new Set(claim.slots.keys()));
      } finally {
        if (claims.has(step)) adjustHeld(step, claim, 1);
      }
    },
    dropClaim: (step) => {
      claims.delete(step);
    },
    withholdingsFrom: (step, expectedMs) => {
      const found = holds.filter((hold) => hold.step !== step);
      for (
        const { step: owner, reservation } of findBlocking(step, expectedMs)
      ) {
        const { slots } = reservation;
        found.push({ kind: "reserved", step: owner, slots });
      }
      for (const [owner, { slots }] of claims) {
        if (owner === step) continue;
        found.push({ kind: "claimed", step: owner, slots });
      }
      return found;
    },
  };
}

/** Adds the needs of tasks to sums by worker, or subtracts them. */
function addNeeds(
  sums: Map<WorkerState, Resources>,
  { step, slots, sign }: {
    step: StepState;
    slots: ReadonlyMap<WorkerState, number>;
    sign: 1 | -1;
  },
): void {
  const needs = needsOf(step.spec);
  for (const [worker, count] of slots) {
    const sum = sums.get(worker) ??
      { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
    sums.set(worker, sum);
    addResources(sum, needs, sign * count);
  }
}
