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
 * A moment by both clocks of a process. The monotonic clock stands still while
 * the VM is suspended; the wall clock does not, but it may be set.
 */
export interface Instant {
  monotonicMs: Milliseconds;
  wallMs: Milliseconds;
}

/**
 * Reads both clocks.
 *
 * @param clock the clock to read
 * @returns the current moment
 */
export function readInstant(clock: Clock): Instant {
  return { monotonicMs: clock.now(), wallMs: clock.wallTime() };
}

/**
 * Computes the time since an instant without missing a suspension of the VM.
 *
 * @param clock the clock that the instant was read from
 * @param instant the earlier moment
 * @returns elapsed time by the monotonic or the wall clock, whichever is larger
 */
export function elapsedSince(clock: Clock, instant: Instant): Milliseconds {
  return Math.max(
    clock.now() - instant.monotonicMs,
    clock.wallTime() - instant.wallMs,
  );
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
