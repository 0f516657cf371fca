import {
  type Clock,
  describeError,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  addStoredProgress,
  type CellRecord,
  isProgressRecord,
  type StoredProgress,
} from "@rattanhill/scheduler";
import { createJournal, type JournalOptions } from "./journal.ts";
import type { StoredRecord } from "./store.ts";
import { decodeStoredRecords } from "./stored_records.ts";
import { startWorkSlices } from "./work_slices.ts";

/**
 * Fenced writer of a lead's records to both topics of its cell: the journal,
 * which every entry reads, and the progress of jobs, which only leads read.
 */
export interface CellJournal {
  /**
   * Fences all earlier leads in both topics.
   *
   * @returns offset of the journal before which all of their records are
   * stored; undefined when this process no longer leads
   */
  open(): Promise<number | undefined>;
  /**
   * Reads the progress that earlier leads stored, with retries while this
   * process leads.
   *
   * @returns the progress; undefined when this process no longer leads
   */
  readProgress(): Promise<StoredProgress | undefined>;
  /**
   * Stores records, in both topics at the same time. They may be stored in part
   * when this process loses the lead: an outcome without the last progress of
   * its job is true all the same, and so is progress without the outcome, which
   * the next lead then stores.
   *
   * @returns the records that the store rejects for good, while all others are
   * stored; undefined when this process no longer leads
   */
  append(
    records: readonly CellRecord[],
  ): Promise<readonly CellRecord[] | undefined>;
}

/** Options of {@link createCellJournal}. */
export interface CellJournalOptions extends JournalOptions {
  /** Topic of the progress of the cell's jobs. */
  progressTopic: string;
  clock: Pick<Clock, "now">;
}

// Time for one page of stored progress. A store that is slowed down 60-fold
// answers in 0.5 s.
const PROGRESS_READ_TIMEOUT_MS: Milliseconds = 1_500;
const PROGRESS_RETRY_DELAY_MS: Milliseconds = 100;

/**
 * Creates the writer of one term.
 *
 * @param options the topics, the term and the check that this process leads
 * @returns the writer; it has not called the store yet
 */
export function createCellJournal(options: CellJournalOptions): CellJournal {
  const { store, progressTopic, term, isLeading, clock, log } = options;
  const journal = createJournal(options);
  const progressJournal = createJournal({ ...options, topic: progressTopic });

  const append = async (
    records: readonly CellRecord[],
  ): Promise<readonly CellRecord[] | undefined> => {
    const [rejectedProgress, rejectedOthers] = await Promise.all([
      progressJournal.append(records.filter(isProgressRecord)),
      journal.append(records.filter((record) => !isProgressRecord(record))),
    ]);
    if (rejectedProgress === undefined || rejectedOthers === undefined) {
      return undefined;
    }
    return [...rejectedProgress, ...rejectedOthers];
  };

  /** Decodes progress in slices, in the order in which it was stored. */
  const decodeProgress = async (
    records: readonly StoredRecord[],
  ): Promise<StoredProgress> => {
    const progress: StoredProgress = new Map();
    const endSlice = startWorkSlices(clock);
    for (const stored of records.toSorted((a, b) => a.offset - b.offset)) {
      for (const record of decodeStoredRecords([stored], log)) {
        addStoredProgress(progress, record);
      }
      await endSlice();
    }
    return progress;
  };

  const readProgress = async (): Promise<StoredProgress | undefined> => {
    while (isLeading()) {
      try {
        const { records } = await store.readNewest(
          progressTopic,
          PROGRESS_READ_TIMEOUT_MS,
        );
        return await decodeProgress(records);
      } catch (error) {
        log.warn(
          { term, error: describeError(error) },
          "progress of jobs could not be read; trying again",
        );
        await pause(PROGRESS_RETRY_DELAY_MS);
      }
    }
    return undefined;
  };

  return {
    open: async () => {
      const [journalEnd, progressEnd] = await Promise.all([
        journal.open(),
        progressJournal.open(),
      ]);
      return progressEnd === undefined ? undefined : journalEnd;
    },
    readProgress,
    append,
  };
}
