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
  payload: string;
  admittedAt: Milliseconds;
  state: RequestState;
  /** Queues a message for the request's actor. */
  send(message: RequestMessage): void;
  /** Record of the latest claim, to release it. */
  claimRecordId: string;
  result?: RequestResult;
  endedAt?: Milliseconds;
  /** Called once with the final result. */
  waiters: Set<(result: RequestResult) => void>;
}

/** Requests of one entry, by identifier and by key. */
export interface RequestRegistry {
  add(request: OwnedRequest): void;
  find(id: string): OwnedRequest | undefined;
  findKey(account: string, key: string): OwnedRequest | undefined;
  /** Notes the final result and tells everybody who waits. */
  finish(
    request: OwnedRequest,
    result: RequestResult,
    now: Milliseconds,
  ): void;
  /** Forgets requests that ended long ago. */
  sweep(now: Milliseconds): void;
  /** @returns requests that have not ended */
  active(): Iterable<OwnedRequest>;
  /** @returns the number of requests that have not ended, of one account when given */
  activeCount(account?: string): number;
  /** Notes that a request began or ended to wait for capacity. */
  changeWaitingCount(account: string, change: 1 | -1): void;
  /** @returns requests of an account that wait for capacity */
  waitingCount(account: string): number;
  /** Waits for the end of a request, at most for the given time. */
  waitFor(
    request: OwnedRequest,
    waitMs: Milliseconds,
  ): Promise<RequestResult | undefined>;
}

/** Options of {@link createRequestRegistry}. */
export interface RegistryOptions {
  retentionMs: Milliseconds;
  endedLimit: number;
}

/**
 * Creates an empty registry.
 *
 * @param options for how long and how many ended requests are remembered
 * @returns the registry
 */
export function createRequestRegistry(
  { retentionMs, endedLimit }: RegistryOptions,
): RequestRegistry {
  const active = new Map<string, OwnedRequest>();
  const ended = new Map<string, OwnedRequest>();
  const byKey = new Map<string, OwnedRequest>();
  const counts = createCounts();
  const waiting = createCounts();
  const forget = (request: OwnedRequest): void => {
    ended.delete(request.spec.id);
    const mapKey = ledgerKey(request.spec.account, request.spec.key);
    if (byKey.get(mapKey) === request) byKey.delete(mapKey);
  };

  return {
    add: (request) => {
      const { id, account, key } = request.spec;
      active.set(id, request);
      byKey.set(ledgerKey(account, key), request);
      counts.change(account, 1);
    },
    find: (id) => active.get(id) ?? ended.get(id),
    findKey: (account, key) => byKey.get(ledgerKey(account, key)),
    finish: (request, result, now) => {
      if (!active.delete(request.spec.id)) return;
      request.result = result;
      request.endedAt = now;
      request.payload = "";
      ended.set(request.spec.id, request);
      counts.change(request.spec.account, -1);
      const { waiters } = request;
      request.waiters = new Set();
      for (const resolveWaiter of waiters) resolveWaiter(result);
    },
    sweep: (now) => {
      for (const request of ended.values()) {
        const isRetained = now - request.endedAt! < retentionMs;
        if (isRetained && ended.size <= endedLimit) return;
        forget(request);
      }
    },
    active: () => active.values(),
    activeCount: (account) =>
      account === undefined ? active.size : counts.get(account),
    changeWaitingCount: waiting.change,
    waitingCount: waiting.get,
    waitFor: (request, waitMs) => {
      if (request.result !== undefined) return Promise.resolve(request.result);
      return new Promise((resolve) => {
        const finish = (result?: RequestResult) => {
          clearTimeout(timer);
          request.waiters.delete(finish);
          resolve(result);
        };
        const timer = setTimeout(finish, waitMs);
        request.waiters.add(finish);
      });
    },
  };
}

function createCounts() {
  const counts = new Map<string, number>();
  return {
    get: (name: string): number => counts.get(name) ?? 0,
    change: (name: string, change: 1 | -1): void => {
      const next = (counts.get(name) ?? 0) + change;
      if (next === 0) counts.delete(name);
      else counts.set(name, next);
    },
  };
}
