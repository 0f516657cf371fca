import type { Milliseconds } from "@rattanhill/shared";
import type {
  AdviceAnswer,
  ReportedEnd,
  ReportedRun,
  TaskName,
} from "@rattanhill/scheduler";

/**
 * Number of start and stop commands to one worker that are under way at the same
 * time. It is enough for a worker that runs about eight tasks; platforms charge
 * for each connection.
 */
export const MAXIMUM_COMMANDS_UNDER_WAY = 3;

/** Parameters of every call to a worker. */
export interface WorkerCall {
  /**
   * Fencing token of the calling lead for this lifetime of the worker; workers
   * reject any token below the highest that they have seen.
   */
  term: number;
  timeoutMs: Milliseconds;
}

/** Answer of a worker to a poll, {@link WorkerConnection.hold}. */
export interface HoldAnswer {
  /** Reading of the worker's monotonic clock. */
  clock: Milliseconds;
  /** Start of the worker process in Unix milliseconds; 0 when not reported. */
  lifetime: number;
  running: ReportedRun[];
  ended: ReportedEnd[];
  /** Whether more ends follow once these are acknowledged. */
  hasMoreEnds?: boolean;
}

/** Reason why a worker did not start a run. */
export type StartRefusal =
  /** The worker has seen a higher fencing token. */
  | "fenced"
  /** The worker has a run of the task with this number or a higher one. */
  | "superseded"
  /** The lease in the start command has expired. */
  | "late"
  | "noRoom"
  | "noTicket"
  | "unhealthy"
  /** The command reached another lifetime of the worker. */
  | "otherLifetime"
  /** The worker rejected the command as malformed, or for an unknown reason. */
  | "invalid";

/** Answer of a worker to one attempt to send a start command. */
export type StartResult =
  | { kind: "started"; clock: Milliseconds }
  | { kind: "refused"; reason: StartRefusal; clock?: Milliseconds };

/**
 * Calls to one worker. Each throws UnavailableError when the call was certainly
 * not delivered, ConnectionRefusedError if that is since no process listens at
 * the address, and UncertainError when it may have taken effect or may still.
 */
export interface WorkerConnection {
  /**
   * Polls the worker: renews the lease of all its runs, and reads which runs
   * are running and which have ended.
   *
   * @returns the answer; undefined when another worker answered at the address,
   * so the process of this one has ended
   */
  hold(
    call: WorkerCall & {
      /** New end of the lease, by the worker's clock. */
      leaseUntil?: Milliseconds;
      /**
       * Run ends up to this position are stored, and the worker need not report
       * them again.
       */
      acknowledgedEnd: number;
      /**
       * Longest time for which the worker may wait for a run to end before it
       * answers.
       */
      waitMs: Milliseconds;
    },
  ): Promise<HoldAnswer | undefined>;
  /**
   * Commands the worker to start a run.
   *
   * @returns whether the worker has started it, or why not
   */
  start(
    call: WorkerCall & {
      task: TaskName;
      number: number;
      payload: string;
      leaseUntil: Milliseconds;
      checkpoint: string;
      /** Permission of the advice service, for queues that need its advice. */
      ticket?: string;
    },
  ): Promise<StartResult>;
  /**
   * Commands the worker to stop a run.
   *
   * @returns whether the worker acknowledged the command; false when another
   * lifetime answered or the term is outdated
   */
  stop(call: WorkerCall & { task: TaskName; number: number }): Promise<boolean>;
  close(): Promise<void>;
}

/**
 * Asks the advice service which workers may run a step under the policy of its
 * queue.
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
