import { type Milliseconds, pause } from "@rattanhill/shared";

/** Options of {@link pollUntilAnswered}. */
export interface RepeatedPollOptions {
  /** Maximum number of polls. */
  count: number;
  /** Time for an answer before the next poll is sent beside the earlier ones. */
  intervalMs: Milliseconds;
  /** Pause before the next poll after one that has failed sooner. */
  retryDelayMs: Milliseconds;
  /** @returns whether further polls may be sent */
  mayRepeat(): boolean;
}

/**
 * Polls, and again at intervals while there is no answer, so that a lost answer
 * delays the next poll only by the interval.
 *
 * @param poll sends a poll; resolves once it is answered
 * @param options the number of polls and their intervals
 * @throws the error of the first poll when none was answered
 */
export async function pollUntilAnswered(
  poll: () => Promise<void>,
  options: RepeatedPollOptions,
): Promise<void> {
  const { count, intervalMs, retryDelayMs, mayRepeat } = options;
  const current = poll();
  let isAnswered = false;
  const settled = current.then(
    () => isAnswered = true,
    () => pause(retryDelayMs),
  );
  await Promise.race([settled, pause(intervalMs)]);
  if (isAnswered || count === 1 || !mayRepeat()) return await current;
  const next = pollUntilAnswered(poll, { ...options, count: count - 1 });
  // The error of this poll tells more than that all polls have failed.
  await Promise.any([current, next]).catch(() => current);
}
