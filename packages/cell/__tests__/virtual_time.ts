import { AsyncLocalStorage } from "node:async_hooks";
import type { Milliseconds } from "@rattanhill/shared";

/** Replaces the timers of the process by ones in simulated time. */
export interface VirtualTime {
  /** @returns simulated time since the start */
  now(): Milliseconds;
  /** Runs all timers that are due until a time, in their order. */
  runUntil(until: Milliseconds): Promise<void>;
  /** Calls a function as a process; all timers that follow from it belong to it. */
  runAs<Result>(process: string, action: () => Result): Result;
  /** Runs the timers of a process only from a time on. */
  freeze(process: string, until: Milliseconds): void;
  /** Puts the timers of the process back. */
  uninstall(): void;
}

interface Timer {
  process?: string;
  at: Milliseconds;
  order: number;
  action: () => void;
  intervalMs?: Milliseconds;
  ref(): Timer;
  unref(): Timer;
}

/** @returns simulated time, at 0 */
export function installVirtualTime(): VirtualTime {
  const { setTimeout, clearTimeout, setInterval, clearInterval } = globalThis;
  const realSetImmediate = globalThis.setImmediate;
  const timers = new Set<Timer>();
  const currentProcess = new AsyncLocalStorage<string>();
  const frozenUntil = new Map<string, Milliseconds>();
  let now: Milliseconds = 0;
  let order = 0;

  const addTimer = (
    action: () => void,
    delayMs: Milliseconds = 0,
    isInterval = false,
  ): Timer => {
    const timer: Timer = {
      process: currentProcess.getStore(),
      at: now + Math.max(1, delayMs),
      order: order++,
      action,
      intervalMs: isInterval ? delayMs : undefined,
      ref: () => timer,
      unref: () => timer,
    };
    timers.add(timer);
    return timer;
  };
  Object.assign(globalThis, {
    setTimeout: (action: () => void, delayMs?: Milliseconds) =>
      addTimer(action, delayMs),
    clearTimeout: (timer: Timer) => void timers.delete(timer),
    setInterval: (action: () => void, delayMs?: Milliseconds) =>
      addTimer(action, delayMs, true),
    clearInterval: (timer: Timer) => void timers.delete(timer),
  });

  const settlePromises = (): Promise<void> =>
    new Promise((resolve) => realSetImmediate(() => resolve()));
  /** Returns when a timer runs: late if its process is frozen. */
  const dueAt = ({ at, process = "" }: Timer): Milliseconds =>
    Math.max(at, frozenUntil.get(process) ?? 0);
  const findNext = (): Timer | undefined => {
    let next: Timer | undefined;
    for (const timer of timers) {
      const delayMs = next === undefined ? -1 : dueAt(timer) - dueAt(next);
      const isEarlier = next === undefined || delayMs < 0 ||
        delayMs === 0 && timer.order < next.order;
      if (isEarlier) next = timer;
    }
    return next;
  };

  return {
    now: () => now,
    runUntil: async (until) => {
      await settlePromises();
      for (let timer = findNext(); timer !== undefined; timer = findNext()) {
        if (dueAt(timer) > until) break;
        now = dueAt(timer);
        if (timer.intervalMs === undefined) timers.delete(timer);
        else {
          timer.at = now + timer.intervalMs;
          timer.order = order++;
        }
        timer.action();
        await settlePromises();
      }
      now = until;
    },
    runAs: (process, action) => currentProcess.run(process, action),
    freeze: (process, until) => {
      frozenUntil.set(process, until);
    },
    uninstall: () => {
      Object.assign(globalThis, {
        setTimeout,
        clearTimeout,
        setInterval,
        clearInterval,
      });
    },
  };
}
