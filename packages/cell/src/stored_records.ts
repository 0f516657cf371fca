import { describeError, type Logger } from "@rattanhill/shared";
import { type CellRecord, decodeRecord } from "@rattanhill/scheduler";
import type { StoredRecord } from "./store.ts";

/**
 * Decodes records of a cell; one that is not valid is logged and skipped.
 *
 * @param records the records as read from the store
 * @param log where invalid records are logged
 * @returns the decoded records, without those of other kinds
 */
export function decodeStoredRecords(
  records: readonly StoredRecord[],
  log: Logger,
): CellRecord[] {
  return records.flatMap(({ key, value, offset }) => {
    try {
      return decodeRecord(key, value) ?? [];
    } catch (error) {
      log.warn(
        { key, offset, error: describeError(error) },
        "invalid journal record skipped",
      );
      return [];
    }
  });
}
