import {
  type Clock,
  ErrorCode,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import type { KeyedValue } from "@rattanhill/scheduler";
import {
  countFittingRecords,
  PREFERRED_CALL_BYTES,
  sizeOfRecord,
} from "./append_limits.ts";
import type { Store } from "./store.ts";

/** Writer of single records that shares appends between them (group commit). */
export interface BatchWriter {
  /**
   * Appends a record.
   *
   * @param value the record
   * @param timeoutMs time from this call, also while the record waits behind
   * others
   * @returns end offset of the append, before which the record is; `rejected`
   * when the store did not append it, and would reject it again
   * @throws UnavailableError when the record was certainly not appended
   * @throws UncertainError when it may have been appended, or may still be
   */
  append(
    value: KeyedValue,
    timeoutMs: Milliseconds,
  ): Promise<number | "rejected">;
}

/** Options of {@link createBatchWriter}. */
export interface BatchWriterOptions {
  store: Store;
  topic: string;
  clock: Clock;
}

// Maximum number of records in one append, which bounds the number of callers
// that get an uncertain reply when one answer of the store is lost.
const MAXIMUM_RECORDS_PER_CALL = 50;
// More than one call may be in flight, so that a call without an answer does
// not block all others.
const MAXIMUM_CALLS_IN_FLIGHT = 2;

/** A record that waits for its append or for the store's answer. */
interface PendingAppend {
  value: KeyedValue;
  /** Monotonic time at which its caller stops waiting. */
  expiresAt: Milliseconds;
  /** Whether it shares its call with no other record. */
  isAlone?: boolean;
  resolve(outcome: number | "rejected"): void;
  reject(error: unknown): void;
}

/**
 * Creates a writer that batches appends (group commit): records that arrive
 * while the maximum number of calls is in flight share the next call.
 *
 * @param options the store, the topic and the clock
 * @returns the writer; it needs no closing
 */
export function createBatchWriter(
  { store, topic, clock }: BatchWriterOptions,
): BatchWriter {
  const pendingAppends: PendingAppend[] = [];
  let callsInFlight = 0;

  const sendNextBatch = async (): Promise<void> => {
    if (
      pendingAppends.length === 0 || callsInFlight >= MAXIMUM_CALLS_IN_FLIGHT
    ) return;
    const sizes = pendingAppends.map(({ value }) => sizeOfRecord(value));
    const count = countFittingRecords(sizes, {
      callBytes: Math.min(store.limits.callBytes, PREFERRED_CALL_BYTES),
      maximumCount: pendingAppends[0].isAlone ? 1 : MAXIMUM_RECORDS_PER_CALL,
    });
    const batch = pendingAppends.splice(0, count);
    const expiresAt = Math.max(...batch.map((pending) => pending.expiresAt));
    callsInFlight += 1;
    try {
      const result = await store.append(
        topic,
        batch.map(({ value }) => value),
        {
          timeoutMs: Math.max(1, expiresAt - clock.now()),
        },
      );
      if (result.kind === "rejected") return handleRejected(batch);
      // An append without conditions is not rejected by one.
      if (result.kind !== "appended") throw new Error(result.kind);
      for (const { resolve } of batch) resolve(result.endOffset);
    } catch (error) {
      for (const { reject } of batch) reject(error);
    } finally {
      callsInFlight -= 1;
      void sendNextBatch();
    }
  };

  /**
   * Ends the append of a record that the store rejects; of several, each is sent
   * alone, as one of them may be the cause.
   */
  const handleRejected = (batch: readonly PendingAppend[]): void => {
    if (batch.length === 1) return batch[0].resolve("rejected");
    const waiting = batch.filter(({ expiresAt }) => expiresAt > clock.now());
    for (const pending of waiting) pending.isAlone = true;
    pendingAppends.unshift(...waiting);
  };

  /** Fails an append whose time is over, wherever it waits. */
  const expireAppend = (pending: PendingAppend): void => {
    const context = { step: "store.append", peer: "store" };
    const index = pendingAppends.indexOf(pending);
    if (index < 0) {
      const message = "the store has not answered the append in time";
      const error = new UncertainError(
        ErrorCode.logUncertain,
        message,
        context,
      );
      return pending.reject(error);
    }
    pendingAppends.splice(index, 1);
    const message = "the append was not sent in time behind earlier ones";
    pending.reject(
      new UnavailableError(ErrorCode.logUnavailable, message, context),
    );
  };

  return {
    append: (value, timeoutMs) =>
      new Promise((resolve, reject) => {
        const timer = setTimeout(() => expireAppend(pending), timeoutMs);
        const pending: PendingAppend = {
          value,
          expiresAt: clock.now() + timeoutMs,
          resolve: (outcome) => {
            clearTimeout(timer);
            resolve(outcome);
          },
          reject: (error) => {
            clearTimeout(timer);
            reject(error);
          },
        };
        pendingAppends.push(pending);
        void sendNextBatch();
      }),
  };
}
