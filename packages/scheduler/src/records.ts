import type { Milliseconds } from "@rattanhill/shared";
import type { JobOutcome, JobSpec } from "./job_types.ts";

/** Stored progress of one step of one occurrence; replaces the record before. */
export interface StepRecord {
  /** Highest number given to a run of the step. */
  highestRun: number;
  /** Tasks that ended successfully. */
  done: number[];
  /** Runs that may exist: task, run, worker, lifetime of the worker. */
  runs: [index: number, run: number, worker: string, lifetime: number][];
  /** Failed attempts of each task; a gang counts as its task 0. */
  failures: [index: number, count: number][];
  /** Newest checkpoint of each task; a gang keeps one as its task 0. */
  checkpoints: [index: number, checkpoint: string][];
}

/** A keyed record of a cell's journal. */
export type CellRecord =
  | { kind: "submission"; spec: JobSpec }
  | { kind: "cancellation"; job: string }
  | { kind: "progress"; step: string; progress: StepRecord }
  | { kind: "outcome"; job: string; outcome: JobOutcome; at: Milliseconds }
  /** Removes everything about a job that ended long ago. */
  | { kind: "removal"; job: string; steps: string[] };

/** A key with its value; no value drops the key. */
export interface KeyedValue {
  key: string;
  value?: string;
}

const PREFIX = {
  submission: "job/",
  cancellation: "cancel/",
  progress: "step/",
  outcome: "end/",
} as const;

/**
 * Encodes a record for the store.
 *
 * @param record what to store
 * @returns one key with its value; several keys without a value for a removal
 */
export function encodeRecord(record: CellRecord): KeyedValue[] {
  switch (record.kind) {
    case "submission": {
      const { id, ...rest } = record.spec;
      return [{ key: PREFIX.submission + id, value: JSON.stringify(rest) }];
    }
    case "cancellation":
      return [{ key: PREFIX.cancellation + record.job, value: "1" }];
    case "progress": {
      const { highestRun, done, runs, failures, checkpoints } = record.progress;
      const value = [highestRun, done, runs, failures, checkpoints];
      return [{
        key: PREFIX.progress + record.step,
        value: JSON.stringify(value),
      }];
    }
    case "outcome":
      return [{
        key: PREFIX.outcome + record.job,
        value: JSON.stringify([record.outcome, record.at]),
      }];
    case "removal":
      return [
        ...record.steps.map((step) => ({ key: PREFIX.progress + step })),
        { key: PREFIX.cancellation + record.job },
        { key: PREFIX.outcome + record.job },
        { key: PREFIX.submission + record.job },
      ];
  }
}

/**
 * Decodes a record of the store.
 *
 * @param key key of the record
 * @param value its value; undefined when the key was dropped
 * @returns the record, or undefined when there is nothing to take from it
 * @throws SyntaxError when the value is not one of ours
 */
export function decodeRecord(
  key: string,
  value: string | undefined,
): CellRecord | undefined {
  const slash = key.indexOf("/") + 1;
  const name = key.slice(slash);
  switch (key.slice(0, slash)) {
    case PREFIX.submission:
      if (value === undefined) return { kind: "removal", job: name, steps: [] };
      return { kind: "submission", spec: { id: name, ...JSON.parse(value) } };
    case PREFIX.cancellation:
      return value === undefined
        ? undefined
        : { kind: "cancellation", job: name };
    case PREFIX.progress: {
      if (value === undefined) return undefined;
      const [highestRun, done, runs, failures, checkpoints] = JSON.parse(value);
      return {
        kind: "progress",
        step: name,
        progress: { highestRun, done, runs, failures, checkpoints },
      };
    }
    case PREFIX.outcome: {
      if (value === undefined) return undefined;
      const [outcome, at] = JSON.parse(value);
      return { kind: "outcome", job: name, outcome, at };
    }
    default:
      return undefined;
  }
}
