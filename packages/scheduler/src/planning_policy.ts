import type { Milliseconds } from "@rattanhill/shared";

/** Weights of planning; the bench can override them by name. */
export interface PlanningPolicy {
  /**
   * Time before the start bound of guaranteed work from which its capacity is
   * reclaimed at any cost.
   */
  reclaimMarginMs: Milliseconds;
  /** Wait after which urgent work may preempt runs that lose little work. */
  cheapReclaimMs: Milliseconds;
  /**
   * Work that such an early preemption may discard, as a share of the urgent
   * work.
   */
  cheapShare: number;
  /** Largest number of gangs with a reservation in a planning pass. */
  maximumReservations: number;
  /**
   * Wait for the right rack, as a share of the time that a wrong one would add.
   */
  rackPatience: number;
}

/** Default weights; `npm run bench -- cell` compares them with others. */
export const PLANNING_POLICY: PlanningPolicy = {
  reclaimMarginMs: 900, // covers two store writes, a start and a slow VM
  cheapReclaimMs: 150, // most capacity becomes free by itself sooner
  cheapShare: 0.25, // `earned` in the bench is the same for 0.1 to 0.5
  maximumReservations: 2, // `earned` in the bench is the same for 1 to 5
  rackPatience: 0.5, // the queues advance while a step waits
};
