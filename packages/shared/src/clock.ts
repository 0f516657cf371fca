/** A point in time or a duration, in milliseconds. */
export type Milliseconds = number;

/**
 * Source of the current time. The core takes times as arguments; the processes
 * that host it read them from a clock.
 */
export interface Clock {
  /** Time since the Unix epoch, for records that other processes read. */
  wallTime(): Milliseconds;
  /** Monotonic time, for every timeout within this process. */
  now(): Milliseconds;
}

/**
 * Creates the clock of the running process.
 *
 * @returns clock based on `Date.now` and `performance.now`
 */
export function createSystemClock(): Clock {
  return {
    wallTime: () => Date.now(),
    now: () => Math.floor(performance.now()),
  };
}

/** Clock that moves only when it is advanced, for tests and simulations. */
export interface ManualClock extends Clock {
  /**
   * Moves the clock forward.
   *
   * @param durationMs how far to move it
   */
  advance(durationMs: Milliseconds): void;
}

/**
 * Creates a clock that stands still until it is advanced.
 *
 * @param startMs initial value of both the wall time and the monotonic time
 * @returns clock whose wall time and monotonic time are equal
 */
export function createManualClock(startMs: Milliseconds = 0): ManualClock {
  let currentMs = startMs;
  return {
    wallTime: () => currentMs,
    now: () => currentMs,
    advance: (durationMs) => {
      currentMs += durationMs;
    },
  };
}
