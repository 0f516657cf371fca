import type { Clock, Milliseconds } from "./clock.ts";
import { describeError } from "./errors.ts";
import type { Logger } from "./logger.ts";

/** One item of a loop, in log lines and counters. */
export interface IsolatedItem {
  /** What is done with each item, for example `worker.connect`. */
  operation: string;
  /** Identifies the item among those of the operation. */
  item: string;
}

/**
 * Calls a function for one item of a loop. An error is counted and logged, and
 * does not reach the other items.
 *
 * @param item the operation and the item
 * @param action handles the item
 * @returns the result of the action; undefined when it threw
 */
export type Isolate = <Result>(
  item: IsolatedItem,
  action: () => Result,
) => Result | undefined;

/** Lets every error pass, for tests and simulations that must not hide one. */
export const noIsolation: Isolate = (_item, action) => action();

/** Options of {@link createIsolation}. */
export interface IsolationOptions {
  clock: Pick<Clock, "now">;
  log: Logger;
  /** Called for each error, with the operation. */
  onError?(operation: string): void;
}

// An item that fails in every pass is logged again after this time.
const LOG_INTERVAL_MS: Milliseconds = 10_000;
// Number of failing items whose last line is remembered. Others that fail
// meanwhile are counted, but not logged.
const MAXIMUM_LOGGED_ITEMS = 1_000;

/**
 * Creates the isolation of the items of loops.
 *
 * @param options clock, log and a counter of errors
 * @returns function that calls another one for an item
 */
export function createIsolation(options: IsolationOptions): Isolate {
  const { clock, log, onError } = options;
  /** Monotonic time of the last line about each failing item. */
  const loggedAt = new Map<string, Milliseconds>();

  const mayLog = (key: string): boolean => {
    const now = clock.now();
    const isDue = (at: Milliseconds) => now - at >= LOG_INTERVAL_MS;
    const last = loggedAt.get(key);
    if (last !== undefined && !isDue(last)) return false;
    if (loggedAt.size >= MAXIMUM_LOGGED_ITEMS) {
      for (const [other, at] of loggedAt) if (isDue(at)) loggedAt.delete(other);
    }
    if (loggedAt.size >= MAXIMUM_LOGGED_ITEMS) return false;
    loggedAt.set(key, now);
    return true;
  };

  return ({ operation, item }, action) => {
    try {
      return action();
    } catch (error) {
      onError?.(operation);
      if (mayLog(`${operation} ${item}`)) {
        log.error(
          { operation, item, error: describeError(error) },
          "item skipped: an error that must not stop the others",
        );
      }
      return undefined;
    }
  };
}
