import type { RoomWaitEvent } from "@rattanhill/scheduler";
import type { Metrics } from "./metrics.ts";

/**
 * Counts the waits of jobs beside free capacity: by the bounds that they have
 * exceeded, and by their causes when they exceed the first one. The durations of
 * those that have ended go into a histogram.
 *
 * @param event a wait that has reached a bound or ended
 * @param metrics the metrics of the process
 */
export function countRoomWait(
  event: RoomWaitEvent,
  metrics: Pick<Metrics, "incrementCounter" | "recordDuration">,
): void {
  if (event.kind === "ended") {
    return metrics.recordDuration("job.beside.room", event.waitedMs);
  }
  const { boundMs, causes } = event;
  metrics.incrementCounter(`job.beside.room.over.${boundMs / 1_000}s`);
  for (const cause of causes) {
    metrics.incrementCounter(
      `job.beside.room.over.${boundMs / 1_000}s.${cause}`,
    );
  }
}
