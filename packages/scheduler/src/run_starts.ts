import type { Logger, Milliseconds } from "@rattanhill/shared";
import { renewTicket } from "./advice.ts";
import {
  type CellState,
  describeRun,
  releaseRun,
  type Run,
  RunPhase,
} from "./cell_state.ts";
import { mayStart } from "./record_batch.ts";
import type { WorkerCommand } from "./worker_commands.ts";
import type { ZoneEvacuation } from "./zone_evacuation.ts";

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
