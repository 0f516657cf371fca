import {
  ConnectionRefusedError,
  type ErrorCodeValue,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import { Client, type Dispatcher } from "undici";
import { createConnections, type Reservation } from "./connections.ts";

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions {
  /** Address of the server, `host:port`. */
  address: string;
  /** Maximum number of open connections. */
  connections: number;
  /** Code of the errors that {@link HttpClient.call} throws. */
  errorCode: ErrorCodeValue;
  /**
   * Maps an address to the one to connect to instead, for networks with address
   * translation; other addresses are used as they are.
   */
  translate?: Readonly<Record<string, string>>;
  /** Called after a call timed out; later calls use new connections. */
  onTimeout?(): void;
}

/** One HTTP request. */
export interface HttpCall {
  method: Dispatcher.HttpMethod;
  path: string;
  /** Name of the operation in errors, for example `log.append`. */
  step: string;
  /** Time limit from the call to the last byte of the response. */
  timeoutMs: Milliseconds;
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  /**
   * Aborts the call, which then fails as after a lost connection: the request
   * may have taken effect.
   */
  signal?: AbortSignal;
}

/** A response, with its whole body. */
export interface HttpResponse {
  status: number;
  headers: Readonly<Record<string, string | string[] | undefined>>;
  body: Uint8Array;
}

/** HTTP client that replaces connections which no longer respond. */
export interface HttpClient {
  /**
   * Sends a request and reads the whole response. A response with an error
   * status is returned like any other.
   *
   * @throws UnavailableError when the request was certainly not delivered;
   * ConnectionRefusedError if that is since no process listens at the address
   * @throws UncertainError when the request may have been delivered and may
   * have taken effect
   */
  call(call: HttpCall): Promise<HttpResponse>;
  /** Replaces all connections; calls in progress fail. */
  reset(): void;
  /** Closes all connections; calls in progress fail. */
  close(): Promise<void>;
}

/**
 * Creates a client for one address. After a timeout, new calls use new
 * connections, since a middlebox that dropped the state of one connection has
 * usually dropped that of the others as well. Calls in progress keep theirs
 * until they are answered or time out: one lost answer says nothing of them. A
 * call that waits for a connection fails as undelivered when its time is over,
 * and so does every call to an address that is none.
 *
 * @param options address, limits and error code
 * @returns the client, which connects with its first call
 */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const peer = options.address;
  const origin = `http://${options.translate?.[peer] ?? peer}`;
  let isClosed = false;
  const connections = createConnections({
    maximum: options.connections,
    createClient: () => {
      if (isClosed) throw new Error("the client is closed");
      return new Client(origin, {
        pipelining: 1,
        // 0 disables the time limits of the client. Each call has its own, which
        // includes the wait of a long poll.
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: CONNECT_TIMEOUT_MS },
      });
    },
  });

  return {
    call: async ({ method, path, step, timeoutMs, body, headers, signal }) => {
      const controller = new AbortController();
      let isTimedOut = false;
      const timer = setTimeout(() => {
        isTimedOut = true;
        controller.abort();
      }, timeoutMs);
      const abortCall = () => controller.abort();
      signal?.addEventListener("abort", abortCall);
      let reservation: Reservation | undefined;
      let isSent = false;
      try {
        reservation = await connections.reserve(controller.signal);
        const { client, release } = reservation;
        const request = withStartCallback(client, () => isSent = true).request({
          method,
          path,
          body,
          headers,
          signal: controller.signal,
        });
        const response = request.then(async (answer) => ({
          status: answer.statusCode,
          headers: answer.headers,
          body: await answer.body.bytes() as Uint8Array,
        }));
        response.then(() => release(true), () => release(false));
        // A request that is aborted ends only once its connection is open.
        return await Promise.race([response, rejectOnAbort(controller.signal)]);
      } catch (cause) {
        if (isTimedOut && reservation !== undefined) {
          reservation.replaceAll();
          options.onTimeout?.();
        }
        const context = { step, peer, cause };
        if (isSent) {
          const reason = isTimedOut
            ? `no response within ${timeoutMs} ms`
            : "connection failed";
          throw new UncertainError(options.errorCode, reason, context);
        }
        const reason = isTimedOut
          ? `not sent within ${timeoutMs} ms`
          : isClosed
          ? "the client is closed"
          : reservation === undefined && !controller.signal.aborted
          ? `no connection can be opened to address "${peer}"`
          : isRefusal(cause)
          ? "connection refused"
          : "connection failed";
        const UndeliveredError = isRefusal(cause)
          ? ConnectionRefusedError
          : UnavailableError;
        throw new UndeliveredError(options.errorCode, reason, context);
      } finally {
        clearTimeout(timer);
        signal?.removeEventListener("abort", abortCall);
      }
    },
    reset: () => void connections.destroy(),
    close: async () => {
      isClosed = true;
      await connections.destroy();
    },
  };
}

/** Returns whether a connection was refused since no process listens. */
function isRefusal(cause: unknown): boolean {
  return cause instanceof Error && "code" in cause &&
    cause.code === "ECONNREFUSED";
}

const CONNECT_TIMEOUT_MS: Milliseconds = 1_000;

/**
 * Calls a function when a request of a client gets an open connection. No byte
 * of the request is sent before.
 */
function withStartCallback(client: Client, onStart: () => void): Dispatcher {
  return client.compose((dispatch) => (options, handler) =>
    dispatch(options, {
      onRequestStart: (controller, context) => {
        onStart();
        handler.onRequestStart?.(controller, context);
      },
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    })
  );
}

function rejectOnAbort(signal: AbortSignal): Promise<never> {
  return new Promise((_resolve, reject) =>
    signal.addEventListener("abort", () => reject(signal.reason), {
      once: true,
    })
  );
}
