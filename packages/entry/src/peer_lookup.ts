import { Metadata } from "@grpc/grpc-js";
import type { Milliseconds } from "@rattanhill/shared";
import { type Membership, Outcome } from "@rattanhill/core";
import type { FindReply__Output } from "@rattanhill/protocol";
import type { LogFollower } from "./log_follower.ts";
import type { Peers } from "./peers.ts";

/** Query for a request, by its key or by its identifier. */
export interface RequestQuery {
  account: string;
  key?: string;
  id?: string;
  /** Longest time for which the peer waits for the end of the request. */
  waitMs: Milliseconds;
}

/** Finds, cancels and explains requests at other entries. */
export interface PeerLookup {
  /**
   * Queries the entry at an address.
   *
   * @returns its reply, in which `found` is `false` if it does not have the
   * request
   * @throws UnavailableError or UncertainError when the entry does not reply
   */
  find(address: string, query: RequestQuery): Promise<FindReply__Output>;
  /**
   * Queries all live peers.
   *
   * @returns the first reply with the request, or `undefined` when none has it
   */
  findAtPeers(query: RequestQuery): Promise<FindReply__Output | undefined>;
  /**
   * Sends a cancellation to all live peers, of which only the owner of the
   * request performs it.
   *
   * @returns the reply of the owner, or `undefined` when no peer is the owner
   */
  cancelAtPeers(
    account: string,
    id: string,
  ): Promise<FindReply__Output | undefined>;
  /**
   * @returns whether neither the log, read to its end, nor any other entry has
   * the request; `false` also when the log or an entry does not respond
   */
  isRequestUnknownEverywhere(account: string, id: string): Promise<boolean>;
  /**
   * @returns whether no other entry has a request with the key that may have
   * run; `false` also when an entry does not reply
   */
  isKeyUnknownToAllPeers(account: string, key: string): Promise<boolean>;
  /**
   * @returns why a request waits at the lead of a zone, or `undefined` when it
   * waits at no live peer
   */
  explainAtPeers(id: string): Promise<string | undefined>;
}

/** Options of {@link createPeerLookup}. */
export interface PeerLookupOptions {
  membership: Membership;
  peers: Peers;
  follower: LogFollower;
}

const FIND_TIMEOUT_MS: Milliseconds = 300;
// This must be longer than the owner waits for the end of a cancelled request.
const CANCEL_TIMEOUT_MS: Milliseconds = 6_000;

/**
 * Creates the peer lookup of one entry.
 *
 * @param options connections to the other entries, and the log
 */
export function createPeerLookup(
  { membership, peers, follower }: PeerLookupOptions,
): PeerLookup {
  const find: PeerLookup["find"] = (address, query) =>
    peers.call<FindReply__Output>(
      address,
      (client, callOptions, callback) =>
        client.Find(query, new Metadata(), callOptions, callback),
      { step: "peer.find", timeoutMs: query.waitMs + FIND_TIMEOUT_MS },
    );
  const cancel = (address: string, account: string, id: string) =>
    peers.call<FindReply__Output>(
      address,
      (client, callOptions, callback) =>
        client.Cancel({ account, id }, new Metadata(), callOptions, callback),
      { step: "peer.cancel", timeoutMs: CANCEL_TIMEOUT_MS },
    );
  const explain = (address: string, id: string) =>
    peers.call<{ found?: boolean; explanation?: string }>(
      address,
      (client, callOptions, callback) =>
        client.Explain({ id }, new Metadata(), callOptions, callback),
      { step: "peer.explain", timeoutMs: FIND_TIMEOUT_MS },
    );
  const liveAddresses = () =>
    membership.alivePeers().map(({ address }) => address);

  /**
   * Asks a second time if the first call fails: after a call that timed out,
   * the next one uses a new connection.
   */
  const findWithRetry: PeerLookup["find"] = (address, query) =>
    find(address, query).catch(() => find(address, query));

  const hasNoneAtLivePeers = async (
    query: RequestQuery,
    isMeant: (reply: FindReply__Output) => boolean,
  ): Promise<boolean> => {
    const replies = await Promise.allSettled(
      liveAddresses().map((address) => findWithRetry(address, query)),
    );
    return replies.every((reply) =>
      reply.status === "fulfilled" && !isMeant(reply.value)
    );
  };

  return {
    find,
    findAtPeers: (query) =>
      findFirst(liveAddresses().map((address) => find(address, query))),
    cancelAtPeers: (account, id) =>
      findFirst(liveAddresses().map((address) => cancel(address, account, id))),
    isRequestUnknownEverywhere: async (account, id) => {
      if (!peers.canReachAll() || !await follower.readToEnd()) return false;
      const ledgerEntry = follower.ledger.findRequest(id);
      if (ledgerEntry?.account === account) return false;
      const query = { account, id, waitMs: 0 };
      return await hasNoneAtLivePeers(query, ({ found }) => found);
    },
    isKeyUnknownToAllPeers: async (account, key) =>
      peers.canReachAll() &&
      await hasNoneAtLivePeers(
        { account, key, waitMs: 0 },
        ({ found, outcome }) => found && outcome !== Outcome.notRun,
      ),
    explainAtPeers: async (id) => {
      const reply = await findFirst(
        liveAddresses().map((address) => explain(address, id)),
      );
      return reply?.explanation;
    },
  };
}

function findFirst<Reply extends { found?: boolean }>(
  calls: readonly Promise<Reply>[],
): Promise<Reply | undefined> {
  const found = calls.map(async (call) => {
    const reply = await call;
    if (!reply.found) throw new Error("not found");
    return reply;
  });
  return Promise.any(found).catch(() => undefined);
}
