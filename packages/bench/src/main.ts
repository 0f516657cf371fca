import { appendFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import type { PlacerPolicy } from "@rattanhill/core";
import { PLANNING_POLICY, type PlanningPolicy } from "@rattanhill/scheduler";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { type CellRow, runCellBench } from "./cell_bench.ts";
import { measureIdle, measurePath } from "./live_bench.ts";
import { runPolicyBench } from "./policy_bench.ts";
import { runRegression } from "./regression_runner.ts";
import { renderReport } from "./report.ts";
import type { CaseResult } from "./simulation.ts";

// Zone sizes that `idle` measures, as pairs of numbers of entries and workers.
const IDLE_SIZES: readonly (readonly [number, number])[] = [
  [2, 8],
  [2, 24],
  [2, 48],
  [6, 8],
];
// Mechanisms of the policy that `policy --without` can switch off.
const POLICY_MECHANISMS: readonly (keyof PlacerPolicy)[] = [
  "reclaim",
  "reservation",
  "learning",
  "refusal",
  "compaction",
];

await yargs(hideBin(process.argv))
  .scriptName("bench")
  .command(
    "policy",
    "compare the policy with baselines in simulated time",
    (options) =>
      options.options({
        seed: { type: "number", default: 1 },
        cases: { type: "array", string: true, default: [] as string[] },
        deployments: { type: "array", string: true, default: [] as string[] },
        without: {
          type: "array",
          choices: POLICY_MECHANISMS,
          default: [] as (keyof PlacerPolicy)[],
          describe: "parts of the policy to switch off",
        },
        baselines: {
          type: "boolean",
          default: true,
          describe: "run the baselines too",
        },
        json: { type: "string", describe: "file for one line of JSON per row" },
        report: { type: "string", describe: "file for an HTML report" },
      }),
    async (args) => {
      if (args.json !== undefined) writeFileSync(args.json, "");
      const { results, targets } = runPolicyBench({
        ...args,
        onResult: (result) => {
          console.error(formatCaseName(result));
          if (args.json === undefined) return;
          appendFileSync(args.json, JSON.stringify(result) + "\n");
        },
      });
      console.table(results.map(flattenCaseResult));
      console.table(targets);
      const missed = targets.filter(({ met }) => !met).length;
      console.log(`${targets.length - missed} targets met, ${missed} missed`);
      if (args.json !== undefined) {
        const rows = targets.map((row) => JSON.stringify(row) + "\n");
        appendFileSync(args.json, rows.join(""));
      }
      if (args.report !== undefined) {
        writeFileSync(args.report, await renderReport({ results, targets }));
      }
    },
  )
  .command(
    "path",
    "measure requests through an entry beside direct calls to a worker",
    {},
    async () => {
      console.log(JSON.stringify(await measurePath(), undefined, 2));
    },
  )
  .command(
    "idle",
    "measure the resource usage of idle entries by zone size",
    {},
    async () => console.table(await measureIdle(IDLE_SIZES)),
  )
  .command(
    "cell",
    "simulate the loads of a cell in simulated time",
    (options) =>
      options.options({
        seeds: {
          type: "number",
          default: 10,
          describe: "simulations of each load",
        },
        set: {
          type: "array",
          string: true,
          default: [] as string[],
          describe: "policies to compare, each as name=value,name=value",
        },
      }),
    ({ seeds, set }) => {
      const policies = {
        usual: {},
        ...Object.fromEntries(set.map((text) => [text, parsePolicy(text)])),
      };
      console.table(runCellBench(policies, { seeds }).map(flattenCellRow));
    },
  )
  .command(
    "regression <sites..>",
    "score deployments with the users' bench beside the kept figures",
    (options) =>
      options.positional("sites", {
        type: "string",
        array: true,
        demandOption: true,
        describe: "site files",
      }).options({
        program: {
          type: "string",
          demandOption: true,
          describe: "path of the users' bench",
        },
        jobs: { type: "number", default: 3, describe: "days at the same time" },
        journal: { type: "string", default: "journal" },
        keptFile: { type: "string", default: "docs/regression.json" },
        keep: {
          type: "boolean",
          default: false,
          describe: "replace the kept figures by those of this run",
        },
      }),
    async (args) => {
      const { rows, faults } = await runRegression(args);
      console.table(rows);
      for (const fault of faults) console.log(`regression: ${fault}`);
      process.exitCode = faults.length === 0 ? 0 : 1;
    },
  )
  .demandCommand(1, "missing command: policy, cell, path, idle or regression")
  .strict()
  .parseAsync();

/**
 * Parses overrides of the planning policy.
 *
 * @param text overrides as `name=value,name=value`
 * @returns the values by name
 * @throws Error if a name is unknown or a value is not a number
 */
function parsePolicy(text: string): Partial<PlanningPolicy> {
  return Object.fromEntries(
    text.split(",").map((pair) => {
      const [name, value] = pair.split("=");
      const isKnown = name in PLANNING_POLICY && Number.isFinite(Number(value));
      if (!isKnown) throw new Error(`unknown weight or invalid value: ${pair}`);
      return [name, Number(value)];
    }),
  );
}

function flattenCellRow({ byKind, ...rest }: CellRow) {
  return { ...rest, ...byKind };
}

function formatCaseName(
  { deployment, case: name, policy }: CaseResult,
): string {
  return `${deployment} ${name} ${policy}`;
}

function flattenCaseResult(result: CaseResult) {
  const { completion, ...rest } = result;
  const percentiles = Object.entries(completion).map(([name, times]) => [
    name,
    `${times.p50}/${times.p95}/${times.p99}`,
  ]);
  const figures = Object.entries(rest).map(([name, value]) => [
    name,
    typeof value === "number" ? Math.round(value * 100) / 100 : value,
  ]);
  return Object.fromEntries([...figures, ...percentiles]);
}
