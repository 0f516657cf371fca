import type { JobState } from "@rattanhill/scheduler";
import type { Milliseconds } from "@rattanhill/shared";
import type { JobBody } from "./job_access.ts";

/** One call of a client program to a queue. */
export interface CallerCall {
  action: "submit" | "cancel" | "ask";
  host: string;
  path: string;
  /** API key of the calling client account; public queues need none. */
  key?: string;
  /** Time for which the caller waits for the reply. */
  deadlineMs?: Milliseconds;
  /** Time that is left for the reply, since the process stops after it. */
  remainingMs?: Milliseconds;
  /**
   * Decodes the submitted job.
   *
   * @throws InvalidError when the body is not a valid job
   */
  readJob?(): SubmittedJob;
}

/** Part of a job that the caller provides; the entry adds the rest. */
export type SubmittedJob = JobBody;

/** Reply to a call. Its kind is logged and is part of metric names. */
export type CallerReply =
  | { kind: "accepted" }
  | { kind: "cancelled" }
  | { kind: "state"; state: JobState }
  | { kind: "pending"; count: number }
  /** The call had no effect and may be retried after `retryAfterMs`. */
  | { kind: "unavailable"; retryAfterMs: Milliseconds; reason: string }
  /**
   * The store did not confirm the write: the call may have taken effect, or may
   * still do so.
   */
  | { kind: "uncertain" }
  | { kind: "unknownQueue" }
  | { kind: "unknownJob" }
  /** The ID belongs to another job; this submission was not accepted. */
  | { kind: "conflict"; reason: string }
  | { kind: "unknownKey" }
  | { kind: "invalid"; reason: string };
