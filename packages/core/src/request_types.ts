import type { Milliseconds } from "@rattanhill/shared";
import type { ClaimedPart } from "./ledger.ts";
import { LeaseState } from "./lease.ts";
import type { RequestSpec } from "./shape.ts";

/** How a request can end. */
export const Outcome = {
  /** Every part ended with an answer. */
  done: "done",
  /** A task ran, none is lost, and not every part has an answer. */
  failed: "failed",
  /** It is certain that no task ran. */
  notRun: "not-run",
  /**
   * A task may have run, its fate could not be determined, and it is not
   * retried.
   */
  unknown: "unknown",
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** Why a request ended without an answer; `none` when it has one. */
export const EndReason = {
  none: "none",
  queueFull: "queue-full",
  waitedTooLong: "waited-too-long",
  neverFits: "never-fits",
  noCapacity: "no-capacity",
  logUnavailable: "log-unavailable",
  cancelled: "cancelled",
  deadline: "deadline",
  taskFailed: "task-failed",
  workerLost: "worker-lost",
  draining: "draining",
  /** The request ended too long ago: its result is no longer retained. */
  forgotten: "forgotten",
} as const;

/** One of the values of {@link EndReason}. */
export type EndReason = typeof EndReason[keyof typeof EndReason];

/** Phases of a request at the entry that owns it. */
export const RequestPhase = {
  /** Waits for holds from the placer of a zone. */
  placing: "placing",
  /** Waits for the claim to be accepted by the log. */
  claiming: "claiming",
  /** The parts of a gang job are being prepared. */
  starting: "starting",
  /** The run messages were sent. */
  running: "running",
  /** Waits until every part is settled, then retries or ends. */
  stopping: "stopping",
  ended: "ended",
  /** Another entry owns the request; this one waits for its result. */
  joined: "joined",
} as const;

/** One of the values of {@link RequestPhase}. */
export type RequestPhase = typeof RequestPhase[keyof typeof RequestPhase];

/** Phases of a part of the current attempt, as known to the request's owner. */
export const PartPhase = {
  /** Capacity is held on the worker; nothing was sent to it yet. */
  held: "held",
  /**
   * The payload of a gang part was sent; the task starts only on the run
   * message.
   */
  preparing: "preparing",
  /**
   * The worker has the payload of a gang part and waits for the run message.
   */
  ready: "ready",
  /** The run message was sent and is not confirmed yet. */
  sent: "sent",
  running: "running",
  /** The task ended with an answer. */
  ended: "ended",
  /** The task was not started and cannot be started later. */
  released: "released",
  /** The task ran, then failed or was stopped. */
  stopped: "stopped",
  /**
   * The run message was sent and the worker cannot be queried; the task may
   * have run.
   */
  lost: "lost",
} as const;

/** One of the values of {@link PartPhase}. */
export type PartPhase = typeof PartPhase[keyof typeof PartPhase];

/** One part of the current attempt. */
export interface RequestPart extends ClaimedPart {
  phase: PartPhase;
  answer?: string;
  /** Error that the task reported when it failed. */
  failure?: string;
}

/** Checkpoint of a part in its worker's encoding, passed on unchanged. */
export type Checkpoint = string;

/** State of a request at the entry that owns it. */
export interface RequestState {
  spec: RequestSpec;
  phase: RequestPhase;
  /** Number of the current attempt. */
  attempt: number;
  parts: readonly RequestPart[];
  /**
   * Time from which the current holds may have lapsed, by the owner's clock.
   */
  holdsEndAt: Milliseconds;
  /**
   * Time after which the caller no longer needs the answer, by the owner's
   * clock.
   */
  deadlineAt: Milliseconds;
  /** Whether a task of an earlier attempt may have run. */
  mayHaveRunBefore: boolean;
  /**
   * Whether an earlier attempt had a task whose fate could not be determined.
   */
  lostBefore: boolean;
  /** Number of retries after failed or lost parts; preemptions do not count. */
  retries: number;
  /** Workers that refused, failed or lost a part; the placer avoids them. */
  avoid: readonly string[];
  /** Latest checkpoint of each part by its index, from earlier attempts. */
  checkpoints: Readonly<Record<number, Checkpoint>>;
  /** What follows once every part is settled, in the phase `stopping`. */
  afterStop?: "retry" | "end";
  /**
   * Final result. While an aborted request is in the phase `stopping`, a
   * preliminary one that carries the reason of the abort.
   */
  result?: RequestResult;
}

/** Final result of a request. */
export interface RequestResult {
  outcome: Outcome;
  reason: EndReason;
  /** Answers of the parts in order; complete when the outcome is `done`. */
  answers: readonly string[];
  attempts: number;
  /** Delay after which the caller may retry, for refusals. */
  retryAfterMs?: Milliseconds;
  /**
   * Worker or entry at which the request ended, `platform`, or `self` for the
   * owner.
   */
  peer: string;
  /** Operation or phase in which the request ended. */
  step: string;
  /** Error that the task reported when it failed. */
  detail?: string;
}

/** Messages that change the state of a request. */
export type RequestMessage =
  | {
    kind: "placed";
    attempt: number;
    parts: readonly ClaimedPart[];
    holdsEndAt: Milliseconds;
  }
  | {
    kind: "place-refused";
    attempt: number;
    reason: EndReason;
    retryAfterMs?: Milliseconds;
    peer: string;
  }
  /** The placer could not be reached, or its reply was lost. */
  | { kind: "placer-lost"; attempt: number }
  | { kind: "claim-won"; attempt: number }
  /** The log rejected the claim; `owner` is the entry that owns the key. */
  | { kind: "claim-lost"; attempt: number; owner: string }
  /** The claim could not be decided, since the log is unavailable. */
  | {
    kind: "claim-failed";
    attempt: number;
    retryAfterMs: Milliseconds;
  }
  | { kind: "part-ready"; attempt: number; part: number }
  | { kind: "part-running"; attempt: number; part: number }
  /** The task was not started and cannot be started later. */
  | { kind: "part-released"; attempt: number; part: number }
  | { kind: "part-ended"; attempt: number; part: number; answer: string }
  | { kind: "part-failed"; attempt: number; part: number; failure: string }
  /** The task was stopped before it ended, for example by a preemption. */
  | {
    kind: "part-stopped";
    attempt: number;
    part: number;
    checkpoint?: Checkpoint;
  }
  /** The fate of the task cannot be determined. */
  | { kind: "part-lost"; attempt: number; part: number }
  | { kind: "cancel" }
  | { kind: "deadline" }
  /** Another entry has adopted the key in the log. */
  | { kind: "taken-over"; owner: string };

/** Operations that the host performs after a transition. */
export type RequestEffect =
  | {
    kind: "place";
    attempt: number;
    avoid: readonly string[];
    delayMs: Milliseconds;
  }
  /** Removes the request from the placer's queue. */
  | { kind: "withdraw"; attempt: number }
  | { kind: "claim"; attempt: number; parts: readonly ClaimedPart[] }
  | { kind: "release-claim"; attempt: number }
  | {
    kind: "prepare" | "run";
    attempt: number;
    part: number;
    target: ClaimedPart;
    /** Checkpoint from which the task resumes. */
    checkpoint?: Checkpoint;
  }
  /** Follows a running task until it ends. */
  | { kind: "watch"; attempt: number; part: number; target: ClaimedPart }
  | { kind: "stop"; attempt: number; part: number; target: ClaimedPart }
  /** Waits for the result at the entry that owns the request. */
  | { kind: "join"; owner: string }
  | { kind: "end"; result: RequestResult };

/** Result of a transition: the next state and the operations for the host. */
export interface RequestStep {
  state: RequestState;
  effects: readonly RequestEffect[];
}

/**
 * Maps the state of a lease to the phase of its part, for an entry that did not
 * send the commands itself and relies on the worker's report.
 *
 * @param state state reported by the worker; `undefined` when the worker does
 * not know the lease
 * @returns the phase of the part
 */
export function partPhaseOf(state: LeaseState | undefined): PartPhase {
  switch (state) {
    case LeaseState.running:
    // The answer of an ended task is fetched by the watch that follows.
    case LeaseState.ended:
      return PartPhase.running;
    case LeaseState.failed:
    case LeaseState.stopped:
      return PartPhase.stopped;
    case undefined:
      return PartPhase.lost;
    // The task was not started in the states `held`, `ready` and `released`.
    default:
      return PartPhase.released;
  }
}
