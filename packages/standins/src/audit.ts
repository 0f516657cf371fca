import { sha256Hex } from "@rattanhill/protocol";
import type { JournalLine } from "./system.ts";

/** One request as its caller saw it end. */
export interface CallerRecord {
  key: string;
  class: string;
  parts: number;
  repeatable: boolean;
  /** Text of the payload. */
  payload: string;
  outcome: "done" | "failed" | "not-run" | "unknown";
  /** Answer of the task, or of each part of a gang job. */
  answer?: unknown;
  completionMs: number;
  /** HTTP status of the final answer; absent when there was none. */
  status?: number;
  /** Whether the caller was told that the job is accepted. */
  accepted?: boolean;
}

/** What the workers' journal says about the callers' answers. */
export interface AuditResult {
  /** Answered as done, or accepted, and not run to the end. */
  lost: number;
  /** Not repeatable, and started more than once. */
  doubled: number;
  /** Attempts of gang jobs in which some parts ended and others did not start or were stopped. */
  partialGangs: number;
  /** Answered as not run, and started. */
  falseNotRun: number;
  /** Answers that belong to another request or are not whole. */
  wrongAnswers: number;
}

/**
 * Judges answers by the journal of the workers.
 *
 * @param records requests with their final answers
 * @param journal starts and ends, as the workers wrote them
 * @returns counts of broken promises; all 0 when every promise held
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
    const isOver = record.outcome === "done";
    if (isOver && !ranWhole(lines, record.parts)) result.lost += 1;
    if (isOver && !isOwnAnswer(record)) result.wrongAnswers += 1;
    const hasStarted = lines.some(({ event }) => event === "started");
    if (record.outcome === "not-run" && hasStarted) result.falseNotRun += 1;
    if (record.accepted && record.outcome === "unknown") result.lost += 1;
  }
  result.doubled = countDoubled(journal);
  return result;
}

/** A not repeatable request is doubled when one of its parts was started twice. */
function countDoubled(journal: readonly JournalLine[]): number {
  const starts = new Map<string, number>();
  for (const { event, repeatable, account, key, part } of journal) {
    if (event !== "started" || repeatable) continue;
    const name = `${account}/${key}/${part}`;
    starts.set(name, (starts.get(name) ?? 0) + 1);
  }
  const doubled = [...starts].filter(([, count]) => count > 1)
    .map(([name]) => name.slice(0, name.lastIndexOf("/")));
  return new Set(doubled).size;
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
    // Nobody can complete an attempt whose worker died: all of its parts had started.
    const isWorkerDead = started.size === lines[0].parts &&
      ended.size + stopped.size < started.size;
    const isPartial = ended.size > 0 && ended.size < lines[0].parts;
    if (isPartial && !isWorkerDead) partial += 1;
  }
  return partial;
}

function ranWhole(lines: readonly JournalLine[], parts: number): boolean {
  const byAttempt = groupBy(
    lines.filter(({ event }) => event === "ended"),
    ({ attempt, request }) => `${request}/${attempt}`,
  );
  return [...byAttempt.values()].some((ended) =>
    new Set(ended.map(({ part }) => part)).size === parts
  );
}

function isOwnAnswer(record: CallerRecord): boolean {
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
  nameOf: (value: Value) => string,
): Map<string, Value[]> {
  const groups = new Map<string, Value[]>();
  for (const value of values) {
    const name = nameOf(value);
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [value]);
    else group.push(value);
  }
  return groups;
}
