import { createServer, type Server, type ServerResponse } from "node:http";

/** Options of {@link createOperatorsServer}: content of its responses. */
export interface OperatorsServerOptions {
  /** @returns why the entry is not ready, or `undefined` when it is */
  findUnreadyReason(): string | undefined;
  /** @returns the version of the configuration in force */
  configVersion(): number;
  /** @returns the metrics as text, and its media type */
  exportMetrics(): Promise<{ text: string; type: string }>;
  /** @returns the state dump of the process */
  describeState(): unknown;
  /** @returns accounts, racks and fragmentation of the zone */
  describeStatus(): unknown;
  /** @returns why a request waits, or `undefined` when it does not wait */
  explain(id: string): Promise<string | undefined>;
  /** Starts a graceful shutdown. */
  drain(): void;
}

const EXPLAIN_PATH_PATTERN = /^\/explain\/([A-Za-z0-9-]{1,64})$/;

/**
 * Creates the HTTP server for operators and for the health checks of the load
 * balancer.
 *
 * @param options content of the responses
 * @returns the server, not listening yet
 */
export function createOperatorsServer(
  options: OperatorsServerOptions,
): Server {
  return createServer((message, response) => {
    const path = new URL(message.url ?? "/", "http://entry").pathname;
    respond(options, `${message.method} ${path}`, response).catch((error) =>
      sendJson(response, 500, { error: String(error) })
    );
  });
}

async function respond(
  options: OperatorsServerOptions,
  requestLine: string,
  response: ServerResponse,
): Promise<void> {
  switch (requestLine) {
    case "GET /healthz":
      return sendJson(response, 200, {
        status: "alive",
        configVersion: options.configVersion(),
      });
    case "GET /readyz": {
      const reason = options.findUnreadyReason();
      return reason === undefined
        ? sendJson(response, 200, { status: "ready" })
        : sendJson(response, 503, { status: "not ready", reason });
    }
    case "GET /metrics": {
      const { text, type } = await options.exportMetrics();
      response.writeHead(200, { "content-type": type });
      response.end(text);
      return;
    }
    case "GET /debug/state":
      return sendJson(response, 200, options.describeState());
    case "GET /status":
      return sendJson(response, 200, options.describeStatus());
    case "POST /drain":
      options.drain();
      return sendJson(response, 202, { status: "leaving" });
    default:
      return await handleExplain(options, requestLine, response);
  }
}

async function handleExplain(
  options: OperatorsServerOptions,
  requestLine: string,
  response: ServerResponse,
): Promise<void> {
  const [method, path] = requestLine.split(" ");
  const id = EXPLAIN_PATH_PATTERN.exec(path)?.[1];
  if (method !== "GET" || id === undefined) {
    return sendJson(response, 404, { error: `no resource ${path}` });
  }
  const explanation = await options.explain(id);
  if (explanation === undefined) {
    return sendJson(response, 404, { error: `request ${id} does not wait` });
  }
  sendJson(response, 200, { id, explanation });
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body, replaceCollections);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Replaces maps by objects and sets by arrays, since JSON has neither. */
function replaceCollections(_: string, value: unknown): unknown {
  if (value instanceof Map) return Object.fromEntries(value);
  return value instanceof Set ? [...value] : value;
}
