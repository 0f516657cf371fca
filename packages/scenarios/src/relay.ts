import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Directions in which a relay blocks traffic. */
export interface RelayCut {
  /** Whether bytes from the client, which opens connections, are blocked. */
  forward: boolean;
  /** Whether bytes to the client are blocked. */
  backward: boolean;
}

/**
 * TCP relay between a process and one of its targets that simulates faults of
 * the network.
 */
export interface Relay {
  /** Address that the process uses in place of the target, `host:port`. */
  address: string;
  /**
   * Blocks and unblocks traffic, as a partition and its end do. Unblocked
   * connections deliver the bytes that were blocked.
   */
  setCut(cut: RelayCut): void;
  /**
   * Blocks all traffic for good on the connections now open, as when a peer
   * vanishes without a reset. New connections work.
   */
  silence(): void;
  close(): void;
}

/** A relayed connection. */
interface Link {
  client: Socket;
  upstream: Socket;
  isSilent: boolean;
}

/**
 * Starts a relay on loopback.
 *
 * @param target address to relay to, `host:port`
 * @returns the relay
 */
export async function startRelay(target: string): Promise<Relay> {
  const [host, port] = target.split(":");
  const links = new Set<Link>();
  let cut: RelayCut = { forward: false, backward: false };

  const applyFlow = (link: Link): void => {
    setFlow(link.client, !cut.forward && !link.isSilent);
    setFlow(link.upstream, !cut.backward && !link.isSilent);
  };

  const server: Server = createServer((client) => {
    const upstream = connect({ host, port: Number(port) });
    const link: Link = { client, upstream, isSilent: false };
    links.add(link);
    relayDirection(link, client, upstream);
    relayDirection(link, upstream, client);
    applyFlow(link);
  });

  const relayDirection = (link: Link, from: Socket, to: Socket): void => {
    from.on("data", (chunk) => to.write(chunk));
    // Closing a connection also sends a message to the other side, so a cut
    // blocks it like data.
    from.on("end", () => runUnlessBlocked(link, from, () => to.end()));
    from.on("error", () => {});
    from.on("close", () => {
      runUnlessBlocked(link, from, () => to.destroy());
      if (link.client.destroyed && link.upstream.destroyed) links.delete(link);
    });
  };

  const runUnlessBlocked = (
    link: Link,
    from: Socket,
    action: () => void,
  ): void => {
    const isBlocked = from === link.client ? cut.forward : cut.backward;
    if (!isBlocked && !link.isSilent) action();
  };

  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port: relayPort } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${relayPort}`,
    setCut: (next) => {
      cut = next;
      for (const link of links) {
        // A connection that one side closed during the cut is closed at both
        // sides when the cut ends.
        const hasClosedSocket = link.client.destroyed ||
          link.upstream.destroyed;
        const isOpen = !cut.forward && !cut.backward && !link.isSilent;
        if (hasClosedSocket && isOpen) {
          link.client.destroy();
          link.upstream.destroy();
        } else applyFlow(link);
      }
    },
    silence: () => {
      for (const link of links) {
        link.isSilent = true;
        applyFlow(link);
      }
    },
    close: () => {
      server.close();
      for (const { client, upstream } of links) {
        client.destroy();
        upstream.destroy();
      }
    },
  };
}

function setFlow(socket: Socket, isOpen: boolean): void {
  if (isOpen) socket.resume();
  else socket.pause();
}
