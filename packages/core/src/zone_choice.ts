import type { Rules } from "./rules.ts";
import { type RequestSpec, totalAccelerators } from "./shape.ts";
import { couldFitZone, type ZoneSummary } from "./zone_summary.ts";

/** What an entry knows about the zones. */
export interface ZoneView {
  /** Zone of the entry. */
  own: string;
  /** Newest summary of each zone, also of zones that are cut off. */
  summaries: ReadonlyMap<string, ZoneSummary>;
  /** @returns whether a lead of the zone can be reached */
  isReachable(zone: string): boolean;
  rules: Rules;
}

/** Result of the choice: a zone, or a reason why there is none. */
export type ZoneChoice = { zone: string } | {
  refusal: "never-fits" | "no-capacity";
};

/**
 * Chooses the zone whose lead is asked for capacity. The own zone goes first;
 * a zone that guarantees capacity to the account, and then any zone with room
 * now, goes before waiting at home.
 *
 * @param spec the request
 * @param view what is known about the zones
 * @returns the zone, or why no zone can take the request
 */
export function chooseZone(spec: RequestSpec, view: ZoneView): ZoneChoice {
  const { own, summaries } = view;
  const known = [...summaries.values()].filter(({ workers }) => workers > 0);
  const fitting = known.filter((zone) => couldFitZone(spec, zone));
  if (fitting.length === 0) {
    return { refusal: known.length === 0 ? "no-capacity" : "never-fits" };
  }
  const reachable = fitting.filter(({ zone }) => view.isReachable(zone));
  if (reachable.length === 0) return { refusal: "no-capacity" };
  const scored = reachable.map((summary) => ({
    zone: summary.zone,
    score: scoreZone(spec, summary, view),
    room: summary.free,
  }));
  scored.sort((a, b) =>
    b.score - a.score || Number(b.zone === own) - Number(a.zone === own) ||
    b.room - a.room || (a.zone < b.zone ? -1 : 1)
  );
  return { zone: scored[0].zone };
}

const GUARANTEED = 4;
const ROOM_NOW = 2;
const OWN_ZONE = 1;

function scoreZone(
  spec: RequestSpec,
  summary: ZoneSummary,
  { own, rules }: ZoneView,
): number {
  const guarantees = rules.accounts.get(spec.account)?.guarantees ?? [];
  const isGuaranteed = guarantees.some(({ zone, accelerators }) =>
    zone === summary.zone && accelerators >= totalAccelerators(spec.shape)
  );
  const hasRoom = hasRoomNow(spec, summary);
  return (isGuaranteed ? GUARANTEED : 0) + (hasRoom ? ROOM_NOW : 0) +
    (summary.zone === own ? OWN_ZONE : 0);
}

function hasRoomNow({ shape }: RequestSpec, summary: ZoneSummary): boolean {
  const total = totalAccelerators(shape);
  switch (shape.adjacent) {
    case "worker":
      return total <= summary.largestWorkerBlock;
    case "rack":
      return total <= summary.largestRackBlock;
    case "none":
      return total <= summary.free &&
        shape.accelerators <= summary.largestWorkerBlock;
  }
}
