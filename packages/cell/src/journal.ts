import {
  describeError,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  type CellRecord,
  encodeRecord,
  type KeyedValue,
} from "@rattanhill/scheduler";
import { countFittingRecords, sizeOfRecord } from "./append_limits.ts";
import type { Store } from "./store.ts";

/** Fenced writer of the lead's records to the journal of its cell. */
export interface Journal {
  /**
   * Fences all earlier leads: none of their appends succeeds after this call.
   *
   * @returns offset before which all of their records are stored; undefined
   * when a later lead has fenced this lead, or this process no longer leads
   */
  open(): Promise<number | undefined>;
  /**
   * Stores records in their order, with retries while this process leads.
   * Records that do not fit into one call are split over several.
   *
   * @returns whether all of them are stored
   */
  append(records: readonly CellRecord[]): Promise<boolean>;
}

/** Options of {@link createJournal}. */
export interface JournalOptions {
  store: Store;
  topic: string;
  /** Fencing token; the store rejects appends of lower terms. */
  term: number;
  /** @returns whether this process still leads */
  isLeading(): boolean;
  log: Logger;
}

// Name under which the store keeps the highest term and the sequence number.
const WRITER_NAME = "lead";
// A store that is slowed down 60-fold answers in 0.3 s.
const APPEND_TIMEOUT_MS: Milliseconds = 1_000;
const RETRY_DELAY_MS: Milliseconds = 100;

/**
 * Creates the writer of one term.
 *
 * @param options the topic, the term and the check that this process leads
 * @returns the writer; it has not called the store yet
 */
export function createJournal(options: JournalOptions): Journal {
  const { store, topic, term, isLeading, log } = options;
  /** Number of the next append, by which the store detects repeated ones. */
  let sequence = 0;

  const write = async (
    records: readonly KeyedValue[],
  ): Promise<number | undefined> => {
    let failures = 0;
    while (isLeading()) {
      try {
        const result = await store.append(topic, records, {
          fence: { writer: WRITER_NAME, term, sequence },
          timeoutMs: APPEND_TIMEOUT_MS,
        });
        if (result.kind === "fenced") {
          log.warn({ term }, "journal append rejected: fenced by a later lead");
          return undefined;
        }
        if (result.kind === "outOfSequence") {
          log.warn({ term, sequence, ...result }, "journal sequence corrected");
          sequence = result.expected;
          continue;
        }
        sequence += 1;
        return result.endOffset;
      } catch (error) {
        failures += 1;
        if (failures === 1) {
          log.warn(
            { term, error: describeError(error) },
            "journal append failed; trying again",
          );
        }
        // The retry has the same sequence number, so that the records are
        // stored only once.
        await pause(RETRY_DELAY_MS);
      }
    }
    return undefined;
  };

  return {
    open: () => write([]),
    append: async (records) => {
      const values = records.flatMap(encodeRecord);
      while (values.length > 0) {
        const count = countFittingRecords(
          values.map(sizeOfRecord),
          store.limits,
        );
        if (await write(values.splice(0, count)) === undefined) return false;
      }
      return true;
    },
  };
}
