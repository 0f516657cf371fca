import { Metadata, Server, ServerCredentials } from "@grpc/grpc-js";
import {
  type Clock,
  describeError,
  type EventLog,
  Events,
  type Milliseconds,
  UnavailableError,
} from "@rattanhill/shared";
import type { EntryInfo, Membership, ZoneSummary } from "@rattanhill/core";
import {
  decodeHeartbeat,
  type HeartbeatMessage,
  type HeartbeatMessage__Output,
  type PeerClient,
  type PeerHandlers,
  PeerService,
} from "@rattanhill/protocol";
import {
  createPeerConnections,
  type PeerConnections,
} from "./peer_connections.ts";
import type { RequestHandlers } from "./peer_handlers.ts";
import type { EntryTiming } from "./settings.ts";

/** Name of an operation of the peer service. */
export type PeerMethod = keyof PeerHandlers & keyof PeerClient & string;

/** Exchanges heartbeats with the other entries, and calls their operations. */
export interface Peers {
  /**
   * Starts the server and the heartbeats.
   *
   * @returns the port that the server was bound to
   */
  start(): Promise<number>;
  /** Calls an entry. See {@link PeerConnections.call}. */
  call: PeerConnections["call"];
  /** Adds addresses to which heartbeats are sent. */
  addAddresses(addresses: Iterable<string>): void;
  /** Removes unresponsive addresses that the platform does not list. */
  pruneAddresses(listed: ReadonlySet<string>): void;
  /** @returns whether an entry is alive at every known address */
  canReachAll(): boolean;
  /** Sends a heartbeat to every live peer at once, as when shutting down. */
  broadcastHeartbeat(): Promise<void>;
  /** @returns the latest summary received for each zone */
  summaries(): ReadonlyMap<string, ZoneSummary>;
  /** Stops the heartbeats, and the server after the calls in progress. */
  stop(): Promise<void>;
}

/** Options of {@link createPeers}. */
export interface PeersOptions {
  host: string;
  port: number;
  seeds: readonly string[];
  translate: Readonly<Record<string, string>>;
  timing: EntryTiming;
  clock: Clock;
  log: EventLog;
  membership: Membership;
  /** @returns this entry's description; its identifier never changes */
  self(): EntryInfo;
  /** @returns the heartbeat to send */
  createHeartbeat(): HeartbeatMessage;
  handlers: RequestHandlers;
  /** Called with the configuration version in each heartbeat of a peer. */
  onConfigVersion(address: string, version: number): void;
  /**
   * Called after each heartbeat, also when the membership is unchanged, and
   * when a peer is marked as dead.
   */
  onMembershipUpdate(): void;
}

/**
 * Creates the gRPC server and clients by which one entry communicates with the
 * others.
 *
 * @param options address, time limits and handlers
 * @returns the connections to the peers, not yet started
 */
export function createPeers(options: PeersOptions): Peers {
  const { timing, clock, log, membership } = options;
  const server = new Server();
  const connections = createPeerConnections(options.translate);
  const addresses = new Set<string>(options.seeds);
  const failureCounts = new Map<string, number>();
  const zoneByAddress = new Map<string, string>();
  const summaries = new Map<string, ZoneSummary>();
  const timers = new Map<string, NodeJS.Timeout>();
  const heartbeatReceivedAt = new Map<string, Milliseconds>();
  let expiryTimer: NodeJS.Timeout | undefined;
  let lastExpiryAt = clock.now();
  let isStopped = false;

  /**
   * Cancels all calls to a peer that was marked as dead, so that the code that
   * made them can turn to other entries before the time limit is over.
   */
  const handlePeerLost = (peer: EntryInfo, error?: unknown): void => {
    const errorText = error === undefined ? undefined : describeError(error);
    log(Events.peerLost, { peer: peer.id, error: errorText });
    connections.drop(peer.address);
  };

  const handleHeartbeat = (message: HeartbeatMessage__Output): void => {
    const { info, configVersion, summary } = decodeHeartbeat(message);
    if (info.id === options.self().id) return;
    addAddresses([info.address]);
    zoneByAddress.set(info.address, info.zone);
    const isNew = membership.recordHeartbeat(info, clock.now());
    if (summary !== undefined) summaries.set(summary.zone, summary);
    if (isNew) {
      log(Events.peerFound, { peer: info.id, zone: info.zone });
    }
    options.onMembershipUpdate();
    options.onConfigVersion(info.address, configVersion);
  };

  const sendHeartbeat = async (address: string): Promise<void> => {
    try {
      const timeoutMs = timing.suspicionMs / 2;
      const message = await connections.call<HeartbeatMessage__Output>(
        address,
        (client, callOptions, callback) =>
          client.Heartbeat(
            options.createHeartbeat(),
            new Metadata(),
            callOptions,
            callback,
          ),
        { step: "peer.heartbeat", timeoutMs },
      );
      failureCounts.delete(address);
      handleHeartbeat(message);
    } catch (error) {
      recordFailure(address, error);
    }
  };

  const recordFailure = (address: string, error: unknown): void => {
    const count = (failureCounts.get(address) ?? 0) + 1;
    failureCounts.set(address, count);
    // A peer that refuses connections is marked as dead here. A peer that only
    // does not reply is marked by the expiry check.
    const isRefused = error instanceof UnavailableError;
    if (!isRefused || count < FAILURES_BEFORE_MARKED_DEAD) return;
    for (const peer of membership.alivePeers()) {
      if (peer.address !== address || !membership.markDead(peer.id)) continue;
      handlePeerLost(peer, error);
      options.onMembershipUpdate();
    }
  };

  const scheduleHeartbeat = (address: string): void => {
    if (isStopped || !addresses.has(address)) return;
    const usesZoneInterval =
      zoneByAddress.get(address) === options.self().zone ||
      !zoneByAddress.has(address);
    const intervalMs = usesZoneInterval
      ? timing.heartbeatMs
      : timing.remoteHeartbeatMs;
    const isUnresponsive =
      (failureCounts.get(address) ?? 0) > UNRESPONSIVE_FAILURES;
    const delayMs = isUnresponsive ? intervalMs * SLOWDOWN_FACTOR : intervalMs;
    const sendIfDue = async () => {
      // No heartbeat is due if the peer has just sent one, since this entry
      // replied to it with its own heartbeat.
      const receivedAt = heartbeatReceivedAt.get(address) ?? -Infinity;
      if (clock.now() - receivedAt > intervalMs) await sendHeartbeat(address);
      scheduleHeartbeat(address);
    };
    timers.set(address, setTimeout(() => void sendIfDue(), delayMs));
  };

  const addAddresses = (found: Iterable<string>): void => {
    for (const address of found) {
      if (address === options.self().address) continue;
      const isKnown = addresses.has(address) && timers.has(address);
      addresses.add(address);
      if (isKnown || isStopped || expiryTimer === undefined) continue;
      // Marks the address as known while its first heartbeat is in progress.
      timers.set(address, setTimeout(() => {}, 0));
      void sendHeartbeat(address).then(() => scheduleHeartbeat(address));
    }
  };

  const expirePeers = (): void => {
    const sinceExpiryMs = clock.now() - lastExpiryAt;
    lastExpiryAt = clock.now();
    if (sinceExpiryMs > PAUSE_DETECTION_FACTOR * timing.heartbeatMs) {
      membership.compensatePause(sinceExpiryMs);
    }
    const lost = membership.expire(clock.now());
    for (const peer of lost) handlePeerLost(peer);
    if (lost.length > 0) options.onMembershipUpdate();
  };

  const handlers: PeerHandlers = {
    ...options.handlers,
    Heartbeat: ({ request }, callback) => {
      heartbeatReceivedAt.set(request.address, clock.now());
      handleHeartbeat(request);
      callback(null, options.createHeartbeat());
    },
  } as PeerHandlers;

  return {
    start: async () => {
      server.addService(PeerService.service, handlers);
      const port = await new Promise<number>((resolve, reject) => {
        server.bindAsync(
          `${options.host}:${options.port}`,
          ServerCredentials.createInsecure(),
          (error, bound) => error === null ? resolve(bound) : reject(error),
        );
      });
      lastExpiryAt = clock.now();
      expiryTimer = setInterval(expirePeers, timing.heartbeatMs);
      addAddresses([...addresses]);
      return port;
    },
    call: connections.call,
    addAddresses,
    pruneAddresses: (listed) => {
      for (const [address, count] of failureCounts) {
        if (listed.has(address) || count < UNRESPONSIVE_FAILURES) {
          continue;
        }
        clearTimeout(timers.get(address));
        timers.delete(address);
        addresses.delete(address);
        failureCounts.delete(address);
        connections.drop(address);
      }
    },
    canReachAll: () => {
      const alive = new Set(
        membership.alivePeers().map(({ address }) => address),
      );
      return [...addresses].every((address) =>
        alive.has(address) || address === options.self().address
      );
    },
    broadcastHeartbeat: async () => {
      await Promise.all(
        membership.alivePeers().map((peer) => sendHeartbeat(peer.address)),
      );
    },
    summaries: () => summaries,
    stop: async () => {
      isStopped = true;
      clearInterval(expiryTimer);
      for (const timer of timers.values()) clearTimeout(timer);
      await new Promise<void>((resolve) => {
        const forceTimer = setTimeout(() => {
          server.forceShutdown();
          resolve();
        }, SERVER_STOP_TIMEOUT_MS);
        server.tryShutdown(() => {
          clearTimeout(forceTimer);
          resolve();
        });
      });
      connections.close();
    },
  };
}

// When more than this many heartbeat intervals lie between two expiry checks,
// this process itself was paused.
const PAUSE_DETECTION_FACTOR = 2;
// Failed heartbeats in a row after which a peer that refuses connections is
// marked as dead.
const FAILURES_BEFORE_MARKED_DEAD = 2;
// Failed heartbeats in a row after which an address counts as unresponsive.
const UNRESPONSIVE_FAILURES = 20;
// The heartbeat interval of unresponsive addresses is longer by this factor.
const SLOWDOWN_FACTOR = 5;
const SERVER_STOP_TIMEOUT_MS: Milliseconds = 500;
