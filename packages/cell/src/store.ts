import type { Milliseconds } from "@rattanhill/shared";
import type { AppendLimits } from "./append_limits.ts";
import type { KeyedValue } from "@rattanhill/scheduler";

/** Fencing token and sequence number of an append, which make it idempotent. */
export interface Fence {
  /** Name of the writer; the store compares terms of the same writer only. */
  writer: string;
  /**
   * Fencing token; appends with a lower term than the highest seen are
   * rejected.
   */
  term: number;
  /**
   * Number of the append within the term; a repeated number is not appended
   * again.
   */
  sequence: number;
}

/** Conditions and time limit of an append. */
export interface AppendConditions {
  /** Offset at which the topic must end for the append to be done. */
  expectedEndOffset?: number;
  fence?: Fence;
  timeoutMs: Milliseconds;
}

/** Answer of the store to an append. */
export type AppendResult =
  | { kind: "appended"; endOffset: number }
  /** Nothing was appended: the topic ends at another offset than required. */
  | { kind: "moved"; endOffset: number }
  /** Nothing was appended: the store has seen a higher term. */
  | { kind: "fenced" }
  /** Nothing was appended: the store expects another sequence number. */
  | { kind: "outOfSequence"; expected: number }
  /**
   * Nothing was appended: the store rejects the request as invalid or too large,
   * and would do so again.
   */
  | { kind: "rejected"; status: number };

/** A record with its offset in the topic. */
export interface StoredRecord extends KeyedValue {
  offset: number;
}

/** Answer of the store to a read. */
export type ReadResult =
  | {
    kind: "records";
    records: StoredRecord[];
    /** Offset behind the last record of the answer. */
    nextOffset: number;
    /**
     * Offset at which the topic ended; larger than `nextOffset` when one answer
     * could not hold all records.
     */
    endOffset: number;
  }
  /** The records at the offset were deleted. */
  | { kind: "expired" };

/**
 * Client of the platform's store: topics of keyed records, each with one
 * partition.
 */
export interface Store {
  readonly limits: AppendLimits;
  /**
   * Appends records atomically.
   *
   * @throws UnavailableError when nothing was appended
   * @throws UncertainError when they may have been appended, or may still be
   */
  append(
    topic: string,
    records: readonly KeyedValue[],
    conditions: AppendConditions,
  ): Promise<AppendResult>;
  /**
   * Reads records from an offset on, and waits for one when there is none yet.
   *
   * @throws UnavailableError, UncertainError when there was no usable answer
   */
  read(
    topic: string,
    from: number,
    limits: { waitMs: Milliseconds; timeoutMs: Milliseconds },
  ): Promise<ReadResult>;
  /**
   * Reads the newest record of each key.
   *
   * @returns the records, and the lowest end offset of the topic during the
   * read; changes that the records do not reflect are at this offset or later
   */
  readNewest(
    topic: string,
    timeoutMs: Milliseconds,
  ): Promise<{ records: StoredRecord[]; endOffset: number }>;
  close(): Promise<void>;
}

/** Topics that operators and workers write to. */
export const PlatformTopic = {
  /** Configuration and planned maintenance. */
  operators: "operators",
  /** Entries of the workers. */
  workers: "workers",
} as const;

/** @returns the topic of the progress of a cell's jobs, read by its lead */
export function progressTopic(cell: number): string {
  return `progress-${cell}`;
}

/** @returns the topic of a cell's journal */
export function journalTopic(cell: number): string {
  return `cell-${cell}`;
}

/** @returns the topic of the lease records of a cell's lead */
export function leadTopic(cell: number): string {
  return `lead-${cell}`;
}
