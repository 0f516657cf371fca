import type { Milliseconds } from "@rattanhill/shared";
import type {
  AdviceAnswer,
  ReportedEnd,
  ReportedRun,
  TaskName,
} from "@rattanhill/scheduler";

/** What every call to a worker carries. */
export interface WorkerCall {
  /** Term of the calling lead; workers do nothing for a lower one. */
  term: number;
  timeoutMs: Milliseconds;
}

/** A worker's account of itself. */
export interface HoldAnswer {
  /** Its steady clock. */
  clock: Milliseconds;
  /** Start of this life in Unix milliseconds; 0 when it did not say. */
  lifetime: number;
  running: ReportedRun[];
  ended: ReportedEnd[];
}

/** Why a worker did not start a run. */
export type StartRefusal =
  | "fenced"
  /** A run with this number or a higher one was there. */
  | "superseded"
  /** The lease in the order has run out. */
  | "late"
  | "noRoom"
  | "noTicket"
  | "unhealthy"
  | "otherLifetime"
  | "invalid";

/** A worker's answer to a start. */
export type StartResult =
  | { kind: "started"; clock: Milliseconds }
  | { kind: "refused"; reason: StartRefusal; clock?: Milliseconds };

/**
 * Calls to one worker. Each throws UnavailableError when it was certainly not
 * delivered, and UncertainError when it may be carried out, now or later.
 */
export interface WorkerConnection {
  /**
   * Renews the lease of everything on the worker and asks what runs.
   *
   * @returns its answer; undefined when another lifetime answered
   */
  hold(
    call: WorkerCall & {
      /** New end of the lease, by the worker's clock. */
      leaseUntil?: Milliseconds;
      /** Ends up to this number need not be reported again. */
      acknowledgedEnd: number;
      /** How long the worker may wait for an end. */
      waitMs: Milliseconds;
    },
  ): Promise<HoldAnswer | undefined>;
  start(
    call: WorkerCall & {
      task: TaskName;
      number: number;
      payload: string;
      leaseUntil: Milliseconds;
      checkpoint: string;
      /** Permission of the queue\'s policy, where there is one. */
      ticket?: string;
    },
  ): Promise<StartResult>;
  /** @returns whether the worker took note; false when another lifetime answered or the term is old */
  stop(call: WorkerCall & { task: TaskName; number: number }): Promise<boolean>;
  close(): Promise<void>;
}

/**
 * Asks the policy of a queue which workers may run a step.
 *
 * @returns the allowed workers with their tickets
 * @throws UnavailableError, UncertainError when there was no usable answer
 */
export type Advise = (
  step: string,
  workers: readonly string[],
) => Promise<AdviceAnswer>;

/** Opens a connection to a worker. */
export type ConnectWorker = (id: string, address: string) => WorkerConnection;
