import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { WorkerSpeed } from "./worker_speeds.ts";

/** Options of {@link createSpeedChangeLog}. */
export interface SpeedChangeLogOptions {
  now(): Milliseconds;
  log: Logger;
}

// A new lead learns the speeds of all workers within seconds, so the lines are
// limited to this number per period.
const MAXIMUM_LINES = 20;
const PERIOD_MS: Milliseconds = 10_000;

/**
 * Creates the log of workers whose speed class changes, with a limited number
 * of lines.
 *
 * @param options a clock and the log
 * @returns the function that logs a change, or counts it if the limit of the
 * period is reached; the next line states the number of omitted changes
 */
export function createSpeedChangeLog(
  { now, log }: SpeedChangeLogOptions,
): (change: WorkerSpeed) => void {
  let periodStart = now();
  let lines = 0;
  let omitted = 0;
  return ({ worker, factor, deviation, speed }) => {
    if (now() - periodStart >= PERIOD_MS) {
      periodStart = now();
      lines = 0;
    }
    if (lines >= MAXIMUM_LINES) {
      omitted += 1;
      return;
    }
    lines += 1;
    const rounded = {
      factor: Number(factor.toFixed(2)),
      deviation: Number(deviation.toFixed(2)),
    };
    log.info({ worker, speed, ...rounded, omitted }, "worker speed changed");
    omitted = 0;
  };
}
