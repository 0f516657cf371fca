// Small HTTP helpers of the stand-ins.
import { Buffer } from "node:buffer";
import { createServer, request as sendRequest } from "node:http";

/** Starts a server on a free port of the loopback address. */
export async function listen(handle, port = 0) {
  const server = createServer((request, response) => {
    Promise.resolve(handle(request, response)).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return { server, address: `127.0.0.1:${server.address().port}` };
}

/** @returns the whole body of a request */
export async function readBody(request) {
  const parts = [];
  for await (const part of request) parts.push(part);
  return Buffer.concat(parts);
}

export function sendJson(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends one call; status 0 when there is no complete answer in time. */
export function call(address, method, path, { headers, body, timeoutMs }) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const request = sendRequest(
      { host, port, method, path, headers, agent: false },
      (response) => {
        const parts = [];
        response.on("data", (part) => parts.push(part));
        response.on("end", () => {
          clearTimeout(timer);
          let parsed;
          try {
            parsed = JSON.parse(Buffer.concat(parts).toString());
          } catch {
            parsed = undefined;
          }
          resolve({ status: response.statusCode, body: parsed });
        });
        response.on("error", () => resolve({ status: 0 }));
      },
    );
    const timer = setTimeout(() => {
      request.destroy();
      resolve({ status: 0 });
    }, timeoutMs);
    request.on("error", () => {
      clearTimeout(timer);
      resolve({ status: 0 });
    });
    request.end(body);
  });
}
