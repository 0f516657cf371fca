import { setImmediate } from "node:timers/promises";
import { type ServiceError, status } from "@grpc/grpc-js";
import { describeError, type Milliseconds } from "@rattanhill/shared";
import type { ConfigState, EndReason } from "@rattanhill/core";
import {
  decodeSpec,
  type FindReply,
  type PeerHandlers,
} from "@rattanhill/protocol";
import type { PlacerHost } from "./placer_host.ts";
import type { OwnedRequest, RequestRegistry } from "./request_registry.ts";

/** Options of {@link createPeerHandlers}. */
export interface PeerHandlersOptions {
  placerHost: PlacerHost;
  registry: RequestRegistry;
  config(): ConfigState;
}

/** Handlers of all operations of the peer service except `Heartbeat`. */
export type RequestHandlers = Pick<
  PeerHandlers,
  "Place" | "Withdraw" | "Find" | "Cancel" | "FetchConfig" | "Explain"
>;

const MAXIMUM_FIND_WAIT_MS: Milliseconds = 10_000;
const CANCEL_WAIT_MS: Milliseconds = 5_000;
// Turns of the event loop in which a new connection is accepted, its request is
// read, and the request is admitted.
const PENDING_READ_TURNS = 3;

/**
 * Creates the handlers of the calls that one entry receives from its peers.
 *
 * @param options placer, requests and configuration of this entry
 */
export function createPeerHandlers(
  { placerHost, registry, config }: PeerHandlersOptions,
): RequestHandlers {
  return {
    Place: (call, callback) => {
      const { spec, attempt, owner, avoid } = call.request;
      if (spec === null) {
        return callback(createInvalidArgumentError("spec is missing"));
      }
      // An owner that cancels the call has abandoned the attempt, so no
      // capacity may be held for it.
      call.on("cancelled", () => placerHost.withdraw(spec.id, attempt));
      placerHost.place({ spec: decodeSpec(spec), attempt, owner, avoid })
        .then((reply) => callback(null, reply))
        .catch((error) => callback(createUnavailableError(error)));
    },
    Withdraw: ({ request }, callback) => {
      const { id, attempt } = request;
      callback(null, { wasWaiting: placerHost.withdraw(id, attempt) });
    },
    Find: async ({ request }, callback) => {
      const { account, key, id, waitMs } = request;
      const findOwned = () =>
        id === "" ? registry.findByKey(account, key) : registry.find(id);
      let ownedRequest = findOwned();
      if (ownedRequest === undefined) {
        await readPendingRequests();
        ownedRequest = findOwned();
      }
      if (ownedRequest === undefined || ownedRequest.spec.account !== account) {
        return callback(null, { found: false });
      }
      const boundedWaitMs = Math.min(MAXIMUM_FIND_WAIT_MS, waitMs);
      void registry.waitFor(ownedRequest, boundedWaitMs).then(() =>
        callback(null, createFindReply(ownedRequest))
      );
    },
    Cancel: ({ request }, callback) => {
      const ownedRequest = registry.find(request.id);
      if (
        ownedRequest === undefined ||
        ownedRequest.spec.account !== request.account
      ) {
        return callback(null, { found: false });
      }
      ownedRequest.send({ kind: "cancel" });
      void registry.waitFor(ownedRequest, CANCEL_WAIT_MS).then(() =>
        callback(null, createFindReply(ownedRequest))
      );
    },
    FetchConfig: (_, callback) => callback(null, { ...config() }),
    Explain: ({ request }, callback) => {
      const explanation = placerHost.placer.explain(request.id);
      callback(null, {
        found: explanation !== undefined,
        explanation: explanation ?? "",
      });
    },
  };
}

/**
 * Waits until the requests have been admitted that callers sent before now, and
 * that this process, if it was paused, has not read yet. The reply that a
 * request is not here lets another entry say that it did not run.
 */
async function readPendingRequests(): Promise<void> {
  for (let turn = 0; turn < PENDING_READ_TURNS; turn++) await setImmediate();
}

function createFindReply({ spec, state, result }: OwnedRequest): FindReply {
  return {
    found: true,
    id: spec.id,
    bodyDigest: spec.bodyDigest,
    phase: state.phase,
    outcome: result?.outcome ?? "",
    reason: result?.reason ?? ("" as EndReason),
    answers: result?.answers.map((answer) => Buffer.from(answer)) ?? [],
    attempts: result?.attempts ?? 0,
    retryAfterMs: result?.retryAfterMs ?? 0,
    step: result?.step ?? "",
    peer: result?.peer ?? "",
    detail: result?.detail ?? "",
  };
}

function createInvalidArgumentError(details: string): Partial<ServiceError> {
  return { code: status.INVALID_ARGUMENT, details };
}

function createUnavailableError(error: unknown): Partial<ServiceError> {
  return { code: status.UNAVAILABLE, details: describeError(error) };
}
