import {
  type Logger,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import type { KeyedValue } from "@rattanhill/scheduler";
import { sizeOfRecord } from "./append_limits.ts";
import { type BatchWriterOptions, createBatchWriter } from "./batch_writer.ts";

/**
 * Appends a record, with retries until the deadline.
 *
 * @param value the record
 * @param deadline monotonic time by which the outcome is needed
 * @returns the end offset of the append; `refused` and `rejected` only when no
 * attempt can have stored the record, `rejected` when the store would reject it
 * again
 */
export type StoreRecord = (
  value: KeyedValue,
  deadline: Milliseconds,
) => Promise<number | "refused" | "rejected" | "uncertain">;

/** Options of {@link createRecordWriter}. */
export interface RecordWriterOptions extends BatchWriterOptions {
  /** @returns the time since the store stopped answering; 0 while it answers */
  storeOutageMs(): Milliseconds;
  log: Logger;
}

// A store that is slowed down 60-fold answers in 0.3 s.
const APPEND_TIMEOUT_MS: Milliseconds = 1_000;
// Number of refusals after which a record is not tried again, if no attempt is
// uncertain. A full partition of the store clears within 2 s, an outage does
// not.
const MAXIMUM_REFUSALS = 2;
const RETRY_DELAY_MS: Milliseconds = 150;
// Length of a store outage above which writes are refused without an attempt.
// An outage counts from the end of the 1 s for which a read may wait.
const FAIL_FAST_OUTAGE_MS: Milliseconds = 1_500;

/**
 * Creates the writer of the records that callers cause.
 *
 * @param options the store, the topic, the clock and the length of an outage
 * @returns function that stores one record
 */
export function createRecordWriter(options: RecordWriterOptions): StoreRecord {
  const { clock, log } = options;
  const writer = createBatchWriter(options);

  return async (value, deadline) => {
    // The call fails fast, so that the caller can retry at another entry, which
    // may be able to reach the store.
    if (options.storeOutageMs() > FAIL_FAST_OUTAGE_MS) return "refused";
    let isUncertain = false;
    let refusals = 0;
    while (true) {
      const remainingMs = deadline - clock.now();
      try {
        const outcome = await writer.append(
          value,
          Math.max(0, Math.min(remainingMs, APPEND_TIMEOUT_MS)),
        );
        if (outcome !== "rejected") return outcome;
        const bytes = sizeOfRecord(value);
        log.error({ key: value.key, bytes }, "record rejected by the store");
        return isUncertain ? "uncertain" : "rejected";
      } catch (error) {
        if (error instanceof UnavailableError) refusals += 1;
        else isUncertain = true;
      }
      if (!isUncertain && refusals >= MAXIMUM_REFUSALS) return "refused";
      const hasTimeLeft = clock.now() + RETRY_DELAY_MS < deadline;
      if (!hasTimeLeft) return isUncertain ? "uncertain" : "refused";
      await pause(RETRY_DELAY_MS);
    }
  };
}
