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

/** Asks the lead of the right zone for capacity. */
export interface ZoneRouter {
  /** Waits until the request is held or refused. @throws when the lead is lost */
  place(
    spec: RequestSpec,
    attempt: number,
    avoid: readonly string[],
  ): Promise<PlaceReply & { peer: string }>;
  /** Ends the wait of a placement. */
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

const NEVER_FITS_MINIMUM_UPTIME_MS: Milliseconds = 5_000; // a fresh entry has not heard of all workers
const NO_CAPACITY_RETRY_AFTER_MS: Milliseconds = 1_000;
const ZONE_WAIT_LIMIT_MS: Milliseconds = 2_000;
const ZONE_POLL_INTERVAL_MS: Milliseconds = 50;
const PLACE_GRACE_MS: Milliseconds = 1_000;
const WITHDRAW_TIMEOUT_MS: Milliseconds = 300;

/**
 * Creates the router of one entry.
 *
 * @param options this entry's view of the zones
 * @returns the router
 */
export function createZoneRouter(options: ZoneRouterOptions): ZoneRouter {
  const { self, clock, membership, peers, placerHost, createZoneView } =
    options;
  const startedAt = clock.now();
  /** Leads that were asked, so that a withdrawal reaches the same one. */
  const leadByAttempt = new Map<string, EntryInfo>();

  /** Zones may be unknown for a moment, at the start and after a pause. */
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
        throw new UnavailableError(ErrorCode.peerUnreachable, "no lead", {
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
      ).catch(() => {}); // a hold that is granted all the same is given back or lapses
    },
  };
}
