import {
  describeError,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import type { Run, WorkerCommand, WorkerState } from "@rattanhill/scheduler";
import type { CommandQueue } from "./command_queue.ts";
import type { WorkerConnection } from "./worker_calls.ts";

/** Stop commands to one worker, each repeated until it is acknowledged. */
export interface StopCommands {
  /**
   * Sends a stop command. It is repeated until the worker acknowledges it or the
   * run is released, ever less often while the worker is silent. The command is
   * sent only once for a run that this lead does not know.
   */
  send(command: StopCommand): void;
  /** Ends all pauses before commands are repeated. */
  resume(): void;
}

/** A command to stop a run. */
export type StopCommand = WorkerCommand & { kind: "stop" };

/** Options of {@link createStopCommands}. */
export interface StopCommandsOptions {
  worker: WorkerState;
  connection: Pick<WorkerConnection, "stop">;
  /** @returns the fencing token of a call that is sent now */
  fencingToken(): number;
  /** Turns of the commands to the worker. */
  commands: CommandQueue;
  log: Logger;
  /** @returns whether the link is open and this process leads */
  isActive(): boolean;
  /** @returns whether the last poll of the worker failed */
  isSilent(): boolean;
  /**
   * Called when a stop is acknowledged that the worker may have received before
   * the start of its run, so that no end follows.
   */
  onUncertainRun(): void;
  /** See {@link WorkerLinkOptions.onStopAnswer}. */
  onAcknowledged(run: Run | undefined): void;
}

const STOP_TIMEOUT_MS: Milliseconds = 700;
const RETRY_DELAY_MS: Milliseconds = 250;
// While a worker is silent, the pause before a stop is repeated doubles up to
// this bound.
const MAXIMUM_DELAY_MS: Milliseconds = 2_000;

/**
 * Creates the stop commands of a link, of which none is sent yet.
 *
 * @param options the worker, its connection and the callbacks
 * @returns the stop commands
 */
export function createStopCommands(options: StopCommandsOptions): StopCommands {
  const { worker, connection, commands, log, isActive } = options;
  /** How often pauses were ended. */
  let resumptions = 0;
  /** Ends the pauses of commands that wait to be repeated. */
  const waiting = new Set<() => void>();

  const pauseUntilResumed = (durationMs: Milliseconds): Promise<void> =>
    new Promise((resolve) => {
      const resume = (): void => {
        clearTimeout(timer);
        waiting.delete(resume);
        resolve();
      };
      const timer = setTimeout(resume, durationMs);
      waiting.add(resume);
    });

  /**
   * Makes one attempt.
   *
   * @returns whether the worker acknowledged the command
   * @throws when it gave no usable answer
   */
  const sendOnce = async ({ task, number }: StopCommand): Promise<boolean> => {
    const { lifetime } = worker;
    const isAcknowledged = await connection.stop({
      term: options.fencingToken(),
      task,
      number,
      timeoutMs: STOP_TIMEOUT_MS,
    });
    // A worker that restarted meanwhile has forgotten the stop.
    return isAcknowledged && worker.lifetime === lifetime && isActive();
  };

  const recordAcknowledgement = (run: Run | undefined): void => {
    // A run that the worker never had does not end, and so ends no long poll;
    // only a new report shows that its capacity is free.
    const mayBeUnknown = run !== undefined &&
      run.absenceProvableFrom === undefined;
    if (mayBeUnknown) options.onUncertainRun();
    options.onAcknowledged(run);
  };

  const sendUntilAcknowledged = async (command: StopCommand): Promise<void> => {
    const { task, number, run } = command;
    let delayMs = RETRY_DELAY_MS;
    let isFailureLogged = false;
    while (isActive()) {
      const resumptionsBefore = resumptions;
      const endTurn = await commands.takeTurn({ isUrgent: true });
      if (endTurn === undefined) return;
      try {
        const isReleased = run !== undefined && !worker.runs.has(run);
        if (isReleased || !isActive()) return;
        if (await sendOnce(command)) return recordAcknowledgement(run);
      } catch (error) {
        // Starts must not wait behind stops that the worker does not answer.
        commands.giveUpWaiting();
        if (!isFailureLogged) {
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
        isFailureLogged = true;
      } finally {
        endTurn();
      }
      if (run === undefined || !isActive()) return;
      // An attempt that was sent before the worker answered again says nothing
      // about the next one.
      if (resumptions === resumptionsBefore) await pauseUntilResumed(delayMs);
      // A worker that answers polls may have lost only this command.
      delayMs = options.isSilent()
        ? Math.min(2 * delayMs, MAXIMUM_DELAY_MS)
        : RETRY_DELAY_MS;
    }
  };

  return {
    send: (command) => void sendUntilAcknowledged(command),
    resume: () => {
      resumptions += 1;
      for (const resume of [...waiting]) resume();
    },
  };
}
