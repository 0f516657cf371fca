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
  type LeaseAnswer,
  leaseAnswerSchema,
  type WatchAnswer,
  watchAnswerSchema,
  type WatchRequest,
  WorkerRefusal,
} from "@rattanhill/protocol";
import { createHttpClient, type HttpCall } from "./http_client.ts";
import { readJson } from "./json_call.ts";

/** Connections of one entry to one worker: commands, and one for the watch. */
export const COMMAND_CONNECTIONS = 3;

/** One worker, as its interface shows it. Every operation is idempotent. */
export interface WorkerClient {
  /** Sets capacity aside. @throws RefusedError when it does not fit */
  hold(request: HoldRequest): Promise<LeaseAnswer>;
  /** Delivers the payload of a gang part. @throws RefusedError when the hold lapsed */
  prepare(
    lease: string,
    payload: string,
    checkpoint?: string,
  ): Promise<LeaseAnswer>;
  /** Starts the task under a live hold. @throws RefusedError when it did not start */
  run(
    lease: string,
    payload?: string,
    checkpoint?: string,
  ): Promise<LeaseAnswer>;
  /** Releases or stops a lease. @returns its final state; none when the lease is not known */
  stop(lease: string): Promise<LeaseAnswer>;
  /** @returns the state of a lease; none when the lease is not known */
  inspect(lease: string): Promise<LeaseAnswer>;
  /** Saves the task's progress. */
  checkpoint(lease: string): Promise<LeaseAnswer>;
  /** Moves a lease to another owner. */
  changeOwner(lease: string, from: string, to: string): Promise<LeaseAnswer>;
  /** @returns the whole answer of an ended task. @throws InvalidError when it is damaged or not its own */
  fetchAnswer(lease: string): Promise<string>;
  /** Renews leases and waits for a change. */
  watch(request: WatchRequest, signal?: AbortSignal): Promise<WatchAnswer>;
  /** Closes all connections. */
  close(): Promise<void>;
}

/** Options of {@link createWorkerClient}. */
export interface WorkerClientOptions {
  /** Address of the worker, `host:port`. */
  address: string;
  /** Time limit of one operation. */
  timeoutMs: Milliseconds;
  /** Addresses to use in place of others. */
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
  const client = { address, errorCode, translate };
  // A silent connection puts the others to the same worker in doubt.
  const commands = createHttpClient({
    ...client,
    connections: COMMAND_CONNECTIONS,
    timedOut: () => watcher.reset(),
  });
  const watcher = createHttpClient({
    ...client,
    connections: 1,
    timedOut: () => commands.reset(),
  });

  const command = async (
    call: Omit<HttpCall, "timeoutMs">,
  ): Promise<LeaseAnswer> => {
    const response = await commands.call({ ...call, timeoutMs });
    const { step } = call;
    const answer = readJson(response, leaseAnswerSchema, {
      step,
      peer: address,
    });
    if (response.status < 300 || response.status === 404) return answer;
    throw new RefusedError(ErrorCode.workerRefused, "worker refused", {
      step,
      peer: address,
      reason: answer.reason ?? `status ${response.status}`,
    });
  };
  const deliver = (
    step: "prepare" | "run",
    lease: string,
    { payload, checkpoint }: { payload?: string; checkpoint?: string },
  ) =>
    command({
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
      command({
        method: "POST",
        path: "/leases",
        step: "worker.hold",
        body: JSON.stringify(request),
        headers: JSON_HEADERS,
      }),
    prepare: (lease, payload, checkpoint) =>
      deliver("prepare", lease, { payload, checkpoint }),
    run: (lease, payload, checkpoint) =>
      deliver("run", lease, { payload, checkpoint }),
    stop: (lease) =>
      command({
        method: "DELETE",
        path: `/leases/${lease}`,
        step: "worker.stop",
      }),
    inspect: (lease) =>
      command({
        method: "GET",
        path: `/leases/${lease}`,
        step: "worker.inspect",
      }),
    checkpoint: (lease) =>
      command({
        method: "POST",
        path: `/leases/${lease}/checkpoint`,
        step: "worker.checkpoint",
      }),
    changeOwner: (lease, from, to) =>
      command({
        method: "POST",
        path: `/leases/${lease}/owner`,
        step: "worker.owner",
        body: JSON.stringify({ from, to }),
        headers: JSON_HEADERS,
      }),
    fetchAnswer: async (lease) => {
      const step = "worker.answer";
      const { status, headers, body } = await commands.call({
        method: "GET",
        path: `/leases/${lease}/answer`,
        step,
        timeoutMs,
      });
      const context = { step, peer: address };
      if (status !== 200) {
        throw new RefusedError(ErrorCode.workerRefused, `status ${status}`, {
          ...context,
          reason: WorkerRefusal.unknownLease,
        });
      }
      const isOwn = headers[LEASE_HEADER] === lease &&
        headers[CONTENT_DIGEST_HEADER] === contentDigest(body);
      if (isOwn) return Buffer.from(body).toString("utf8");
      throw new InvalidError(ErrorCode.answerDamaged, "damaged answer", {
        ...context,
        faults: ["lease or digest does not match"],
      });
    },
    watch: async (request, signal) => {
      const step = "worker.watch";
      // A question that does not wait must not queue behind one that does.
      const via = request.waitMs === 0 ? commands : watcher;
      const response = await via.call({
        method: "POST",
        path: "/watch",
        step,
        timeoutMs: timeoutMs + request.waitMs,
        body: JSON.stringify(request),
        headers: JSON_HEADERS,
        signal,
      });
      return readJson(response, watchAnswerSchema, { step, peer: address });
    },
    close: async () => {
      await Promise.all([commands.close(), watcher.close()]);
    },
  };
}
