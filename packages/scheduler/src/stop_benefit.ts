import type { Milliseconds } from "@rattanhill/shared";
import type { PlanningPolicy } from "./planning_policy.ts";

/** What a job earns, depending on how long it is still delayed. */
export interface Prospects {
  /** Relative value of the job if it completes in time. */
  value: number;
  /** Longest further delay with which it completes in time. */
  slackMs: Milliseconds;
  /** Longest further delay with which its result is still useful. */
  lateSlackMs: Milliseconds;
}

/** A job of which runs would be stopped. */
export interface VictimJob {
  prospects: Prospects;
  /** Time by which the stop postpones the completion of the job. */
  delayMs: Milliseconds;
  /** Work that the stop discards, in core milliseconds. */
  lostWork: number;
  /** Number of earlier decisions that stopped runs of the job. */
  stopCount: number;
}

/** A possible stop of runs for an urgent step. */
export interface StopQuestion {
  /** Prospects of the urgent step's job. */
  urgent: Prospects;
  /** Delay of the urgent step if the runs are stopped now. */
  startAfterStopMs: Milliseconds;
  /** Delay of the urgent step if it waits for capacity that becomes free. */
  startWithoutStopMs: Milliseconds;
  /** Value of one core millisecond of the urgent job's work. */
  valuePerWork: number;
  victims: readonly VictimJob[];
}

/** Results of the decision on a stop. */
export const StopOutcome = {
  /** Stopped: the value at stake exceeds the cost. */
  worthwhile: "worthwhile",
  /** The urgent job misses its objective even if the runs are stopped. */
  tooLate: "tooLate",
  /** The urgent job is as valuable without the stop. */
  inTimeAnyway: "inTimeAnyway",
  /** The cost is at least the value at stake. */
  tooCostly: "tooCostly",
  /** No runs that may be stopped occupy enough capacity. */
  noVictims: "noVictims",
} as const;

/** One of the values of {@link StopOutcome}. */
export type StopOutcome = typeof StopOutcome[keyof typeof StopOutcome];

/** Parameters of {@link stopBenefit}. */
export type StopPolicy = Pick<
  PlanningPolicy,
  "lateValueShare" | "lostWorkPrice" | "repeatedStopSurcharge"
>;

/** Value at stake and cost of a stop, in the same relative unit. */
export interface StopBenefit {
  /** Value of the urgent job after the stop, less that without it. */
  atStake: number;
  cost: number;
  /** Work that the stop discards, in core milliseconds. */
  lostWork: number;
  outcome: StopOutcome;
}

/**
 * @param prospects what the job earns
 * @param delayMs further delay of the job
 * @param policy value of a late result
 * @returns the value that the job earns with this delay
 */
export function valueAfter(
  prospects: Prospects,
  delayMs: Milliseconds,
  policy: Pick<StopPolicy, "lateValueShare">,
): number {
  const { value, slackMs, lateSlackMs } = prospects;
  if (delayMs <= slackMs) return value;
  return delayMs <= lateSlackMs ? policy.lateValueShare * value : 0;
}

/**
 * Computes what a job is expected to earn with a delay. Its run times and its
 * wait for other capacity are known only roughly, so the probability of a miss
 * grows with the square of the share of the slack that the delay takes.
 *
 * @param prospects what the job earns
 * @param delayMs further delay of the job
 * @param policy value of a late result
 * @returns the expected value
 */
function expectedValueAfter(
  prospects: Prospects,
  delayMs: Milliseconds,
  policy: Pick<StopPolicy, "lateValueShare">,
): number {
  const { value, slackMs, lateSlackMs } = prospects;
  const chanceWithin = (limitMs: Milliseconds): number =>
    limitMs < 0 || delayMs >= limitMs ? 0 : 1 - (delayMs / limitMs) ** 2;
  const { lateValueShare } = policy;
  return value * (lateValueShare * chanceWithin(lateSlackMs) +
    (1 - lateValueShare) * chanceWithin(slackMs));
}

/**
 * Weighs the value that a stop of runs gains for an urgent step against the
 * discarded work and the value that the jobs of the stopped runs lose.
 *
 * @param question the urgent step and the jobs of the runs
 * @param policy prices of lost work and repeated stops
 * @returns the value at stake, the cost and whether the stop is worthwhile
 */
export function stopBenefit(
  question: StopQuestion,
  policy: StopPolicy,
): StopBenefit {
  const { urgent, startAfterStopMs, startWithoutStopMs, victims } = question;
  const cost = victims.reduce(
    (sum, victim) => sum + costOfVictim(victim, question.valuePerWork, policy),
    0,
  );
  const lostWork = victims.reduce((sum, victim) => sum + victim.lostWork, 0);
  const isInTime = startAfterStopMs <= urgent.slackMs;
  const atStake = isInTime
    ? valueAfter(urgent, startAfterStopMs, policy) -
      valueAfter(urgent, startWithoutStopMs, policy)
    : 0;
  const outcomeOf = (): StopOutcome => {
    if (!isInTime) return StopOutcome.tooLate;
    if (atStake <= 0) return StopOutcome.inTimeAnyway;
    if (victims.length === 0) return StopOutcome.noVictims;
    return cost < atStake ? StopOutcome.worthwhile : StopOutcome.tooCostly;
  };
  return { atStake, cost, lostWork, outcome: outcomeOf() };
}

/**
 * @param victim the job of the stopped runs
 * @param valuePerWork value of one core millisecond of urgent work
 * @param policy prices of lost work and repeated stops
 * @returns the price of the discarded work and the value that the job loses,
 * with the surcharge for earlier stops
 */
export function costOfVictim(
  victim: VictimJob,
  valuePerWork: number,
  policy: StopPolicy,
): number {
  const { prospects, delayMs, lostWork, stopCount } = victim;
  const lostValue = expectedValueAfter(prospects, 0, policy) -
    expectedValueAfter(prospects, delayMs, policy);
  const price = policy.lostWorkPrice * valuePerWork;
  return (price * lostWork + lostValue) *
    (1 + policy.repeatedStopSurcharge * stopCount);
}
