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
import {
  countFittingRecords,
  PREFERRED_CALL_BYTES,
  sizeOfRecord,
} from "./append_limits.ts";
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
   * @returns the records that the store rejects for good, while all others are
   * stored; undefined when this process no longer leads, with any of them stored
   */
  append(
    records: readonly CellRecord[],
  ): Promise<readonly CellRecord[] | undefined>;
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

/** A value to append, and the record that it is part of. */
interface EncodedValue {
  record: CellRecord;
  value: KeyedValue;
}

/**
 * Creates the writer of one term.
 *
 * @param options the topic, the term and the check that this process leads
 * @returns the writer; it has not called the store yet
 */
export function createJournal(options: JournalOptions): Journal {
  const { store, topic, term, isLeading, log } = options;
  const limits = {
    callBytes: Math.min(store.limits.callBytes, PREFERRED_CALL_BYTES),
  };
  /** Number of the next append, by which the store detects repeated ones. */
  let sequence = 0;

  /**
   * Makes one append, with retries after answers that may change.
   *
   * @returns the end offset; `rejected` if the store would reject the same
   * records again; undefined when this process no longer leads
   */
  const write = async (
    records: readonly KeyedValue[],
  ): Promise<number | "rejected" | undefined> => {
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
        if (result.kind === "rejected") {
          if (records.length > 0) return "rejected";
          throw new Error(`store rejects an empty append: ${result.status}`);
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

  /**
   * Appends values that fit into one call. If the store rejects them, they are
   * appended in halves, until those that it rejects are alone.
   *
   * @returns the rejected values; undefined when this process no longer leads
   */
  const writeAccepted = async (
    values: readonly EncodedValue[],
  ): Promise<readonly EncodedValue[] | undefined> => {
    const outcome = await write(values.map(({ value }) => value));
    if (outcome === undefined) return undefined;
    if (outcome !== "rejected") return [];
    if (values.length === 1) {
      // While the store takes no append at all, that says nothing of this value.
      if (await write([]) === undefined) return undefined;
      const [{ value }] = values;
      const secondOutcome = await write([value]);
      if (secondOutcome !== "rejected") {
        return secondOutcome === undefined ? undefined : [];
      }
      const bytes = sizeOfRecord(value);
      log.error({ term, key: value.key, bytes }, "journal record rejected");
      return values;
    }
    const middle = Math.ceil(values.length / 2);
    const rejected: EncodedValue[] = [];
    for (const half of [values.slice(0, middle), values.slice(middle)]) {
      const rejectedInHalf = await writeAccepted(half);
      if (rejectedInHalf === undefined) return undefined;
      rejected.push(...rejectedInHalf);
    }
    return rejected;
  };

  return {
    open: async () => {
      const end = await write([]);
      return end === "rejected" ? undefined : end;
    },
    append: async (records) => {
      const values = records.flatMap((record) =>
        encodeRecord(record).map((value) => ({ record, value }))
      );
      const rejected = new Set<CellRecord>();
      while (values.length > 0) {
        const sizes = values.map(({ value }) => sizeOfRecord(value));
        const count = countFittingRecords(sizes, limits);
        const rejectedValues = await writeAccepted(values.splice(0, count));
        if (rejectedValues === undefined) return undefined;
        for (const { record } of rejectedValues) rejected.add(record);
      }
      return [...rejected];
    },
  };
}
