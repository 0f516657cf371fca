import type { KeyedValue } from "@rattanhill/scheduler";

/** Size limits of the store. */
export interface AppendLimits {
  /** Maximum size of one record. */
  recordBytes: number;
  /** Maximum sum of the record sizes of one call. */
  callBytes: number;
}

/**
 * Size of an append above which no further record is added to it, so that it
 * arrives within its time limit on a link of a few megabits per second.
 */
export const PREFERRED_CALL_BYTES = 262_144;

// Sizes of the length prefixes of an encoded key and an encoded record. They
// count towards the size of a record, so that encoded records stay below the
// limits.
const KEY_LENGTH_PREFIX_BYTES = 1;
const RECORD_LENGTH_PREFIX_BYTES = 4;

/** @returns the size of a record in bytes, as counted against the limits */
export function sizeOfRecord({ key, value = "" }: KeyedValue): number {
  return RECORD_LENGTH_PREFIX_BYTES + KEY_LENGTH_PREFIX_BYTES +
    Buffer.byteLength(key) +
    Buffer.byteLength(value);
}

/**
 * Counts how many of the next records fit into one call.
 *
 * @param sizesInBytes sizes of the records that wait to be appended
 * @param limits maximum total size and number of the records of one call
 * @returns their number; at least one, unless no record waits
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
