import {
  type ErrorCodeValue,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import { type Dispatcher, Pool } from "undici";

/** Options of {@link createHttpClient}. */
export interface HttpClientOptions {
  /** Address of the other end, `host:port`. */
  address: string;
  /** Largest number of connections that are open at the same time. */
  connections: number;
  /** Code of the errors that this client throws. */
  errorCode: ErrorCodeValue;
  /** Addresses to use in place of others, for networks with address translation. */
  translate?: Readonly<Record<string, string>>;
  /** Called when a call had no answer in time, after the connections were replaced. */
  timedOut?(): void;
}

/** One request. */
export interface HttpCall {
  method: Dispatcher.HttpMethod;
  path: string;
  /** Operation named in errors. */
  step: string;
  timeoutMs: Milliseconds;
  body?: string | Uint8Array;
  headers?: Record<string, string>;
  /** Ends the call early; nothing is known of its effect then. */
  signal?: AbortSignal;
}

/** A whole response. */
export interface HttpResponse {
  status: number;
  headers: Readonly<Record<string, string | string[] | undefined>>;
  body: Uint8Array;
}

/** HTTP client that leaves connections which have gone silent. */
export interface HttpClient {
  /**
   * Sends a request and reads the whole response.
   *
   * @throws UnavailableError when the request was certainly not delivered
   * @throws UncertainError when it may have taken effect
   */
  call(call: HttpCall): Promise<HttpResponse>;
  /** Replaces all connections; calls in progress end with an error. */
  reset(): void;
  /** Closes all connections. */
  close(): Promise<void>;
}

/**
 * Creates a client for one address. After a timeout every connection of the
 * client is replaced, since a middlebox that dropped the state of one
 * connection has usually dropped the others as well.
 *
 * @param options address and limits
 * @returns the client
 */
export function createHttpClient(options: HttpClientOptions): HttpClient {
  const peer = options.address;
  const origin = `http://${options.translate?.[peer] ?? peer}`;
  const open = () =>
    new Pool(origin, {
      connections: options.connections,
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
  let pool = open();

  const replace = (failed: Pool): void => {
    if (failed !== pool) return;
    pool = open();
    failed.destroy().catch(() => {});
  };

  return {
    call: async ({ method, path, step, timeoutMs, body, headers, signal }) => {
      const current = pool;
      const abort = new AbortController();
      let isTimedOut = false;
      const timer = setTimeout(() => {
        isTimedOut = true;
        abort.abort();
      }, timeoutMs);
      const cancel = () => abort.abort();
      signal?.addEventListener("abort", cancel);
      try {
        const response = await current.request({
          method,
          path,
          body,
          headers,
          signal: abort.signal,
        });
        const bytes = await response.body.bytes();
        return {
          status: response.statusCode,
          headers: response.headers,
          body: bytes,
        };
      } catch (cause) {
        if (isTimedOut) {
          replace(current);
          options.timedOut?.();
        }
        const context = { step, peer, cause };
        const reason = isTimedOut
          ? `no answer within ${timeoutMs} ms`
          : "connection failed";
        throw wasDelivered(cause)
          ? new UncertainError(options.errorCode, reason, context)
          : new UnavailableError(options.errorCode, reason, context);
      } finally {
        clearTimeout(timer);
        signal?.removeEventListener("abort", cancel);
      }
    },
    reset: () => replace(pool),
    close: () => pool.destroy(),
  };
}

const CONNECT_TIMEOUT_MS: Milliseconds = 1_000;
const REFUSALS = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

function wasDelivered(cause: unknown): boolean {
  const code = (cause as { code?: unknown })?.code;
  return !(typeof code === "string" && REFUSALS.has(code));
}
