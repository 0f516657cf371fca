import type { Milliseconds } from "@rattanhill/shared";
import type { AccountStatus } from "./account_status.ts";
import type { LeaseView, WorkerView } from "./inventory.ts";
import type { LeaseDescriptor, WorkerReport } from "./lease.ts";
import type { EndedTask } from "./quarantine.ts";
import type { EndReason } from "./request_types.ts";
import type { Rules } from "./rules.ts";
import type { DeclaredTask } from "./run_times.ts";
import type { RequestSpec } from "./shape.ts";
import type { ZoneSummary } from "./zone_summary.ts";

/**
 * Holds that the host requests from the workers; all are granted or none is
 * kept.
 */
export interface HoldPlan {
  spec: RequestSpec;
  attempt: number;
  /** Time at which the request was first submitted to the placer. */
  since: Milliseconds;
  /** Workers to use only if the request fits nowhere else. */
  avoid: readonly string[];
  parts: readonly { target: WorkerView; lease: LeaseDescriptor }[];
}

/** Refusal of a request, with the time after which the caller may retry. */
export interface PlaceRefusal {
  reason: EndReason;
  retryAfterMs: Milliseconds;
}

/** Kinds of decisions that are written to the operators' log. */
export const PlacerDecision = {
  /** A lease of the request is preempted. */
  preempted: "preempted",
  /** Capacity is reserved for the request. */
  reserved: "reserved",
  /** The request with a reservation left the queue. */
  reservationEnded: "reservation-ended",
  /** The quarantine of the worker began or was extended. */
  quarantined: "quarantined",
  /** The quarantine of the worker ended. */
  releasedWorker: "released-worker",
} as const;

/** One of the values of {@link PlacerDecision}. */
export type PlacerDecision = typeof PlacerDecision[keyof typeof PlacerDecision];

/** Operations that the placer needs from the process that runs it. */
export interface PlacerHost {
  /**
   * Requests the holds of a plan. When all are granted, the host calls
   * `confirmHolds`; when one is refused, it calls `requeueRefused`.
   */
  hold(plan: HoldPlan): void;
  /**
   * Checkpoints running tasks and stops them. The parts of a gang job are
   * stopped only if none of them has ended.
   */
  preempt(leases: readonly LeaseView[]): void;
  /** Notifies the owner of a request that the request will not be placed. */
  refuse(id: string, attempt: number, refusal: PlaceRefusal): void;
  /** Reports a decision to operators; the subject is a request or a worker. */
  reportDecision?(decision: PlacerDecision, subject: string): void;
  /** @returns a lease name that was never used before */
  createLeaseName(): string;
  /** @returns a random number from 0 (inclusive) to 1 (exclusive) */
  random(): number;
}

/**
 * Mechanisms of the scheduling policy; the benchmark switches each off to
 * measure its effect.
 */
export interface PlacerPolicy {
  /** Preempts work, for example when an account needs its lent guarantee. */
  reclaim: boolean;
  /** Reserves capacity for large jobs that have waited long. */
  reservation: boolean;
  /** Plans with estimated run times instead of declared ones. */
  learning: boolean;
  /**
   * Refuses requests at submission that are not expected to start within their
   * maximum wait.
   */
  refusal: boolean;
  /**
   * Moves small preemptible work off partly used workers to free whole workers.
   */
  compaction: boolean;
}

/** Policy with every mechanism switched on; the default. */
export const FULL_POLICY: PlacerPolicy = {
  reclaim: true,
  reservation: true,
  learning: true,
  refusal: true,
  compaction: true,
};

/** Options of a placer. */
export interface PlacerOptions {
  /** Availability zone whose workers are scheduled. */
  zone: string;
  host: PlacerHost;
  policy?: PlacerPolicy;
}

/** A request that its owner submits for placement. */
export interface PlaceSubmission {
  spec: RequestSpec;
  attempt: number;
  /** Process that starts the request and renews its leases. */
  owner: string;
  /** Workers to use only if the request fits nowhere else. */
  avoid: readonly string[];
}

/**
 * Scheduler of one availability zone: decides which requests run on which
 * workers.
 */
export interface Placer {
  /** Replaces the rules; they apply from the next decision on. */
  configure(rules: Rules): void;
  /**
   * Queues a request. The result is a call of the host's `hold` or `refuse`,
   * during this call or later.
   */
  submit(submission: PlaceSubmission, now: Milliseconds): void;
  /**
   * Removes a request from the queue in constant time.
   *
   * @returns whether it was waiting
   */
  withdraw(id: string): boolean;
  /**
   * Records that all holds of a plan were granted, with each worker's change
   * sequence at that point.
   */
  confirmHolds(plan: HoldPlan, sequences: readonly number[]): void;
  /**
   * Returns a request to the queue after a worker refused one of its holds. A
   * newer attempt that already waits keeps its place.
   */
  requeueRefused(plan: HoldPlan): void;
  /** Frees the accelerators of a hold that was released. */
  releaseHold(worker: string, lease: string): void;
  /** Applies a worker's report to the inventory. */
  applyReport(report: WorkerReport, now: Milliseconds): void;
  /**
   * Records the end of a task that was not stopped, for run-time estimates and
   * the quarantine.
   */
  recordTaskEnd(
    task: EndedTask & DeclaredTask,
    ranMs: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Sets the workers that the platform lists in the zone. */
  setListedWorkers(workers: readonly string[]): void;
  /** Removes a worker that has left or does not respond. */
  removeWorker(worker: string): void;
  /**
   * Discards what a worker last reported, because it no longer holds. Nothing
   * is placed on the worker before its next report, but its accelerators still
   * count in the forecast of waiting times.
   */
  discardReport(worker: string): void;
  /**
   * Refuses overdue requests and starts a compaction when one is due. After a
   * change, or when the last scheduling pass is too long ago, also runs a pass:
   * places what fits and plans reclaims and reservations for the rest.
   */
  decide(now: Milliseconds): void;
  /**
   * @returns capacity, fragmentation and queue length of the zone, for other
   * entries
   */
  summarize(): ZoneSummary;
  /** @returns guaranteed, used, lent and borrowed accelerators by account */
  accounts(): AccountStatus[];
  /**
   * @returns accounts whose guarantee does not fit on the zone's workers
   * together with the other guarantees
   */
  unmetGuarantees(): readonly string[];
  /**
   * @returns a sentence on why a request waits, or `undefined` when it is not
   * in the queue
   */
  explain(id: string): string | undefined;
  /** @returns the zone's workers with their leases, ordered by rack and name */
  workers(): readonly WorkerView[];
}
