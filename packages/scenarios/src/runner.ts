import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pause } from "@rattanhill/shared";
import {
  audit,
  type AuditResult,
  createRandom,
  type JournalLine,
  postJson,
  readJournal,
  startSystem,
  type SystemOptions,
} from "@rattanhill/standins";
import { cancelBatch, expectBatch, getBatch, submitBatch } from "./batches.ts";
import {
  checkConfigVersions,
  publish,
  waitForReadiness,
  waitForVersion,
} from "./config_steps.ts";
import { createNetwork } from "./network.ts";
import {
  freeze,
  restart,
  targetOf,
  thaw,
  waitForExit,
  waitUntil,
} from "./processes.ts";
import type { Run } from "./run_state.ts";
import type { Scenario, Step } from "./scenario_file.ts";
import { layoutOf } from "./scenario_layout.ts";

/** Result of one scenario. */
export interface ScenarioResult {
  scenario: string;
  passed: boolean;
  /** Descriptions of everything that was not as expected. */
  faults: string[];
  /**
   * Violations found by the audit, and the number of starts on workers after a
   * `noStarts` step named them. `configReversals` is always 0: reversals are
   * listed in `faults`.
   */
  audit: AuditResult & { startsAfterLeaving: number; configReversals: number };
  /** Figures that the steps measured. */
  figures: Record<string, number>;
  elapsedMs: number;
}

/** Options of {@link runScenario}. */
export interface RunOptions {
  seed: number;
  /** Whether to keep the directory with the logs when the scenario fails. */
  keepLogs?: boolean;
}

const VERSION_CHECK_INTERVAL_MS = 200;
// Wait before the audit, so that late events are in the journal.
const JOURNAL_SETTLE_MS = 500;
const NO_VIOLATIONS = {
  lost: 0,
  doubled: 0,
  partialGangs: 0,
  falseNotRun: 0,
  wrongAnswers: 0,
  startsAfterLeaving: 0,
  configReversals: 0,
};

/**
 * Runs a scenario over real processes. It passes when every step succeeds,
 * every expectation is met and the audit of the workers' journal finds no
 * violation.
 *
 * @param scenario the scenario
 * @param options seed of its random choices, and whether to keep its logs
 * @returns the result, also when a step failed
 */
export async function runScenario(
  scenario: Scenario,
  { seed, keepLogs = false }: RunOptions,
): Promise<ScenarioResult> {
  const startedAt = Date.now();
  const directory = mkdtempSync(join(tmpdir(), `rattanhill-${scenario.name}-`));
  const network = createNetwork();
  const layout = layoutOf(scenario);
  const systemOptions: SystemOptions = {
    layout,
    directory,
    timing: scenario.timing,
    retentionMs: scenario.retentionMs,
    translate: network.connect,
  };
  const system = await startSystem(systemOptions);
  const run: Run = {
    scenario,
    layout,
    system,
    systemOptions,
    network,
    random: createRandom(seed),
    batches: new Map(),
    frozen: [],
    workersWithoutStarts: [],
    versions: new Map(),
    failures: [],
    figures: {},
  };
  registerNodes(run);
  const versionCheck = setInterval(
    () => void checkConfigVersions(run),
    VERSION_CHECK_INTERVAL_MS,
  );
  const violations = { ...NO_VIOLATIONS };
  try {
    for (const step of scenario.steps) await performStep(run, step);
    Object.assign(violations, await auditRun(run));
  } catch (error) {
    // The steps after a failed one do not run.
    run.failures.push(String(error));
  } finally {
    clearInterval(versionCheck);
    for (const { signal } of run.frozen) signal("SIGCONT");
    network.heal();
    await system.stop();
    network.close();
  }
  for (const [name, value] of Object.entries(violations)) {
    if (value > 0) run.failures.push(`${name}: ${value}`);
  }
  const passed = run.failures.length === 0;
  if (passed || !keepLogs) rmSync(directory, { recursive: true });
  else run.failures.push(`logs are kept in ${directory}`);
  return {
    scenario: scenario.name,
    passed,
    faults: run.failures,
    audit: violations,
    figures: run.figures,
    elapsedMs: Date.now() - startedAt,
  };
}

async function auditRun(run: Run): Promise<Partial<typeof NO_VIOLATIONS>> {
  const records = await Promise.all(
    [...run.batches.values()].map((batch) => batch.records),
  );
  await pause(JOURNAL_SETTLE_MS);
  const journal = readJournal(run.system.journal);
  const startsAfterLeaving = run.workersWithoutStarts.reduce(
    (total, { worker, from }) =>
      total +
      journal.filter((line) =>
        line.event === "started" && line.worker === worker && line.time > from
      ).length,
    0,
  );
  return { ...audit(records.flat(), journal), startsAfterLeaving };
}

async function performStep(run: Run, step: Step): Promise<void> {
  if ("submit" in step) return submitBatch(run, step.submit);
  if ("pause" in step) return await pause(step.pause);
  if ("until" in step) return await waitForEvents(run, step.until);
  if ("answered" in step) {
    await getBatch(run, step.answered).records;
    return;
  }
  if ("kill" in step) return (await targetOf(run, step.kill)).signal("SIGKILL");
  if ("freeze" in step) return await freeze(run, step.freeze);
  if ("thaw" in step) return thaw(run);
  if ("stop" in step) return (await targetOf(run, step.stop)).signal("SIGTERM");
  if ("exited" in step) return await waitForExit(run, step);
  if ("restart" in step) return await restart(run, step.restart);
  if ("cut" in step) {
    const { from, to, oneWay } = step.cut;
    return run.network.cut(from, to, oneWay);
  }
  if ("heal" in step) return run.network.heal();
  if ("silence" in step) {
    return run.network.silence(step.silence.from, step.silence.to);
  }
  if ("platform" in step) {
    await postJson(
      `http://${run.system.platform.address}/faults`,
      step.platform,
    );
    return;
  }
  if ("worker" in step) {
    const { name, ...faults } = step.worker;
    const worker = run.system.workers.find((candidate) =>
      candidate.name === name
    );
    await postJson(`http://${worker?.address}/faults`, faults);
    return;
  }
  if ("cancel" in step) return await cancelBatch(run, step.cancel);
  if ("publish" in step) return await publish(run, step.publish.operators);
  if ("inForce" in step) return await waitForVersion(run, step.inForce);
  if ("ready" in step) return await waitForReadiness(run, step.ready);
  if ("noStarts" in step) {
    const from = Date.now();
    run.workersWithoutStarts.push({ worker: step.noStarts.worker, from });
    return;
  }
  await expectBatch(run, step.expect);
}

function registerNodes({ system, network }: Run): void {
  network.registerNode(system.platform.address, {
    kind: "platform",
    name: "platform",
    zone: "",
  });
  for (const { name, zone, address } of system.workers) {
    network.registerNode(address, { kind: "worker", name, zone });
  }
  for (const { name, zone, address } of system.entries) {
    network.registerNode(address, { kind: "entry", name, zone });
  }
}

async function waitForEvents(
  run: Run,
  expected: { batch: string; event: JournalLine["event"]; count: number },
): Promise<void> {
  const { keys } = getBatch(run, expected.batch);
  const hasEnoughEvents = () =>
    readJournal(run.system.journal).filter((line) =>
      line.event === expected.event && keys.has(line.key)
    ).length >= expected.count;
  await waitUntil(hasEnoughEvents, `${expected.count} times ${expected.event}`);
}
