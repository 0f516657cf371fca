import { needsOf, type StepState } from "./cell_state.ts";
import { Tier, type WaitingStep } from "./step_ranking.ts";

/**
 * Computes the shape of a step: a key that is equal for steps that fit on the
 * same workers. When a step could not be placed in full, the pass skips later
 * steps of its shape whose tasks do not take a shorter time.
 *
 * @returns the shape; undefined for a step with a guarantee, with advice or with
 * constraints that the key does not cover
 */
export function placementShapeOf(
  { step, rank, rules }: WaitingStep,
): string | undefined {
  const { spec } = step;
  const isSpecial = spec.isGang || spec.dataRack !== undefined ||
    spec.maximumPerWorker !== undefined || step.avoidedWorkers.size > 0 ||
    rank.tier === Tier.guaranteed || rules.needsAdvice;
  if (isSpecial) return undefined;
  return capacityKeyOf(step);
}

/**
 * @returns a key that is equal for steps whose tasks have the same needs, label
 * and service
 */
export function capacityKeyOf({ spec, job }: StepState): string {
  const { milliCores, memoryMegabytes, accelerators } = needsOf(spec);
  return [
    milliCores,
    memoryMegabytes,
    accelerators,
    spec.requiredLabel,
    job.spec.service,
  ].join("/");
}
