import type { Milliseconds } from "@rattanhill/shared";

/** Weights of planning; the bench plays loads with others. */
export interface PlanningPolicy {
  /** Left of the bound on guaranteed work when it is reclaimed at any price. */
  reclaimMarginMs: Milliseconds;
  /** Wait after which urgent work stops others cheaply. */
  cheapReclaimMs: Milliseconds;
  /** Largest share of its own work that urgent work may throw away of others. */
  cheapShare: number;
  /** Largest number of gangs for which workers are kept at a time. */
  maximumReservations: number;
  /** Share of the extra time on a wrong rack that is waited for the right one. */
  rackPatience: number;
}

/** Weights in use, chosen on the loads of `npm run bench -- cell`. */
export const PLANNING_POLICY: PlanningPolicy = {
  reclaimMarginMs: 900, // two writes to the store, a start, and a slow VM
  cheapReclaimMs: 150, // most room comes free by itself before
  cheapShare: 0.25, // 0.1 to 0.5 earn alike on the loads of the bench
  maximumReservations: 2, // 1 to 5 earn alike on the loads of the bench
  rackPatience: 0.5, // queues move meanwhile
};
