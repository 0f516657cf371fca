import {
  ErrorCode,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import {
  appendResponseSchema,
  type ReadResponse,
  readResponseSchema,
  type VmList,
  vmListSchema,
} from "@rattanhill/protocol";
import { createHttpClient, type HttpResponse } from "./http_client.ts";
import { readJson } from "./json_response.ts";

/** Client of the platform's append-only log and of its list of VMs. */
export interface PlatformClient {
  /**
   * Appends records to a stream of the log.
   *
   * @returns the offset of the first appended record
   * @throws UnavailableError when nothing was appended
   * @throws UncertainError when the records may have been appended
   */
  append(stream: string, records: readonly string[]): Promise<number>;
  /**
   * Reads a page of records. At the end of the stream the platform waits up to
   * `waitMs` for a new record (long poll).
   *
   * @returns records from the given offset on, with the oldest offset, the end
   * offset and the retention of the stream
   */
  read(
    stream: string,
    from: number,
    waitMs: Milliseconds,
  ): Promise<ReadResponse>;
  /**
   * @returns the live and leaving VMs; the list lags behind their actual state
   */
  listVms(): Promise<VmList>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Options of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** Address of the platform, `host:port`. */
  address: string;
  /** Time limit of one operation, without the wait of a long poll. */
  timeoutMs: Milliseconds;
  /** See {@link HttpClientOptions.translate}. */
  translate?: Readonly<Record<string, string>>;
}

/**
 * Creates a client of the platform's HTTP service.
 *
 * @param options address and time limit
 * @returns the client
 */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const { address, timeoutMs, translate } = options;
  const errorCode = ErrorCode.logUnavailable;
  const clientOptions = { address, errorCode, translate };
  // Appends have a connection of their own, so that they never queue behind
  // reads that wait for records.
  const readClient = createHttpClient({ ...clientOptions, connections: 3 });
  const appendClient = createHttpClient({ ...clientOptions, connections: 1 });

  return {
    append: async (stream, records) => {
      const step = "log.append";
      const response = await appendClient.call({
        method: "POST",
        path: `/log/${stream}`,
        step,
        timeoutMs,
        body: JSON.stringify({ records }),
        headers: { "content-type": "application/json" },
      });
      throwOnErrorStatus(response, { step, peer: address });
      return readJson(response, appendResponseSchema, { step, peer: address })
        .first;
    },
    read: async (stream, from, waitMs) => {
      const step = "log.read";
      const response = await readClient.call({
        method: "GET",
        path: `/log/${stream}?from=${from}&wait=${waitMs}`,
        step,
        timeoutMs: timeoutMs + waitMs,
      });
      throwOnErrorStatus(response, { step, peer: address });
      return readJson(response, readResponseSchema, { step, peer: address });
    },
    listVms: async () => {
      const step = "vms.list";
      const response = await readClient.call({
        method: "GET",
        path: "/vms",
        step,
        timeoutMs,
      });
      throwOnErrorStatus(response, { step, peer: address });
      return readJson(response, vmListSchema, { step, peer: address });
    },
    close: async () => {
      await Promise.all([readClient.close(), appendClient.close()]);
    },
  };
}

/**
 * Throws if the status reports an error. The platform responds with 429 and 503
 * only when the operation had no effect; after any other error status it may
 * have taken effect.
 */
function throwOnErrorStatus(
  { status }: HttpResponse,
  context: { step: string; peer: string },
): void {
  if (status < 300) return;
  const message = `platform responded with status ${status}`;
  if (status === 503 || status === 429) {
    throw new UnavailableError(ErrorCode.logUnavailable, message, context);
  }
  throw new UncertainError(ErrorCode.logUncertain, message, context);
}
