import { createIdentifier, pause } from "@rattanhill/shared";
import type { AnswerBody, ProblemBody } from "@rattanhill/protocol";
import { Agent, request } from "undici";
import type { CallerRecord } from "./audit.ts";

/** A request that a caller wants answered. */
export interface CallerRequest {
  bearer: string;
  class: string;
  parts?: number;
  accelerators?: number;
  adjacent?: string;
  repeatable: boolean;
  payload: unknown;
  expectedMs?: number;
  deadlineMs?: number;
  /** Idempotency key; a new UUIDv7 when absent. */
  key?: string;
  /** Whether the caller takes an identifier first and the result later. */
  isAsync?: boolean;
}

/** Options of {@link callUntilAnswered}. */
export interface CallerOptions {
  /** Base addresses behind the balancer; called anew for every try. */
  targets(): readonly string[];
  /** Time after which the caller gives up. */
  patienceMs: number;
  /** Time after which a silent try is repeated elsewhere. */
  tryMs: number;
  /** @returns a number from 0 up to 1 */
  random(): number;
  /** Whether a final "not run" is tried again. */
  retryNotRun?: boolean;
}

const RETRY_MS = 100;
const agent = new Agent({
  connections: 256,
  pipelining: 1,
  bodyTimeout: 0,
  headersTimeout: 0,
});

/**
 * Behaves as the callers of the brief: retries under the same key until there is a final answer.
 *
 * @param wanted the request
 * @param options entries and patience
 * @returns the request with its final answer; `unknown` when the patience ended first
 */
export async function callUntilAnswered(
  wanted: CallerRequest,
  options: CallerOptions,
): Promise<CallerRecord> {
  const startedAt = performance.now();
  const key = wanted.key ?? createIdentifier();
  const record = (
    outcome: CallerRecord["outcome"],
    answer?: unknown,
  ): CallerRecord => ({
    key,
    class: wanted.class,
    parts: wanted.parts ?? 1,
    repeatable: wanted.repeatable,
    payload: JSON.stringify(wanted.payload),
    outcome,
    answer,
    completionMs: performance.now() - startedAt,
    status: lastStatus,
    accepted: jobId !== undefined,
  });
  let last: CallerRecord["outcome"] = "unknown";
  let lastStatus: number | undefined;
  let jobId: string | undefined;
  while (performance.now() - startedAt < options.patienceMs) {
    const reply = await sendOnce(wanted, key, jobId, options);
    if (reply === undefined) {
      await pause(RETRY_MS);
      continue;
    }
    const { status, body } = reply;
    lastStatus = status;
    if (status === 202) {
      jobId = (body as { id: string }).id;
      continue;
    }
    if (status === 200) return record("done", (body as AnswerBody).answer);
    const problem = body as ProblemBody & { retryAfterMs?: number };
    last = problem.outcome;
    // 503 asks to come back, whatever is known of the request.
    if (last !== "not-run" && status !== 503) return record(last);
    const isFinal = status === 422 || status === 410 || status < 410;
    if (isFinal || options.retryNotRun === false) return record(last);
    await pause(Math.max(RETRY_MS, problem.retryAfterMs ?? RETRY_MS));
  }
  return record(last);
}

async function sendOnce(
  wanted: CallerRequest,
  key: string,
  jobId: string | undefined,
  options: CallerOptions,
): Promise<{ status: number; body: unknown } | undefined> {
  const targets = options.targets();
  const target = targets[Math.floor(options.random() * targets.length)];
  const { bearer, isAsync, key: _key, ...body } = wanted;
  const headers: Record<string, string> = {
    authorization: `Bearer ${bearer}`,
    "content-type": "application/json",
    "idempotency-key": key,
  };
  if (isAsync) headers.prefer = "respond-async";
  try {
    const response = jobId === undefined
      ? await request(`${target}/v1/requests`, {
        method: "POST",
        headers,
        body: JSON.stringify(body),
        dispatcher: agent,
        signal: AbortSignal.timeout(options.tryMs),
      })
      : await request(`${target}/v1/requests/${jobId}?wait=2000`, {
        headers,
        dispatcher: agent,
        signal: AbortSignal.timeout(options.tryMs),
      });
    const text = await response.body.text();
    return { status: response.statusCode, body: JSON.parse(text) };
  } catch {
    return undefined;
  }
}
