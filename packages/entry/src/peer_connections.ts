import {
  type CallOptions,
  type ClientOptions,
  credentials,
  type ServiceError,
  status,
} from "@grpc/grpc-js";
import {
  ErrorCode,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import { type PeerClient, PeerService } from "@rattanhill/protocol";

/** Makes one unary call with the given client. */
export type PeerInvocation<Reply> = (
  client: PeerClient,
  options: CallOptions,
  callback: (error: ServiceError | null, reply?: Reply) => void,
) => { cancel(): void };

/** Connections to the other entries, and the calls on them. */
export interface PeerConnections {
  /**
   * Calls an entry. When the call times out, later calls to the entry use a new
   * connection; the other calls in progress go on, and fail only if keepalive
   * pings find their connection silent.
   *
   * @param address address of the entry
   * @param invoke makes the call with the given client
   * @param options name of the operation in errors, and its time limit
   * @throws UnavailableError when the entry could not be reached
   * @throws UncertainError when the call failed in any other way, so that the
   * entry may have carried it out
   */
  call<Reply>(
    address: string,
    invoke: PeerInvocation<Reply>,
    options: { step: string; timeoutMs: Milliseconds },
  ): Promise<Reply>;
  /**
   * Closes the connections to an address and cancels all calls on them. The
   * next call opens a new connection.
   */
  drop(address: string): void;
  /** Closes all connections; calls in progress fail. */
  close(): void;
}

/** A connection, which its client opens again when it was lost. */
interface Connection {
  client: PeerClient;
  /** Functions that cancel the calls in progress. */
  openCalls: Set<() => void>;
}

/**
 * Creates the connections of one entry.
 *
 * @param translate addresses to connect to in place of others
 * @returns the connections, each of which is opened by the first call
 */
export function createPeerConnections(
  translate: Readonly<Record<string, string>>,
): PeerConnections {
  const current = new Map<string, Connection>();
  // Connections on which a call timed out, until their last call has ended.
  const replaced = new Map<string, Set<Connection>>();

  const getConnection = (address: string): Connection => {
    let connection = current.get(address);
    if (connection === undefined) {
      const client = new PeerService(
        translate[address] ?? address,
        credentials.createInsecure(),
        CLIENT_OPTIONS,
      );
      connection = { client, openCalls: new Set() };
      current.set(address, connection);
    }
    return connection;
  };

  const replace = (address: string, connection: Connection): void => {
    // When several calls time out on one connection, only the first replaces
    // it.
    if (current.get(address) !== connection) return;
    current.delete(address);
    const connections = replaced.get(address) ?? new Set();
    replaced.set(address, connections.add(connection));
  };

  const closeIfUnused = (address: string, connection: Connection): void => {
    if (connection.openCalls.size > 0) return;
    const connections = replaced.get(address);
    if (connections?.delete(connection) !== true) return;
    if (connections.size === 0) replaced.delete(address);
    connection.client.close();
  };

  const drop = (address: string): void => {
    const connections = [...replaced.get(address) ?? []];
    const latest = current.get(address);
    if (latest !== undefined) connections.push(latest);
    replaced.delete(address);
    current.delete(address);
    for (const { client, openCalls } of connections) {
      for (const cancel of [...openCalls]) cancel();
      client.close();
    }
  };

  return {
    call: (address, invoke, { step, timeoutMs }) =>
      new Promise((resolve, reject) => {
        const connection = getConnection(address);
        const cancel = () => pendingCall.cancel();
        const pendingCall = invoke(
          connection.client,
          { deadline: Date.now() + timeoutMs },
          (error, reply) => {
            connection.openCalls.delete(cancel);
            const isTimeout = error?.code === status.DEADLINE_EXCEEDED;
            if (isTimeout) replace(address, connection);
            closeIfUnused(address, connection);
            if (error === null && reply !== undefined) return resolve(reply);
            const context = { step, peer: address, cause: error };
            const text = error?.details ?? "no reply";
            reject(
              error?.code === status.UNAVAILABLE
                ? new UnavailableError(ErrorCode.peerUnreachable, text, context)
                : new UncertainError(ErrorCode.peerUnreachable, text, context),
            );
          },
        );
        connection.openCalls.add(cancel);
      }),
    drop,
    close: () => {
      for (const { client } of current.values()) client.close();
      for (const connections of replaced.values()) {
        for (const { client } of connections) client.close();
      }
    },
  };
}

const CLIENT_OPTIONS: ClientOptions = {
  "grpc.enable_retries": 0,
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.min_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 500,
  // Keepalive pings detect a silent connection during calls with a long wait.
  "grpc.keepalive_time_ms": 500,
  "grpc.keepalive_timeout_ms": 500,
  // Without its own pool, the client created after a dropped connection would
  // share the connection of the client before it.
  "grpc.use_local_subchannel_pool": 1,
};
