import { createServer, type Server, type ServerResponse } from "node:http";

/** Options of {@link createOperatorsServer}. */
export interface OperatorsServerOptions {
  /** @returns why the entry is not ready, or nothing when it is */
  notReady(): string | undefined;
  configVersion(): number;
  metrics(): Promise<{ text: string; type: string }>;
  /** @returns the state of the process */
  state(): unknown;
  /** @returns accounts, racks and fragmentation of the zone */
  status(): unknown;
  /** @returns why a request waits */
  explain(id: string): Promise<string | undefined>;
  /** Starts a graceful shutdown. */
  drain(): void;
}

const EXPLAIN_PATH = /^\/explain\/([A-Za-z0-9-]{1,64})$/;

/**
 * Creates the HTTP server for operators and the balancer. It is not listening yet.
 *
 * @param options what the server shows
 * @returns the server
 */
export function createOperatorsServer(
  options: OperatorsServerOptions,
): Server {
  return createServer((message, response) => {
    const path = new URL(message.url ?? "/", "http://entry").pathname;
    answer(options, `${message.method} ${path}`, response).catch((error) =>
      send(response, 500, { error: String(error) })
    );
  });
}

async function answer(
  options: OperatorsServerOptions,
  request: string,
  response: ServerResponse,
): Promise<void> {
  switch (request) {
    case "GET /healthz":
      return send(response, 200, {
        status: "alive",
        configVersion: options.configVersion(),
      });
    case "GET /readyz": {
      const reason = options.notReady();
      return reason === undefined
        ? send(response, 200, { status: "ready" })
        : send(response, 503, { status: "not ready", reason });
    }
    case "GET /metrics": {
      const { text, type } = await options.metrics();
      response.writeHead(200, { "content-type": type });
      response.end(text);
      return;
    }
    case "GET /debug/state":
      return send(response, 200, options.state());
    case "GET /status":
      return send(response, 200, options.status());
    case "POST /drain":
      options.drain();
      return send(response, 202, { status: "leaving" });
    default:
      return await explain(options, request, response);
  }
}

async function explain(
  options: OperatorsServerOptions,
  request: string,
  response: ServerResponse,
): Promise<void> {
  const [method, path] = request.split(" ");
  const id = EXPLAIN_PATH.exec(path)?.[1];
  if (method !== "GET" || id === undefined) {
    return send(response, 404, { error: `no resource ${path}` });
  }
  const explanation = await options.explain(id);
  if (explanation === undefined) {
    return send(response, 404, { error: `request ${id} does not wait` });
  }
  send(response, 200, { id, explanation });
}

function send(response: ServerResponse, status: number, body: unknown): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body, showMaps);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

function showMaps(_: string, value: unknown): unknown {
  if (value instanceof Map) return Object.fromEntries(value);
  return value instanceof Set ? [...value] : value;
}
