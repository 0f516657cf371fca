import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  describeError,
  ErrorCode,
  type EventLog,
  Events,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  type AnswerBody,
  MAXIMUM_BODY_BYTES,
  MAXIMUM_HEADER_BYTES,
  PROBLEM_MEDIA_TYPE,
  requestBodySchema,
} from "@rattanhill/protocol";
import type { Authenticator } from "./authenticator.ts";
import { describeProblem, describeResult, RequestProblem } from "./problems.ts";
import type { RequestService, RequestView } from "./request_service.ts";
import { type AccountRule, Outcome } from "@rattanhill/core";

/** Options of {@link createCallersServer}. */
export interface CallersServerOptions {
  authenticator: Authenticator;
  service: RequestService;
  log: EventLog;
  /** @returns whether the rules, with the digests of all keys, are loaded */
  hasRules(): boolean;
  /** @returns whether the entry is shutting down */
  isLeaving(): boolean;
  /** Largest number of open connections. */
  maximumConnections: number;
}

const HEADERS_TIMEOUT_MS: Milliseconds = 10_000;
const REQUEST_TIMEOUT_MS: Milliseconds = 30_000;
const KEEP_ALIVE_TIMEOUT_MS: Milliseconds = 30_000;
// An entry that has just started loads the rules within two reads of the log.
const RULES_RETRY_AFTER_MS: Milliseconds = 500;
const MAXIMUM_READ_WAIT_MS: Milliseconds = 60_000;
const REQUEST_PATH_PATTERN = /^\/v1\/requests\/([A-Za-z0-9-]{1,64})$/;

/**
 * Creates the HTTP server for callers.
 *
 * @param options service, authenticator and limit on connections
 * @returns the server, not listening yet
 */
export function createCallersServer(options: CallersServerOptions): Server {
  const server = createServer({
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
  }, (message, response) => {
    handleCall(options, message, response).catch((error) => {
      sendProblem(options, response, toProblem(options, error));
    });
  });
  server.maxConnections = options.maximumConnections;
  return server;
}

async function handleCall(
  options: CallersServerOptions,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const account = options.authenticator.authenticate(
    message.headers.authorization,
  );
  // Before the rules are loaded, no key can be verified, so a response of 401
  // could be wrong.
  if (account === undefined && !options.hasRules()) {
    throw new RequestProblem(
      503,
      "the rules are not loaded yet",
      {
        outcome: Outcome.unknown,
        retryAfterMs: RULES_RETRY_AFTER_MS,
      },
    );
  }
  if (account === undefined) {
    throw new RequestProblem(
      401,
      "the bearer key is missing or not known",
      {
        code: ErrorCode.requestUnauthorized,
      },
    );
  }
  const url = new URL(message.url ?? "/", "http://entry");
  const view = await route(options, message, { account, url });
  sendView(options, response, view);
}

async function route(
  { service }: CallersServerOptions,
  message: IncomingMessage,
  { account, url }: { account: AccountRule; url: URL },
): Promise<RequestView> {
  if (url.pathname === "/v1/requests") {
    if (message.method !== "POST") throw createMethodProblem();
    return await submitRequest(service, message, account);
  }
  const id = REQUEST_PATH_PATTERN.exec(url.pathname)?.[1];
  if (id === undefined) {
    throw new RequestProblem(404, `no resource ${url.pathname}`, {
      code: ErrorCode.requestNotFound,
    });
  }
  if (message.method === "DELETE") return await service.cancel(account, id);
  if (message.method !== "GET") throw createMethodProblem();
  return await service.read(account, id, parseWait(url));
}

async function submitRequest(
  service: RequestService,
  message: IncomingMessage,
  account: AccountRule,
): Promise<RequestView> {
  const type = message.headers["content-type"] ?? "application/json";
  if (!/^application\/json\b/i.test(type)) {
    throw new RequestProblem(
      415,
      `expected JSON, found ${type}`,
    );
  }
  const text = await readBody(message);
  const body = requestBodySchema.safeParse(parseJson(text));
  if (!body.success) {
    const faults = body.error.issues.map((issue) =>
      `${issue.path.join(".") || "body"}: ${issue.message}`
    );
    throw new RequestProblem(400, faults.join("; "));
  }
  const key = message.headers["idempotency-key"];
  const prefer = message.headers.prefer;
  return await service.submit({
    account,
    key: Array.isArray(key) ? key.join(",") : key,
    body: body.data,
    text,
    isAsync: String(prefer ?? "").includes("respond-async"),
  });
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    throw new RequestProblem(400, "the body is not JSON");
  }
}

async function readBody(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of message) {
    size += (chunk as Buffer).length;
    if (size > MAXIMUM_BODY_BYTES) {
      const text = `the body is larger than ${MAXIMUM_BODY_BYTES} bytes`;
      throw new RequestProblem(413, text);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}

function parseWait(url: URL): Milliseconds {
  const text = url.searchParams.get("wait") ?? "0";
  const wait = Number(text);
  if (Number.isInteger(wait) && wait >= 0) {
    return Math.min(wait, MAXIMUM_READ_WAIT_MS);
  }
  throw new RequestProblem(
    400,
    `wait must be milliseconds, found ${text}`,
  );
}

function createMethodProblem(): RequestProblem {
  return new RequestProblem(405, "the method is not allowed here");
}

function toProblem(
  { log }: CallersServerOptions,
  error: unknown,
): RequestProblem {
  if (error instanceof RequestProblem) return error;
  log(Events.unexpectedError, { step: "callers", error: describeError(error) });
  return new RequestProblem(500, "internal error", {
    code: ErrorCode.internal,
  });
}

function sendProblem(
  options: CallersServerOptions,
  response: ServerResponse,
  problem: RequestProblem,
): void {
  if (response.headersSent || response.destroyed) return;
  const { status, retryAfterMs } = problem;
  options.log(Events.requestRefused, { status, reason: problem.message });
  const headers = { "content-type": PROBLEM_MEDIA_TYPE };
  const body = describeProblem(problem);
  // The rest of a body that is too large is not read, so the connection cannot
  // be used for another call.
  if (status === 413) response.setHeader("connection", "close");
  sendResponse(options, response, { status, headers, body, retryAfterMs });
}

function sendView(
  options: CallersServerOptions,
  response: ServerResponse,
  { id, result, phase }: RequestView,
): void {
  const headers = { "content-type": "application/json" };
  if (result === undefined) {
    const body = { id, state: phase ?? "placing" };
    const acceptedHeaders = { ...headers, location: `/v1/requests/${id}` };
    return sendResponse(options, response, {
      status: 202,
      headers: acceptedHeaders,
      body,
    });
  }
  if (result.outcome === Outcome.done) {
    const body: AnswerBody = {
      id,
      outcome: result.outcome,
      answer: parseAnswers(result.answers),
      attempts: result.attempts,
    };
    return sendResponse(options, response, { status: 200, headers, body });
  }
  const body = describeResult(id, result);
  const { status } = body;
  const { retryAfterMs } = result;
  const problemHeaders = { "content-type": PROBLEM_MEDIA_TYPE };
  sendResponse(options, response, {
    status,
    headers: problemHeaders,
    body,
    retryAfterMs,
  });
}

/** Content of an HTTP response, before its body is encoded as JSON. */
interface ResponseContent {
  status: number;
  headers: Record<string, string>;
  body: object;
  retryAfterMs?: Milliseconds;
}

function sendResponse(
  { isLeaving }: CallersServerOptions,
  response: ServerResponse,
  { status, headers, body, retryAfterMs }: ResponseContent,
): void {
  if (response.headersSent || response.destroyed) return;
  const isRetryable = status === 429 || status === 503;
  const text = JSON.stringify(
    isRetryable ? { ...body, retryAfterMs: retryAfterMs ?? 0 } : body,
  );
  if (isRetryable) {
    const seconds = Math.max(1, Math.ceil((retryAfterMs ?? 0) / 1_000));
    response.setHeader("retry-after", seconds);
  }
  if (isLeaving()) response.setHeader("connection", "close");
  response.writeHead(status, {
    ...headers,
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** @returns the answer of the only part, or the list of all parts' answers */
function parseAnswers(answers: readonly string[]): unknown {
  const values = answers.map((answer) => {
    try {
      return JSON.parse(answer);
    } catch {
      return answer;
    }
  });
  return values.length === 1 ? values[0] : values;
}
