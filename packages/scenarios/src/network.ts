import type { EntryPlace } from "@rattanhill/standins";
import { type Relay, startRelay } from "./relay.ts";

/** Relays between the processes of one system. */
export interface Network {
  /** Starts a relay for each target of an entry. @returns relay addresses by target */
  connect(
    place: EntryPlace,
    targets: readonly string[],
  ): Promise<Record<string, string>>;
  /** Names an address, so that cuts can refer to it. */
  name(address: string, end: NetworkEnd): void;
  /** Holds traffic back from one end to another, and back again unless `oneWay`. */
  cut(from: string, to: string, oneWay: boolean): void;
  /** Ends all cuts. */
  heal(): void;
  /** Silences open connections from one end to another for good. */
  silence(from: string, to: string): void;
  close(): void;
}

/** One end of the network: an entry, a worker or the platform. */
export interface NetworkEnd {
  kind: "entry" | "worker" | "platform";
  name: string;
  zone: string;
}

interface RelayedPair {
  from: NetworkEnd;
  target: string;
  relay: Relay;
}

/**
 * Creates a network without relays.
 *
 * @returns the network
 */
export function createNetwork(): Network {
  const pairs: RelayedPair[] = [];
  const ends = new Map<string, NetworkEnd>();
  const cuts: { from: string; to: string }[] = [];

  const isCut = (from: NetworkEnd, to: NetworkEnd | undefined): boolean =>
    to !== undefined &&
    cuts.some((cut) => matches(from, cut.from) && matches(to, cut.to));

  const apply = (): void => {
    for (const { from, target, relay } of pairs) {
      const to = ends.get(target);
      relay.setCut({
        forward: isCut(from, to),
        backward: to !== undefined && isCut(to, from),
      });
    }
  };

  return {
    connect: async ({ name, zone }, targets) => {
      const from: NetworkEnd = { kind: "entry", name, zone };
      const relayed = await Promise.all(targets.map(async (target) => {
        const relay = await startRelay(target);
        pairs.push({ from, target, relay });
        return [target, relay.address] as const;
      }));
      apply();
      return Object.fromEntries(relayed);
    },
    name: (address, end) => ends.set(address, end),
    cut: (from, to, oneWay) => {
      cuts.push({ from, to });
      if (!oneWay) cuts.push({ from: to, to: from });
      apply();
    },
    heal: () => {
      cuts.length = 0;
      apply();
    },
    silence: (from, to) => {
      for (const pair of pairs) {
        const target = ends.get(pair.target);
        const isMeant = target !== undefined && matches(pair.from, from) &&
          matches(target, to);
        if (isMeant) pair.relay.silence();
      }
    },
    close: () => pairs.forEach(({ relay }) => relay.close()),
  };
}

/** Patterns: `platform`, `zone NAME`, `entries NAME`, `workers NAME`, `entry NAME`, `worker NAME`, `others NAME`. */
function matches(end: NetworkEnd, pattern: string): boolean {
  const [kind, name] = pattern.split(" ");
  switch (kind) {
    case "platform":
      return end.kind === "platform";
    case "zone":
      return end.kind !== "platform" && end.zone === name;
    case "others":
      return end.kind !== "platform" && end.zone !== name;
    case "entries":
      return end.kind === "entry" && end.zone === name;
    case "workers":
      return end.kind === "worker" && end.zone === name;
    default:
      return end.kind === kind && end.name === name;
  }
}
