import { DEPLOYMENTS } from "./deployments.ts";
import { RATTANHILL_POLICY } from "./policy_bench.ts";
import type { CaseResult } from "./simulation.ts";

/** A target of the scheduler's users, and whether a result meets it. */
export interface TargetRow {
  target: string;
  deployment: string;
  case: string;
  bound: number;
  found: number;
  met: boolean;
}

const RECLAIM_BOUND_MS = 2_200;
const GANG_WAIT_BOUND_MS = 300_000;
/** Largest share of the best baseline's figure that meets a target. */
const MAXIMUM_BASELINE_SHARE = 0.5;
const DECISION_BOUND_US = 1_000;

/**
 * Compares results with the targets of the scheduler's users.
 *
 * @param results results of every case and scheduler
 * @returns one row per target and case
 */
export function evaluateTargets(results: readonly CaseResult[]): TargetRow[] {
  const ours = results.filter(({ policy }) => policy === RATTANHILL_POLICY);
  return ours.flatMap((own) => {
    const others = results.filter((result) =>
      result.policy !== RATTANHILL_POLICY && result.case === own.case &&
      result.deployment === own.deployment
    );
    return [
      ...evaluateAbsoluteTargets(own),
      ...evaluateRelativeTargets(own, others),
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
  if (own.deployment === "letter-zone") {
    const found = own.decisionP99Us;
    rows.push(createRow(own, "decision p99, us", DECISION_BOUND_US, found));
  }
  return rows;
}

function evaluateRelativeTargets(
  own: CaseResult,
  others: readonly CaseResult[],
): TargetRow[] {
  if (others.length === 0) return [];
  const rows: TargetRow[] = [];
  const interactiveClass =
    DEPLOYMENTS.find(({ name }) => name === own.deployment)!
      .classes.find(({ isInteractive }) => isInteractive)!.name;
  const p99 = (result: CaseResult) =>
    result.completion[interactiveClass]?.p99 ?? 0;
  if (own.case.startsWith("bursts") && own.case.endsWith("90")) {
    const bound = Math.min(...others.map(p99)) * MAXIMUM_BASELINE_SHARE;
    rows.push(
      createRow(own, `${interactiveClass} completion p99, ms`, bound, p99(own)),
    );
  }
  const fragmentation = others.map((result) => result.fragmentationMean);
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
