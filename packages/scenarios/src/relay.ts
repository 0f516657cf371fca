import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

/** Directions of a relay's traffic. */
export interface RelayCut {
  /** Bytes from the side that opens connections are held back. */
  forward: boolean;
  /** Bytes towards that side are held back. */
  backward: boolean;
}

/** TCP relay between one process and one target, at which faults are planted. */
export interface Relay {
  /** Address that the process uses in place of the target, `host:port`. */
  address: string;
  /** Holds traffic back or lets it go on, as a network partition and its end do. */
  setCut(cut: RelayCut): void;
  /** Makes every open connection silent for good; new ones work. */
  silence(): void;
  close(): void;
}

interface Link {
  near: Socket;
  far: Socket;
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

  const apply = (link: Link): void => {
    flow(link.near, !cut.forward && !link.isSilent);
    flow(link.far, !cut.backward && !link.isSilent);
  };

  const server: Server = createServer((near) => {
    const far = connect({ host, port: Number(port) });
    const link: Link = { near, far, isSilent: false };
    links.add(link);
    join(link, near, far);
    join(link, far, near);
    apply(link);
  });

  const join = (link: Link, from: Socket, to: Socket): void => {
    from.on("data", (chunk) => to.write(chunk));
    // A close is information too: it does not cross a cut.
    from.on("end", () => whenOpen(link, from, () => to.end()));
    from.on("error", () => {});
    from.on("close", () => {
      whenOpen(link, from, () => to.destroy());
      if (link.near.destroyed && link.far.destroyed) links.delete(link);
    });
  };

  const whenOpen = (link: Link, from: Socket, action: () => void): void => {
    const isHeld = from === link.near ? cut.forward : cut.backward;
    if (!isHeld && !link.isSilent) action();
  };

  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port: own } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${own}`,
    setCut: (next) => {
      cut = next;
      for (const link of links) {
        const isHalfClosed = link.near.destroyed || link.far.destroyed;
        const isOpen = !cut.forward && !cut.backward && !link.isSilent;
        if (isHalfClosed && isOpen) {
          link.near.destroy();
          link.far.destroy();
        } else apply(link);
      }
    },
    silence: () => {
      for (const link of links) {
        link.isSilent = true;
        apply(link);
      }
    },
    close: () => {
      server.close();
      for (const { near, far } of links) {
        near.destroy();
        far.destroy();
      }
    },
  };
}

function flow(socket: Socket, isOpen: boolean): void {
  if (isOpen) socket.resume();
  else socket.pause();
}
