import type { Milliseconds } from "@rattanhill/shared";

/** What an entry tells about itself in a heartbeat. */
export interface EntryInfo {
  /** Identifier of this start of the process. */
  id: string;
  /** Name from the settings. */
  name: string;
  /** Address for other entries, `host:port`. */
  address: string;
  zone: string;
  /** Wall-clock time of the start, in milliseconds. */
  startedAt: Milliseconds;
  /** Whether it is shutting down. */
  leaving: boolean;
}

/** Another entry and when it was last heard. */
export interface PeerView extends EntryInfo {
  /** Time of the last heartbeat, by our clock. */
  heardAt: Milliseconds;
  isAlive: boolean;
}

/** Which entries are alive, as one entry sees it. */
export interface Membership {
  /** Notes a heartbeat. @returns whether the peer was not alive before */
  heard(info: EntryInfo, now: Milliseconds): boolean;
  /** Notes that a peer refused its connection. */
  suspect(id: string): boolean;
  /** Allows for a time in which this process was paused and could hear nobody. */
  forgive(paused: Milliseconds): void;
  /** Marks peers that were not heard for too long. @returns the peers lost in this call */
  expire(now: Milliseconds): readonly PeerView[];
  /** @returns the lead of a zone, or `undefined` when none is alive */
  lead(zone: string): EntryInfo | undefined;
  /** @returns whether the process with this identifier is alive */
  isAlive(id: string): boolean;
  /** @returns the peer of that identifier, alive or not */
  find(id: string): PeerView | undefined;
  /** @returns peers that are alive */
  alive(): readonly PeerView[];
  /** @returns every peer that is remembered */
  all(): readonly PeerView[];
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  /** This entry; read on every call, since its leaving flag changes. */
  self(): EntryInfo;
  /** Silence after which a peer of the own zone is taken for dead. */
  zoneSuspicionMs: Milliseconds;
  /** Silence after which a peer of another zone is taken for dead. */
  remoteSuspicionMs: Milliseconds;
  /** Time for which dead peers are remembered. */
  forgetMs: Milliseconds;
}

/**
 * Creates the membership view of one entry.
 *
 * @param options this entry and the time limits
 * @returns the view
 */
export function createMembership(options: MembershipOptions): Membership {
  const peers = new Map<string, PeerView>();
  const alive = () => [...peers.values()].filter((peer) => peer.isAlive);
  const suspicionMs = (peer: PeerView) =>
    peer.zone === options.self().zone
      ? options.zoneSuspicionMs
      : options.remoteSuspicionMs;

  return {
    heard: (info, now) => {
      const known = peers.get(info.id);
      peers.set(info.id, { ...info, heardAt: now, isAlive: true });
      for (const other of peers.values()) {
        // A newer start at the same address replaces the older one.
        const isReplaced = other.address === info.address &&
          other.startedAt < info.startedAt;
        if (isReplaced) other.isAlive = false;
      }
      return known?.isAlive !== true;
    },
    suspect: (id) => {
      const peer = peers.get(id);
      if (peer?.isAlive !== true) return false;
      peer.isAlive = false;
      return true;
    },
    forgive: (paused) => {
      for (const peer of peers.values()) peer.heardAt += paused;
    },
    expire: (now) => {
      const lost: PeerView[] = [];
      for (const peer of peers.values()) {
        const silence = now - peer.heardAt;
        if (peer.isAlive && silence > suspicionMs(peer)) {
          peer.isAlive = false;
          lost.push(peer);
        }
        if (silence > options.forgetMs) peers.delete(peer.id);
      }
      return lost;
    },
    lead: (zone) => {
      const candidates = [options.self(), ...alive()]
        .filter((entry) => entry.zone === zone);
      const staying = candidates.filter((entry) => !entry.leaving);
      return oldest(staying.length > 0 ? staying : candidates);
    },
    isAlive: (id) =>
      id === options.self().id || peers.get(id)?.isAlive === true,
    find: (id) => peers.get(id),
    alive,
    all: () => [...peers.values()],
  };
}

function oldest(entries: readonly EntryInfo[]): EntryInfo | undefined {
  return entries.reduce<EntryInfo | undefined>(
    (best, entry) =>
      best === undefined || startsBefore(entry, best) ? entry : best,
    undefined,
  );
}

function startsBefore(a: EntryInfo, b: EntryInfo): boolean {
  if (a.startedAt !== b.startedAt) return a.startedAt < b.startedAt;
  return a.id < b.id;
}
