import type { Client } from "undici";

/** Connections to one address, each of which serves one call at a time. */
export interface Connections {
  /**
   * Reserves a connection for a call, in the order of these requests. Waits
   * while calls use all connections.
   *
   * @param signal ends the wait
   * @returns the reservation, which the call has to release
   * @throws the signal's reason when it ended the wait, or what prevents a
   * connection from being opened
   */
  reserve(signal: AbortSignal): Promise<Reservation>;
  /** Closes all connections; calls in progress fail. */
  destroy(): Promise<void>;
}

/** The right of one call to use a connection. */
export interface Reservation {
  client: Client;
  /**
   * Ends the use; called once.
   *
   * @param isSound whether later calls may use the connection
   */
  release(isSound: boolean): void;
  /**
   * Lets new and waiting calls use new connections. Calls in progress keep
   * theirs. Does nothing if this connection has been replaced already.
   */
  replaceAll(): void;
}

/** Options of {@link createConnections}. */
export interface ConnectionsOptions {
  /** Maximum number of connections, without those that are replaced. */
  maximum: number;
  /**
   * @returns a client that connects with its first request
   * @throws Error when none can be created
   */
  createClient(): Client;
}

/**
 * Creates the connections to an address. They are opened by calls.
 *
 * @param options the maximum number and how to create one
 * @returns the connections
 */
export function createConnections(
  { maximum, createClient }: ConnectionsOptions,
): Connections {
  const clients = new Set<Client>();
  let current = { idle: [] as Client[], useCount: 0 };
  /** Calls that wait for a connection, oldest first. */
  const waiting = new Set<() => void>();

  const destroyClient = async (client: Client): Promise<void> => {
    clients.delete(client);
    await client.destroy().catch(() => {});
  };
  const reserveNow = (): Reservation => {
    const owner = current;
    const client = owner.idle.pop() ?? createClient();
    clients.add(client);
    owner.useCount += 1;
    return {
      client,
      release: (isSound) => {
        owner.useCount -= 1;
        if (isSound && owner === current) owner.idle.push(client);
        else void destroyClient(client);
        admitWaiting();
      },
      replaceAll: () => {
        if (owner !== current) return;
        replaceCurrent();
        admitWaiting();
      },
    };
  };
  const admitWaiting = (): void => {
    for (const admit of waiting) {
      if (current.useCount >= maximum) return;
      waiting.delete(admit);
      admit();
    }
  };
  const replaceCurrent = (): void => {
    const { idle } = current;
    current = { idle: [], useCount: 0 };
    for (const client of idle) void destroyClient(client);
  };

  return {
    reserve: async (signal) => {
      signal.throwIfAborted();
      if (current.useCount < maximum) return reserveNow();
      return await new Promise((resolve, reject) => {
        const admit = (): void => {
          signal.removeEventListener("abort", leave);
          try {
            resolve(reserveNow());
          } catch (error) {
            reject(error);
          }
        };
        const leave = (): void => {
          waiting.delete(admit);
          reject(signal.reason);
        };
        waiting.add(admit);
        signal.addEventListener("abort", leave, { once: true });
      });
    },
    destroy: async () => {
      replaceCurrent();
      const destroyed = [...clients].map(destroyClient);
      admitWaiting();
      await Promise.all(destroyed);
    },
  };
}
