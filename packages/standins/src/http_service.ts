import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A request whose body was read to the end. */
export interface ServiceRequest {
  method: string;
  url: URL;
  body: Buffer;
  message: IncomingMessage;
  response: ServerResponse;
}

/** Result of a handler; `undefined` if it ended the HTTP response itself. */
export type ServiceResponse = { status: number; body: unknown } | undefined;

/** Handles one request. */
export type ServiceHandler = (
  request: ServiceRequest,
) => ServiceResponse | Promise<ServiceResponse>;

/**
 * Starts an HTTP server for a stand-in, with JSON responses.
 *
 * @param handler handles each request; an exception leads to status 500
 * @param options address to listen on; port 0 selects a free port
 * @returns the server and the port that it listens on
 */
export async function startService(
  handler: ServiceHandler,
  options: { host: string; port: number },
): Promise<{ server: Server; port: number }> {
  const server = createServer((message, response) => {
    serveRequest(handler, message, response).catch((error) => {
      if (response.headersSent) response.destroy();
      else sendJson(response, 500, { reason: String(error) });
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.host, resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}

/**
 * Sends a JSON response.
 *
 * @param response response to write and end
 * @param status HTTP status
 * @param body value to send
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

async function serveRequest(
  handler: ServiceHandler,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(message);
  const url = new URL(message.url ?? "/", "http://service");
  const method = message.method ?? "GET";
  const result = await handler({ method, url, body, message, response });
  if (result === undefined || response.destroyed) return;
  sendJson(response, result.status, result.body);
}

async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
