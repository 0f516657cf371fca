import type { Milliseconds } from "@rattanhill/shared";

/** Parameters of planning; the bench can override them by name. */
export interface PlanningPolicy {
  /**
   * Capacity for guaranteed work is reclaimed at any cost from its start
   * deadline minus the longest stop and this margin.
   */
  reclaimMarginMs: Milliseconds;
  /** Wait after which urgent work may preempt runs if this is worthwhile. */
  cheapReclaimMs: Milliseconds;
  /** Relative value of a job of mean work in a queue of priority 0. */
  urgentValue: number;
  /** Relative value of a job of mean work in a queue of priority 1. */
  middleValue: number;
  /** Relative value of a job of mean work in any other queue. */
  lowValue: number;
  /** Value of a late but useful result, as a share of that of one in time. */
  lateValueShare: number;
  /**
   * Price of lost work, as a share of the value of the same amount of the urgent
   * job's work.
   */
  lostWorkPrice: number;
  /**
   * Share by which each earlier stop of a job raises the cost of another one.
   */
  repeatedStopSurcharge: number;
  /** Largest number of decisions, beyond guarantees, that stop a job. */
  maximumJobStops: number;
  /**
   * Factor on the expected wait for capacity that becomes free by itself, since
   * run times are known only roughly.
   */
  waitUncertainty: number;
  /**
   * Largest number of gangs with a reservation in a planning pass. Each
   * reservation withholds its workers from later steps that would still run
   * when it starts.
   */
  maximumReservations: number;
  /**
   * Time for which a job may have nothing running while most of its service is
   * free. Then it may use capacity that is set aside for other work.
   */
  idleLimitMs: Milliseconds;
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
  /**
   * Callers of urgent queues wait for the result and need it within seconds;
   * those of the lowest queues collect it later. The ratios are those that users
   * state for their queues.
   */
  urgentValue: 4,
  middleValue: 3,
  lowValue: 1,
  /** Users value a late result at 0.1 to 0.5 of one in time. */
  lateValueShare: 0.25,
  /**
   * Users deduct about a quarter of the value of urgent work for discarded work;
   * twice that covers errors of the estimates.
   */
  lostWorkPrice: 0.5,
  repeatedStopSurcharge: 1,
  maximumJobStops: 3,
  /** Run times are known only roughly, and other steps wait as well. */
  waitUncertainty: 1.5,
  maximumReservations: 2,
  /**
   * Users expect a start within 3 s; the rest covers a store write, a start
   * command and a slow VM.
   */
  idleLimitMs: 2_000,
  /**
   * Other work ends while a step waits for its rack, so capacity there may
   * become free.
   */
  rackPatience: 0.5,
  workerSpeeds: 1,
};
