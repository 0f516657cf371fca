import {
  type Clock,
  ConnectionRefusedError,
  describeError,
  ErrorCode,
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import {
  describeRun,
  recordOnlyStart,
  type Run,
  type StartAnswer,
  taskNameOf,
  type WorkerCommand,
  type WorkerReport,
  type WorkerState,
} from "@rattanhill/scheduler";
import { createCommandQueue } from "./command_queue.ts";
import { createEndAcknowledgements } from "./end_acknowledgements.ts";
import { TOKENS_PER_TERM } from "./lead_lease.ts";
import { createGrantedLease } from "./granted_lease.ts";
import { createMergedCall } from "./merged_call.ts";
import { pollUntilAnswered } from "./repeated_poll.ts";
import { createStopCommands } from "./stop_commands.ts";
import {
  MAXIMUM_COMMANDS_UNDER_WAY,
  type StartRefusal,
  type WorkerConnection,
} from "./worker_calls.ts";

/**
 * Link from the lead to one worker: renews the lease of its runs, polls their
 * progress and sends commands.
 */
export interface WorkerLink {
  /** Sends a start or stop command; callbacks receive the worker's answer. */
  sendCommand(command: WorkerCommand): void;
  /**
   * Ends the wait for reported run ends to be stored; the next poll then
   * acknowledges the ends up to `worker.lastStoredEnd`.
   */
  notifyEndsStored(): void;
  /**
   * Renews a short lease at once; called while the lead may soon be unable to.
   */
  renewShortLease(): void;
  /** Stops polling and closes the connection; runs on the worker continue. */
  close(): void;
}

/** Options of {@link createWorkerLink}. */
export interface WorkerLinkOptions {
  worker: WorkerState;
  connection: WorkerConnection;
  /** Term of this lead. */
  term: number;
  clock: Clock;
  log: Logger;
  /** @returns whether this process still leads; if not, nothing is sent */
  isLeading(): boolean;
  /**
   * @returns whether the start command of a run may be sent now; checked before
   * each attempt
   */
  mayStart(run: Run): boolean;
  /** Called with the worker's answer to each poll. */
  onReport(lifetime: number, report: WorkerReport): void;
  /**
   * Called when the worker gave no usable answer to a poll.
   *
   * @param isRefused whether no process listens at its address
   */
  onNoAnswer(isRefused: boolean): void;
  /** Called when another worker answered at the address of this one. */
  onReplacement(): void;
  /**
   * Called once with the answer to each start command, also after the link was
   * closed; `uncertain` unless the worker confirmed it or will certainly not
   * carry out any attempt.
   */
  onStartAnswer(run: Run, answer: StartAnswer, reason?: string): void;
  /**
   * Called when the connection ended on which a start command had just been
   * sent, as when the worker's process ends.
   */
  onStartInterrupted?(run: Run): void;
  /**
   * Called when the worker has acknowledged a stop command; the run is
   * undefined when this lead does not know it.
   */
  onStopAnswer(run: Run | undefined): void;
}

// Time for which a worker may wait for a run to end before it answers a poll.
// It is the longest wait that workers accept, because each poll costs the lead
// processor time.
const LONG_POLL_MS: Milliseconds = 2_000;
// Time for the worker's answer, added to the wait of a poll. Workers answer in
// 1 to 3 ms; the rest allows for a slow VM of the lead.
const ANSWER_TIMEOUT_MS: Milliseconds = 1_500;
const START_TIMEOUT_MS: Milliseconds = 700;
const MAXIMUM_START_ATTEMPTS = 2;
// Longest time from a start command to the end of its connection at which the
// end may be due to the command.
const INTERRUPTION_MS: Milliseconds = 100;
const RETRY_DELAY_MS: Milliseconds = 250;
// Delay of a poll beside the long poll, so that the events of several runs share
// one. Clocks count whole milliseconds.
const EXTRA_POLL_DELAY_MS: Milliseconds = 10;
// Polls that do not wait for a run to end are repeated at this interval, a few at
// a time. Waiting for each lost answer first would let the leases of a silent
// worker expire, and keep the capacity of runs that are not there.
const REPEATED_POLL_INTERVAL_MS: Milliseconds = 500;
const MAXIMUM_REPEATED_POLLS = 3;
// Bounds the wait for run ends to be stored, since a store outage must not stop
// lease renewals.
const STORED_ENDS_TIMEOUT_MS: Milliseconds = 500;

/**
 * Opens a link to a worker and starts to poll it.
 *
 * @param options the worker, its connection and the callbacks
 * @returns the open link
 */
export function createWorkerLink(options: WorkerLinkOptions): WorkerLink {
  const { worker, connection, term, clock, log, isLeading } = options;
  let isClosed = false;
  let failures = 0;
  const lease = createGrantedLease(options);
  let resolveEndsStored: (() => void) | undefined;
  const commands = createCommandQueue(MAXIMUM_COMMANDS_UNDER_WAY);
  const acknowledgements = createEndAcknowledgements(worker, clock.now);

  /** Returns the fencing token of calls that are meant for this lifetime. */
  const fencingToken = (): number =>
    term + Math.min(worker.tokenOffset, TOKENS_PER_TERM - 1);

  /**
   * Renews the lease, unless the last poll failed, and reads the state of all
   * runs.
   */
  const pollWorker = async (
    waitMs: Milliseconds,
    { acknowledgedEnd = 0, isRenewal = false } = {},
  ): Promise<void> => {
    const askedAt = clock.now();
    const { lifetime: askedLifetime } = worker;
    const answer = await connection.hold({
      term: fencingToken(),
      // A worker that does not answer gets no renewal, so that its leases
      // expire.
      leaseUntil: failures > 0 ? undefined : lease.extend({ isRenewal }),
      acknowledgedEnd,
      waitMs,
      timeoutMs: waitMs + ANSWER_TIMEOUT_MS,
    });
    if (isClosed) return;
    if (answer === undefined) {
      // A worker that restarted meanwhile may have another address.
      if (worker.lifetime === askedLifetime) options.onReplacement();
      throw new Error("another worker answered at its address");
    }
    const { lifetime, running, ended, hasMoreEnds } = answer;
    if (acknowledgedEnd > 0 && lifetime !== askedLifetime && lifetime !== 0) {
      log.warn(
        { worker: worker.id, lifetime, acknowledgedEnd },
        "restarted worker may have forgotten unread run ends",
      );
    }
    options.onReport(lifetime, { askedAt, running, ended, hasMoreEnds });
    // A late answer of an earlier lifetime names the time by another clock.
    if (lifetime === 0 || lifetime === worker.lifetime) {
      lease.recordClock(answer.clock, lifetime);
      acknowledgements.recordAnswer(
        worker.lifetime,
        askedLifetime === worker.lifetime ? acknowledgedEnd : 0,
      );
    }
  };

  /** Polls without waiting for a run to end, until one poll is answered. */
  const pollRepeatedly = (): Promise<void> =>
    pollUntilAnswered(() => pollWorker(0), {
      count: MAXIMUM_REPEATED_POLLS,
      intervalMs: REPEATED_POLL_INTERVAL_MS,
      retryDelayMs: RETRY_DELAY_MS,
      mayRepeat: () => !isClosed && isLeading(),
    });

  /**
   * Polls after a short delay, in parallel with the long poll. Only a report
   * that is requested in a later millisecond than an event proves anything of
   * the time after it.
   */
  const pollSoon = createMergedCall(EXTRA_POLL_DELAY_MS, () => {
    if (isClosed || !isLeading()) return;
    pollRepeatedly().catch((error) =>
      log.warn(
        { worker: worker.id, error: describeError(error) },
        "immediate poll of worker failed",
      )
    );
  });

  /** Waits until the reported ends are stored or the time limit has passed. */
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
        const isRenewal = failures === 0 && lease.lastClock() !== undefined;
        if (failures > 0) await pollRepeatedly();
        else {
          const acknowledgedEnd = acknowledgements.next();
          const mayWait = isRenewal && acknowledgedEnd !== undefined;
          await pollWorker(mayWait ? waitMs : 0, {
            acknowledgedEnd,
            isRenewal,
          });
        }
        if (failures > 0) {
          log.info({ worker: worker.id, failures }, "worker answers again");
          stops.resume();
        }
        failures = 0;
        // A poll that did not renew the lease has read the worker's clock, so
        // the next one follows at once to renew it.
        waitMs = isRenewal ? LONG_POLL_MS : 0;
        const { lastHandledEnd, lastStoredEnd } = worker;
        if (lastHandledEnd > lastStoredEnd && !acknowledgements.isDue()) {
          await waitForEndsStored();
        }
      } catch (error) {
        // Closing the connection ends the poll; that is no silence of the
        // worker, which may answer at another address.
        if (isClosed) return;
        failures += 1;
        options.onNoAnswer(error instanceof ConnectionRefusedError);
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

  /**
   * Waits for the turn of a run's start command, so that the time limit of the
   * command covers only the worker's answer. The run is certainly not started if
   * its command is given up before.
   */
  const startInTurn = async (run: Run): Promise<void> => {
    const endTurn = await commands.takeTurn();
    if (endTurn === undefined) {
      const isCurrent = !isClosed && isLeading();
      return isCurrent
        ? options.onStartAnswer(run, "unhealthy", "undelivered")
        : options.onStartAnswer(run, "refused", "not sent");
    }
    try {
      await startRun(run);
    } finally {
      endTurn();
    }
  };

  /**
   * Sends a start command, and repeats it once if it is not answered. Once an
   * attempt may have been delivered, the worker may carry it out even after it
   * has refused the repetition, for whatever reason; only a confirmation is
   * then certain.
   */
  const startRun = async (run: Run): Promise<void> => {
    const taskName = taskNameOf(run);
    let mayBeDelivered = false;
    let reason: StartRefusal | undefined;
    for (let attempt = 1; attempt <= MAXIMUM_START_ATTEMPTS; attempt++) {
      const leaseUntil = lease.extend({ isRenewal: false });
      const isExpired = run.ticket !== undefined &&
        clock.now() >= run.ticket.sendUntil;
      if (
        isClosed || !isLeading() || leaseUntil === undefined || isExpired ||
        !options.mayStart(run)
      ) {
        if (attempt > 1) break;
        return options.onStartAnswer(run, "refused", "not sent");
      }
      const { lifetime } = worker;
      const sentAt = clock.now();
      const clockBefore = lease.lastClock() ?? -Infinity;
      try {
        const result = await connection.start({
          term: fencingToken(),
          task: taskName,
          number: run.number,
          payload: run.step.job.spec.payload,
          leaseUntil,
          checkpoint: run.checkpoint,
          ticket: run.ticket?.text,
          timeoutMs: START_TIMEOUT_MS,
        });
        // The confirmation of an earlier lifetime says nothing about this one,
        // nor does that of a later one, whose clock starts anew.
        const isOfOther = worker.lifetime !== lifetime ||
          result.kind === "started" && result.clock < clockBefore;
        if (isOfOther) mayBeDelivered = true;
        else if (result.kind === "started") {
          if (!mayBeDelivered) recordOnlyStart(run, clock.now());
          return options.onStartAnswer(run, "started");
        }
        if (result.kind === "refused") reason = result.reason;
        if (mayBeDelivered || isClosed) break;
        const answer = reason === "unhealthy" ? "unhealthy" : "refused";
        return options.onStartAnswer(run, answer, reason);
      } catch (error) {
        if (!(error instanceof UnavailableError)) {
          mayBeDelivered = true;
          // Closing the link ends its connections too, and a worker that gives
          // an unusable answer has not ended.
          const isInterrupted = !isClosed && isUnreachable(error) &&
            clock.now() - sentAt <= INTERRUPTION_MS;
          if (isInterrupted) options.onStartInterrupted?.(run);
        }
        log.warn(
          { ...describeRun(run), attempt, error: describeError(error) },
          "start command not answered",
        );
        // The commands that wait behind this one would not be answered either.
        commands.giveUpWaiting();
        if (error instanceof UnavailableError && attempt === 1) {
          await pause(RETRY_DELAY_MS / 2);
        }
      }
    }
    if (isClosed || !isLeading()) {
      return options.onStartAnswer(run, "uncertain", reason);
    }
    if (!mayBeDelivered) {
      return options.onStartAnswer(run, "unhealthy", "undelivered");
    }
    options.onStartAnswer(run, "uncertain", reason);
    pollSoon();
  };

  const stops = createStopCommands({
    worker,
    connection,
    fencingToken,
    commands,
    log,
    isActive: () => !isClosed && isLeading(),
    isSilent: () => failures > 0,
    onUncertainRun: pollSoon,
    onAcknowledged: options.onStopAnswer,
  });

  return {
    sendCommand: (command) => {
      if (command.kind === "start") void startInTurn(command.run);
      else stops.send(command);
    },
    notifyEndsStored: () => {
      const notify = resolveEndsStored;
      resolveEndsStored = undefined;
      notify?.();
    },
    renewShortLease: () => {
      const isActive = !isClosed && isLeading() && failures === 0;
      if (!isActive || !lease.needsExtraRenewal()) return;
      pollWorker(0, { isRenewal: true }).catch((error) =>
        log.warn(
          { worker: worker.id, error: describeError(error) },
          "short lease was not renewed",
        )
      );
    },
    close: () => {
      isClosed = true;
      commands.close();
      stops.resume();
      void connection.close();
    },
  };
}

/** @returns whether a call failed without any answer */
function isUnreachable(error: unknown): boolean {
  return error instanceof UncertainError &&
    error.code === ErrorCode.workerUnreachable;
}
