import { Heap } from "heap-js";
import type { Milliseconds } from "@rattanhill/shared";

/** Priority queue of the actions of a simulation, ordered by time. */
export interface EventQueue {
  add(time: Milliseconds, action: () => void): void;
  /** @returns the time of the next action; infinity when the queue is empty */
  nextTime(): Milliseconds;
  /** Removes and runs the next action. */
  runNext(): void;
}

/**
 * Creates an event queue. Actions with the same time run in the order in which
 * they were added.
 *
 * @returns the empty queue
 */
export function createEventQueue(): EventQueue {
  let serial = 0;
  const heap = new Heap<
    { time: Milliseconds; serial: number; action: () => void }
  >((a, b) => a.time - b.time || a.serial - b.serial);
  return {
    add: (time, action) => heap.push({ time, serial: serial++, action }),
    nextTime: () => heap.peek()?.time ?? Infinity,
    runNext: () => heap.pop()?.action(),
  };
}
