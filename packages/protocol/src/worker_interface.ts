import { z } from "zod";
import { LeaseState } from "@rattanhill/core";

/** Header with the digest of a payload or answer (RFC 9530). */
export const CONTENT_DIGEST_HEADER = "content-digest";
/** Header naming the lease whose answer a response carries. */
export const LEASE_HEADER = "rattanhill-lease";
/** Header with the saved progress from which a task goes on. */
export const CHECKPOINT_HEADER = "rattanhill-checkpoint";
/** Header naming the start of the worker that answered. */
export const BOOT_HEADER = "rattanhill-boot";

const leaseState = z.enum(Object.values(LeaseState) as [LeaseState]);
const name = z.string().min(1).max(200);
const count = z.number().int().nonnegative();

/** Schema of a lease descriptor. */
export const leaseDescriptorSchema = z.object({
  lease: name,
  request: name,
  key: z.string().max(200),
  account: name,
  class: name,
  attempt: count,
  part: count,
  parts: count,
  accelerators: count,
  owner: name,
  priority: count,
  repeatable: z.boolean(),
  preemptible: z.boolean(),
  expectedMs: z.number().nonnegative(),
});

/** Schema of a live lease in a worker's report. */
export const leaseReportSchema = leaseDescriptorSchema.extend({
  state: leaseState,
  runningMs: z.number(),
  sinceCheckpointMs: z.number(),
});

/** Schema of a worker's report. */
export const workerReportSchema = z.object({
  worker: name,
  address: name,
  zone: name,
  rack: name,
  boot: name,
  leaving: z.boolean(),
  accelerators: count,
  sequence: count,
  leases: z.array(leaseReportSchema),
});

/** Schema of the body that asks for a hold. */
export const holdRequestSchema = z.object({
  descriptor: leaseDescriptorSchema,
  ttlMs: z.number().positive(),
});

/** Body that asks for a hold. */
export type HoldRequest = z.infer<typeof holdRequestSchema>;

/** Schema of the answer to every operation on a lease. */
export const leaseAnswerSchema = z.object({
  boot: name,
  sequence: count,
  state: leaseState.optional(),
  reason: z.string().optional(),
  failure: z.string().optional(),
  /** Newest saved progress of the task. */
  checkpoint: z.string().optional(),
  owner: z.string().optional(),
});

/** Answer to an operation on a lease. */
export type LeaseAnswer = z.infer<typeof leaseAnswerSchema>;

/** Why a worker refuses an operation. */
export const WorkerRefusal = {
  full: "full",
  leaving: "leaving",
  lapsed: "lapsed",
  unknownLease: "unknown-lease",
  damagedPayload: "damaged-payload",
  notOwner: "not-owner",
} as const;

/** Schema of the body of a watch. */
export const watchRequestSchema = z.object({
  owner: name,
  /** `owner` wakes for the leases of this owner, `all` for every change. */
  scope: z.enum(["owner", "all"]),
  since: count,
  boot: z.string(),
  waitMs: z.number().nonnegative().max(60_000),
  renew: z.array(name),
  ttlMs: z.number().positive(),
});

/** Body of a watch. */
export type WatchRequest = z.infer<typeof watchRequestSchema>;

/** Schema of an ended lease in the answer to a watch. */
export const endedLeaseSchema = leaseDescriptorSchema.extend({
  state: leaseState,
  runningMs: z.number(),
  failure: z.string().optional(),
  checkpoint: z.string().optional(),
});

/** A lease that ended since the watch's `since`. */
export type EndedLease = z.infer<typeof endedLeaseSchema>;

/** Schema of the answer to a watch. */
export const watchAnswerSchema = z.object({
  report: workerReportSchema,
  ended: z.array(endedLeaseSchema),
  /** For how long ended leases are listed. */
  endedRetentionMs: z.number(),
});

/** Answer to a watch. */
export type WatchAnswer = z.infer<typeof watchAnswerSchema>;
