import type { Milliseconds } from "@rattanhill/shared";

/** Description of an entry, sent in its heartbeats. */
export interface EntryInfo {
  /** Identifier of the current process start. */
  id: string;
  /** Name from the settings. */
  name: string;
  /** Address for other entries, `host:port`. */
  address: string;
  zone: string;
  /** Wall-clock time of the start, in milliseconds. */
  startedAt: Milliseconds;
  /** Whether the entry is shutting down. */
  leaving: boolean;
}

/** Another entry, with the time of its last heartbeat. */
export interface PeerView extends EntryInfo {
  /**
   * Time of the last heartbeat by the local clock, moved forward by
   * {@link Membership.compensatePause}.
   */
  heardAt: Milliseconds;
  isAlive: boolean;
}

/**
 * Membership as seen by one entry: which entries are alive, and which of them
 * leads each zone.
 */
export interface Membership {
  /**
   * Records a heartbeat.
   *
   * @returns whether the peer was unknown or dead before
   */
  recordHeartbeat(entry: EntryInfo, now: Milliseconds): boolean;
  /**
   * Marks a peer that refuses connections as dead.
   *
   * @returns whether it was alive before
   */
  markDead(id: string): boolean;
  /**
   * Moves the times of the last heartbeats forward by a pause of this process,
   * during which it received none, so that the pause makes no peer count as
   * dead.
   */
  compensatePause(pausedMs: Milliseconds): void;
  /**
   * Marks peers without a recent heartbeat as dead, and removes peers without
   * one for longer than the retention.
   *
   * @returns the peers that this call marked as dead
   */
  expire(now: Milliseconds): readonly PeerView[];
  /**
   * @returns the lead of a zone: the oldest live entry that is not shutting
   * down or, if all are, the oldest live entry; `undefined` when none is alive
   */
  findLead(zone: string): EntryInfo | undefined;
  /** @returns whether the process with this identifier is alive */
  isAlive(id: string): boolean;
  /** @returns the peer with this identifier, alive or dead */
  find(id: string): PeerView | undefined;
  /** @returns peers that are alive */
  alivePeers(): readonly PeerView[];
  /** @returns all peers that are not removed yet, alive or dead */
  allPeers(): readonly PeerView[];
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  /**
   * @returns the current description of this entry; called whenever it is
   * needed, since the `leaving` flag changes
   */
  self(): EntryInfo;
  /**
   * Time without a heartbeat after which a peer in the same zone counts as
   * dead.
   */
  zoneSuspicionMs: Milliseconds;
  /**
   * Time without a heartbeat after which a peer in another zone counts as dead.
   */
  remoteSuspicionMs: Milliseconds;
  /** Time without a heartbeat after which a peer is removed. */
  peerRetentionMs: Milliseconds;
}

/**
 * Creates the membership view of one entry.
 *
 * @param options this entry, the suspicion times and the retention
 * @returns the membership, without peers at first
 */
export function createMembership(options: MembershipOptions): Membership {
  const peers = new Map<string, PeerView>();
  const alivePeers = () => [...peers.values()].filter((peer) => peer.isAlive);
  const suspicionMs = (peer: PeerView) =>
    peer.zone === options.self().zone
      ? options.zoneSuspicionMs
      : options.remoteSuspicionMs;

  return {
    recordHeartbeat: (entry, now) => {
      const previous = peers.get(entry.id);
      peers.set(entry.id, { ...entry, heardAt: now, isAlive: true });
      for (const other of peers.values()) {
        // A newer process at the same address replaces the older one.
        const isReplaced = other.address === entry.address &&
          other.startedAt < entry.startedAt;
        if (isReplaced) other.isAlive = false;
      }
      return previous?.isAlive !== true;
    },
    markDead: (id) => {
      const peer = peers.get(id);
      if (peer?.isAlive !== true) return false;
      peer.isAlive = false;
      return true;
    },
    compensatePause: (pausedMs) => {
      for (const peer of peers.values()) peer.heardAt += pausedMs;
    },
    expire: (now) => {
      const markedDead: PeerView[] = [];
      for (const peer of peers.values()) {
        const silenceMs = now - peer.heardAt;
        if (peer.isAlive && silenceMs > suspicionMs(peer)) {
          peer.isAlive = false;
          markedDead.push(peer);
        }
        if (silenceMs > options.peerRetentionMs) peers.delete(peer.id);
      }
      return markedDead;
    },
    findLead: (zone) => {
      const candidates = [options.self(), ...alivePeers()]
        .filter((entry) => entry.zone === zone);
      const notLeaving = candidates.filter((entry) => !entry.leaving);
      return oldestEntry(notLeaving.length > 0 ? notLeaving : candidates);
    },
    isAlive: (id) =>
      id === options.self().id || peers.get(id)?.isAlive === true,
    find: (id) => peers.get(id),
    alivePeers,
    allPeers: () => [...peers.values()],
  };
}

function oldestEntry(entries: readonly EntryInfo[]): EntryInfo | undefined {
  return entries.reduce<EntryInfo | undefined>(
    (best, entry) =>
      best === undefined || startedBefore(entry, best) ? entry : best,
    undefined,
  );
}

function startedBefore(a: EntryInfo, b: EntryInfo): boolean {
  if (a.startedAt !== b.startedAt) return a.startedAt < b.startedAt;
  return a.id < b.id;
}
