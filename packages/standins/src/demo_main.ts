import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { build } from "hdr-histogram-js";
import { pause } from "@rattanhill/shared";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { audit, type CallerRecord } from "./audit.ts";
import { callWithRetries } from "./caller.ts";
import { generateDemoLoad } from "./demo_load.ts";
import { createRandom } from "./random.ts";
import { readJournal, type RunningSystem, startSystem } from "./system.ts";
import { DEMO_LAYOUT } from "./system_layout.ts";

// Time over which the requests of the load are spread.
const LOAD_DURATION_MS = 12_000;
const CALLER_TIMEOUT_MS = 25_000;
const ATTEMPT_TIMEOUT_MS = 8_000;
// Wait before the audit, so that late events are in the journal.
const JOURNAL_SETTLE_MS = 300;

const { keep, seed } = yargs(hideBin(process.argv)).options({
  keep: {
    type: "boolean",
    default: false,
    describe: "start the processes without load and keep them running",
  },
  seed: { type: "number", default: 1, describe: "seed of the load" },
}).strict().parseSync();

const directory = mkdtempSync(join(tmpdir(), "rattanhill-"));
const system = await startSystem({ layout: DEMO_LAYOUT, directory });
if (keep) await keepRunning(system);
else process.exitCode = await runLoad(system);
await system.stop();
rmSync(directory, { recursive: true });
process.exit();

/** Prints the system as one JSON line and waits for SIGINT or SIGTERM. */
async function keepRunning(running: RunningSystem): Promise<void> {
  console.log(JSON.stringify(describeSystem(running)));
  await new Promise((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
}

function describeSystem(running: RunningSystem) {
  return {
    entries: running.entries.map(({ zone, pid, callers, operators }) => ({
      zone,
      pid,
      callers,
      operators,
    })),
    platform: running.platform.address,
    workers: running.workers.map(({ zone, rack, name, pid, address }) => ({
      zone,
      rack,
      name,
      pid,
      address,
    })),
    journal: running.journal,
    accounts: DEMO_LAYOUT.accounts,
  };
}

/**
 * Sends the load, audits its outcomes and prints the results; the last line is
 * JSON.
 *
 * @returns the exit code: 1 when a request was lost, ran twice, or ran as a
 *   gang without some of its parts
 */
async function runLoad(running: RunningSystem): Promise<number> {
  const random = createRandom(seed);
  const load = generateDemoLoad(DEMO_LAYOUT, {
    durationMs: LOAD_DURATION_MS,
    random,
  });
  const processes = running.launcher.running().length;
  console.log(`${processes} processes are running, ${load.length} requests`);
  const startedAt = performance.now();
  const records = await Promise.all(load.map(async ({ atMs, request }) => {
    await pause(Math.max(0, atMs - (performance.now() - startedAt)));
    return await callWithRetries(request, {
      targets: () => liveTargets(running),
      timeoutMs: CALLER_TIMEOUT_MS,
      attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
      random,
    });
  }));
  await pause(JOURNAL_SETTLE_MS);
  const violations = audit(records, readJournal(running.journal));
  printTable(records);
  const { lost, doubled, partialGangs } = violations;
  console.log(JSON.stringify({
    ...countOutcomes(records),
    lost,
    doubled,
    partialGangs,
    processes,
    completionMs: measureCompletion(records),
  }));
  return lost + doubled + partialGangs === 0 ? 0 : 1;
}

/** Lists entries as a load balancer would: without those that have exited. */
function liveTargets(running: RunningSystem): string[] {
  const live = new Set(running.launcher.running().map(({ pid }) => pid));
  return running.entries.filter(({ pid }) => live.has(pid))
    .map(({ callers }) => callers);
}

function countOutcomes(records: readonly CallerRecord[]) {
  const count = (outcome: CallerRecord["outcome"]) =>
    records.filter((record) => record.outcome === outcome).length;
  return {
    requests: records.length,
    done: count("done"),
    failed: count("failed"),
    notRun: count("not-run"),
    unknown: count("unknown"),
  };
}

function measureCompletion(
  records: readonly CallerRecord[],
): Record<string, { p50: number; p99: number }> {
  const classes = [...new Set(records.map((record) => record.class))];
  return Object.fromEntries(classes.map((name) => {
    const histogram = build({ numberOfSignificantValueDigits: 3 });
    for (const record of records) {
      if (record.class !== name) continue;
      histogram.recordValue(Math.max(1, Math.round(record.completionMs)));
    }
    return [name, {
      p50: histogram.getValueAtPercentile(50),
      p99: histogram.getValueAtPercentile(99),
    }];
  }));
}

function printTable(records: readonly CallerRecord[]): void {
  const times = measureCompletion(records);
  const rows = Object.entries(times).map(([name, { p50, p99 }]) => {
    const recordsOfClass = records.filter((record) => record.class === name);
    return {
      class: name,
      ...countOutcomes(recordsOfClass),
      "p50 ms": p50,
      "p99 ms": p99,
    };
  });
  console.table(rows);
}
