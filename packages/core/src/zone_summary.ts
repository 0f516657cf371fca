import type { Fragmentation } from "./fragmentation.ts";
import { type RequestSpec, totalAccelerators } from "./shape.ts";

/** Capacity and load of a zone, sent to the other entries with heartbeats. */
export interface ZoneSummary extends Fragmentation {
  zone: string;
  workers: number;
  /**
   * Highest total of accelerators observed. This and the two sizes below do not
   * shrink when workers are lost, so that, until the workers return, large
   * requests are not refused as too large for the zone.
   */
  accelerators: number;
  /** Accelerators of the largest worker observed. */
  largestWorker: number;
  /** Accelerators of the largest rack observed. */
  largestRack: number;
  /** Number of waiting requests. */
  waiting: number;
}

/**
 * Tests whether a shape would fit the zone if nothing ran there.
 *
 * @param spec the request
 * @param summary summary of the zone, with the largest capacity observed
 * @returns whether the request could ever be placed in the zone
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
