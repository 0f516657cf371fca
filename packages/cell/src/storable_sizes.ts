import type { Logger } from "@rattanhill/shared";
import {
  type CellRecord,
  encodeRecord,
  type ProgressRecord,
  type Scheduler,
} from "@rattanhill/scheduler";
import { type AppendLimits, sizeOfRecord } from "./append_limits.ts";
import type { Metrics } from "./metrics.ts";

/** Learns which sizes of progress records the store takes. */
export interface StorableSizes {
  /** @returns whether the store is expected to take a record */
  fits(record: ProgressRecord): boolean;
  /**
   * Handles records that the store has rejected for good. Progress is stored in
   * smaller parts from then on. A job is failed if its progress is rejected in
   * the smallest parts; other records are left out.
   *
   * @returns whether the batch without the rejected records counts as stored; if
   * not, its progress has to be stored again
   */
  handleRejected(
    records: readonly CellRecord[],
    scheduler: Pick<
      Scheduler,
      "handleUnstorable" | "handleUnstorableOccurrences"
    >,
  ): boolean;
}

/** Options of {@link createStorableSizes}. */
export interface StorableSizesOptions {
  /** Sizes that the store is configured to take. */
  limits: AppendLimits;
  metrics: Pick<Metrics, "incrementCounter">;
  log: Logger;
}

// A smaller record is rejected for another reason than its size.
const MINIMUM_RECORD_BYTES = 4_096;

/**
 * Starts with the configured sizes.
 *
 * @param options the configured sizes, and where rejections are counted
 * @returns the learned sizes
 */
export function createStorableSizes(
  { limits, metrics, log }: StorableSizesOptions,
): StorableSizes {
  let maximumBytes = Math.min(limits.recordBytes, limits.callBytes);
  const sizeOf = (record: CellRecord): number =>
    Math.max(...encodeRecord(record).map(sizeOfRecord));

  return {
    fits: (record) => sizeOf(record) <= maximumBytes,
    handleRejected: (records, scheduler) => {
      if (records.length === 0) return true;
      metrics.incrementCounter("record.rejected", records.length);
      const progress = records.filter((record) => record.kind === "progress");
      const unstorable: string[] = [];
      for (const record of progress) {
        const bytes = sizeOf(record);
        if (bytes <= MINIMUM_RECORD_BYTES) unstorable.push(record.step);
        else maximumBytes = Math.min(maximumBytes, Math.floor(bytes / 2));
      }
      log.error(
        {
          records: records.length,
          unstorable: unstorable.length,
          maximumBytes,
        },
        "store rejects records; storing progress in smaller parts",
      );
      scheduler.handleUnstorable(unstorable);
      const finished = records.filter((record) =>
        record.kind === "finishedOccurrences"
      );
      scheduler.handleUnstorableOccurrences(finished.map(({ job }) => job));
      return progress.length === 0 && finished.length === 0;
    },
  };
}
