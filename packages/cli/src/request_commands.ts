import { createIdentifier, describeError, pause } from "@rattanhill/shared";
import type { ProblemBody, RequestBody } from "@rattanhill/protocol";
import { request } from "undici";
import { ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Arguments of the commands that call a callers' interface. */
export interface CallerArguments {
  /** Base address of the callers' interface of an entry or a load balancer. */
  entry: string;
  /** Bearer key of the client account. */
  bearer: string;
}

/** Arguments of `submit`. */
export interface SubmitArguments extends CallerArguments {
  body: RequestBody;
  /** Idempotency key; a new UUIDv7 when absent. */
  key?: string;
  /** Whether to return when the request is accepted, before it ends. */
  async: boolean;
  /** Milliseconds after which the request is not retried. */
  retryTimeoutMs: number;
}

interface Reply {
  status: number;
  body: Record<string, unknown>;
}

const DEFAULT_RETRY_DELAY_MS = 500;

/**
 * Submits a request and retries it under the same idempotency key until it has
 * a final answer.
 *
 * @param options the request, its caller and the time limit
 * @param output receives the answer
 * @returns the exit code of the command
 */
export async function submit(
  options: SubmitArguments,
  output: Output,
): Promise<ExitCode> {
  const key = options.key ?? createIdentifier();
  const until = Date.now() + options.retryTimeoutMs;
  const hideProgress = output.showProgress(
    `waiting for request with key ${key}`,
  );
  try {
    for (;;) {
      const reply = await trySubmit(options, key);
      const isFinal = reply !== undefined && !isRetryable(reply);
      if (isFinal || Date.now() >= until) {
        hideProgress();
        return showReply(reply, output);
      }
      await pause(Number(reply?.body.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS));
    }
  } finally {
    hideProgress();
  }
}

/**
 * Shows a request.
 *
 * @param id identifier of the request
 * @param options caller, and the time to wait for the request to end
 * @param output receives the request
 * @returns the exit code of the command
 */
export async function showRequest(
  id: string,
  options: CallerArguments & { waitMs: number },
  output: Output,
): Promise<ExitCode> {
  const path = `/v1/requests/${id}?wait=${options.waitMs}`;
  return await callOnce("GET", path, options, output);
}

/**
 * Cancels a request.
 *
 * @param id identifier of the request
 * @param options caller
 * @param output receives the outcome of the request
 * @returns the exit code of the command
 */
export async function cancel(
  id: string,
  options: CallerArguments,
  output: Output,
): Promise<ExitCode> {
  const code = await callOnce("DELETE", `/v1/requests/${id}`, options, output);
  // A cancelled request ends as failed or not run, which is success here.
  return code === ExitCode.failed ? ExitCode.done : code;
}

async function callOnce(
  method: "GET" | "DELETE",
  path: string,
  options: CallerArguments,
  output: Output,
): Promise<ExitCode> {
  try {
    const response = await request(`${options.entry}${path}`, {
      method,
      headers: { authorization: `Bearer ${options.bearer}` },
    });
    const body = await response.body.json() as Record<string, unknown>;
    return showReply({ status: response.statusCode, body }, output);
  } catch (error) {
    output.writeError(`${method} ${path} failed: ${describeError(error)}`);
    return ExitCode.failed;
  }
}

/** @returns the reply, or `undefined` when no complete one arrived */
async function trySubmit(
  options: SubmitArguments,
  key: string,
): Promise<Reply | undefined> {
  try {
    const response = await request(`${options.entry}/v1/requests`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${options.bearer}`,
        "content-type": "application/json",
        "idempotency-key": key,
        ...options.async ? { prefer: "respond-async" } : {},
      },
      body: JSON.stringify(options.body),
    });
    const body = await response.body.json() as Record<string, unknown>;
    return { status: response.statusCode, body };
  } catch {
    return undefined;
  }
}

function isRetryable({ status }: Reply): boolean {
  return status === 429 || status === 503;
}

function showReply(reply: Reply | undefined, output: Output): ExitCode {
  if (reply === undefined) {
    output.writeError("no answer from the entry; the outcome is unknown");
    return ExitCode.unknown;
  }
  const { status, body } = reply;
  if (status < 300) {
    output.writeResult(body, JSON.stringify(body, undefined, 2));
    return ExitCode.done;
  }
  const problem = body as unknown as ProblemBody;
  const reason = problem.detail ?? problem.reason ?? "";
  output.writeResult(
    body,
    `${problem.outcome}: ${problem.title} (${reason}; ` +
      `step ${problem.step}, peer ${problem.peer})`,
  );
  // 400 to 409 say that the request itself is invalid, not that it was refused
  // for lack of capacity or failed.
  if (status >= 400 && status < 410) return ExitCode.invalid;
  return problem.outcome === "unknown" ? ExitCode.unknown : ExitCode.failed;
}
