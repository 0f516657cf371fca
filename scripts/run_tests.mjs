// Runs the unit tests, then the scenarios, and prints the totals of both in the
// last line. A failing test that KNOWN-RED.txt names is printed and counted as
// skipped; any other failure makes the run fail.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const SCENARIO_RUNNER = "packages/scenarios/dist/src/main.js";
// The processes of one scenario take about 2 cores while they start. The bounds
// of the scenarios are for processes that get their processor time.
const SCENARIOS_AT_ONCE = 2;

const knownRedNames = readKnownRed();
const results = [...runUnitTests(), ...runScenarios()];
const failed = results.filter((result) => !result.passed);
const knownFailures = failed.filter(({ name }) => knownRedNames.includes(name));
for (const { name } of knownFailures) console.log(`known red: ${name}`);
const passedCount = results.length - failed.length;
const failedCount = failed.length - knownFailures.length;
console.log(
  `${passedCount} passed, ${failedCount} failed, ${knownFailures.length} skipped`,
);
process.exit(failedCount === 0 && passedCount > 0 ? 0 : 1);

// Returns the names on the `test: NAME` lines of KNOWN-RED.txt.
function readKnownRed() {
  return readFileSync(KNOWN_RED_FILE, "utf8").split("\n")
    .map((line) => /^test: (.+)$/.exec(line)?.[1])
    .filter((name) => name !== undefined);
}

function runUnitTests() {
  const { stdout, stderr } = spawnSync(
    process.execPath,
    ["node_modules/mocha/bin/mocha.js", "--reporter", "json"],
    { encoding: "utf8", maxBuffer: 1 << 26 },
  );
  const report = parseReport(stdout, stderr);
  return report.tests.map(({ fullTitle, err }) => {
    const passed = Object.keys(err).length === 0;
    if (!passed) {
      console.log(`FAILED ${fullTitle}\n${err.stack ?? err.message}`);
    }
    return { name: fullTitle, passed };
  });
}

// Parses mocha's JSON report, which may follow lines that tests have written.
// Without a report, as after a crash, the run counts as one failed test.
function parseReport(stdout, stderr) {
  try {
    return JSON.parse(stdout.slice(stdout.indexOf('{\n  "stats"')));
  } catch {
    console.log(stdout, stderr);
    return {
      tests: [{
        fullTitle: "unit tests",
        err: { message: "mocha printed no JSON report" },
      }],
    };
  }
}

function runScenarios() {
  if (!existsSync(SCENARIO_RUNNER)) return [];
  const { stdout } = spawnSync(
    process.execPath,
    [SCENARIO_RUNNER, "--json", "--parallel", String(SCENARIOS_AT_ONCE)],
    {
      encoding: "utf8",
      maxBuffer: 1 << 26,
      stdio: ["ignore", "pipe", "inherit"],
    },
  );
  const reports = stdout.split("\n").filter((line) => line.startsWith("{"))
    .map((line) => JSON.parse(line));
  // Without any result the scenario runner has crashed.
  if (reports.length === 0) return [{ name: "scenarios", passed: false }];
  return reports.map(({ scenario, passed, faults }) => {
    if (!passed) console.log(`FAILED scenario ${scenario}`, faults);
    return { name: `scenario ${scenario}`, passed };
  });
}
