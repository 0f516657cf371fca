import { createIdentifier, describeError, pause } from "@rattanhill/shared";
import type { ProblemBody, RequestBody } from "@rattanhill/protocol";
import { request } from "undici";
import { ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Arguments of the commands that call a callers' interface. */
export interface CallerArguments {
  /** Base URL of the callers' interface of an entry or a load balancer. */
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

/** A response of an entry, with its body parsed. */
interface EntryResponse {
  status: number;
  body: Record<string, unknown>;
}

const DEFAULT_RETRY_DELAY_MS = 500;

/**
 * Submits a request and retries it under the same idempotency key until the
 * response is final or the time limit has passed.
 *
 * @param options the request, entry, bearer key and time limit
 * @param output receives the last response
 * @returns the exit code of the command
 */
export async function submit(
  options: SubmitArguments,
  output: Output,
): Promise<ExitCode> {
  const key = options.key ?? createIdentifier();
  const deadline = Date.now() + options.retryTimeoutMs;
  const hideProgress = output.showProgress(
    `waiting for request with key ${key}`,
  );
  try {
    for (;;) {
      const response = await trySubmit(options, key);
      const isFinal = response !== undefined && !isRetryable(response);
      if (isFinal || Date.now() >= deadline) {
        hideProgress();
        return showResponse(response, output);
      }
      await pause(
        Number(response?.body.retryAfterMs ?? DEFAULT_RETRY_DELAY_MS),
      );
    }
  } finally {
    hideProgress();
  }
}

/**
 * Shows a request.
 *
 * @param id identifier of the request
 * @param options entry, bearer key and the time to wait for the request to end
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
 * @param options entry and bearer key
 * @param output receives the outcome of the request
 * @returns the exit code of the command
 */
export async function cancel(
  id: string,
  options: CallerArguments,
  output: Output,
): Promise<ExitCode> {
  const code = await callOnce("DELETE", `/v1/requests/${id}`, options, output);
  // A cancelled request ends as failed or not run. `callOnce` returns `failed`
  // for both, but for this command they are the success.
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
    return showResponse({ status: response.statusCode, body }, output);
  } catch (error) {
    output.writeError(`${method} ${path} failed: ${describeError(error)}`);
    return ExitCode.failed;
  }
}

/** @returns the response, or `undefined` when no complete one arrived */
async function trySubmit(
  options: SubmitArguments,
  key: string,
): Promise<EntryResponse | undefined> {
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

function isRetryable({ status }: EntryResponse): boolean {
  return status === 429 || status === 503;
}

function showResponse(
  response: EntryResponse | undefined,
  output: Output,
): ExitCode {
  if (response === undefined) {
    output.writeError("no response from the entry; the outcome is unknown");
    return ExitCode.unknown;
  }
  const { status, body } = response;
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
  // 400 to 409 mean that the request itself is invalid, and neither that it
  // failed nor that it was refused for lack of capacity.
  if (status >= 400 && status < 410) return ExitCode.invalid;
  return problem.outcome === "unknown" ? ExitCode.unknown : ExitCode.failed;
}
