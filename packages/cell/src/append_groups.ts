import type { KeyedValue } from "@rattanhill/scheduler";

/** Sizes that the store accepts. */
export interface AppendLimits {
  /** Largest record. */
  recordBytes: number;
  /** Largest sum of the records of one call. */
  callBytes: number;
}

const KEY_LENGTH_PREFIX_BYTES = 1;
const RECORD_LENGTH_PREFIX_BYTES = 4; // counted with each record, to be on the safe side

/** @returns the size of a record in the store */
export function sizeOfRecord({ key, value = "" }: KeyedValue): number {
  return RECORD_LENGTH_PREFIX_BYTES + KEY_LENGTH_PREFIX_BYTES +
    Buffer.byteLength(key) +
    Buffer.byteLength(value);
}

/**
 * Takes the records from the head of a queue that fit one call; at least one.
 *
 * @param sizesBytes sizes of the waiting records
 * @param limits what one call may carry
 * @returns their number
 */
export function countFittingRecords(
  sizesBytes: Iterable<number>,
  { callBytes, maximumCount = Infinity }: {
    callBytes: number;
    maximumCount?: number;
  },
): number {
  let count = 0;
  let bytes = 0;
  for (const size of sizesBytes) {
    bytes += size;
    if (count > 0 && (bytes > callBytes || count >= maximumCount)) break;
    count += 1;
  }
  return count;
}
