import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import {
  describeRun,
  type Run,
  type StartAnswer,
  taskNameOf,
  ticketFor,
  type WorkerCommand,
  type WorkerReport,
  type WorkerState,
} from "@rattanhill/scheduler";
import type { WorkerConnection } from "./worker_calls.ts";

/**
 * Connection of the lead to one worker: renews its lease, polls its runs and
 * sends commands.
 */
export interface WorkerLink {
  /** Starts or stops a run; the answer is passed to the callbacks. */
  sendCommand(command: WorkerCommand): void;
  /**
   * Tells the link that the ends reported so far are stored and can be
   * acknowledged.
   */
  notifyEndsStored(): void;
  /** Stops polling and closes the connection; runs on the worker go on. */
  close(): void;
}

/** Options of {@link createWorkerLink}. */
export interface WorkerLinkOptions {
  worker: WorkerState;
  connection: WorkerConnection;
  /** Fencing token of this lead. */
  term: number;
  clock: Clock;
  log: Logger;
  /** Whether this process still leads; otherwise nothing is sent. */
  isLeading(): boolean;
  /** Called with each answer of the worker. */
  onReport(lifetime: number, report: WorkerReport): void;
  /** Called when the worker gave no usable answer to a poll. */
  onNoAnswer(): void;
  /** Called with the answer to a start, also when it stays uncertain. */
  onStartAnswer(run: Run, answer: StartAnswer, reason?: string): void;
  /** Called when the worker has acknowledged a stop. */
  onStopAnswer(run: Run | undefined): void;
}

/** Time for which a worker keeps its runs without a renewal by the lead. */
export const WORKER_LEASE_MS: Milliseconds = 9_700; // the platform cuts leases to 10 s; outlasts store outages
/** Lowest rate of a worker's clock against the lead's that is allowed for. */
const MINIMUM_CLOCK_RATE = 0.98;
/** Latest end of leases granted by earlier leads, counted from the takeover. */
export const INHERITED_LEASE_MS: Milliseconds = WORKER_LEASE_MS /
    MINIMUM_CLOCK_RATE + 300;
const LONG_POLL_MS: Milliseconds = 2_000; // the longest that workers accept; each poll costs the lead processor time
const ANSWER_TIMEOUT_MS: Milliseconds = 1_500; // workers answer in 1 to 3 ms; covers a slow VM of the lead
const START_TIMEOUT_MS: Milliseconds = 700;
const STOP_TIMEOUT_MS: Milliseconds = 700;
const MAXIMUM_START_ATTEMPTS = 2;
const RETRY_DELAY_MS: Milliseconds = 250;
const STORED_ENDS_TIMEOUT_MS: Milliseconds = 500; // a store outage must not stop renewals

/**
 * Opens a link to a worker and starts to poll it.
 *
 * @param options the worker, its connection and the callbacks
 * @returns the open link
 */
export function createWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { worker, connection, term, clock, log, isLeading } = options;
  /**
   * Last reading of the worker's clock, and the lead's time at which it
   * arrived.
   */
  let clockReading: { clock: Milliseconds; at: Milliseconds } | undefined;
  let isClosed = false;
  let failures = 0;
  let resolveEndsStored: (() => void) | undefined;

  const recordClock = (value: Milliseconds): void => {
    clockReading = { clock: value, at: clock.now() };
  };

  /**
   * Computes a new end of the lease by the worker's clock, and notes the latest
   * time at which it can end by the lead's clock.
   *
   * @returns the end by the worker's clock; undefined before its clock is known
   */
  const extendLease = (): Milliseconds | undefined => {
    if (clockReading === undefined) return undefined;
    const now = clock.now();
    const leaseUntil = Math.floor(
      clockReading.clock + (now - clockReading.at) + WORKER_LEASE_MS,
    );
    const latestEnd = clockReading.at +
      (leaseUntil - clockReading.clock) / MINIMUM_CLOCK_RATE;
    worker.leasesEndBy = Math.max(worker.leasesEndBy, latestEnd);
    return leaseUntil;
  };

  /**
   * Renews the lease, unless the last poll failed, and reads the state of all
   * runs.
   */
  const pollWorker = async (waitMs: Milliseconds): Promise<void> => {
    const askedAt = clock.now();
    const answer = await connection.hold({
      term,
      // A worker that does not answer gets no renewal, so that its leases
      // expire.
      leaseUntil: failures > 0 ? undefined : extendLease(),
      acknowledgedEnd: worker.lastStoredEnd,
      waitMs,
      timeoutMs: waitMs + ANSWER_TIMEOUT_MS,
    });
    if (isClosed) return;
    if (answer === undefined) {
      throw new Error("another lifetime of the worker answered");
    }
    if (answer.lifetime !== 0 && answer.lifetime !== worker.lifetime) {
      clockReading = undefined;
    }
    recordClock(answer.clock);
    const { running, ended } = answer;
    options.onReport(answer.lifetime, { askedAt, running, ended });
  };

  /** Polls without waiting for an end, in parallel to the long poll. */
  const pollNow = (): void => {
    pollWorker(0).catch((error) =>
      log.warn(
        { worker: worker.id, error: describeError(error) },
        "immediate poll of worker failed",
      )
    );
  };

  /** Waits until the reported ends are stored, at most for a limited time. */
  const waitForEndsStored = (): Promise<void> =>
    new Promise((resolve) => {
      const timer = setTimeout(resolve, STORED_ENDS_TIMEOUT_MS);
      resolveEndsStored = () => {
        clearTimeout(timer);
        resolve();
      };
    });

  const runPollLoop = async (): Promise<void> => {
    let waitMs = 0;
    while (!isClosed) {
      if (!isLeading()) {
        await pause(RETRY_DELAY_MS);
        continue;
      }
      try {
        const isRenewed = failures === 0 && clockReading !== undefined;
        await pollWorker(isRenewed ? waitMs : 0);
        if (failures > 0) {
          log.info({ worker: worker.id, failures }, "worker answers again");
        }
        failures = 0;
        // The first answer gives the worker's clock; the next poll renews the
        // lease at once.
        waitMs = isRenewed ? LONG_POLL_MS : 0;
        if (worker.lastHandledEnd > worker.lastStoredEnd) {
          await waitForEndsStored();
        }
      } catch (error) {
        failures += 1;
        options.onNoAnswer();
        if (failures === 1) {
          log.warn(
            { worker: worker.id, error: describeError(error) },
            "worker does not answer",
          );
        }
        waitMs = 0;
        await pause(RETRY_DELAY_MS);
      }
    }
  };
  void runPollLoop();

  /** Sends a start, repeating it once when the first attempt has no answer. */
  const startRun = async (target: Run): Promise<void> => {
    const taskName = taskNameOf(target);
    for (let attempt = 1; attempt <= MAXIMUM_START_ATTEMPTS; attempt++) {
      const leaseUntil = extendLease();
      if (!isLeading() || leaseUntil === undefined) {
        if (attempt === 1) options.onStartAnswer(target, "refused", "not sent");
        return;
      }
      try {
        const result = await connection.start({
          term,
          task: taskName,
          number: target.number,
          payload: target.step.job.spec.payload,
          leaseUntil,
          checkpoint: target.checkpoint,
          ticket: ticketFor(target.step, worker, clock.now())?.text,
          timeoutMs: START_TIMEOUT_MS,
        });
        if (isClosed) return;
        if (result.kind === "started") {
          return options.onStartAnswer(target, "started");
        }
        const { reason } = result;
        // The worker may have got the first attempt, and its run may have
        // ended.
        if (reason === "superseded" && attempt > 1) break;
        const answer = reason === "unhealthy" ? "unhealthy" : "refused";
        return options.onStartAnswer(target, answer, reason);
      } catch (error) {
        log.warn(
          { ...describeRun(target), attempt, error: describeError(error) },
          "start command not answered",
        );
        if (error instanceof UnavailableError && attempt === 1) {
          await pause(RETRY_DELAY_MS / 2);
        }
      }
    }
    if (isClosed) return;
    options.onStartAnswer(target, "uncertain");
    pollNow();
  };

  /**
   * Repeats a stop until the worker acknowledges it or the run is released; a
   * stop of a run that this lead does not know is sent only once.
   */
  const stopRun = async (
    command: WorkerCommand & { kind: "stop" },
  ): Promise<void> => {
    const { task, number, run: target } = command;
    while (!isClosed && isLeading()) {
      if (target !== undefined && !worker.runs.has(target)) return;
      try {
        const isAcknowledged = await connection.stop({
          term,
          task,
          number,
          timeoutMs: STOP_TIMEOUT_MS,
        });
        if (isAcknowledged && !isClosed) return options.onStopAnswer(target);
      } catch (error) {
        log.warn(
          {
            worker: worker.id,
            ...task,
            run: number,
            error: describeError(error),
          },
          "stop command not answered",
        );
      }
      await pause(RETRY_DELAY_MS);
      if (target === undefined) return;
    }
  };

  return {
    sendCommand: (command) => {
      if (command.kind === "start") void startRun(command.run);
      else void stopRun(command);
    },
    notifyEndsStored: () => {
      const notify = resolveEndsStored;
      resolveEndsStored = undefined;
      notify?.();
    },
    close: () => {
      isClosed = true;
      void connection.close();
    },
  };
}
