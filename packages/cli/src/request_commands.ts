import { createIdentifier, describeError, pause } from "@rattanhill/shared";
import type { ProblemBody, RequestBody } from "@rattanhill/protocol";
import { request } from "undici";
import { ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Arguments of the commands that act for a caller. */
export interface CallerArguments {
  /** Base address of an entry's or balancer's callers' interface. */
  entry: string;
  /** Bearer key of the account. */
  bearer: string;
}

/** Arguments of `submit`. */
export interface SubmitArguments extends CallerArguments {
  body: RequestBody;
  /** Idempotency key; a new UUIDv7 when absent. */
  key?: string;
  /** Whether to return once the job is accepted. */
  async: boolean;
  /** Longest time to go on trying, in milliseconds. */
  patienceMs: number;
}

interface Reply {
  status: number;
  body: Record<string, unknown>;
}

const RETRY_MS = 500;

/**
 * Submits a request and goes on under the same key until it is answered.
 *
 * @param options the request
 * @param output where the answer goes
 * @returns the exit code
 */
export async function submit(
  options: SubmitArguments,
  output: Output,
): Promise<ExitCode> {
  const key = options.key ?? createIdentifier();
  const until = Date.now() + options.patienceMs;
  const done = output.waiting(`waiting for request with key ${key}`);
  try {
    for (;;) {
      const reply = await trySubmit(options, key);
      const isFinal = reply !== undefined && !isRetryable(reply);
      if (isFinal || Date.now() >= until) {
        done();
        return showReply(reply, output);
      }
      await pause(Number(reply?.body.retryAfterMs ?? RETRY_MS));
    }
  } finally {
    done();
  }
}

/**
 * Shows a request.
 *
 * @param id identifier of the request
 * @param options account and time to wait for its end
 * @param output where it goes
 * @returns the exit code
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
 * @param options account
 * @param output where its outcome goes
 * @returns the exit code
 */
export async function cancel(
  id: string,
  options: CallerArguments,
  output: Output,
): Promise<ExitCode> {
  const code = await callOnce("DELETE", `/v1/requests/${id}`, options, output);
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
    output.fault(describeError(error));
    return ExitCode.failed;
  }
}

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
    output.fault("the entry does not answer; the outcome is not known");
    return ExitCode.unknown;
  }
  const { status, body } = reply;
  if (status < 300) {
    output.result(body, JSON.stringify(body, undefined, 2));
    return ExitCode.done;
  }
  const problem = body as unknown as ProblemBody;
  const reason = problem.detail ?? problem.reason ?? "";
  output.result(
    body,
    `${problem.outcome}: ${problem.title} (${reason}; ` +
      `step ${problem.step}, peer ${problem.peer})`,
  );
  if (status >= 400 && status < 410) return ExitCode.invalid;
  return problem.outcome === "unknown" ? ExitCode.unknown : ExitCode.failed;
}
