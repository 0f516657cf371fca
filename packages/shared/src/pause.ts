import type { Milliseconds } from "./clock.ts";

/**
 * Suspends the calling async function without blocking the process.
 *
 * @param durationMs how long to wait
 * @returns promise that is fulfilled after this time
 */
export function pause(durationMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
