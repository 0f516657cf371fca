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
import { countFittingRecords, sizeOfRecord } from "./append_groups.ts";
import type { Store } from "./store.ts";

/** Writes the lead's records; an earlier lead can write none after it. */
export interface Journal {
  /**
   * Keeps earlier leads out.
   *
   * @returns offset before which all of their records are; undefined when this
   * lead was overtaken itself
   */
  open(): Promise<number | undefined>;
  /**
   * Stores records in their order, trying again for as long as this lead
   * lasts. What does not fit one call is stored part by part.
   *
   * @returns whether they are stored
   */
  append(records: readonly CellRecord[]): Promise<boolean>;
}

/** Options of {@link createJournal}. */
export interface JournalOptions {
  store: Store;
  topic: string;
  term: number;
  /** Whether this process still leads. */
  isLeading(): boolean;
  log: Logger;
}

/** Fenced writer of a cell's journal. */
const WRITER_NAME = "lead";
const APPEND_TIMEOUT_MS: Milliseconds = 1_000; // a store slowed sixtyfold takes 0.3 s
const RETRY_DELAY_MS: Milliseconds = 100;

/**
 * Creates the journal of one term.
 *
 * @param options the topic and the term
 * @returns the journal
 */
export function createJournal(options: JournalOptions): Journal {
  const { store, topic, term, isLeading, log } = options;
  let sequence = 0;

  const appendFenced = async (
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
          log.warn({ term }, "journal closed by a later lead");
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
            "journal not written",
          );
        }
        // Repeating the sequence number stores the records once.
        await pause(RETRY_DELAY_MS);
      }
    }
    return undefined;
  };

  return {
    open: () => appendFenced([]),
    append: async (records) => {
      const values = records.flatMap(encodeRecord);
      while (values.length > 0) {
        const count = countFittingRecords(
          values.map(sizeOfRecord),
          store.limits,
        );
        if (await appendFenced(values.splice(0, count)) === undefined) {
          return false;
        }
      }
      return true;
    },
  };
}
