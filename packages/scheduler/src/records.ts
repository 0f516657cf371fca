import type { Milliseconds } from "@rattanhill/shared";
import type { Identities, Identity } from "./identities.ts";
import type { JobOutcome, JobSpec } from "./job_types.ts";
import type { NumberRange } from "./number_ranges.ts";

/** Stored progress of a step of an occurrence; replaces the previous record. */
export interface StepRecord {
  /** Highest run number assigned so far. */
  highestRun: number;
  /** Indices of the tasks that ended successfully. */
  done: number[];
  /**
   * Runs that may exist: task index, run number, worker id, its lifetime and its
   * VM; records of earlier versions lack the VM.
   */
  runs: [
    index: number,
    run: number,
    worker: string,
    lifetime: number,
    vm?: string,
  ][];
  /** Numbers of the failed runs of each task; a gang counts as its task 0. */
  failedRuns: [index: number, runs: number[]][];
  /** Newest checkpoint of each task; a gang keeps one as its task 0. */
  checkpoints: [index: number, checkpoint: string][];
  /**
   * Unexplained crashes of workers by the task that they ran, those of them that
   * it is suspected of, and whether its starts were confirmed; records of
   * earlier versions lack the last.
   */
  crashes: [
    index: number,
    met: string[],
    suspected: string[],
    areConfirmed?: boolean,
  ][];
  /**
   * Keys of the records that it was read from; undefined for one record of the
   * whole step.
   */
  keys?: string[];
}

/** A record of a cell, stored under one or more keys. */
export type CellRecord =
  | { kind: "submission"; spec: JobSpec }
  | { kind: "cancellation"; job: string }
  /** A run of one of the job's tasks was placed for the first time. */
  | { kind: "start"; job: string }
  /** The key is that of a step, or of a range of its tasks. */
  | { kind: "progress"; step: string; progress: StepRecord }
  /** Deletes the progress under the key of a step or of a range of its tasks. */
  | { kind: "progressRemoval"; step: string }
  /** Names all occurrences whose progress was deleted since they are finished. */
  | { kind: "finishedOccurrences"; job: string; ranges: NumberRange[] }
  | { kind: "outcome"; job: string; outcome: JobOutcome; at: Milliseconds }
  /** Identities of all queues and client accounts. */
  | { kind: "identities"; identities: Identities }
  /** Deletes all records of an ended job. */
  | { kind: "removal"; job: string; steps: string[] };

/**
 * Tests whether only the lead needs a record. All other records are read by
 * every entry, which answers callers from them.
 */
export function isProgressRecord({ kind }: CellRecord): boolean {
  return kind === "progress" || kind === "progressRemoval";
}

/** A key and its value; without a value, the key is to be deleted. */
export interface KeyedValue {
  key: string;
  value?: string;
}

const KEY_PREFIX = {
  submission: "job/",
  cancellation: "cancel/",
  start: "start/",
  progress: "step/",
  outcome: "end/",
  finishedOccurrences: "finished/",
  identities: "identities/",
} as const;

/** @returns the value under which the progress of a step is stored */
export function encodeProgress(progress: StepRecord): string {
  const { highestRun, done, runs, failedRuns, checkpoints, crashes } = progress;
  // Earlier versions read the number of failed runs.
  const failures = failedRuns.map(([index, { length }]) => [index, length]);
  return JSON.stringify([
    highestRun,
    done,
    runs,
    failures,
    checkpoints,
    crashes,
    failedRuns,
  ]);
}

/**
 * Encodes a record for the store.
 *
 * @param record the record
 * @returns one key with its value; for a removal, all keys of the job without
 * values
 */
export function encodeRecord(record: CellRecord): KeyedValue[] {
  switch (record.kind) {
    case "submission": {
      const { id, ...rest } = record.spec;
      return [{ key: KEY_PREFIX.submission + id, value: JSON.stringify(rest) }];
    }
    case "cancellation":
      return [{ key: KEY_PREFIX.cancellation + record.job, value: "1" }];
    case "start":
      return [{ key: KEY_PREFIX.start + record.job, value: "1" }];
    case "progressRemoval":
      return [{ key: KEY_PREFIX.progress + record.step }];
    case "progress":
      return [{
        key: KEY_PREFIX.progress + record.step,
        value: encodeProgress(record.progress),
      }];
    case "finishedOccurrences":
      return [{
        key: KEY_PREFIX.finishedOccurrences + record.job,
        value: JSON.stringify(record.ranges),
      }];
    case "outcome":
      return [{
        key: KEY_PREFIX.outcome + record.job,
        value: JSON.stringify([record.outcome, record.at]),
      }];
    case "identities":
      return [{
        key: KEY_PREFIX.identities,
        value: encodeIdentities(record.identities),
      }];
    case "removal":
      return [
        ...record.steps.map((step) => ({ key: KEY_PREFIX.progress + step })),
        { key: KEY_PREFIX.cancellation + record.job },
        { key: KEY_PREFIX.start + record.job },
        { key: KEY_PREFIX.outcome + record.job },
        { key: KEY_PREFIX.finishedOccurrences + record.job },
        { key: KEY_PREFIX.submission + record.job },
      ];
  }
}

/**
 * Decodes a record from the store.
 *
 * @param key key of the record
 * @param value its value; undefined when the key was deleted
 * @returns the record; undefined for unknown keys and for deletions of other
 * keys than submissions
 * @throws SyntaxError when the value is not valid JSON
 */
export function decodeRecord(
  key: string,
  value: string | undefined,
): CellRecord | undefined {
  const slash = key.indexOf("/") + 1;
  const name = key.slice(slash);
  switch (key.slice(0, slash)) {
    case KEY_PREFIX.submission:
      if (value === undefined) return { kind: "removal", job: name, steps: [] };
      return { kind: "submission", spec: { id: name, ...JSON.parse(value) } };
    case KEY_PREFIX.cancellation:
      return value === undefined
        ? undefined
        : { kind: "cancellation", job: name };
    case KEY_PREFIX.start:
      return value === undefined ? undefined : { kind: "start", job: name };
    case KEY_PREFIX.progress: {
      if (value === undefined) return undefined;
      const [
        highestRun,
        done,
        runs,
        failures,
        checkpoints,
        crashes,
        failedRuns,
      ] = JSON.parse(value);
      return {
        kind: "progress",
        step: name,
        progress: {
          highestRun,
          done,
          runs: shareIfEmpty(runs),
          // Records of earlier versions lack the last two.
          failedRuns: shareIfEmpty(failedRuns ?? failures.map(toFailedRuns)),
          checkpoints: shareIfEmpty(checkpoints),
          crashes: shareIfEmpty(crashes ?? []),
        },
      };
    }
    case KEY_PREFIX.finishedOccurrences: {
      if (value === undefined) return undefined;
      const ranges = JSON.parse(value);
      return { kind: "finishedOccurrences", job: name, ranges };
    }
    case KEY_PREFIX.identities:
      return value === undefined
        ? undefined
        : { kind: "identities", identities: decodeIdentities(value) };
    case KEY_PREFIX.outcome: {
      if (value === undefined) return undefined;
      const [outcome, at] = JSON.parse(value);
      return { kind: "outcome", job: name, outcome, at };
    }
    default:
      return undefined;
  }
}

type IdentityRow = [
  id: string,
  name: string,
  marks: readonly string[],
  pastMarks: readonly string[],
];

function encodeIdentities({ version, queues, accounts }: Identities): string {
  const toRow = ({ id, name, marks, pastMarks }: Identity): IdentityRow => [
    id,
    name,
    marks,
    pastMarks,
  ];
  return JSON.stringify([version, queues.map(toRow), accounts.map(toRow)]);
}

function decodeIdentities(value: string): Identities {
  const [version, queues, accounts] = JSON.parse(value);
  const fromRow = ([id, name, marks, pastMarks]: IdentityRow): Identity => ({
    id,
    name,
    marks,
    pastMarks,
  });
  return {
    version,
    queues: queues.map(fromRow),
    accounts: accounts.map(fromRow),
  };
}

const NO_ITEMS: never[] = [];

/** Returns one list for all empty ones, of which stored progress has many. */
function shareIfEmpty<Item>(list: Item[]): Item[] {
  return list.length === 0 ? NO_ITEMS : list;
}

/**
 * Returns failed runs for the count of an earlier version, which did not store
 * their numbers. The numbers are those of no run.
 */
function toFailedRuns(
  [index, count]: [index: number, count: number],
): [index: number, runs: number[]] {
  return [index, Array.from({ length: count }, (_, position) => -position)];
}
