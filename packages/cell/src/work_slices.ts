import type { Clock, Milliseconds } from "@rattanhill/shared";

/**
 * Pauses long work after each slice of it, so that timers and answers of the
 * store are handled in between.
 *
 * @returns after a turn of the event loop if the slice was over, else at once
 */
export type EndSlice = () => Promise<void> | undefined;

// Much shorter than the lead's lease, also on a VM that is several times slower.
const SLICE_MS: Milliseconds = 20;

/**
 * Starts the first slice of long work.
 *
 * @param clock monotonic clock that measures the slices
 * @returns function that the work calls, and awaits, between its items
 */
export function startWorkSlices(clock: Pick<Clock, "now">): EndSlice {
  let beganAt = clock.now();
  return () => {
    if (clock.now() - beganAt < SLICE_MS) return undefined;
    return new Promise((resolve) =>
      setImmediate(() => {
        beganAt = clock.now();
        resolve();
      })
    );
  };
}
