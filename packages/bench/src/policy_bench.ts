import { createRandom } from "@rattanhill/standins";
import {
  FULL_POLICY,
  measureFragmentation,
  type PlacerPolicy,
  type WorkerView,
} from "@rattanhill/core";
import {
  backfillDeclared,
  firstComeFirstFit,
  fixedPartitions,
} from "./baselines.ts";
import { CASES, DEPLOYMENTS } from "./deployments.ts";
import type { Fleet } from "./fleet.ts";
import { createPlacerFactory } from "./placer_scheduler.ts";
import {
  type CaseResult,
  type SchedulerFactory,
  simulate,
} from "./simulation.ts";
import { evaluateTargets, type TargetRow } from "./targets.ts";

/** Name of the project's own scheduler in the results. */
export const RATTANHILL_POLICY = "rattanhill";

const BASELINES: Readonly<Record<string, SchedulerFactory>> = {
  "first-come-first-fit": firstComeFirstFit,
  "fixed-partitions": fixedPartitions,
  "backfill-declared": backfillDeclared,
};

/** Options of {@link runPolicyBench}. */
export interface PolicyBenchOptions {
  seed: number;
  /** Names of the cases to run; all when empty. */
  cases: readonly string[];
  /** Names of the deployments to run; all when empty. */
  deployments: readonly string[];
  /**
   * Mechanisms of the policy to switch off, to verify that targets are then
   * missed.
   */
  without: readonly (keyof PlacerPolicy)[];
  /** Whether to run the baselines in addition to the project's scheduler. */
  baselines: boolean;
  /** Called with the result of each case and scheduler as it completes. */
  onResult(result: CaseResult): void;
}

/** Results of the bench. */
export interface PolicyBenchResult {
  results: CaseResult[];
  targets: TargetRow[];
}

/**
 * Simulates the cases under the project's scheduler and the baselines.
 *
 * @param options cases, deployments, schedulers and seed
 * @returns the results of every case and scheduler, and the targets
 */
export function runPolicyBench(
  options: PolicyBenchOptions,
): PolicyBenchResult {
  const policy = { ...FULL_POLICY };
  for (const mechanism of options.without) policy[mechanism] = false;
  const schedulers: Record<string, SchedulerFactory> = {
    [RATTANHILL_POLICY]: createPlacerFactory(policy),
    ...options.baselines ? BASELINES : {},
  };
  const results: CaseResult[] = [];
  for (const deployment of DEPLOYMENTS) {
    if (!isSelected(deployment.name, options.deployments)) continue;
    for (const load of CASES) {
      if (!isSelected(load.name, options.cases)) continue;
      for (const [name, factory] of Object.entries(schedulers)) {
        const result = simulate(deployment, load, {
          policy: name,
          factory,
          createRandom,
          seed: options.seed,
          measureFragmentation: measureFleetFragmentation,
        });
        results.push(result);
        options.onResult(result);
      }
    }
  }
  return { results, targets: evaluateTargets(results) };
}

function isSelected(name: string, selection: readonly string[]): boolean {
  return selection.length === 0 || selection.includes(name);
}

function measureFleetFragmentation({ workers }: Fleet): { ratio: number } {
  const racks = new Map<string, WorkerView[]>();
  for (const { report, isAlive } of workers) {
    if (!isAlive) continue;
    const used = report.leases.reduce(
      (sum, { accelerators }) => sum + accelerators,
      0,
    );
    const view: WorkerView = {
      name: report.worker,
      address: report.address,
      rack: report.rack,
      boot: report.boot,
      accelerators: report.accelerators,
      free: report.accelerators - used,
      isUsable: true,
      leases: new Map(),
      firm: new Map(),
    };
    racks.set(report.rack, [...racks.get(report.rack) ?? [], view]);
  }
  return measureFragmentation(racks.values());
}
