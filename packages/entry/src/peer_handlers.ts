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

/** Handlers of every operation but the heartbeat. */
export type ServedHandlers = Pick<
  PeerHandlers,
  "Place" | "Withdraw" | "Find" | "Cancel" | "FetchConfig" | "Explain"
>;

const MAXIMUM_FIND_WAIT_MS: Milliseconds = 10_000;
const CANCEL_WAIT_MS: Milliseconds = 5_000;

/**
 * Creates the handlers of the peer service.
 *
 * @param options placer and requests of this entry
 * @returns handlers of every operation but the heartbeat
 */
export function createPeerHandlers(
  { placerHost, registry, config }: PeerHandlersOptions,
): ServedHandlers {
  return {
    Place: (call, callback) => {
      const { spec, attempt, owner, avoid } = call.request;
      if (spec === null) return callback(invalid("spec is missing"));
      // An owner that no longer waits must not keep capacity.
      call.on("cancelled", () => placerHost.withdraw(spec.id, attempt));
      placerHost.place({ spec: decodeSpec(spec), attempt, owner, avoid })
        .then((reply) => callback(null, reply))
        .catch((error) => callback(unavailable(error)));
    },
    Withdraw: ({ request }, callback) => {
      const { id, attempt } = request;
      callback(null, { wasWaiting: placerHost.withdraw(id, attempt) });
    },
    Find: ({ request }, callback) => {
      const { account, key, id, waitMs } = request;
      const own = id === ""
        ? registry.findByKey(account, key)
        : registry.find(id);
      if (own === undefined || own.spec.account !== account) {
        return callback(null, { found: false });
      }
      const wait = Math.min(MAXIMUM_FIND_WAIT_MS, waitMs);
      void registry.waitFor(own, wait).then(() =>
        callback(null, describeOwned(own))
      );
    },
    Cancel: ({ request }, callback) => {
      const own = registry.find(request.id);
      if (own === undefined || own.spec.account !== request.account) {
        return callback(null, { found: false });
      }
      own.send({ kind: "cancel" });
      void registry.waitFor(own, CANCEL_WAIT_MS).then(() =>
        callback(null, describeOwned(own))
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

function describeOwned({ spec, state, result }: OwnedRequest): FindReply {
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

function invalid(details: string): Partial<ServiceError> {
  return { code: status.INVALID_ARGUMENT, details };
}

function unavailable(error: unknown): Partial<ServiceError> {
  return { code: status.UNAVAILABLE, details: describeError(error) };
}
