import type { Milliseconds } from "@rattanhill/shared";

/**
 * Merges the calls of a function that are made within a short time.
 *
 * @param delayMs time from the first of these calls until the action runs
 * @param action runs once for all of them
 * @returns function that requests the action
 */
export function createMergedCall(
  delayMs: Milliseconds,
  action: () => void,
): () => void {
  let isDue = false;
  return () => {
    if (isDue) return;
    isDue = true;
    setTimeout(() => {
      isDue = false;
      action();
    }, delayMs);
  };
}
