import type { Rules } from "./rules.ts";
import { type RequestSpec, totalAccelerators } from "./shape.ts";
import { couldFitZone, type ZoneSummary } from "./zone_summary.ts";

/** The zones as known to one entry. */
export interface ZoneView {
  /** Zone of this entry. */
  ownZone: string;
  /** Latest summary of each zone, including zones that are unreachable. */
  summaries: ReadonlyMap<string, ZoneSummary>;
  /** @returns whether a lead of the zone can be reached */
  isReachable(zone: string): boolean;
  rules: Rules;
}

/** Result of the choice: a zone, or the reason for a refusal. */
export type ZoneChoice = { zone: string } | {
  refusal: "never-fits" | "no-capacity";
};

/**
 * Chooses the zone whose lead is to place a request. Zones are ranked first by
 * whether they guarantee enough capacity to the account, then by whether they
 * have enough free capacity now, and last by whether they are the entry's own
 * zone, so a zone with free capacity is preferred to a wait in the entry's own
 * zone. Ties go to the zone with more free accelerators, then to the first by
 * name.
 *
 * @param spec the request
 * @param view summaries, reachability and rules of the zones
 * @returns the zone, or the reason why no zone can take the request
 */
export function chooseZone(spec: RequestSpec, view: ZoneView): ZoneChoice {
  const { ownZone, summaries } = view;
  const zonesWithWorkers = [...summaries.values()].filter(({ workers }) =>
    workers > 0
  );
  const fitting = zonesWithWorkers.filter((zone) => couldFitZone(spec, zone));
  if (fitting.length === 0) {
    return {
      refusal: zonesWithWorkers.length === 0 ? "no-capacity" : "never-fits",
    };
  }
  const reachable = fitting.filter(({ zone }) => view.isReachable(zone));
  if (reachable.length === 0) return { refusal: "no-capacity" };
  const scored = reachable.map((summary) => ({
    zone: summary.zone,
    score: scoreZone(spec, summary, view),
    freeAccelerators: summary.free,
  }));
  scored.sort((a, b) =>
    b.score - a.score ||
    Number(b.zone === ownZone) - Number(a.zone === ownZone) ||
    b.freeAccelerators - a.freeAccelerators || (a.zone < b.zone ? -1 : 1)
  );
  return { zone: scored[0].zone };
}

// The scores are powers of two, so that each criterion outweighs all later ones
// together.
const GUARANTEE_SCORE = 4;
const FREE_CAPACITY_SCORE = 2;
const OWN_ZONE_SCORE = 1;

function scoreZone(
  spec: RequestSpec,
  summary: ZoneSummary,
  { ownZone, rules }: ZoneView,
): number {
  const guarantees = rules.accounts.get(spec.account)?.guarantees ?? [];
  const isGuaranteed = guarantees.some(({ zone, accelerators }) =>
    zone === summary.zone && accelerators >= totalAccelerators(spec.shape)
  );
  const isFreeNow = hasFreeCapacity(spec, summary);
  return (isGuaranteed ? GUARANTEE_SCORE : 0) +
    (isFreeNow ? FREE_CAPACITY_SCORE : 0) +
    (summary.zone === ownZone ? OWN_ZONE_SCORE : 0);
}

function hasFreeCapacity(
  { shape }: RequestSpec,
  summary: ZoneSummary,
): boolean {
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
