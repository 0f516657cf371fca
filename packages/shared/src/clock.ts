/** A point in time or a duration in milliseconds. */
export type Milliseconds = number;

/** Source of the current time; the core receives it as a value, hosts as a function. */
export interface Clock {
  /** Milliseconds since the Unix epoch, used in records that other processes read. */
  wallTime(): Milliseconds;
  /** Monotonic milliseconds, used for every timeout of this process. */
  now(): Milliseconds;
}

/**
 * Creates the clock of the running process.
 *
 * @returns a clock over `Date.now` and `performance.now`
 */
export function createSystemClock(): Clock {
  return {
    wallTime: () => Date.now(),
    now: () => Math.floor(performance.now()),
  };
}

/** A clock that moves only when it is told to; for tests and simulations. */
export interface ManualClock extends Clock {
  /**
   * Moves the clock forward.
   *
   * @param duration how far, in milliseconds
   */
  advance(duration: Milliseconds): void;
}

/**
 * Creates a clock that stands still until it is advanced.
 *
 * @param start first reading in milliseconds
 * @returns the clock
 */
export function createManualClock(start: Milliseconds = 0): ManualClock {
  let current = start;
  return {
    wallTime: () => current,
    now: () => current,
    advance: (duration) => {
      current += duration;
    },
  };
}
