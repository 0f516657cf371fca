import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { Metadata, Server, ServerCredentials } from "@grpc/grpc-js";
import { createMembership, type EntryInfo } from "@rattanhill/core";
import {
  type FindReply__Output,
  PeerService,
  type PlaceReply__Output,
} from "@rattanhill/protocol";
import { createManualClock, type Milliseconds } from "@rattanhill/shared";
import { expect } from "chai";
import { createPeers, type Peers } from "../src/peers.ts";
import { DEFAULT_TIMING } from "../src/settings.ts";

// Time after which the peer replies to a placement.
const PLACE_MS: Milliseconds = 400;
const FIND_LIMIT_MS: Milliseconds = 100;
const PLACE_LIMIT_MS: Milliseconds = 5_000;

const cleanups: (() => void | Promise<void>)[] = [];

afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup();
});

/** Starts a peer that replies late to placements and never to lookups. */
async function startPeer() {
  const server = new Server();
  server.addService(PeerService.service, {
    Place: (_call: unknown, callback: (error: null, reply: object) => void) =>
      setTimeout(() => callback(null, { reason: "placed" }), PLACE_MS),
    Find: () => {},
  });
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync(
      "127.0.0.1:0",
      ServerCredentials.createInsecure(),
      (error, bound) => error === null ? resolve(bound) : reject(error),
    )
  );
  cleanups.push(() => server.forceShutdown());
  return `127.0.0.1:${port}`;
}

/** Starts a relay to an address whose open connections can go silent. */
async function startRelay(target: string) {
  const [host, port] = target.split(":");
  const sockets = new Set<Socket>();
  const server = createServer((client) => {
    const upstream = connect({ host, port: Number(port) });
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on("error", () => {});
    }
    client.on("data", (chunk) => upstream.write(chunk));
    upstream.on("data", (chunk) => client.write(chunk));
  });
  cleanups.push(() => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silence: () => sockets.forEach((socket) => socket.pause()),
  };
}

/** Creates the connections of an entry, without heartbeats. */
function createConnections(): Peers {
  const self: EntryInfo = {
    id: "self",
    name: "self",
    address: "127.0.0.1:1",
    zone: "salt",
    startedAt: 0,
    leaving: false,
  };
  const unused = () => {
    throw new Error("not expected");
  };
  const peers = createPeers({
    host: "127.0.0.1",
    port: 0,
    seeds: [],
    translate: {},
    timing: DEFAULT_TIMING,
    clock: createManualClock(0),
    log: () => {},
    membership: createMembership({
      self: () => self,
      zoneSuspicionMs: 1_600,
      remoteSuspicionMs: 4_000,
      peerRetentionMs: 60_000,
    }),
    self: () => self,
    createHeartbeat: unused,
    handlers: {} as Parameters<typeof createPeers>[0]["handlers"],
    onConfigVersion: unused,
    onMembershipUpdate: unused,
  });
  cleanups.push(() => peers.stop());
  return peers;
}

function find(peers: Peers, address: string) {
  return peers.call<FindReply__Output>(
    address,
    (client, options, callback) =>
      client.Find({}, new Metadata(), options, callback),
    { step: "peer.find", timeoutMs: FIND_LIMIT_MS },
  );
}

function place(peers: Peers, address: string) {
  return peers.call<PlaceReply__Output>(
    address,
    (client, options, callback) =>
      client.Place({}, new Metadata(), options, callback),
    { step: "peer.place", timeoutMs: PLACE_LIMIT_MS },
  );
}

function errorOf(call: Promise<unknown>): Promise<unknown> {
  return call.then(() => undefined, (error) => error);
}

it("peers: a call that times out does not end the other calls", async () => {
  const peer = await startPeer();
  const peers = createConnections();
  const placement = place(peers, peer);
  expect(await errorOf(find(peers, peer))).to.be.an("error");
  expect(await errorOf(find(peers, peer))).to.be.an("error");
  expect((await placement).reason).to.equal("placed");
});

it("peers: a call on a silent connection ends, the next one works", async () => {
  const peer = await startPeer();
  const relay = await startRelay(peer);
  const peers = createConnections();
  await place(peers, relay.address);
  relay.silence();
  const startedAt = performance.now();
  const stuck = errorOf(place(peers, relay.address));
  await errorOf(find(peers, relay.address));
  expect((await place(peers, relay.address)).reason).to.equal("placed");
  expect(await stuck).to.be.an("error");
  expect(performance.now() - startedAt).to.be.below(2_000);
});

it("peers: calls to a peer are not sent on a connection that timed out", async () => {
  const peer = await startPeer();
  const relay = await startRelay(peer);
  const peers = createConnections();
  await place(peers, relay.address);
  relay.silence();
  await errorOf(find(peers, relay.address));
  const placements = [1, 2, 3].map(() => place(peers, relay.address));
  for (const { reason } of await Promise.all(placements)) {
    expect(reason).to.equal("placed");
  }
});
