import type { Milliseconds } from "./clock.ts";

/**
 * Waits.
 *
 * @param duration how long, in milliseconds
 * @returns a promise that is fulfilled afterwards
 */
export function pause(duration: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, duration));
}
