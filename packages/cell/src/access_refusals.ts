import type { Clock, Logger, Milliseconds } from "@rattanhill/shared";
import type { Metrics } from "./metrics.ts";

/** A call that was refused access to a job. */
export interface AccessRefusal {
  action: string;
  job: string;
  queue: string;
  /** Account of the caller. */
  account: string | undefined;
  /** Kind of the reply. */
  outcome: string;
  /** Why access was refused; the caller is not told. */
  cause: string;
}

/** Options of {@link createAccessRefusals}. */
export interface AccessRefusalsOptions {
  clock: Pick<Clock, "now">;
  log: Logger;
  metrics: Pick<Metrics, "incrementCounter">;
}

const LOG_PERIOD_MS: Milliseconds = 1_000;
// A caller that guesses IDs makes hundreds of calls per second. A few lines
// show who it is, and the counter shows how many there were.
const MAXIMUM_LINES_PER_PERIOD = 10;

/**
 * Creates a function that counts refusals and logs a bounded number of them.
 * The next line states how many were not logged before it.
 *
 * @param options clock, log and metrics
 * @returns function that records one refusal
 */
export function createAccessRefusals(
  { clock, log, metrics }: AccessRefusalsOptions,
): (refusal: AccessRefusal) => void {
  let periodStartedAt = -Infinity;
  let lines = 0;
  let notLogged = 0;

  return (refusal) => {
    metrics.incrementCounter("access.refused");
    const now = clock.now();
    if (now - periodStartedAt >= LOG_PERIOD_MS) {
      periodStartedAt = now;
      lines = 0;
    }
    if (lines >= MAXIMUM_LINES_PER_PERIOD) {
      notLogged += 1;
      return;
    }
    lines += 1;
    log.warn(
      { ...refusal, notLogged: notLogged || undefined },
      "job access refused",
    );
    notLogged = 0;
  };
}
