import type { Milliseconds } from "@rattanhill/shared";
import type { PlanningPolicy } from "./planning_policy.ts";
import type { Deployment } from "./rules.ts";
import { Tier, type WaitingStep } from "./step_ranking.ts";

// Guaranteed work may use any rack from this long before its start deadline,
// even if it needs one rack or has its data on one.
const RACK_FALLBACK_MARGIN_MS: Milliseconds = 500;

/**
 * Computes the time that a step waits for capacity on a single rack, or on the
 * rack of its data, before it may use any rack.
 *
 * @param waiting the step
 * @param options properties of the deployment, and the planning parameters
 * @returns the time from the submission of its job
 */
export function rackWaitLimitMs(
  { rank, expectedMs }: WaitingStep,
  { deployment, policy }: {
    deployment: Deployment;
    policy: Pick<PlanningPolicy, "rackPatience">;
  },
): Milliseconds {
  const { remoteFactor, reclaimMs } = deployment;
  return rank.tier === Tier.guaranteed
    ? reclaimMs - RACK_FALLBACK_MARGIN_MS
    : policy.rackPatience * (remoteFactor - 1) * expectedMs;
}
