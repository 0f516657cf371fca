import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A request with its whole body. */
export interface ServiceRequest {
  method: string;
  url: URL;
  body: Buffer;
  message: IncomingMessage;
  response: ServerResponse;
}

/** Answer of a handler; `undefined` when the handler dealt with the response. */
export type ServiceAnswer = { status: number; body: unknown } | undefined;

/** Answers one request. */
export type ServiceHandler = (
  request: ServiceRequest,
) => ServiceAnswer | Promise<ServiceAnswer>;

/**
 * Starts a small JSON service for a stand-in.
 *
 * @param handler answers each request
 * @param options address to listen on; port 0 takes a free one
 * @returns the server and its port
 */
export async function startService(
  handler: ServiceHandler,
  options: { host: string; port: number },
): Promise<{ server: Server; port: number }> {
  const server = createServer((message, response) => {
    serve(handler, message, response).catch((error) => {
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
 * @param response where to
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

async function serve(
  handler: ServiceHandler,
  message: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readBody(message);
  const url = new URL(message.url ?? "/", "http://service");
  const method = message.method ?? "GET";
  const answer = await handler({ method, url, body, message, response });
  if (answer === undefined || response.destroyed) return;
  sendJson(response, answer.status, answer.body);
}

async function readBody(message: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}
