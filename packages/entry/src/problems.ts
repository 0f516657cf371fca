import {
  ErrorCode,
  type ErrorCodeValue,
  type Milliseconds,
  RattanhillError,
} from "@rattanhill/shared";
import {
  EndReason,
  type EndReason as Reason,
  Outcome,
  type RequestResult,
} from "@rattanhill/core";
import type { ProblemBody } from "@rattanhill/protocol";

/**
 * Refusal of a call, sent to the caller as problem details. The outcome is
 * `not-run` unless another one is given.
 */
export class RequestProblem extends RattanhillError {
  /** HTTP status of the response. */
  readonly status: number;
  /** Outcome of the request as far as this entry knows. */
  readonly outcome: Outcome;
  /** Delay after which the caller may retry; absent if a retry cannot help. */
  readonly retryAfterMs?: Milliseconds;

  constructor(
    status: number,
    message: string,
    options: {
      code?: ErrorCodeValue;
      step?: string;
      outcome?: Outcome;
      retryAfterMs?: Milliseconds;
    } = {},
  ) {
    const { code = ErrorCode.requestInvalid, step = "admit" } = options;
    super(code, message, { step, peer: "self" });
    this.status = status;
    this.outcome = options.outcome ?? Outcome.notRun;
    this.retryAfterMs = options.retryAfterMs;
  }
}

/**
 * Describes a refused call as problem details (RFC 9457).
 *
 * @param problem the refusal
 * @returns the body of the response
 */
export function describeProblem(problem: RequestProblem): ProblemBody {
  const { status, step, peer, code } = problem;
  return {
    type: `urn:rattanhill:error:${code}`,
    title: TITLE_BY_STATUS[status] ?? "Request refused",
    status,
    detail: problem.message,
    outcome: problem.outcome,
    step,
    peer,
  };
}

/**
 * Describes a final result without an answer as problem details (RFC 9457).
 *
 * @param id identifier of the request
 * @param result result whose outcome is not `done`
 * @returns the body of the response
 */
export function describeResult(
  id: string,
  result: RequestResult,
): ProblemBody {
  const status = chooseStatus(result);
  return {
    type: `urn:rattanhill:outcome:${result.outcome}:${result.reason}`,
    title: TITLE_BY_STATUS[status] ?? "Request not answered",
    status,
    detail: result.detail,
    outcome: result.outcome,
    reason: result.reason,
    step: result.step,
    peer: result.peer,
    id,
    attempts: result.attempts,
  };
}

function chooseStatus({ outcome, reason }: RequestResult): number {
  if (outcome === Outcome.unknown) return 504;
  if (outcome === Outcome.failed) return FAILED_STATUS_BY_REASON[reason] ?? 502;
  return NOT_RUN_STATUS_BY_REASON[reason] ?? 503;
}

const FAILED_STATUS_BY_REASON: Readonly<Partial<Record<Reason, number>>> = {
  [EndReason.cancelled]: 410,
  [EndReason.deadline]: 504,
};

const NOT_RUN_STATUS_BY_REASON: Readonly<Partial<Record<Reason, number>>> = {
  [EndReason.cancelled]: 410,
  [EndReason.neverFits]: 422,
  [EndReason.queueFull]: 429,
};

const TITLE_BY_STATUS: Readonly<Record<number, string>> = {
  400: "Request is not valid",
  401: "Bearer key is not known",
  403: "Class is not allowed for this account",
  404: "Request is not known",
  405: "Method is not allowed",
  409: "Key was used with another body",
  410: "Request was cancelled",
  413: "Body is too large",
  415: "Body must be JSON",
  422: "Request can never run",
  429: "Too many requests are waiting",
  500: "Internal error",
  502: "Task failed",
  503: "Not now",
  504: "Outcome is not known in time",
};
