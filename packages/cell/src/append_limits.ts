import type { KeyedValue } from "@rattanhill/scheduler";

/** Size limits of the store. */
export interface AppendLimits {
  /** Largest size of one record. */
  recordBytes: number;
  /** Largest sum of the record sizes of one call. */
  callBytes: number;
}

const KEY_LENGTH_PREFIX_BYTES = 1;
const RECORD_LENGTH_PREFIX_BYTES = 4; // added to each record, to stay below the limits

/** @returns the size of a record in bytes, as counted against the limits */
export function sizeOfRecord({ key, value = "" }: KeyedValue): number {
  return RECORD_LENGTH_PREFIX_BYTES + KEY_LENGTH_PREFIX_BYTES +
    Buffer.byteLength(key) +
    Buffer.byteLength(value);
}

/**
 * Counts the records from the head of a queue that fit one call.
 *
 * @param sizesInBytes sizes of the waiting records
 * @param limits what one call may carry
 * @returns their number; at least one, unless the queue is empty
 */
export function countFittingRecords(
  sizesInBytes: Iterable<number>,
  { callBytes, maximumCount = Infinity }: {
    callBytes: number;
    maximumCount?: number;
  },
): number {
  let count = 0;
  let bytes = 0;
  for (const size of sizesInBytes) {
    bytes += size;
    if (count > 0 && (bytes > callBytes || count >= maximumCount)) break;
    count += 1;
  }
  return count;
}
