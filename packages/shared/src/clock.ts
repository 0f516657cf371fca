/** A point in time or a duration, in milliseconds. */
export type Milliseconds = number;

/**
 * Source of the current time. The core takes times as arguments; the processes
 * that host it read them from a clock.
 */
export interface Clock {
  /**
   * @returns the time since the Unix epoch, for records that other processes
   * read
   */
  wallTime(): Milliseconds;
  /** @returns the monotonic time, for every timeout within this process */
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

/** Clock whose time changes only by `advance`, for tests and simulations. */
export interface ManualClock extends Clock {
  /**
   * Moves the time forward.
   *
   * @param durationMs the time to add
   */
  advance(durationMs: Milliseconds): void;
}

/**
 * Creates a clock whose time changes only when it is advanced.
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
