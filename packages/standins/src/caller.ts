import { createIdentifier, pause } from "@rattanhill/shared";
import type { AnswerBody, ProblemBody } from "@rattanhill/protocol";
import { Agent, request } from "undici";
import type { CallerRecord } from "./audit.ts";

/** A request as a caller sends it. */
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
  /** Whether the caller submits a job and polls for its result. */
  isAsync?: boolean;
}

/** Options of {@link callWithRetries}. */
export interface CallerOptions {
  /**
   * @returns base URLs of the entries behind the load balancer; called before
   *   every attempt
   */
  targets(): readonly string[];
  /** Time limit of all attempts together. */
  timeoutMs: number;
  /** Time limit of one attempt, after which another entry is tried. */
  attemptTimeoutMs: number;
  /** @returns a number from 0 inclusive to 1 exclusive */
  random(): number;
  /** Whether to retry when a refusal allows it; true by default. */
  retryNotRun?: boolean;
}

const MINIMUM_RETRY_DELAY_MS = 100;
const agent = new Agent({
  connections: 256,
  pipelining: 1,
  bodyTimeout: 0,
  headersTimeout: 0,
});

/**
 * Sends a request as a caller does: retries it under the same idempotency key
 * until a response is final.
 *
 * @param callerRequest the request
 * @param options entries, time limits and retries
 * @returns the request with its final outcome; after the time limit, with the
 *   outcome in the last response, or `unknown` when there was no response
 */
export async function callWithRetries(
  callerRequest: CallerRequest,
  options: CallerOptions,
): Promise<CallerRecord> {
  const startedAt = performance.now();
  const key = callerRequest.key ?? createIdentifier();
  const toRecord = (
    outcome: CallerRecord["outcome"],
    answer?: unknown,
  ): CallerRecord => ({
    key,
    class: callerRequest.class,
    parts: callerRequest.parts ?? 1,
    repeatable: callerRequest.repeatable,
    payload: JSON.stringify(callerRequest.payload),
    outcome,
    answer,
    completionMs: performance.now() - startedAt,
    status: lastStatus,
    accepted: jobId !== undefined,
  });
  let lastOutcome: CallerRecord["outcome"] = "unknown";
  let lastStatus: number | undefined;
  let jobId: string | undefined;
  while (performance.now() - startedAt < options.timeoutMs) {
    const response = await sendAttempt(callerRequest, key, jobId, options);
    if (response === undefined) {
      await pause(MINIMUM_RETRY_DELAY_MS);
      continue;
    }
    const { status, body } = response;
    lastStatus = status;
    if (status === 202) {
      jobId = (body as { id: string }).id;
      continue;
    }
    if (status === 200) return toRecord("done", (body as AnswerBody).answer);
    const problem = body as ProblemBody & { retryAfterMs?: number };
    lastOutcome = problem.outcome;
    // 503 invites a retry even when the outcome is unknown.
    if (lastOutcome !== "not-run" && status !== 503) {
      return toRecord(lastOutcome);
    }
    // 4xx up to 410, and 422, refuse the request itself: a retry cannot help.
    const isFinal = status === 422 || status === 410 || status < 410;
    if (isFinal || options.retryNotRun === false) return toRecord(lastOutcome);
    await pause(
      Math.max(
        MINIMUM_RETRY_DELAY_MS,
        problem.retryAfterMs ?? MINIMUM_RETRY_DELAY_MS,
      ),
    );
  }
  return toRecord(lastOutcome);
}

async function sendAttempt(
  callerRequest: CallerRequest,
  key: string,
  jobId: string | undefined,
  options: CallerOptions,
): Promise<{ status: number; body: unknown } | undefined> {
  const targets = options.targets();
  const target = targets[Math.floor(options.random() * targets.length)];
  const { bearer, isAsync, key: _key, ...body } = callerRequest;
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
        signal: AbortSignal.timeout(options.attemptTimeoutMs),
      })
      : await request(`${target}/v1/requests/${jobId}?wait=2000`, {
        headers,
        dispatcher: agent,
        signal: AbortSignal.timeout(options.attemptTimeoutMs),
      });
    const text = await response.body.text();
    return { status: response.statusCode, body: JSON.parse(text) };
  } catch {
    return undefined;
  }
}
