import {
  ErrorCode,
  InvalidError,
  type Milliseconds,
  RefusedError,
} from "@rattanhill/shared";
import {
  CHECKPOINT_HEADER,
  CONTENT_DIGEST_HEADER,
  contentDigest,
  type HoldRequest,
  LEASE_HEADER,
  type LeaseResponse,
  leaseResponseSchema,
  type WatchRequest,
  type WatchResponse,
  watchResponseSchema,
  WorkerRefusal,
} from "@rattanhill/protocol";
import { createHttpClient, type HttpCall } from "./http_client.ts";
import { readJson } from "./json_response.ts";

/**
 * Maximum number of connections that one entry opens to one worker for
 * commands. The watch uses one more.
 */
export const COMMAND_CONNECTIONS = 3;

/** Client of one worker. Every operation is idempotent. */
export interface WorkerClient {
  /**
   * Reserves capacity for a task until the hold's time to live has passed.
   *
   * @throws RefusedError when the worker has too little free capacity or
   * accepts no new work
   */
  hold(request: HoldRequest): Promise<LeaseResponse>;
  /**
   * Delivers the payload of one part of a gang job ahead of its start.
   *
   * @throws RefusedError when the hold has expired
   */
  prepare(
    lease: string,
    payload: string,
    checkpoint?: string,
  ): Promise<LeaseResponse>;
  /**
   * Starts the task of a live hold. The payload is omitted when it was
   * delivered by {@link WorkerClient.prepare}.
   *
   * @throws RefusedError when the task did not start
   */
  run(
    lease: string,
    payload?: string,
    checkpoint?: string,
  ): Promise<LeaseResponse>;
  /**
   * Releases a hold, or stops a running task.
   *
   * @returns the final state of the lease; no state for an unknown lease
   */
  stop(lease: string): Promise<LeaseResponse>;
  /** @returns the state of a lease; no state for an unknown lease */
  inspect(lease: string): Promise<LeaseResponse>;
  /**
   * Saves a checkpoint of a running task, from which it can resume after a
   * stop.
   */
  checkpoint(lease: string): Promise<LeaseResponse>;
  /**
   * Saves a checkpoint of a running task and pauses the task, which then does
   * not end by itself until it is continued or `ttlMs` have passed.
   *
   * @returns the state of the lease; only a running task was paused
   */
  pause(lease: string, ttlMs: Milliseconds): Promise<LeaseResponse>;
  /** Continues a paused task. */
  continue(lease: string): Promise<LeaseResponse>;
  /** Transfers a lease from one owner to another, by their identifiers. */
  changeOwner(lease: string, from: string, to: string): Promise<LeaseResponse>;
  /**
   * Fetches the answer of an ended task, which is the output of its program.
   *
   * @throws RefusedError when the worker does not have the answer
   * @throws InvalidError when the answer is damaged or belongs to another lease
   */
  fetchAnswer(lease: string): Promise<string>;
  /**
   * Renews leases and waits for a change of the worker's state (long poll).
   *
   * @returns the state of the worker, and the leases that ended
   */
  watch(request: WatchRequest, signal?: AbortSignal): Promise<WatchResponse>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Options of {@link createWorkerClient}. */
export interface WorkerClientOptions {
  /** Address of the worker, `host:port`. */
  address: string;
  /** Time limit of one operation, without the wait of a long poll. */
  timeoutMs: Milliseconds;
  /** See {@link HttpClientOptions.translate}. */
  translate?: Readonly<Record<string, string>>;
}

const JSON_HEADERS = { "content-type": "application/json" };

/**
 * Creates a client of one worker.
 *
 * @param options address and time limit
 * @returns the client
 */
export function createWorkerClient(
  options: WorkerClientOptions,
): WorkerClient {
  const { address, timeoutMs, translate } = options;
  const errorCode = ErrorCode.workerUnreachable;
  const clientOptions = { address, errorCode, translate };
  // When one connection to a worker times out, the others may have failed with
  // it, so a timeout of either client makes both replace their connections.
  const commandClient = createHttpClient({
    ...clientOptions,
    connections: COMMAND_CONNECTIONS,
    onTimeout: () => watchClient.reset(),
  });
  const watchClient = createHttpClient({
    ...clientOptions,
    connections: 1,
    onTimeout: () => commandClient.reset(),
  });

  const sendCommand = async (
    call: Omit<HttpCall, "timeoutMs">,
  ): Promise<LeaseResponse> => {
    const response = await commandClient.call({ ...call, timeoutMs });
    const { step } = call;
    const body = readJson(response, leaseResponseSchema, {
      step,
      peer: address,
    });
    if (response.status < 300 || response.status === 404) return body;
    throw new RefusedError(
      ErrorCode.workerRefused,
      `worker refused the operation with status ${response.status}`,
      {
        step,
        peer: address,
        reason: body.reason ?? `status ${response.status}`,
      },
    );
  };
  const sendTask = (
    step: "prepare" | "run",
    lease: string,
    { payload, checkpoint }: { payload?: string; checkpoint?: string },
  ) =>
    sendCommand({
      method: "POST",
      path: `/leases/${lease}/${step}`,
      step: `worker.${step}`,
      body: payload ?? "",
      headers: {
        ...payload === undefined
          ? {}
          : { [CONTENT_DIGEST_HEADER]: contentDigest(payload) },
        ...checkpoint === undefined ? {} : { [CHECKPOINT_HEADER]: checkpoint },
      },
    });

  return {
    hold: (request) =>
      sendCommand({
        method: "POST",
        path: "/leases",
        step: "worker.hold",
        body: JSON.stringify(request),
        headers: JSON_HEADERS,
      }),
    prepare: (lease, payload, checkpoint) =>
      sendTask("prepare", lease, { payload, checkpoint }),
    run: (lease, payload, checkpoint) =>
      sendTask("run", lease, { payload, checkpoint }),
    stop: (lease) =>
      sendCommand({
        method: "DELETE",
        path: `/leases/${lease}`,
        step: "worker.stop",
      }),
    inspect: (lease) =>
      sendCommand({
        method: "GET",
        path: `/leases/${lease}`,
        step: "worker.inspect",
      }),
    checkpoint: (lease) =>
      sendCommand({
        method: "POST",
        path: `/leases/${lease}/checkpoint`,
        step: "worker.checkpoint",
      }),
    pause: (lease, ttlMs) =>
      sendCommand({
        method: "POST",
        path: `/leases/${lease}/pause`,
        step: "worker.pause",
        body: JSON.stringify({ ttlMs }),
        headers: JSON_HEADERS,
      }),
    continue: (lease) =>
      sendCommand({
        method: "POST",
        path: `/leases/${lease}/continue`,
        step: "worker.continue",
      }),
    changeOwner: (lease, from, to) =>
      sendCommand({
        method: "POST",
        path: `/leases/${lease}/owner`,
        step: "worker.owner",
        body: JSON.stringify({ from, to }),
        headers: JSON_HEADERS,
      }),
    fetchAnswer: async (lease) => {
      const step = "worker.answer";
      const { status, headers, body } = await commandClient.call({
        method: "GET",
        path: `/leases/${lease}/answer`,
        step,
        timeoutMs,
      });
      const context = { step, peer: address };
      if (status !== 200) {
        throw new RefusedError(
          ErrorCode.workerRefused,
          `worker sent no answer, status ${status}`,
          {
            ...context,
            reason: WorkerRefusal.unknownLease,
          },
        );
      }
      const isIntact = headers[LEASE_HEADER] === lease &&
        headers[CONTENT_DIGEST_HEADER] === contentDigest(body);
      if (isIntact) return Buffer.from(body).toString("utf8");
      throw new InvalidError(
        ErrorCode.answerDamaged,
        "answer is damaged or belongs to another lease",
        {
          ...context,
          faults: ["lease or digest in the headers does not match"],
        },
      );
    },
    watch: async (request, signal) => {
      const step = "worker.watch";
      // A watch that does not wait must not queue behind a long poll.
      const client = request.waitMs === 0 ? commandClient : watchClient;
      const response = await client.call({
        method: "POST",
        path: "/watch",
        step,
        timeoutMs: timeoutMs + request.waitMs,
        body: JSON.stringify(request),
        headers: JSON_HEADERS,
        signal,
      });
      return readJson(response, watchResponseSchema, { step, peer: address });
    },
    close: async () => {
      await Promise.all([commandClient.close(), watchClient.close()]);
    },
  };
}
