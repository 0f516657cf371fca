import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import type { PolicyBenchResult } from "./policy_bench.ts";
import type { CaseResult } from "./simulation.ts";

/** A bar chart of one figure by case, scheduler and deployment. */
interface Plot {
  title: string;
  value(result: CaseResult): number;
}

const PLOTS: readonly Plot[] = [
  { title: "mean fragmentation", value: (row) => row.fragmentationMean },
  {
    title: "longest wait of a gang job, s",
    value: (row) => row.largestGangWaitMs / 1_000,
  },
  {
    title: "completion p99 of the interactive class, s",
    value: (row) => Object.values(row.completion)[0].p99 / 1_000,
  },
];

/**
 * Renders plots of the results and a table of the targets.
 *
 * @param bench results and targets
 * @returns an HTML page
 */
export async function renderReport(bench: PolicyBenchResult): Promise<string> {
  const plots = await Promise.all(
    PLOTS.map((plot) => renderPlot(plot, bench.results)),
  );
  const rows = bench.targets.map((
    { target, deployment, case: name, bound, found, met },
  ) =>
    `<tr><td>${deployment}<td>${name}<td>${target}` +
    `<td>${bound.toFixed(2)}<td>${found.toFixed(2)}<td>${
      met ? "met" : "missed"
    }`
  );
  return [
    "<!doctype html><meta charset=utf-8><title>Policy bench</title>",
    "<h1>Policy bench</h1>",
    ...plots,
    "<table border=1><tr><th>fleet<th>case<th>target<th>bound<th>found<th>",
    ...rows,
    "</table>",
  ].join("\n");
}

async function renderPlot(
  { title, value }: Plot,
  results: readonly CaseResult[],
): Promise<string> {
  const specification: TopLevelSpec = {
    title,
    data: {
      values: results.map((row) => ({
        fleet: row.deployment,
        case: row.case,
        policy: row.policy,
        value: value(row),
      })),
    },
    mark: "bar",
    encoding: {
      x: { field: "case", type: "nominal", sort: null },
      xOffset: { field: "policy" },
      y: { field: "value", type: "quantitative", title },
      color: { field: "policy", type: "nominal" },
      row: { field: "fleet", type: "nominal" },
    },
  };
  const view = new View(parse(compile(specification).spec), {
    renderer: "none",
  });
  return await view.toSVG();
}
