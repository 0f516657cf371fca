import type { Fragmentation } from "./fragmentation.ts";
import { type RequestSpec, totalAccelerators } from "./shape.ts";

/** Summary of a zone, sent to the other entries. */
export interface ZoneSummary extends Fragmentation {
  zone: string;
  workers: number;
  /** Accelerators in all; the most that were seen. */
  accelerators: number;
  /** Accelerators of the largest worker that was seen. */
  largestWorker: number;
  /** Accelerators of the largest rack that was seen. */
  largestRack: number;
  waiting: number;
}

/**
 * Tells whether a shape fits a zone that is empty.
 *
 * @param spec the request
 * @param summary summary of the zone
 * @returns whether it could ever be placed there
 */
export function couldFitZone(
  { shape }: Pick<RequestSpec, "shape">,
  summary: ZoneSummary,
): boolean {
  const total = totalAccelerators(shape);
  switch (shape.adjacent) {
    case "worker":
      return total <= summary.largestWorker;
    case "rack":
      return shape.accelerators <= summary.largestWorker &&
        total <= summary.largestRack;
    case "none":
      return shape.accelerators <= summary.largestWorker &&
        total <= summary.accelerators;
  }
}
