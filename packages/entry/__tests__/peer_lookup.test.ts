import { createMembership, type EntryInfo } from "@rattanhill/core";
import { expect } from "chai";
import type { LogFollower } from "../src/log_follower.ts";
import { createPeerLookup } from "../src/peer_lookup.ts";
import type { Peers } from "../src/peers.ts";

/** Replies of one peer to successive lookups; an error is a failed call. */
type Replies = ({ found: boolean; outcome?: string } | Error)[];

/** Creates a lookup at live peers that give these replies. */
function createLookup(...repliesOfPeers: Replies[]) {
  const infoOf = (name: string): EntryInfo => ({
    id: name,
    name,
    address: name,
    zone: "salt",
    startedAt: 0,
    leaving: false,
  });
  const membership = createMembership({
    self: () => infoOf("self"),
    zoneSuspicionMs: 1_600,
    remoteSuspicionMs: 4_000,
    peerRetentionMs: 60_000,
  });
  repliesOfPeers.forEach((_, index) =>
    membership.recordHeartbeat(infoOf(String(index)), 0)
  );
  const peers: Pick<Peers, "call" | "canReachAll"> = {
    canReachAll: () => true,
    call: <Reply>(address: string) => {
      const reply = repliesOfPeers[Number(address)].shift();
      return reply instanceof Error || reply === undefined
        ? Promise.reject(reply ?? new Error("called too often"))
        : Promise.resolve(reply as Reply);
    },
  };
  return createPeerLookup({
    membership,
    peers: peers as Peers,
    follower: {} as LogFollower,
  });
}

const NOT_FOUND = { found: false };
const FOUND = { found: true };
const LATE = new Error("no reply in time");

it("peer lookup: a key is unknown to all if a second call is answered", async () => {
  const lookup = createLookup([LATE, NOT_FOUND], [NOT_FOUND]);
  expect(await lookup.isKeyUnknownToAllPeers("notun", "key")).to.equal(true);
});

it("peer lookup: a key may be known to a peer that never replies", async () => {
  const lookup = createLookup([LATE, LATE], [NOT_FOUND]);
  expect(await lookup.isKeyUnknownToAllPeers("notun", "key")).to.equal(false);
});

it("peer lookup: a key that a second call finds is known", async () => {
  const lookup = createLookup([LATE, FOUND], [NOT_FOUND]);
  expect(await lookup.isKeyUnknownToAllPeers("notun", "key")).to.equal(false);
});

it("peer lookup: a key that did not run at its owner may be called unknown", async () => {
  const lookup = createLookup([{ ...FOUND, outcome: "not-run" }], [NOT_FOUND]);
  expect(await lookup.isKeyUnknownToAllPeers("notun", "key")).to.equal(true);
});
