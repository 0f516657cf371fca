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

/** Holds that the host has to obtain from the workers, all or none. */
export interface HoldPlan {
  spec: RequestSpec;
  attempt: number;
  /** Time at which the request began to wait. */
  since: Milliseconds;
  parts: readonly { target: WorkerView; lease: LeaseDescriptor }[];
}

/** Refusal of a placement. */
export interface PlaceRefusal {
  reason: EndReason;
  retryAfterMs: Milliseconds;
}

/** A decision that operators see in the log. */
export const PlacerNote = {
  preempted: "preempted",
  reserved: "reserved",
  reservationEnded: "reservation-ended",
  quarantined: "quarantined",
  releasedWorker: "released-worker",
} as const;

/** One of the values of {@link PlacerNote}. */
export type PlacerNote = typeof PlacerNote[keyof typeof PlacerNote];

/** Operations of the host. */
export interface PlacerHost {
  /** Asks the workers for the holds of a plan. */
  hold(plan: HoldPlan): void;
  /** Saves the progress of running tasks and stops them. */
  preempt(leases: readonly LeaseView[]): void;
  /** Tells the owner of a request that it will not be placed. */
  refuse(id: string, attempt: number, refusal: PlaceRefusal): void;
  /** Tells operators of a decision. */
  note?(note: PlacerNote, subject: string): void;
  /** @returns a new lease name */
  createLeaseName(): string;
  /** @returns a number from 0 up to 1 */
  random(): number;
}

/** Parts of the policy that can be left out, to measure what each is worth. */
export interface PlacerPolicy {
  /** Stops lent work when a guarantee is claimed. */
  reclaim: boolean;
  /** Keeps capacity for large jobs that waited long. */
  reservation: boolean;
  /** Plans with learned run times in place of declared ones. */
  learning: boolean;
  /** Refuses at once what cannot start in time. */
  refusal: boolean;
  /** Moves small work that can be stopped off broken workers. */
  compaction: boolean;
}

/** The whole policy. */
export const FULL_POLICY: PlacerPolicy = {
  reclaim: true,
  reservation: true,
  learning: true,
  refusal: true,
  compaction: true,
};

/** Options of a placer. */
export interface PlacerOptions {
  /** Availability zone whose workers it decides about. */
  zone: string;
  host: PlacerHost;
  policy?: PlacerPolicy;
}

/** A request that an owner wants to have placed. */
export interface PlaceSubmission {
  spec: RequestSpec;
  attempt: number;
  /** Process that will start it. */
  owner: string;
  /** Workers that must not be used. */
  avoid: readonly string[];
}

/** Decides which request of a zone runs on which workers. */
export interface Placer {
  /** Takes new rules into force. */
  configure(rules: Rules): void;
  /** Adds a request of an owner; answered by `hold` or `refuse` of the host. */
  submit(submission: PlaceSubmission, now: Milliseconds): void;
  /** Removes a waiting request in constant time. @returns whether it was waiting */
  withdraw(id: string): boolean;
  /** Notes that all holds of a plan were granted. */
  holdsGranted(plan: HoldPlan, sequences: readonly number[]): void;
  /** Returns a request to the queue after a worker refused its hold. */
  holdsRefused(plan: HoldPlan): void;
  /** Notes that a hold was given back. */
  release(worker: string, lease: string): void;
  /** Takes a worker's report. */
  report(report: WorkerReport, now: Milliseconds): void;
  /** Learns from a task that ended by itself. */
  taskEnded(
    task: EndedTask & DeclaredTask,
    ranMs: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Removes a worker that cannot be asked. */
  lose(worker: string): void;
  /** Places what fits, reclaims guarantees and refuses what waited too long. */
  decide(now: Milliseconds): void;
  /** @returns the state for peers */
  summarize(): ZoneSummary;
  /** @returns use of guarantees by account */
  accounts(): AccountStatus[];
  /** @returns accounts whose guarantee does not fit the zone's workers */
  unmetGuarantees(): readonly string[];
  /** @returns why a request waits, or `undefined` when it does not wait here */
  explain(id: string): string | undefined;
  /** @returns the workers of the zone */
  workers(): readonly WorkerView[];
}
