import { Heap } from "heap-js";
import type { Milliseconds } from "@rattanhill/shared";

/** Actions in the order of their times. */
export interface EventQueue {
  add(time: Milliseconds, action: () => void): void;
  /** @returns time of the next action, or infinity */
  nextTime(): Milliseconds;
  runNext(): void;
}

/**
 * Creates an empty queue; actions of the same time keep their order.
 *
 * @returns the queue
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
