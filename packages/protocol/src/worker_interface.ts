import { z } from "zod";
import { LeaseState } from "@rattanhill/core";

/** Header with the digest of the payload or answer in the body (RFC 9530). */
export const CONTENT_DIGEST_HEADER = "content-digest";
/** Header with the identifier of the lease whose answer is in the body. */
export const LEASE_HEADER = "rattanhill-lease";
/** Header with the checkpoint from which a task resumes. */
export const CHECKPOINT_HEADER = "rattanhill-checkpoint";
/** Header with the identifier of the responding worker's process start. */
export const BOOT_HEADER = "rattanhill-boot";

const leaseStateSchema = z.enum(Object.values(LeaseState) as [LeaseState]);
const nameSchema = z.string().min(1).max(200);
const countSchema = z.number().int().nonnegative();

/** Schema of `LeaseDescriptor`, stored by the worker with the lease. */
export const leaseDescriptorSchema = z.object({
  lease: nameSchema,
  request: nameSchema,
  key: z.string().max(200),
  account: nameSchema,
  class: nameSchema,
  attempt: countSchema,
  part: countSchema,
  parts: countSchema,
  accelerators: countSchema,
  owner: nameSchema,
  priority: countSchema,
  repeatable: z.boolean(),
  preemptible: z.boolean(),
  expectedMs: z.number().nonnegative(),
});

/** Schema of `LeaseReport`, a live lease in a worker's report. */
export const leaseReportSchema = leaseDescriptorSchema.extend({
  state: leaseStateSchema,
  runningMs: z.number(),
  sinceCheckpointMs: z.number(),
});

/** Schema of `WorkerReport`, the state of a worker. */
export const workerReportSchema = z.object({
  worker: nameSchema,
  address: nameSchema,
  zone: nameSchema,
  rack: nameSchema,
  boot: nameSchema,
  leaving: z.boolean(),
  accelerators: countSchema,
  sequence: countSchema,
  leases: z.array(leaseReportSchema),
});

/** Schema of the body of `POST /leases`. */
export const holdRequestSchema = z.object({
  descriptor: leaseDescriptorSchema,
  /** Time to live of the hold, by the worker's clock. */
  ttlMs: z.number().positive(),
});

/** Request to hold capacity for one part of a request. */
export type HoldRequest = z.infer<typeof holdRequestSchema>;

/** Schema of the body of `POST /leases/LEASE/pause`. */
export const pauseRequestSchema = z.object({
  /** Longest time of the pause, by the worker's clock. */
  ttlMs: z.number().positive(),
});

/** Schema of the response to every operation on a lease. */
export const leaseResponseSchema = z.object({
  /** Identifier of the worker's process start. */
  boot: nameSchema,
  /** Number of changes of the worker's leases since its process started. */
  sequence: countSchema,
  /** State of the lease; absent when the worker does not know it. */
  state: leaseStateSchema.optional(),
  /** Reason of a refusal, one of {@link WorkerRefusal} or a schema error. */
  reason: z.string().optional(),
  /** Error with which the task ended. */
  failure: z.string().optional(),
  /** Newest checkpoint of the task. */
  checkpoint: z.string().optional(),
  owner: z.string().optional(),
});

/** Response to an operation on a lease. */
export type LeaseResponse = z.infer<typeof leaseResponseSchema>;

/** Reasons for which a worker refuses an operation. */
export const WorkerRefusal = {
  /** Not enough accelerators are free. */
  full: "full",
  /** The worker is shutting down and takes no new work. */
  leaving: "leaving",
  /** The capacity is no longer held: the lease expired or ended. */
  lapsed: "lapsed",
  /** The worker does not know the lease, or has no answer for it. */
  unknownLease: "unknown-lease",
  /** The payload does not match its digest. */
  damagedPayload: "damaged-payload",
  /** The lease belongs to another owner than the one given. */
  notOwner: "not-owner",
} as const;

/** Schema of the body of `POST /watch`. */
export const watchRequestSchema = z.object({
  owner: nameSchema,
  /**
   * Which changes end the wait: `owner` when a lease of this owner ends, `all`
   * when any lease or the worker's leaving state changes.
   */
  scope: z.enum(["owner", "all"]),
  /** Sequence number of the last report that the owner received. */
  since: countSchema,
  /**
   * Identifier of the process start to which `since` belongs; empty before the
   * first report.
   */
  boot: z.string(),
  /** Longest time to wait for a change; 0 to respond at once. */
  waitMs: z.number().nonnegative().max(60_000),
  /** Identifiers of the leases to renew. */
  renew: z.array(nameSchema),
  /** New time to live of the renewed leases. */
  ttlMs: z.number().positive(),
});

/** Renewal of leases, and long poll for changes of a worker. */
export type WatchRequest = z.infer<typeof watchRequestSchema>;

/** Schema of an ended lease in the response to a watch. */
export const endedLeaseSchema = leaseDescriptorSchema.extend({
  state: leaseStateSchema,
  runningMs: z.number(),
  failure: z.string().optional(),
  checkpoint: z.string().optional(),
});

/** A lease that ended after the report with the sequence number `since`. */
export type EndedLease = z.infer<typeof endedLeaseSchema>;

/** Schema of the response to a watch. */
export const watchResponseSchema = z.object({
  report: workerReportSchema,
  ended: z.array(endedLeaseSchema),
  /** Time for which a worker lists ended leases. */
  endedRetentionMs: z.number(),
});

/** Response to a watch. */
export type WatchResponse = z.infer<typeof watchResponseSchema>;
