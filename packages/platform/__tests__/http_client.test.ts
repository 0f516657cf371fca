import { subscribe, unsubscribe } from "node:diagnostics_channel";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect } from "chai";
import {
  ConnectionRefusedError,
  ErrorCode,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import { createHttpClient } from "../src/mod.ts";

/** Listens on a free port and passes each request, as it was read, on. */
async function listen(onRequest: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => onRequest(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const client = createHttpClient({
    address: `127.0.0.1:${port}`,
    connections: 1,
    errorCode: ErrorCode.workerUnreachable,
  });
  const call = (): Promise<unknown> =>
    client.call({
      method: "POST",
      path: "/",
      step: "test.call",
      timeoutMs: 700,
      body: "{}",
    }).catch((error) => error);
  const close = async () => {
    server.close();
    await client.close();
  };
  return { server, port, call, close };
}

it("http client: a call to a port without listener was not delivered", async () => {
  const { server, call, close } = await listen(() => {});
  server.close();
  await once(server, "close");
  const error = await call();
  expect(error).to.be.instanceOf(UnavailableError);
  expect(error).to.be.instanceOf(ConnectionRefusedError);
  await close();
});

it("http client: a call that is not answered was not refused", async () => {
  const { call, close } = await listen(() => {});
  expect(await call()).to.not.be.instanceOf(ConnectionRefusedError);
  await close();
});

it("http client: a call on a kept connection that is reset is uncertain", async () => {
  let requests = 0;
  const { server, call, close } = await listen((socket) => {
    requests += 1;
    if (requests === 1) {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
      return;
    }
    server.close();
    socket.resetAndDestroy();
  });
  expect(await call()).to.have.property("status", 200);
  expect(await call()).to.be.instanceOf(UncertainError);
  expect(requests).to.equal(2);
  await close();
});

for (const code of ["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH"]) {
  it(`http client: ${code} after the request was sent is uncertain`, async () => {
    let clientSocket: Socket | undefined;
    const keepSocket = (message: unknown): void => {
      clientSocket = (message as { socket: Socket }).socket;
    };
    subscribe("net.client.socket", keepSocket);
    const { call, close } = await listen(() => {
      const error = Object.assign(new Error(code), { code, syscall: "read" });
      clientSocket!.destroy(error);
    });
    expect(await call()).to.be.instanceOf(UncertainError);
    unsubscribe("net.client.socket", keepSocket);
    await close();
  });
}

// Guards against an address that is none and that ends the loop over all peers
// in which its client is created.
it("http client: calls to an address that is none were not delivered", async () => {
  for (const address of ["http://10.0.0.1:80/x", "host:port", "a:99999", ""]) {
    const client = createHttpClient({
      address,
      connections: 1,
      errorCode: ErrorCode.workerUnreachable,
    });
    const error = await client.call({
      method: "GET",
      path: "/",
      step: "test.call",
      timeoutMs: 700,
    }).catch((thrown) => thrown);
    expect(error).to.be.instanceOf(UnavailableError);
    expect(error.message).to.include(`address "${address}"`);
    client.reset();
    await client.close();
  }
});

// Guards against one lost answer that makes the outcome of all other calls to
// the server uncertain.
it("http client: a call that times out ends no other call", async () => {
  let requests = 0;
  const { port, close } = await listen((socket) => {
    requests += 1;
    if (requests === 1) return;
    const answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    setTimeout(() => socket.write(answer), 400);
  });
  const client = createHttpClient({
    address: `127.0.0.1:${port}`,
    connections: 2,
    errorCode: ErrorCode.workerUnreachable,
  });
  const call = (timeoutMs: number): Promise<unknown> =>
    client.call({ method: "GET", path: "/", step: "test.call", timeoutMs })
      .catch((error) => error);
  const lost = call(100);
  const answered = call(5_000);
  const results = [await lost, await answered];
  await client.close();
  await close();
  expect(results[0]).to.be.instanceOf(UncertainError);
  expect(results[1]).to.have.property("status", 200);
});

it("http client: closing ends the calls on replaced connections", async () => {
  const { port, close } = await listen(() => {});
  const client = createHttpClient({
    address: `127.0.0.1:${port}`,
    connections: 2,
    errorCode: ErrorCode.workerUnreachable,
  });
  const call = (timeoutMs: number): Promise<unknown> =>
    client.call({ method: "GET", path: "/", step: "test.call", timeoutMs })
      .catch((error) => error);
  const pending = call(60_000);
  await call(100);
  await client.close();
  const result = await pending;
  await close();
  expect(result).to.be.instanceOf(UncertainError);
});

// Guards against a command that counts as uncertain, and is late to fail, while
// it waits behind calls that are not answered.
it("http client: a call that gets no connection in time was not delivered", async () => {
  let requests = 0;
  const { port, close } = await listen(() => requests += 1);
  const client = createHttpClient({
    address: `127.0.0.1:${port}`,
    connections: 1,
    errorCode: ErrorCode.workerUnreachable,
  });
  const call = (timeoutMs: number): Promise<unknown> =>
    client.call({ method: "GET", path: "/", step: "test.call", timeoutMs })
      .catch((error) => error);
  const lost = call(1_500);
  const startedAt = performance.now();
  const queued = await call(100);
  const failedAfterMs = performance.now() - startedAt;
  expect(await lost).to.be.instanceOf(UncertainError);
  await client.close();
  await close();
  expect(queued).to.be.instanceOf(UnavailableError);
  expect(failedAfterMs).to.be.below(1_000);
  expect(requests).to.equal(1);
});

// Guards against the use of connections whose state a middlebox has dropped, and
// against ones that are opened without a call.
it("http client: after a timeout, calls use new connections, one each", async () => {
  let connections = 0;
  let requests = 0;
  const { server, port, close } = await listen((socket) => {
    requests += 1;
    if (requests === 3) return;
    const answer = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    setTimeout(() => socket.write(answer), 50);
  });
  server.on("connection", () => connections += 1);
  const client = createHttpClient({
    address: `127.0.0.1:${port}`,
    connections: 2,
    errorCode: ErrorCode.workerUnreachable,
  });
  const call = (timeoutMs: number): Promise<unknown> =>
    client.call({ method: "GET", path: "/", step: "test.call", timeoutMs })
      .catch((error) => error);
  await Promise.all([call(5_000), call(5_000)]);
  expect(connections).to.equal(2);
  expect(await call(100)).to.be.instanceOf(UncertainError);
  expect(await call(5_000)).to.have.property("status", 200);
  await client.close();
  await close();
  expect(connections).to.equal(3);
});
