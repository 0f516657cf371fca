import type { Milliseconds } from "./clock.ts";

/** Limits the number of log lines of one event. */
export interface LineLimit {
  /**
   * Takes a line of the current period.
   *
   * @returns the number of lines omitted since the last one that was taken;
   * undefined if the limit is reached, so that this line is omitted as well
   */
  take(): number | undefined;
}

/** Options of {@link createLineLimit}. */
export interface LineLimitOptions {
  now(): Milliseconds;
  /** Number of lines in a period. */
  maximumLines: number;
  periodMs: Milliseconds;
}

/**
 * Creates a limit of which no line is taken.
 *
 * @param options a clock and the limit
 * @returns the limit
 */
export function createLineLimit(
  { now, maximumLines, periodMs }: LineLimitOptions,
): LineLimit {
  let periodStart = -Infinity;
  let lines = 0;
  let omitted = 0;

  return {
    take: () => {
      if (now() - periodStart >= periodMs) {
        periodStart = now();
        lines = 0;
      }
      if (lines >= maximumLines) {
        omitted += 1;
        return undefined;
      }
      lines += 1;
      const omittedBefore = omitted;
      omitted = 0;
      return omittedBefore;
    },
  };
}
