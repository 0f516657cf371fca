import { DEPLOYMENTS } from "./deployments.ts";
import { RATTANHILL_POLICY } from "./policy_bench.ts";
import type { CaseResult } from "./simulation.ts";

/** A target of the scheduler's users, and whether a result meets it. */
export interface TargetRow {
  /** Name of the target, with its unit. */
  target: string;
  deployment: string;
  case: string;
  /** Largest value that meets the target. */
  bound: number;
  /** Value in the result of the project's scheduler. */
  found: number;
  met: boolean;
}

// Longest time until the capacity of a guarantee is reclaimed.
const RECLAIM_BOUND_MS = 2_200;
// Longest time that a gang job waits for its first start.
const GANG_WAIT_BOUND_MS = 300_000;
// Largest figure that meets a relative target, as a share of the smallest
// figure of the baselines.
const MAXIMUM_BASELINE_SHARE = 0.5;
// Largest 99th percentile of the time of a pass divided by its placements.
const DECISION_BOUND_US = 1_000;

/**
 * Compares the results of the project's scheduler with the targets of its
 * users.
 *
 * @param results results of every case and scheduler
 * @returns one row per target, deployment and case
 */
export function evaluateTargets(results: readonly CaseResult[]): TargetRow[] {
  const ownResults = results.filter(({ policy }) =>
    policy === RATTANHILL_POLICY
  );
  return ownResults.flatMap((own) => {
    const baselineResults = results.filter((result) =>
      result.policy !== RATTANHILL_POLICY && result.case === own.case &&
      result.deployment === own.deployment
    );
    return [
      ...evaluateAbsoluteTargets(own),
      ...evaluateRelativeTargets(own, baselineResults),
    ];
  });
}

function evaluateAbsoluteTargets(own: CaseResult): TargetRow[] {
  const rows = [
    createRow(own, "guarantee reclaimed, ms", RECLAIM_BOUND_MS, own.reclaimMs),
    createRow(
      own,
      "longest wait of a gang job, ms",
      GANG_WAIT_BOUND_MS,
      own.largestGangWaitMs,
    ),
  ];
  // The time of a decision has a bound only in the zone whose size the
  // scheduler must support.
  if (own.deployment === "letter-zone") {
    const found = own.decisionP99Us;
    rows.push(createRow(own, "decision p99, us", DECISION_BOUND_US, found));
  }
  return rows;
}

function evaluateRelativeTargets(
  own: CaseResult,
  baselineResults: readonly CaseResult[],
): TargetRow[] {
  if (baselineResults.length === 0) return [];
  const rows: TargetRow[] = [];
  const interactiveClass =
    DEPLOYMENTS.find(({ name }) => name === own.deployment)!
      .classes.find(({ isInteractive }) => isInteractive)!.name;
  const p99 = (result: CaseResult) =>
    result.completion[interactiveClass]?.p99 ?? 0;
  if (own.case.startsWith("bursts") && own.case.endsWith("90")) {
    const bound = Math.min(...baselineResults.map(p99)) *
      MAXIMUM_BASELINE_SHARE;
    rows.push(
      createRow(own, `${interactiveClass} completion p99, ms`, bound, p99(own)),
    );
  }
  const fragmentation = baselineResults.map((result) =>
    result.fragmentationMean
  );
  const bound = Math.min(...fragmentation) * MAXIMUM_BASELINE_SHARE;
  rows.push(createRow(own, "mean fragmentation", bound, own.fragmentationMean));
  return rows;
}

function createRow(
  own: CaseResult,
  target: string,
  bound: number,
  found: number,
): TargetRow {
  const { deployment, case: name } = own;
  return { target, deployment, case: name, bound, found, met: found <= bound };
}
