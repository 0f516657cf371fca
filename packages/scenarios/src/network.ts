import type { EntryConfig } from "@rattanhill/standins";
import { type Relay, startRelay } from "./relay.ts";

/**
 * Network between the processes of one system: every connection that an entry
 * opens runs through a relay, at which it can be cut or silenced.
 */
export interface Network {
  /**
   * Starts a relay for each target of an entry.
   *
   * @returns addresses of the relays by target address
   */
  connect(
    config: EntryConfig,
    targets: readonly string[],
  ): Promise<Record<string, string>>;
  /** Registers the node at an address, so that patterns can match it. */
  registerNode(address: string, node: NetworkNode): void;
  /**
   * Blocks traffic from the nodes that match one pattern to those that match
   * another and, unless `oneWay`, in the other direction too.
   */
  cut(from: string, to: string, oneWay: boolean): void;
  /**
   * Ends all cuts. Connections that are still open deliver the blocked traffic,
   * those that one side closed in the meantime are closed at both sides, and
   * silenced ones stay silent.
   */
  heal(): void;
  /**
   * Blocks all traffic for good on the connections now open from the nodes that
   * match one pattern to those that match another. New connections work.
   */
  silence(from: string, to: string): void;
  close(): void;
}

/** A node of the network: an entry, a worker or the platform. */
export interface NetworkNode {
  kind: "entry" | "worker" | "platform";
  name: string;
  zone: string;
}

/** An entry and one of its targets, with the relay between them. */
interface RelayedPair {
  from: NetworkNode;
  target: string;
  relay: Relay;
}

/**
 * Creates a network.
 *
 * @returns a network without nodes, relays and cuts
 */
export function createNetwork(): Network {
  const pairs: RelayedPair[] = [];
  const nodes = new Map<string, NetworkNode>();
  const cuts: { from: string; to: string }[] = [];

  const isCut = (from: NetworkNode, to: NetworkNode | undefined): boolean =>
    to !== undefined &&
    cuts.some((cut) => matches(from, cut.from) && matches(to, cut.to));

  const applyCuts = (): void => {
    for (const { from, target, relay } of pairs) {
      const to = nodes.get(target);
      relay.setCut({
        forward: isCut(from, to),
        backward: to !== undefined && isCut(to, from),
      });
    }
  };

  return {
    connect: async ({ name, zone }, targets) => {
      const from: NetworkNode = { kind: "entry", name, zone };
      const relayed = await Promise.all(targets.map(async (target) => {
        const relay = await startRelay(target);
        pairs.push({ from, target, relay });
        return [target, relay.address] as const;
      }));
      applyCuts();
      return Object.fromEntries(relayed);
    },
    registerNode: (address, node) => nodes.set(address, node),
    cut: (from, to, oneWay) => {
      cuts.push({ from, to });
      if (!oneWay) cuts.push({ from: to, to: from });
      applyCuts();
    },
    heal: () => {
      cuts.length = 0;
      applyCuts();
    },
    silence: (from, to) => {
      for (const pair of pairs) {
        const target = nodes.get(pair.target);
        const isSilenced = target !== undefined && matches(pair.from, from) &&
          matches(target, to);
        if (isSilenced) pair.relay.silence();
      }
    },
    close: () => pairs.forEach(({ relay }) => relay.close()),
  };
}

/**
 * Checks whether a node matches a pattern:
 *
 * - `platform`
 * - `zone ZONE`, `entries ZONE`, `workers ZONE`: all, or one kind, of a zone
 * - `others ZONE`: entries and workers of all other zones
 * - `entry NAME`, `worker NAME`
 */
function matches(node: NetworkNode, pattern: string): boolean {
  const [kind, name] = pattern.split(" ");
  switch (kind) {
    case "platform":
      return node.kind === "platform";
    case "zone":
      return node.kind !== "platform" && node.zone === name;
    case "others":
      return node.kind !== "platform" && node.zone !== name;
    case "entries":
      return node.kind === "entry" && node.zone === name;
    case "workers":
      return node.kind === "worker" && node.zone === name;
    default:
      return node.kind === kind && node.name === name;
  }
}
