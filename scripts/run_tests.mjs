// Runs the unit tests, then the scenarios, and prints one closing line over both.
// Tests named in KNOWN-RED.txt are printed and passed over; every other failure fails the run.
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const KNOWN_RED = "KNOWN-RED.txt";
const SCENARIOS = "packages/scenarios/dist/src/main.js";

const knownRed = readKnownRed();
const results = [...runUnitTests(), ...runScenarios()];
const failed = results.filter((result) => !result.passed);
const tolerated = failed.filter(({ name }) => knownRed.includes(name));
for (const { name } of tolerated) console.log(`known red: ${name}`);
const passed = results.length - failed.length;
const counted = failed.length - tolerated.length;
console.log(`${passed} passed, ${counted} failed, ${tolerated.length} skipped`);
process.exit(counted === 0 && passed > 0 ? 0 : 1);

function readKnownRed() {
  return readFileSync(KNOWN_RED, "utf8").split("\n")
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

function parseReport(stdout, stderr) {
  try {
    return JSON.parse(stdout.slice(stdout.indexOf('{\n  "stats"')));
  } catch {
    console.log(stdout, stderr);
    return {
      tests: [{ fullTitle: "unit tests", err: { message: "no report" } }],
    };
  }
}

function runScenarios() {
  if (!existsSync(SCENARIOS)) return [];
  const { stdout } = spawnSync(process.execPath, [SCENARIOS, "--json"], {
    encoding: "utf8",
    maxBuffer: 1 << 26,
    stdio: ["ignore", "pipe", "inherit"],
  });
  const rows = stdout.split("\n").filter((line) => line.startsWith("{"))
    .map((line) => JSON.parse(line));
  if (rows.length === 0) return [{ name: "scenarios", passed: false }];
  return rows.map(({ scenario, passed, faults }) => {
    if (!passed) console.log(`FAILED scenario ${scenario}`, faults);
    return { name: `scenario ${scenario}`, passed };
  });
}
