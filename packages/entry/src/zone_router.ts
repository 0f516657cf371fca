import { Metadata } from "@grpc/grpc-js";
import {
  type Clock,
  ErrorCode,
  type Milliseconds,
  pause,
  UnavailableError,
} from "@rattanhill/shared";
import {
  chooseZone,
  EndReason,
  type EntryInfo,
  type Membership,
  type RequestSpec,
  type ZoneChoice,
  type ZoneView,
} from "@rattanhill/core";
import {
  encodeSpec,
  type PlaceReply,
  type PlaceReply__Output,
} from "@rattanhill/protocol";
import type { Peers } from "./peers.ts";
import type { PlacerHost } from "./placer_host.ts";

/** Routes placements to the lead of the zone that is chosen for the request. */
export interface ZoneRouter {
  /**
   * Waits until capacity is held for the request or the request is refused.
   *
   * @returns the reply, and in `peer` the name of the lead that sent it, or
   * `self` if this entry refuses the request without calling a lead
   * @throws UnavailableError when the zone has no lead or its lead is
   * unreachable
   * @throws UncertainError when the call to the lead failed in any other way
   */
  place(
    spec: RequestSpec,
    attempt: number,
    avoid: readonly string[],
  ): Promise<PlaceReply & { peer: string }>;
  /** Withdraws a placement that is still waiting at a lead. */
  withdraw(id: string, attempt: number): void;
}

/** Options of {@link createZoneRouter}. */
export interface ZoneRouterOptions {
  self: EntryInfo;
  clock: Clock;
  membership: Membership;
  peers: Peers;
  placerHost: PlacerHost;
  createZoneView(): ZoneView;
}

// Uptime before which no request is refused as never fitting, since an entry
// that has just started does not know all workers yet.
const NEVER_FITS_MINIMUM_UPTIME_MS: Milliseconds = 5_000;
const NO_CAPACITY_RETRY_AFTER_MS: Milliseconds = 1_000;
const ZONE_WAIT_LIMIT_MS: Milliseconds = 2_000;
const ZONE_POLL_INTERVAL_MS: Milliseconds = 50;
// Calls to a lead time out this long after the deadline. At the deadline the
// owner withdraws the placement and the lead replies, so only calls to a lead
// that does not respond time out.
const PLACE_GRACE_MS: Milliseconds = 1_000;
const WITHDRAW_TIMEOUT_MS: Milliseconds = 300;

/**
 * Creates the zone router of one entry.
 *
 * @param options this entry, its peers and its view of the zones
 */
export function createZoneRouter(options: ZoneRouterOptions): ZoneRouter {
  const { self, clock, membership, peers, placerHost, createZoneView } =
    options;
  const startedAt = clock.now();
  // Leads that place the attempts in progress, by `id/attempt`. A withdrawal is
  // sent to the same lead as the placement.
  const leadByAttempt = new Map<string, EntryInfo>();

  /**
   * Chooses a zone, and waits a limited time while no zone with workers is
   * known or reachable, as is the case briefly after the start and after a
   * pause of the process.
   */
  const waitForZone = async (spec: RequestSpec): Promise<ZoneChoice> => {
    const waitUntil = clock.now() +
      Math.min(ZONE_WAIT_LIMIT_MS, spec.deadlineMs);
    for (;;) {
      const choice = chooseZone(spec, createZoneView());
      const isZoneMissing = "refusal" in choice &&
        choice.refusal === "no-capacity";
      if (!isZoneMissing || clock.now() >= waitUntil) return choice;
      await pause(ZONE_POLL_INTERVAL_MS);
    }
  };

  const createRefusal = (choice: { refusal: string }) => {
    const isPastStartup =
      clock.now() - startedAt > NEVER_FITS_MINIMUM_UPTIME_MS;
    const reason = choice.refusal === "never-fits" && isPastStartup
      ? EndReason.neverFits
      : EndReason.noCapacity;
    return { reason, retryAfterMs: NO_CAPACITY_RETRY_AFTER_MS, peer: "self" };
  };

  const placeAtLead = async (
    lead: EntryInfo,
    placement: Parameters<PlacerHost["place"]>[0],
  ): Promise<PlaceReply & { peer: string }> => {
    if (lead.id === self.id) {
      return { ...await placerHost.place(placement), peer: self.name };
    }
    const { spec, avoid } = placement;
    const message = { ...placement, spec: encodeSpec(spec), avoid: [...avoid] };
    const reply = await peers.call<PlaceReply__Output>(
      lead.address,
      (client, callOptions, callback) =>
        client.Place(message, new Metadata(), callOptions, callback),
      { step: "peer.place", timeoutMs: spec.deadlineMs + PLACE_GRACE_MS },
    );
    return { ...reply, peer: lead.name };
  };

  return {
    place: async (spec, attempt, avoid) => {
      const choice = await waitForZone(spec);
      if ("refusal" in choice) return createRefusal(choice);
      const lead = membership.findLead(choice.zone);
      if (lead === undefined) {
        throw new UnavailableError(ErrorCode.peerUnreachable, "no live lead", {
          step: "place",
          peer: choice.zone,
        });
      }
      leadByAttempt.set(`${spec.id}/${attempt}`, lead);
      try {
        const placement = { spec, attempt, owner: self.id, avoid };
        return await placeAtLead(lead, placement);
      } finally {
        leadByAttempt.delete(`${spec.id}/${attempt}`);
      }
    },
    withdraw: (id, attempt) => {
      const lead = leadByAttempt.get(`${id}/${attempt}`);
      if (lead === undefined) return;
      if (lead.id === self.id) {
        placerHost.withdraw(id, attempt);
        return;
      }
      const message = { id, attempt };
      peers.call(
        lead.address,
        (client, callOptions, callback) =>
          client.Withdraw(message, new Metadata(), callOptions, callback),
        { step: "peer.withdraw", timeoutMs: WITHDRAW_TIMEOUT_MS },
        // If the call fails, a hold that is granted later is released or
        // expires.
      ).catch(() => {});
    },
  };
}
