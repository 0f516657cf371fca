/** Error codes of the project. The meaning of a code never changes. */
export const ErrorCode = {
  settingsInvalid: 100,
  rulesInvalid: 101,
  logUnavailable: 200,
  logUncertain: 201,
  workerUnreachable: 210,
  workerRefused: 211,
  answerDamaged: 212,
  peerUnreachable: 220,
  requestInvalid: 300,
  requestUnauthorized: 301,
  requestForbidden: 302,
  requestNotFound: 303,
  keyConflict: 304,
  internal: 900,
} as const;

/** One of the values of {@link ErrorCode}. */
export type ErrorCodeValue = typeof ErrorCode[keyof typeof ErrorCode];

/** Context of an error: the operation that failed, and its other end. */
export interface ErrorContext {
  /** The operation that failed, for example `log.append`. */
  step: string;
  /** The process or address at the other end, or `self`. */
  peer: string;
  /** The error that caused this one. */
  cause?: unknown;
}

/**
 * Base class of the project's errors. The step and the peer are appended to the
 * message.
 */
export class RattanhillError extends Error {
  /** One of the values of {@link ErrorCode}. */
  readonly code: ErrorCodeValue;
  /** The operation that failed. */
  readonly step: string;
  /** The process or address at the other end, or `self`. */
  readonly peer: string;

  constructor(code: ErrorCodeValue, message: string, context: ErrorContext) {
    super(`${message} (step ${context.step}, peer ${context.peer})`, {
      cause: context.cause,
    });
    this.name = new.target.name;
    this.code = code;
    this.step = context.step;
    this.peer = context.peer;
  }
}

/** Error for an operation that was certainly not performed. */
export class UnavailableError extends RattanhillError {}

/** Error for an operation at whose address no process listens. */
export class ConnectionRefusedError extends UnavailableError {}

/**
 * Error for an operation that may have taken effect although no usable answer
 * arrived.
 */
export class UncertainError extends RattanhillError {}

/** Error for an operation that the other end refused in its answer. */
export class RefusedError extends RattanhillError {
  /** Short reason given by the other end. */
  readonly reason: string;

  constructor(
    code: ErrorCodeValue,
    message: string,
    context: ErrorContext & { reason: string },
  ) {
    super(code, message, context);
    this.reason = context.reason;
  }
}

/** Error for a file, request body or response that is not valid. */
export class InvalidError extends RattanhillError {
  /** Every fault found, one message each. */
  readonly faults: readonly string[];

  constructor(
    code: ErrorCodeValue,
    message: string,
    context: ErrorContext & { faults: readonly string[] },
  ) {
    super(code, message, context);
    this.faults = context.faults;
  }
}

/**
 * Describes any thrown value in one line.
 *
 * @param error the thrown value
 * @returns its message, preceded by `R` and the code for a RattanhillError
 */
export function describeError(error: unknown): string {
  if (error instanceof RattanhillError) {
    return `R${error.code} ${error.message}`;
  }
  return error instanceof Error ? error.message : String(error);
}
