import {
  describeError,
  type EventLog,
  Events,
  type Milliseconds,
  UncertainError,
} from "@rattanhill/shared";
import {
  type ConfigRecord,
  type LedgerRecord,
  LedgerVerdict,
} from "@rattanhill/core";
import { encodeRecord, Streams } from "@rattanhill/protocol";
import type { PlatformClient } from "@rattanhill/platform";
import type { LogFollower } from "./log_follower.ts";

/**
 * Result of an append: the ledger's verdict once the record was read back,
 * `failed` if it was certainly not appended, `uncertain` if it may be in the
 * log or still reach it.
 */
export type AppendResult = LedgerVerdict | "failed" | "uncertain";

/** Options of {@link LogAppender.append}. */
export interface AppendOptions {
  /**
   * Called when the result of the append was `uncertain`, but the record is
   * read back later and took effect.
   */
  onLateAccept?(): void;
}

/**
 * Appends records to the log, one batch at a time. Whether a record took effect
 * is known only once the follower has read it back, since that depends on the
 * records before it.
 */
export interface LogAppender {
  /**
   * Appends a record to the request stream.
   *
   * @param record the record
   * @param options callback for a late success
   * @returns the result, once the record is read back or its time limit is
   * over; `failed` at once while the log does not respond or the queue is full
   */
  append(record: LedgerRecord, options?: AppendOptions): Promise<AppendResult>;
  /** Appends a record, and retries in the background until it is read back. */
  appendWithRetry(record: LedgerRecord): void;
  /** Appends a configuration record without waiting until it is read back. */
  appendConfig(stream: string, record: ConfigRecord): void;
  /** Resolves the append of a record that the follower has folded. */
  handleFoldedRecord(id: string, verdict: LedgerVerdict): void;
  /** @returns the number of records whose append has no result yet */
  pendingCount(): number;
  /** Stops all retries. */
  stop(): void;
}

/** Options of {@link createLogAppender}. */
export interface AppenderOptions {
  platform: PlatformClient;
  follower: LogFollower;
  log: EventLog;
  /**
   * Time limit of one call to the platform; a record must be read back within
   * twice this time.
   */
  timeoutMs: Milliseconds;
}

const MAXIMUM_BATCH_RECORDS = 100;
const MAXIMUM_QUEUED_RECORDS = 10_000;
const RETRY_INTERVAL_MS: Milliseconds = 1_000;

/**
 * Creates the appender of one entry.
 *
 * @param options platform, log follower and time limit
 */
export function createLogAppender(options: AppenderOptions): LogAppender {
  const { platform, follower, log, timeoutMs } = options;
  const unsettled = new Map<string, (result: AppendResult) => void>();
  const lateAcceptCallbacks = new Map<string, () => void>();
  let queue: LedgerRecord[] = [];
  let isSending = false;
  let isStopped = false;

  const settle = (id: string, result: AppendResult): void => {
    unsettled.get(id)?.(result);
    unsettled.delete(id);
  };

  const sendBatches = async (): Promise<void> => {
    if (isSending) return;
    isSending = true;
    while (queue.length > 0) {
      const batch = queue.slice(0, MAXIMUM_BATCH_RECORDS);
      queue = queue.slice(MAXIMUM_BATCH_RECORDS);
      await sendBatch(batch);
    }
    isSending = false;
  };

  const sendBatch = async (batch: readonly LedgerRecord[]): Promise<void> => {
    try {
      await platform.append(Streams.requests, batch.map(encodeRecord));
    } catch (error) {
      const isUncertain = error instanceof UncertainError;
      log(Events.appendUncertain, {
        records: batch.length,
        error: describeError(error),
      });
      // The records may be in the log although the response was lost. Reading
      // to the end settles those that are; only the others become uncertain.
      if (isUncertain) await follower.readToEnd();
      const result = isUncertain ? "uncertain" : "failed";
      for (const { id } of batch) settle(id, result);
    }
  };

  const append = (
    record: LedgerRecord,
    { onLateAccept }: AppendOptions = {},
  ): Promise<AppendResult> => {
    if (!follower.isAvailable() || queue.length >= MAXIMUM_QUEUED_RECORDS) {
      return Promise.resolve("failed");
    }
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => settle(record.id, "uncertain"),
        timeoutMs * 2,
      );
      unsettled.set(record.id, (result) => {
        clearTimeout(timer);
        if (result === "uncertain" && onLateAccept !== undefined) {
          lateAcceptCallbacks.set(record.id, onLateAccept);
        }
        resolve(result);
      });
      queue.push(record);
      void sendBatches();
    });
  };

  const appendWithRetry = async (record: LedgerRecord): Promise<void> => {
    while (!isStopped) {
      const result = await append(record);
      if (result !== "failed" && result !== "uncertain") return;
      await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
    }
  };

  return {
    append,
    appendWithRetry: (record) => void appendWithRetry(record),
    appendConfig: (stream, record) => {
      platform.append(stream, [encodeRecord(record)]).catch((error) =>
        log(Events.appendUncertain, { records: 1, error: describeError(error) })
      );
    },
    handleFoldedRecord: (id, verdict) => {
      settle(id, verdict);
      if (verdict === LedgerVerdict.accepted) lateAcceptCallbacks.get(id)?.();
      lateAcceptCallbacks.delete(id);
    },
    pendingCount: () => unsettled.size,
    stop: () => isStopped = true,
  };
}
