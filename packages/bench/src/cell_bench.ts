import { createRandom } from "@rattanhill/standins";
import type { PlanningPolicy } from "@rattanhill/scheduler";
import { CELL_LOADS } from "./cell_loads.ts";
import { type CellResult, simulateCell } from "./cell_simulation.ts";

/** Means over the simulations of a load under one policy. */
export interface CellRow {
  /** Name of the load. */
  load: string;
  /** Name of the policy. */
  policy: string;
  /** Earned share of the owed value. */
  earned: number;
  /** Upper bound on the share that any scheduler can earn. */
  bound: number;
  /** Earned share less the price of discarded work, relative to owed value. */
  net: number;
  /**
   * Earned share over the two windows of arrival time in which it was smallest.
   */
  worstWindows: number;
  /** Earned share by kind of job. */
  byKind: Record<string, number>;
  /** Core seconds of discarded work. */
  wasted: number;
  /** Mean share of the accelerators that were in use while jobs arrived. */
  utilization: number;
}

// Value that the scheduler's users deduct for each discarded core second.
const WASTE_PRICE = 0.0022;

/**
 * Simulates all loads of a cell under several policies.
 *
 * @param policies overrides of the default policy, by name
 * @param options number of simulations of each load, with seeds from 1 upwards
 * @returns means by load and policy
 */
export function runCellBench(
  policies: Readonly<Record<string, Partial<PlanningPolicy>>>,
  options: { seeds: number },
): CellRow[] {
  const rows: CellRow[] = [];
  for (const load of CELL_LOADS) {
    for (const [policy, overrides] of Object.entries(policies)) {
      const results: CellResult[] = [];
      for (let seed = 1; seed <= options.seeds; seed++) {
        const random = createRandom(seed);
        results.push(simulateCell(load, { random, policy: overrides }));
      }
      const mean = (selectValue: (result: CellResult) => number): number =>
        roundToThousandths(
          results.reduce((sum, each) => sum + selectValue(each), 0) /
            results.length,
        );
      rows.push({
        load: load.name,
        policy,
        earned: mean(({ earned, owed }) => earned / owed),
        bound: mean(({ bound, owed }) => bound / owed),
        net: mean(({ earned, owed, wasted }) =>
          (earned - WASTE_PRICE * wasted) / owed
        ),
        worstWindows: mean(({ worstWindows }) => worstWindows),
        byKind: Object.fromEntries(
          load.kinds.map(({ rules: { name } }) => [
            name,
            mean(({ byKind }) => byKind[name]),
          ]),
        ),
        wasted: mean(({ wasted }) => wasted),
        utilization: mean(({ utilization }) => utilization),
      });
    }
  }
  return rows;
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
