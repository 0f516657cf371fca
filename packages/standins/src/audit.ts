import { sha256Hex } from "@rattanhill/protocol";
import type { JournalLine } from "./system.ts";

/** Final outcome of one request, as its caller received it. */
export interface CallerRecord {
  key: string;
  class: string;
  parts: number;
  repeatable: boolean;
  /** Text of the payload. */
  payload: string;
  outcome: "done" | "failed" | "not-run" | "unknown";
  /** Answer of the task, or an array with one answer per part of a gang job. */
  answer?: unknown;
  /** Time from the first attempt to the last response. */
  completionMs: number;
  /** HTTP status of the last response; absent when there was none. */
  status?: number;
  /** Whether the job was accepted with 202. */
  accepted?: boolean;
}

/** Number of violations of each guarantee towards callers. */
export interface AuditResult {
  /**
   * Requests reported as done of which no attempt ran all parts to the end, and
   * accepted jobs whose outcome never reached the caller.
   */
  lost: number;
  /** Non-repeatable requests of which a part was started more than once. */
  doubled: number;
  /**
   * Attempts of gang jobs in which some parts ended and others did not start or
   * were stopped.
   */
  partialGangs: number;
  /** Requests reported as not run of which a task started. */
  falseNotRun: number;
  /** Requests whose answer belongs to another request or is incomplete. */
  wrongAnswers: number;
}

/**
 * Checks the outcomes that callers received against the workers' journal.
 *
 * @param records requests with their final outcomes and answers
 * @param journal starts and ends of tasks, as written by the workers
 * @returns violations of each guarantee; all 0 when there is none
 */
export function audit(
  records: readonly CallerRecord[],
  journal: readonly JournalLine[],
): AuditResult {
  const byKey = groupBy(journal, (line) => line.key);
  const result: AuditResult = {
    lost: 0,
    doubled: 0,
    partialGangs: countPartialGangs(journal),
    falseNotRun: 0,
    wrongAnswers: 0,
  };
  for (const record of records) {
    const lines = byKey.get(record.key) ?? [];
    const isDone = record.outcome === "done";
    if (isDone && !hasCompleteAttempt(lines, record.parts)) result.lost += 1;
    if (isDone && !isAnswerToRequest(record)) result.wrongAnswers += 1;
    const hasStarted = lines.some(({ event }) => event === "started");
    if (record.outcome === "not-run" && hasStarted) result.falseNotRun += 1;
    if (record.accepted && record.outcome === "unknown") result.lost += 1;
  }
  result.doubled = countDoubleStarts(journal);
  return result;
}

/** Counts non-repeatable requests with a part that was started repeatedly. */
function countDoubleStarts(journal: readonly JournalLine[]): number {
  const starts = new Map<string, number>();
  for (const { event, repeatable, account, key, part } of journal) {
    if (event !== "started" || repeatable) continue;
    const partKey = `${account}/${key}/${part}`;
    starts.set(partKey, (starts.get(partKey) ?? 0) + 1);
  }
  const requestKeys = [...starts].filter(([, count]) => count > 1)
    .map(([name]) => name.slice(0, name.lastIndexOf("/")));
  return new Set(requestKeys).size;
}

function countPartialGangs(journal: readonly JournalLine[]): number {
  const attempts = groupBy(
    journal.filter(({ parts }) => parts > 1),
    ({ request, attempt }) => `${request}/${attempt}`,
  );
  let partial = 0;
  for (const lines of attempts.values()) {
    const partsWith = (event: JournalLine["event"]) =>
      new Set(
        lines.filter((line) => line.event === event).map(({ part }) => part),
      );
    const started = partsWith("started");
    const ended = partsWith("ended");
    const stopped = partsWith("stopped");
    // A part that started and neither ended nor stopped was lost with its
    // worker. The attempt cannot complete, but it did start as a whole.
    const hasLostWorker = started.size === lines[0].parts &&
      ended.size + stopped.size < started.size;
    const isPartial = ended.size > 0 && ended.size < lines[0].parts;
    if (isPartial && !hasLostWorker) partial += 1;
  }
  return partial;
}

function hasCompleteAttempt(
  lines: readonly JournalLine[],
  parts: number,
): boolean {
  const byAttempt = groupBy(
    lines.filter(({ event }) => event === "ended"),
    ({ attempt, request }) => `${request}/${attempt}`,
  );
  return [...byAttempt.values()].some((ended) =>
    new Set(ended.map(({ part }) => part)).size === parts
  );
}

function isAnswerToRequest(record: CallerRecord): boolean {
  const answers = record.parts === 1 ? [record.answer] : record.answer;
  if (!Array.isArray(answers) || answers.length !== record.parts) return false;
  const digest = sha256Hex(record.payload);
  return answers.every((answer, part) =>
    answer?.payloadDigest === digest && answer?.part === part &&
    answer?.parts === record.parts
  );
}

function groupBy<Value>(
  values: readonly Value[],
  keyOf: (value: Value) => string,
): Map<string, Value[]> {
  const groups = new Map<string, Value[]>();
  for (const value of values) {
    const groupKey = keyOf(value);
    const group = groups.get(groupKey);
    if (group === undefined) groups.set(groupKey, [value]);
    else group.push(value);
  }
  return groups;
}
