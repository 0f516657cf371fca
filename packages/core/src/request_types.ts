import type { Milliseconds } from "@rattanhill/shared";
import type { ClaimedPart } from "./ledger.ts";
import { LeaseState } from "./lease.ts";
import type { RequestSpec } from "./shape.ts";

/** How a request can end. */
export const Outcome = {
  /** The whole answer is there. */
  done: "done",
  /** It ran and failed. */
  failed: "failed",
  /** It certainly did not run. */
  notRun: "not-run",
  /** It may have run and will not be run again. */
  unknown: "unknown",
} as const;

/** One of the values of {@link Outcome}. */
export type Outcome = typeof Outcome[keyof typeof Outcome];

/** Why a request ended without its answer. */
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
  /** It ended so long ago that nothing more is known of it. */
  forgotten: "forgotten",
} as const;

/** One of the values of {@link EndReason}. */
export type EndReason = typeof EndReason[keyof typeof EndReason];

/** Phases in the life of a request at its owner. */
export const RequestPhase = {
  placing: "placing",
  claiming: "claiming",
  starting: "starting",
  running: "running",
  stopping: "stopping",
  ended: "ended",
  joined: "joined",
} as const;

/** One of the values of {@link RequestPhase}. */
export type RequestPhase = typeof RequestPhase[keyof typeof RequestPhase];

/** What the owner knows of one part of the current attempt. */
export const PartPhase = {
  held: "held",
  /** The payload was sent; the worker runs nothing before the run message. */
  preparing: "preparing",
  /** The worker has the payload of a gang part and runs nothing yet. */
  ready: "ready",
  /** The run message was sent and not yet answered. */
  sent: "sent",
  running: "running",
  ended: "ended",
  /** Certainly not started, and never will be. */
  released: "released",
  /** Ran and was stopped, or failed. */
  stopped: "stopped",
  /** Was told to run and cannot be asked; may have run. */
  lost: "lost",
} as const;

/** One of the values of {@link PartPhase}. */
export type PartPhase = typeof PartPhase[keyof typeof PartPhase];

/** One part of the current attempt. */
export interface RequestPart extends ClaimedPart {
  phase: PartPhase;
  answer?: string;
  /** What the task reported when it failed. */
  failure?: string;
}

/** Saved progress of a part, in the form its worker gave it. */
export type Checkpoint = string;

/** State of a request at its owner. */
export interface RequestState {
  spec: RequestSpec;
  phase: RequestPhase;
  /** Number of the current attempt. */
  attempt: number;
  parts: readonly RequestPart[];
  /** Time after which the current holds may have lapsed, by the owner's clock. */
  holdsEndAt: Milliseconds;
  /** Time at which the answer becomes worthless, by the owner's clock. */
  deadlineAt: Milliseconds;
  /** Whether a task of an earlier attempt may have run. */
  ranBefore: boolean;
  /** Whether a task of an earlier attempt could not be asked about. */
  lostBefore: boolean;
  /** Retries spent on failures; preemptions spend none. */
  retries: number;
  /** Workers that refused or failed this request. */
  avoid: readonly string[];
  /** Newest saved progress of each part, from earlier attempts. */
  checkpoints: Readonly<Record<number, Checkpoint>>;
  /** What to do once every part has stopped. */
  afterStop?: "retry" | "end";
  result?: RequestResult;
}

/** Final result of a request. */
export interface RequestResult {
  outcome: Outcome;
  reason: EndReason;
  /** Answers of the parts in order; complete when the outcome is `done`. */
  answers: readonly string[];
  attempts: number;
  /** When to come back, for refusals. */
  retryAfterMs?: Milliseconds;
  /** The worker, entry or platform at which it ended. */
  peer: string;
  /** The operation at which it ended. */
  step: string;
  /** What the task reported when it failed. */
  detail?: string;
}

/** Messages to a request. */
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
  | { kind: "placer-lost"; attempt: number }
  | { kind: "claim-won"; attempt: number }
  | { kind: "claim-lost"; attempt: number; owner: string }
  | {
    kind: "claim-failed";
    attempt: number;
    retryAfterMs: Milliseconds;
  }
  | { kind: "part-ready"; attempt: number; part: number }
  | { kind: "part-running"; attempt: number; part: number }
  | { kind: "part-released"; attempt: number; part: number }
  | { kind: "part-ended"; attempt: number; part: number; answer: string }
  | { kind: "part-failed"; attempt: number; part: number; failure: string }
  | {
    kind: "part-stopped";
    attempt: number;
    part: number;
    checkpoint?: Checkpoint;
  }
  | { kind: "part-lost"; attempt: number; part: number }
  | { kind: "cancel" }
  | { kind: "deadline" }
  | { kind: "taken-over"; owner: string };

/** Operations that the host performs for a request. */
export type RequestEffect =
  | {
    kind: "place";
    attempt: number;
    avoid: readonly string[];
    delayMs: Milliseconds;
  }
  | { kind: "withdraw"; attempt: number }
  | { kind: "claim"; attempt: number; parts: readonly ClaimedPart[] }
  | { kind: "release-claim"; attempt: number }
  | {
    kind: "prepare" | "run";
    attempt: number;
    part: number;
    target: ClaimedPart;
    /** Progress from which the task goes on. */
    checkpoint?: Checkpoint;
  }
  | { kind: "watch"; attempt: number; part: number; target: ClaimedPart }
  | { kind: "stop"; attempt: number; part: number; target: ClaimedPart }
  | { kind: "join"; owner: string }
  | { kind: "end"; result: RequestResult };

/** Result of a step. */
export interface RequestStep {
  state: RequestState;
  effects: readonly RequestEffect[];
}

/**
 * Tells what a lease's state means for its part, for an entry that did not send the commands.
 *
 * @param state state that the worker told; none when it does not know the lease
 * @returns the phase of the part
 */
export function partPhaseOf(state: LeaseState | undefined): PartPhase {
  switch (state) {
    case LeaseState.running:
    case LeaseState.ended: // its answer is fetched when the part is watched
      return PartPhase.running;
    case LeaseState.failed:
    case LeaseState.stopped:
      return PartPhase.stopped;
    case undefined:
      return PartPhase.lost;
    default:
      return PartPhase.released;
  }
}
