import { DEPLOYMENTS } from "./deployments.ts";
import { OUR_POLICY } from "./policy_bench.ts";
import type { CaseResult } from "./simulation.ts";

/** A target of the users and whether the run met it. */
export interface TargetRow {
  target: string;
  deployment: string;
  case: string;
  bound: number;
  found: number;
  met: boolean;
}

const RECLAIM_BOUND_MS = 2_200;
const LARGE_WAIT_BOUND_MS = 300_000;
const BASELINE_SHARE = 0.5;
const DECISION_BOUND_US = 1_000;

/**
 * Judges results by the users' targets.
 *
 * @param results figures of every case and policy
 * @returns one row a target and case
 */
export function judgeTargets(results: readonly CaseResult[]): TargetRow[] {
  const ours = results.filter(({ policy }) => policy === OUR_POLICY);
  return ours.flatMap((own) => {
    const others = results.filter((result) =>
      result.policy !== OUR_POLICY && result.case === own.case &&
      result.deployment === own.deployment
    );
    return [...absoluteTargets(own), ...relativeTargets(own, others)];
  });
}

function absoluteTargets(own: CaseResult): TargetRow[] {
  const rows = [
    row(own, "guarantee reclaimed, ms", RECLAIM_BOUND_MS, own.reclaimMs),
    row(
      own,
      "longest wait of a gang job, ms",
      LARGE_WAIT_BOUND_MS,
      own.largestGangWaitMs,
    ),
  ];
  if (own.deployment === "letter-zone") {
    const found = own.decisionP99Us;
    rows.push(row(own, "decision p99, us", DECISION_BOUND_US, found));
  }
  return rows;
}

function relativeTargets(
  own: CaseResult,
  others: readonly CaseResult[],
): TargetRow[] {
  if (others.length === 0) return [];
  const rows: TargetRow[] = [];
  const watched = DEPLOYMENTS.find(({ name }) => name === own.deployment)!
    .classes.find(({ isWatched }) => isWatched)!.name;
  const p99 = (result: CaseResult) => result.completion[watched]?.p99 ?? 0;
  if (own.case.startsWith("bursts") && own.case.endsWith("90")) {
    const bound = Math.min(...others.map(p99)) * BASELINE_SHARE;
    rows.push(row(own, `${watched} completion p99, ms`, bound, p99(own)));
  }
  const fragmentation = others.map((result) => result.fragmentationMean);
  const bound = Math.min(...fragmentation) * BASELINE_SHARE;
  rows.push(row(own, "mean fragmentation", bound, own.fragmentationMean));
  return rows;
}

function row(
  own: CaseResult,
  target: string,
  bound: number,
  found: number,
): TargetRow {
  const { deployment, case: name } = own;
  return { target, deployment, case: name, bound, found, met: found <= bound };
}
