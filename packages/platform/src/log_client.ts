import {
  ErrorCode,
  type Milliseconds,
  UnavailableError,
  UncertainError,
} from "@rattanhill/shared";
import {
  appendAnswerSchema,
  type ReadAnswer,
  readAnswerSchema,
  type VmList,
  vmListSchema,
} from "@rattanhill/protocol";
import { createHttpClient, type HttpResponse } from "./http_client.ts";
import { readJson } from "./json_call.ts";

/** The platform's append-only log and its list of VMs. */
export interface PlatformClient {
  /**
   * Appends records to a stream.
   *
   * @returns offset of the first record
   * @throws UnavailableError when nothing was appended
   * @throws UncertainError when the records may have been appended
   */
  append(stream: string, records: readonly string[]): Promise<number>;
  /**
   * Reads records, waiting for new ones at the end of the stream.
   *
   * @returns the records from the given offset on, at most a page of them
   */
  read(stream: string, from: number, waitMs: Milliseconds): Promise<ReadAnswer>;
  /** @returns the lagging list of live and leaving VMs */
  listVms(): Promise<VmList>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Options of {@link createPlatformClient}. */
export interface PlatformClientOptions {
  /** Address of the platform, `host:port`. */
  address: string;
  /** Time limit of one operation. */
  timeoutMs: Milliseconds;
  /** Addresses to use in place of others. */
  translate?: Readonly<Record<string, string>>;
}

/**
 * Creates a client of the platform's service.
 *
 * @param options address and time limit
 * @returns the client
 */
export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const { address, timeoutMs, translate } = options;
  const errorCode = ErrorCode.logUnavailable;
  const client = { address, errorCode, translate };
  // Waiting reads must not hold up appends.
  const readers = createHttpClient({ ...client, connections: 3 });
  const writer = createHttpClient({ ...client, connections: 1 });

  return {
    append: async (stream, records) => {
      const step = "log.append";
      const response = await writer.call({
        method: "POST",
        path: `/log/${stream}`,
        step,
        timeoutMs,
        body: JSON.stringify({ records }),
        headers: { "content-type": "application/json" },
      });
      refuseErrors(response, { step, peer: address });
      return readJson(response, appendAnswerSchema, { step, peer: address })
        .first;
    },
    read: async (stream, from, waitMs) => {
      const step = "log.read";
      const response = await readers.call({
        method: "GET",
        path: `/log/${stream}?from=${from}&wait=${waitMs}`,
        step,
        timeoutMs: timeoutMs + waitMs,
      });
      refuseErrors(response, { step, peer: address });
      return readJson(response, readAnswerSchema, { step, peer: address });
    },
    listVms: async () => {
      const step = "vms.list";
      const response = await readers.call({
        method: "GET",
        path: "/vms",
        step,
        timeoutMs,
      });
      refuseErrors(response, { step, peer: address });
      return readJson(response, vmListSchema, { step, peer: address });
    },
    close: async () => {
      await Promise.all([readers.close(), writer.close()]);
    },
  };
}

/** A refusal by status means that nothing was done; any other error is uncertain. */
function refuseErrors(
  { status }: HttpResponse,
  context: { step: string; peer: string },
): void {
  if (status < 300) return;
  const message = `status ${status}`;
  if (status === 503 || status === 429) {
    throw new UnavailableError(ErrorCode.logUnavailable, message, context);
  }
  throw new UncertainError(ErrorCode.logUncertain, message, context);
}
