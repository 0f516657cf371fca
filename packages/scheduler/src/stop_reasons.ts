import type { RunEnd } from "./job_types.ts";

/** Start of the reason of a stop for urgent work; the step's key follows. */
export const RECLAIM_REASON = "capacity reclaimed for";

/** Reasons for which the work of a run is discarded, for metrics. */
export const DiscardReason = {
  cancelled: "cancelled",
  reclaimed: "reclaimed",
  gangBroken: "gangBroken",
  stuck: "stuck",
  drained: "drained",
  jobEnded: "jobEnded",
  notStarted: "notStarted",
  failed: "failed",
  lapsed: "lapsed",
  other: "other",
} as const;

/** One of the values of {@link DiscardReason}. */
export type DiscardReason = typeof DiscardReason[keyof typeof DiscardReason];

const REASONS_BY_TEXT: ReadonlyMap<string, DiscardReason> = new Map([
  ["job cancelled", DiscardReason.cancelled],
  ["its job failed", DiscardReason.jobEnded],
  ["its job has ended", DiscardReason.jobEnded],
  ["its task is done", DiscardReason.jobEnded],
  ["another member of the gang ended", DiscardReason.gangBroken],
  ["a member of the gang was lost", DiscardReason.gangBroken],
  ["a member of the gang was not started", DiscardReason.gangBroken],
  ["no answer to its start command", DiscardReason.notStarted],
  ["no progress although its worker answers", DiscardReason.stuck],
  ["its draining worker leaves too soon", DiscardReason.drained],
]);

/**
 * @param stopReason reason of the stop command; undefined when there was none
 * @param end how the run ended
 * @returns why the work of the run was discarded
 */
export function discardReasonOf(
  stopReason: string | undefined,
  end: RunEnd,
): DiscardReason {
  if (stopReason === undefined) {
    if (end === "failed" || end === "lapsed") return end;
    return end === "broken" || end === "alone"
      ? DiscardReason.gangBroken
      : DiscardReason.other;
  }
  if (stopReason.startsWith(RECLAIM_REASON)) return DiscardReason.reclaimed;
  return REASONS_BY_TEXT.get(stopReason) ?? DiscardReason.other;
}
