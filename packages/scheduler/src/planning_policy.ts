import type { Milliseconds } from "@rattanhill/shared";

/** Parameters of planning; the bench can override them by name. */
export interface PlanningPolicy {
  /**
   * Capacity for guaranteed work is reclaimed at any cost from its start
   * deadline minus the longest stop and this margin.
   */
  reclaimMarginMs: Milliseconds;
  /**
   * Wait after which urgent work may preempt runs that lose little work; see
   * `cheapShare`.
   */
  cheapReclaimMs: Milliseconds;
  /**
   * Largest amount of work that a preemption may discard before
   * `reclaimMarginMs` applies, as a share of the expected work of the urgent
   * tasks.
   */
  cheapShare: number;
  /**
   * Largest number of gangs with a reservation in a planning pass. Each
   * reservation withholds its workers from later steps that would still run
   * when it starts.
   */
  maximumReservations: number;
  /**
   * Longest wait for the preferred rack or racks, as a share of the run time
   * that other racks would add.
   */
  rackPatience: number;
  /**
   * Scale of the logarithms of the learned worker speeds; 0 makes all workers
   * count as usual.
   */
  workerSpeeds: number;
}

/** Default parameters; `npm run bench -- cell` compares them with others. */
export const PLANNING_POLICY: PlanningPolicy = {
  /** Covers two store writes, a start command and a slow VM. */
  reclaimMarginMs: 900,
  /** Most capacity becomes free without a preemption sooner than this. */
  cheapReclaimMs: 150,
  cheapShare: 0.25,
  maximumReservations: 2,
  /**
   * Other work ends while a step waits for its rack, so capacity there may
   * become free.
   */
  rackPatience: 0.5,
  workerSpeeds: 1,
};
