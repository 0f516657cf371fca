import { createHash } from "node:crypto";
import type { JobSpec } from "@rattanhill/scheduler";

/** Part of a job that its submitter provides, and that repetitions repeat. */
export type JobBody = Pick<JobSpec, "payload" | "steps" | "repetition">;

/** Who calls, as far as access to jobs depends on it. */
export interface JobCaller {
  /** ID of the queue that the call addresses. */
  queue: string;
  /**
   * ID of the client account that the API key belongs to; empty without one,
   * undefined while a key was sent that cannot be checked.
   */
  account: string | undefined;
}

/** Result of comparing a submission with the stored job that has its ID. */
export type SubmissionVerdict =
  | "repetition"
  /** The job is not the caller's. */
  | "foreign"
  /** The job is the caller's, but has another body. */
  | "otherBody";

// Form of the digest's input. It is raised whenever the same body decodes to
// another stored form, so that jobs of earlier versions are not taken for jobs
// with another body.
const DIGEST_FORM = "1";

/**
 * Decides whether a call may access a job: the queue must be the one that the
 * job was submitted to, and the account the one that is stored with it. Both are
 * compared by their IDs: names and API keys change while jobs run. A job without an account
 * was submitted without a key and is open to all callers that its queue admits.
 *
 * @param spec the stored job
 * @param caller queue and account of the call
 * @returns whether the call may read, cancel or repeat the job
 */
export function mayAccessJob(
  spec: Pick<JobSpec, "queue" | "account">,
  { queue, account }: JobCaller,
): boolean {
  if (spec.queue !== queue) return false;
  return spec.account === "" || spec.account === account;
}

/**
 * Compares a submission with the stored job that has its ID.
 *
 * @param spec the stored job
 * @param submission caller and body digest of the submission
 * @returns whether it repeats the submission of the job
 */
export function judgeSubmission(
  spec: Pick<JobSpec, "queue" | "account" | "bodyDigest">,
  { caller, bodyDigest }: { caller: JobCaller; bodyDigest: string },
): SubmissionVerdict {
  if (!mayAccessJob(spec, caller)) return "foreign";
  return isSameBody(spec.bodyDigest, bodyDigest) ? "repetition" : "otherBody";
}

/**
 * Computes the digest by which repetitions are recognized. It covers the
 * decoded body, so that neither the order of JSON fields nor white space
 * counts.
 *
 * @param body the decoded body
 * @returns the form of the digest and a SHA-256 digest
 */
export function createBodyDigest(
  { payload, steps, repetition }: JobBody,
): string {
  const text = JSON.stringify({ payload, steps, repetition }, sortFields);
  const digest = createHash("sha256").update(text).digest("base64url");
  return `${DIGEST_FORM}:${digest}`;
}

/**
 * Compares digests; a job without one, or with one of another form, was stored
 * by another version, and every body counts as its own.
 */
function isSameBody(stored: string | undefined, found: string): boolean {
  const isComparable = stored?.startsWith(`${DIGEST_FORM}:`) ?? false;
  return !isComparable || stored === found;
}

/** Replacer for `JSON.stringify` that sorts the fields of objects. */
function sortFields(_name: string, value: unknown): unknown {
  if (typeof value !== "object" || value === null || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1),
  );
}
