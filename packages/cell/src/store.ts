import type { Milliseconds } from "@rattanhill/shared";
import type { AppendLimits } from "./append_groups.ts";
import type { KeyedValue } from "@rattanhill/scheduler";

/** Keeps later appends of a fenced writer out. */
export interface Fence {
  /** Name of the writer. */
  writer: string;
  /** A lower term than one already seen is rejected. */
  term: number;
  /** Number of the append within the term; a repeated one is not done twice. */
  sequence: number;
}

/** Conditions of an append. */
export interface AppendConditions {
  /** Offset at which the topic must end. */
  at?: number;
  fence?: Fence;
  timeoutMs: Milliseconds;
}

/** Outcome of an append that was answered. */
export type AppendResult =
  | { kind: "appended"; endOffset: number }
  /** The topic does not end at the wanted offset. */
  | { kind: "moved"; endOffset: number }
  /** A higher term was seen. */
  | { kind: "fenced" }
  | { kind: "outOfSequence"; expected: number };

/** A record with its place. */
export interface StoredRecord extends KeyedValue {
  offset: number;
}

/** Outcome of a read. */
export type ReadResult =
  | { kind: "records"; records: StoredRecord[]; nextOffset: number }
  /** The wanted records were deleted. */
  | { kind: "expired" };

/** The platform's store of keyed records. Topics have one partition each. */
export interface Store {
  readonly limits: AppendLimits;
  /**
   * Appends records, all or none.
   *
   * @throws UnavailableError when nothing was appended
   * @throws UncertainError when they may have been appended, or may be later
   */
  append(
    topic: string,
    records: readonly KeyedValue[],
    conditions: AppendConditions,
  ): Promise<AppendResult>;
  /**
   * Reads from an offset on and waits for the first record.
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
   * @returns the records and the lowest end of the topic while they were read
   */
  newest(
    topic: string,
    timeoutMs: Milliseconds,
  ): Promise<{ records: StoredRecord[]; endOffset: number }>;
  close(): Promise<void>;
}

/** Topics that the operators and the workers write. */
export const PlatformTopic = {
  /** The configuration, and maintenance waves. */
  operators: "operators",
  /** The list of workers. */
  workers: "workers",
} as const;

/** @returns the topic of a cell's journal */
export function journalTopic(cell: number): string {
  return `cell-${cell}`;
}

/** @returns the topic of a cell's lead */
export function leadTopic(cell: number): string {
  return `lead-${cell}`;
}
