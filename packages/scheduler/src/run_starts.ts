import type { Logger, Milliseconds } from "@rattanhill/shared";
import { dropTicket, renewTicket } from "./advice.ts";
import {
  type CellState,
  describeRun,
  releaseRun,
  type Run,
  RunPhase,
} from "./cell_state.ts";
import { mayStart } from "./record_batch.ts";
import type { StartAnswer, WorkerCommand } from "./worker_commands.ts";
import type { ZoneEvacuation } from "./zone_evacuation.ts";

// Time without new placements on a worker that refused a start command. It is
// long enough for a report to correct the worker's free capacity.
const REFUSAL_BACKOFF_MS: Milliseconds = 500;
// Time without new placements on a worker that did not answer a start command,
// or refused it as unhealthy. Such workers rarely recover sooner.
const SILENCE_BACKOFF_MS: Milliseconds = 2_000;

/** Options of {@link startStoredRuns}. */
export interface RunStartOptions {
  state: CellState;
  evacuation: ZoneEvacuation;
  now(): Milliseconds;
  stop(run: Run, reason: string): void;
  /** Sends a command to a worker. */
  sendCommand(command: WorkerCommand): void;
  log: Logger;
}

/**
 * Sends the start commands of runs whose placement is stored. A run whose worker
 * or ticket changed while its placement was being stored is released instead,
 * with its gang.
 *
 * @param runs runs whose placement is stored
 * @param options state, evacuated zones and callbacks
 */
export function startStoredRuns(
  runs: readonly Run[],
  { state, evacuation, now, stop, sendCommand, log }: RunStartOptions,
): void {
  for (const run of runs) {
    if (run.phase !== RunPhase.storing) continue;
    const isAllowed = evacuation.mayStartOn(run.worker);
    if (isAllowed && mayStart(run) && renewTicket(run, now())) continue;
    log.info(
      { ...describeRun(run), isAllowed, ticketUntil: run.ticket?.sendUntil },
      "start not sent: its worker or ticket changed meanwhile",
    );
    const { step } = run;
    releaseRun(state, run);
    for (const member of step.spec.isGang ? step.runs.values() : []) {
      stop(member, "a member of the gang was not started");
    }
  }
  for (const run of runs) {
    if (run.phase !== RunPhase.storing || !run.worker.runs.has(run)) continue;
    if (run.stopReason !== undefined) {
      releaseRun(state, run);
      continue;
    }
    run.phase = RunPhase.ordered;
    sendCommand({ kind: "start", run });
  }
}

/** Options of {@link applyStartAnswer}. */
export interface StartAnswerOptions {
  state: CellState;
  /** Monotonic time. */
  now: Milliseconds;
  stop(run: Run, reason: string): void;
  /** Called when the worker has confirmed the start. */
  onStarted(run: Run): void;
  log: Logger;
}

/**
 * Applies the answer to a start command. A run that was certainly not started is
 * released, and the other members of its gang are stopped.
 *
 * @param run the run; ignored if it was released meanwhile
 * @param answered the answer, and the reason of a refusal
 * @param options state and callbacks
 */
export function applyStartAnswer(
  run: Run,
  { answer, reason }: { answer: StartAnswer; reason?: string },
  { state, now, stop, onStarted, log }: StartAnswerOptions,
): void {
  const { step, worker } = run;
  if (!worker.runs.has(run)) return;
  if (answer === "started") {
    run.absenceProvableFrom ??= now;
    run.confirmedAt ??= now;
    onStarted(run);
    if (run.phase === RunPhase.ordered) run.phase = RunPhase.running;
    return;
  }
  log.warn(
    { ...describeRun(run), answer, reason },
    "start command not confirmed by the worker",
  );
  if (answer === "uncertain") {
    worker.noPlacementBefore = now + SILENCE_BACKOFF_MS;
    // The next report shows whether the worker has the run.
    run.uncertainSince = now;
    return;
  }
  worker.noPlacementBefore = now +
    (answer === "unhealthy" ? SILENCE_BACKOFF_MS : REFUSAL_BACKOFF_MS);
  releaseRun(state, run);
  if (reason === "noTicket") dropTicket(run);
  if (!step.spec.isGang) return;
  for (const member of [...step.runs.values()]) {
    stop(member, "a member of the gang was not started");
  }
}
