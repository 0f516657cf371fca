import type { Milliseconds } from "@rattanhill/shared";
import {
  ledgerKey,
  type RequestMessage,
  type RequestResult,
  type RequestSpec,
  type RequestState,
} from "@rattanhill/core";

/** A request that this entry owns or owned. */
export interface OwnedRequest {
  spec: RequestSpec;
  /** Payload of its tasks, as JSON; empty after the end. */
  payload: string;
  /** Time of admission or adoption, by this entry's clock. */
  admittedAt: Milliseconds;
  /** State after the latest message. */
  state: RequestState;
  /** Queues a message to the actor of the request. */
  send(message: RequestMessage): void;
  /**
   * Identifier of the latest accepted claim record, which a release record has
   * to name; empty before the first claim.
   */
  claimRecordId: string;
  /** Final result; absent while the request is in progress. */
  result?: RequestResult;
  /** Time of the end, by this entry's clock. */
  endedAt?: Milliseconds;
  /** Callbacks that are called once with the final result. */
  endListeners: Set<(result: RequestResult) => void>;
}

/** Requests of one entry, in progress and ended, by identifier and by key. */
export interface RequestRegistry {
  /** Adds a request in progress; it becomes the newest request with its key. */
  add(request: OwnedRequest): void;
  /** @returns the request with the identifier, or `undefined` */
  find(id: string): OwnedRequest | undefined;
  /** @returns the newest request with the idempotency key, or `undefined` */
  findByKey(account: string, key: string): OwnedRequest | undefined;
  /**
   * Stores the final result and calls the listeners of the end. Does nothing
   * for a request that is no longer in progress.
   */
  finish(
    request: OwnedRequest,
    result: RequestResult,
    now: Milliseconds,
  ): void;
  /**
   * Removes requests that ended longer ago than the retention, and those that
   * ended first while there are more than the limit.
   */
  sweep(now: Milliseconds): void;
  /** @returns the requests in progress */
  activeRequests(): Iterable<OwnedRequest>;
  /**
   * @returns the number of requests in progress, of one account if it is given,
   * otherwise of all accounts
   */
  activeCount(account?: string): number;
  /** Adds 1 when a request starts to wait for capacity, -1 when it stops. */
  changeWaitingCount(account: string, change: 1 | -1): void;
  /** @returns the number of requests of an account that wait for capacity */
  waitingCount(account: string): number;
  /**
   * Waits for the end of a request.
   *
   * @param request the request
   * @param waitMs longest time to wait
   * @returns the result, or `undefined` if the request is still in progress
   */
  waitFor(
    request: OwnedRequest,
    waitMs: Milliseconds,
  ): Promise<RequestResult | undefined>;
}

/** Options of {@link createRequestRegistry}. */
export interface RegistryOptions {
  /** Time for which ended requests are kept. */
  retentionMs: Milliseconds;
  /** Largest number of ended requests that are kept. */
  endedLimit: number;
}

/**
 * Creates an empty registry.
 *
 * @param options retention and largest number of ended requests
 */
export function createRequestRegistry(
  { retentionMs, endedLimit }: RegistryOptions,
): RequestRegistry {
  const active = new Map<string, OwnedRequest>();
  const ended = new Map<string, OwnedRequest>();
  const byKey = new Map<string, OwnedRequest>();
  const activeCounts = createAccountCounts();
  const waitingCounts = createAccountCounts();
  const removeEnded = (request: OwnedRequest): void => {
    ended.delete(request.spec.id);
    const mapKey = ledgerKey(request.spec.account, request.spec.key);
    if (byKey.get(mapKey) === request) byKey.delete(mapKey);
  };

  return {
    add: (request) => {
      const { id, account, key } = request.spec;
      active.set(id, request);
      byKey.set(ledgerKey(account, key), request);
      activeCounts.change(account, 1);
    },
    find: (id) => active.get(id) ?? ended.get(id),
    findByKey: (account, key) => byKey.get(ledgerKey(account, key)),
    finish: (request, result, now) => {
      if (!active.delete(request.spec.id)) return;
      request.result = result;
      request.endedAt = now;
      request.payload = "";
      ended.set(request.spec.id, request);
      activeCounts.change(request.spec.account, -1);
      const { endListeners } = request;
      request.endListeners = new Set();
      for (const notifyEnd of endListeners) notifyEnd(result);
    },
    sweep: (now) => {
      // The map is ordered by the time of the end, oldest first.
      for (const request of ended.values()) {
        const isRetained = now - request.endedAt! < retentionMs;
        if (isRetained && ended.size <= endedLimit) return;
        removeEnded(request);
      }
    },
    activeRequests: () => active.values(),
    activeCount: (account) =>
      account === undefined ? active.size : activeCounts.get(account),
    changeWaitingCount: waitingCounts.change,
    waitingCount: waitingCounts.get,
    waitFor: (request, waitMs) => {
      if (request.result !== undefined) return Promise.resolve(request.result);
      return new Promise((resolve) => {
        const finish = (result?: RequestResult) => {
          clearTimeout(timer);
          request.endListeners.delete(finish);
          resolve(result);
        };
        const timer = setTimeout(finish, waitMs);
        request.endListeners.add(finish);
      });
    },
  };
}

/** Creates counters by account; accounts whose count is 0 are not stored. */
function createAccountCounts() {
  const counts = new Map<string, number>();
  return {
    get: (account: string): number => counts.get(account) ?? 0,
    change: (account: string, change: 1 | -1): void => {
      const next = (counts.get(account) ?? 0) + change;
      if (next === 0) counts.delete(account);
      else counts.set(account, next);
    },
  };
}
