import type { StepState } from "./cell_state.ts";
import { type CellRecord, encodeProgress, type StepRecord } from "./records.ts";
import { stepRecordOf } from "./step_record.ts";

/** Range of the indices of a step's tasks. */
export interface TaskRange {
  first: number;
  /** Index behind the last one. */
  end: number;
}

/** A record of the progress of a step or of a range of its tasks. */
export type ProgressRecord = CellRecord & { kind: "progress" };

/**
 * Values of the progress of a step that is stored in parts, by the key of the
 * part. They lack the highest run number, which only changes together with the
 * runs of a part.
 */
export type ProgressParts = Map<string, string>;

/** The records that bring the stored progress of a step up to date. */
export interface ProgressUpdate {
  records: CellRecord[];
  /** All parts of the step; undefined if it is stored as a whole. */
  parts?: ProgressParts;
}

const RANGE_PATTERN = /^(.+):(\d+)-(\d+)$/;

/** @returns the key of the progress of a range of a step's tasks */
export function partKeyOf(step: string, { first, end }: TaskRange): string {
  return `${step}:${first}-${end}`;
}

/**
 * @returns the key of the step that a key of stored progress belongs to, and the
 * range of its tasks; undefined for all of them
 */
export function parseProgressKey(
  key: string,
): { step: string; range?: TaskRange } {
  const match = RANGE_PATTERN.exec(key);
  if (match === null) return { step: key };
  const [, step, first, end] = match;
  return { step, range: { first: Number(first), end: Number(end) } };
}

/**
 * Computes the records of a step's progress. They are one record, unless that
 * does not fit into the store; then there is one for each of as many ranges of
 * tasks as needed, and only those that have changed are stored again. A step
 * that was stored in parts stays so.
 *
 * @param step the step
 * @param fits returns whether the store takes a record
 * @returns the records to store
 */
export function updateProgress(
  step: StepState,
  fits: (record: ProgressRecord) => boolean,
): ProgressUpdate {
  const progress = stepRecordOf(step);
  const whole: ProgressRecord = { kind: "progress", step: step.key, progress };
  if (step.storedParts.size === 0 && fits(whole)) return { records: [whole] };
  const parts: ProgressParts = new Map();
  const records: CellRecord[] = [];
  const range = { first: 0, end: step.spec.taskCount };
  for (const part of splitProgress(whole, range, fits)) {
    const value = encodeProgress({ ...part.progress, highestRun: 0 });
    parts.set(part.step, value);
    if (step.storedParts.get(part.step) !== value) records.push(part);
  }
  const earlierKeys = step.storedParts.size === 0
    ? [step.key]
    : step.storedParts.keys();
  for (const key of earlierKeys) {
    if (!parts.has(key)) records.push({ kind: "progressRemoval", step: key });
  }
  return { records, parts };
}

/** Halves the range of a step's tasks until the record of each part fits. */
function splitProgress(
  whole: ProgressRecord,
  range: TaskRange,
  fits: (record: ProgressRecord) => boolean,
): ProgressRecord[] {
  const part: ProgressRecord = {
    kind: "progress",
    step: partKeyOf(whole.step, range),
    progress: restrictTo(whole.progress, range),
  };
  if (fits(part)) return [part];
  const { first, end } = range;
  // A task that does not fit starts from the beginning again under the next lead.
  if (end - first <= 1) {
    return [{ ...part, progress: { ...part.progress, checkpoints: [] } }];
  }
  const middle = Math.floor((first + end) / 2);
  return [
    ...splitProgress(whole, { first, end: middle }, fits),
    ...splitProgress(whole, { first: middle, end }, fits),
  ];
}

/** Returns the part of a record that concerns a range of tasks. */
function restrictTo(record: StepRecord, range: TaskRange): StepRecord {
  return filterTasks(record, (task) => isWithin(task, range));
}

function isWithin(task: number, { first, end }: TaskRange): boolean {
  return task >= first && task < end;
}

function filterTasks(
  { highestRun, done, runs, failedRuns, checkpoints, crashes }: StepRecord,
  isKept: (task: number) => boolean,
): StepRecord {
  return {
    highestRun,
    done: done.filter(isKept),
    runs: runs.filter(([task]) => isKept(task)),
    failedRuns: failedRuns.filter(([task]) => isKept(task)),
    checkpoints: checkpoints.filter(([task]) => isKept(task)),
    crashes: crashes.filter(([task]) => isKept(task)),
  };
}

/**
 * Merges a record of a step's progress into that of earlier ones. What they say
 * of the tasks in its range is outdated.
 *
 * @param earlier the merged earlier records
 * @param later the later record
 * @param range the tasks that the later record is about
 * @returns the merged record, without its keys
 */
export function mergeProgress(
  earlier: StepRecord,
  later: StepRecord,
  range: TaskRange,
): StepRecord {
  const others = filterTasks(earlier, (task) => !isWithin(task, range));
  return {
    highestRun: Math.max(earlier.highestRun, later.highestRun),
    done: [...others.done, ...later.done],
    runs: [...others.runs, ...later.runs],
    failedRuns: [...others.failedRuns, ...later.failedRuns],
    checkpoints: [...others.checkpoints, ...later.checkpoints],
    crashes: [...others.crashes, ...later.crashes],
  };
}
