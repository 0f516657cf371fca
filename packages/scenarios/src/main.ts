import process from "node:process";
import { fileURLToPath } from "node:url";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { runScenario, type ScenarioResult } from "./runner.ts";
import { readScenarios, type Scenario } from "./scenario_file.ts";

const DIRECTORY = fileURLToPath(
  new URL("../../../../scenarios", import.meta.url),
);

const { _: names, seed, list, json, parallel, keepLogs } = yargs(
  hideBin(process.argv),
).usage("$0 [NAME..]\n\nRuns the failure scenarios.").options({
  seed: { type: "number", default: 1, describe: "seed of random choices" },
  list: { type: "boolean", default: false, describe: "list the scenarios" },
  json: { type: "boolean", default: false, describe: "print JSON lines" },
  parallel: { type: "number", default: 3, describe: "run this many at once" },
  keepLogs: {
    type: "boolean",
    default: false,
    describe: "keep the logs of failed scenarios",
  },
}).strictOptions().parseSync();

const scenarios = readScenarios(DIRECTORY).filter(({ name }) =>
  names.length === 0 || names.includes(name)
);

if (list) {
  for (const { name, promise, failure } of scenarios) {
    console.log(`${name}: ${promise} | ${failure}`);
  }
} else process.exitCode = await runAll(scenarios);

async function runAll(selected: readonly Scenario[]): Promise<number> {
  const queue = [...selected];
  const results: ScenarioResult[] = [];
  const runFromQueue = async () => {
    for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
      const result = await runScenario(next, { seed, keepLogs });
      results.push(result);
      printResult(result);
    }
  };
  await Promise.all(Array.from({ length: parallel }, runFromQueue));
  const failed = results.filter(({ passed }) => !passed).length;
  if (!json) console.log(`${results.length - failed} passed, ${failed} failed`);
  return failed === 0 && results.length > 0 ? 0 : 1;
}

function printResult(result: ScenarioResult): void {
  if (json) return console.log(JSON.stringify(result));
  const { scenario, passed, faults, figures, elapsedMs } = result;
  const verdict = passed ? "passed" : "FAILED";
  const seconds = (elapsedMs / 1_000).toFixed(1);
  const measured = Object.entries(figures)
    .map(([name, value]) => `${name} ${value}`).join(", ");
  console.log(`${verdict} ${scenario} (${seconds} s) ${measured}`);
  for (const fault of faults) console.log(`    ${fault}`);
}
