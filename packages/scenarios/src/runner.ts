import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createIdentifier, pause } from "@rattanhill/shared";
import {
  audit,
  type AuditResult,
  type CallerRecord,
  callUntilAnswered,
  composeRules,
  createRandom,
  type JournalLine,
  postJson,
  publishRules,
  readJournal,
  type RunningEntry,
  type RunningSystem,
  startEntryProcess,
  startSystem,
  type SystemLayout,
  type SystemOptions,
} from "@rattanhill/standins";
import { request } from "undici";
import { createNetwork, type Network } from "./network.ts";
import type { Expectation, Scenario, Step, Submit } from "./scenario_file.ts";
import { layoutOf } from "./scenario_layout.ts";

/** Verdict over one scenario. */
export interface ScenarioResult {
  scenario: string;
  passed: boolean;
  /** Everything that was not as expected. */
  faults: string[];
  audit: AuditResult & { startsAfterLeaving: number; configReversals: number };
  /** Figures that the steps measured. */
  figures: Record<string, number>;
  elapsedMs: number;
}

/** Options of {@link runScenario}. */
export interface RunOptions {
  seed: number;
  /** Keeps the folder with logs when the scenario fails. */
  keepLogs?: boolean;
}

interface Batch {
  submit: Submit;
  keys: Set<string>;
  records: Promise<CallerRecord[]>;
}

interface Run {
  scenario: Scenario;
  layout: SystemLayout;
  system: RunningSystem;
  systemOptions: SystemOptions;
  network: Network;
  random(): number;
  batches: Map<string, Batch>;
  frozen: { signal(name: NodeJS.Signals): void }[];
  leftWorkers: { worker: string; from: number }[];
  versions: Map<number, number>;
  faults: string[];
  figures: Record<string, number>;
}

const EVENT_TIMEOUT_MS = 30_000;
const POLL_MS = 25;
const WATCH_MS = 200;
const SETTLE_MS = 500;
const NO_FAULTS = {
  lost: 0,
  doubled: 0,
  partialGangs: 0,
  falseNotRun: 0,
  wrongAnswers: 0,
  startsAfterLeaving: 0,
  configReversals: 0,
};

/**
 * Runs a scenario over real processes and judges it by the workers' journal.
 *
 * @param scenario the scenario
 * @param options seed of its random choices
 * @returns the verdict
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
    leftWorkers: [],
    versions: new Map(),
    faults: [],
    figures: {},
  };
  nameEnds(run);
  const watch = setInterval(() => void watchVersions(run), WATCH_MS);
  const counts = { ...NO_FAULTS };
  try {
    for (const step of scenario.steps) await perform(run, step);
    Object.assign(counts, await judge(run));
  } catch (error) {
    run.faults.push(String(error));
  } finally {
    clearInterval(watch);
    for (const { signal } of run.frozen) signal("SIGCONT");
    network.heal();
    await system.stop();
    network.close();
  }
  for (const [name, value] of Object.entries(counts)) {
    if (value > 0) run.faults.push(`${name}: ${value}`);
  }
  const passed = run.faults.length === 0;
  if (passed || !keepLogs) rmSync(directory, { recursive: true });
  else run.faults.push(`logs are kept in ${directory}`);
  return {
    scenario: scenario.name,
    passed,
    faults: run.faults,
    audit: counts,
    figures: run.figures,
    elapsedMs: Date.now() - startedAt,
  };
}

async function judge(run: Run): Promise<Partial<typeof NO_FAULTS>> {
  const records = await Promise.all(
    [...run.batches.values()].map((batch) => batch.records),
  );
  await pause(SETTLE_MS);
  const journal = readJournal(run.system.journal);
  const startsAfterLeaving = run.leftWorkers.reduce(
    (total, { worker, from }) =>
      total +
      journal.filter((line) =>
        line.event === "started" && line.worker === worker && line.time > from
      ).length,
    0,
  );
  return { ...audit(records.flat(), journal), startsAfterLeaving };
}

async function perform(run: Run, step: Step): Promise<void> {
  if ("submit" in step) return submit(run, step.submit);
  if ("pause" in step) return await pause(step.pause);
  if ("until" in step) return await waitForEvents(run, step.until);
  if ("answered" in step) {
    await batchOf(run, step.answered).records;
    return;
  }
  if ("kill" in step) return (await find(run, step.kill)).signal("SIGKILL");
  if ("freeze" in step) return await freeze(run, step.freeze);
  if ("thaw" in step) return thaw(run);
  if ("stop" in step) return (await find(run, step.stop)).signal("SIGTERM");
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
    const worker = run.system.workers.find((known) => known.name === name);
    await postJson(`http://${worker?.address}/faults`, faults);
    return;
  }
  if ("cancel" in step) return await cancelBatch(run, step.cancel);
  if ("publish" in step) return await publish(run, step.publish.operators);
  if ("inForce" in step) return await waitForVersion(run, step.inForce);
  if ("ready" in step) return await checkReady(run, step.ready);
  if ("noStarts" in step) {
    const from = Date.now();
    run.leftWorkers.push({ worker: step.noStarts.worker, from });
    return;
  }
  await expectBatch(run, step.expect);
}

function nameEnds({ system, network }: Run): void {
  network.name(system.platform.address, {
    kind: "platform",
    name: "platform",
    zone: "",
  });
  for (const { name, zone, address } of system.workers) {
    network.name(address, { kind: "worker", name, zone });
  }
  for (const { name, zone, address } of system.entries) {
    network.name(address, { kind: "entry", name, zone });
  }
}

function submit(run: Run, wanted: Submit): void {
  const account = run.layout.accounts.find(({ name }) =>
    name === wanted.account
  );
  const keys = new Set<string>();
  const records = Array.from({ length: wanted.count }, async (_, index) => {
    const [low, high] = wanted.runMs;
    const runMs = Math.round(low + run.random() * (high - low));
    const atMs = Math.round(wanted.overMs * run.random());
    await pause(atMs);
    const key = createIdentifier();
    keys.add(key);
    const copies = Array.from(
      { length: wanted.copies },
      (_, copy) =>
        callUntilAnswered({
          bearer: account?.key ?? "",
          class: wanted.class,
          parts: wanted.parts ?? defaultParts(wanted.class),
          accelerators: wanted.accelerators,
          adjacent: wanted.adjacent,
          repeatable: wanted.repeatable,
          payload: { runMs, note: `${wanted.batch} ${index}` },
          expectedMs: Math.max(1, runMs),
          deadlineMs: wanted.deadlineMs,
          key,
          isAsync: wanted.async,
        }, {
          targets: () => targetsOf(run, wanted, copy),
          patienceMs: wanted.patienceMs,
          tryMs: wanted.tryMs,
          random: run.random,
          retryNotRun: wanted.retryNotRun,
        }),
    );
    return await Promise.all(copies);
  });
  run.batches.set(wanted.batch, {
    submit: wanted,
    keys,
    records: Promise.all(records).then((found) => found.flat()),
  });
}

/** Copies of one request go to different entries. */
function targetsOf(run: Run, wanted: Submit, copy: number): string[] {
  const live = new Set(run.system.launcher.running().map(({ pid }) => pid));
  const usable = run.system.entries.filter(({ pid, name }) =>
    live.has(pid) && (wanted.through?.includes(name) ?? true)
  );
  if (wanted.copies === 1 || usable.length === 0) {
    return usable.map(({ callers }) => callers);
  }
  return [usable[copy % usable.length].callers];
}

const PARTS_OF_CLASS: Readonly<Record<string, number>> = { venue: 4, dawn: 2 };

function defaultParts(requestClass: string): number | undefined {
  return PARTS_OF_CLASS[requestClass];
}

function batchOf(run: Run, name: string): Batch {
  const batch = run.batches.get(name);
  if (batch === undefined) throw new Error(`no batch ${name}`);
  return batch;
}

async function waitForEvents(
  run: Run,
  wanted: { batch: string; event: JournalLine["event"]; count: number },
): Promise<void> {
  const { keys } = batchOf(run, wanted.batch);
  const isThere = () =>
    readJournal(run.system.journal).filter((line) =>
      line.event === wanted.event && keys.has(line.key)
    ).length >= wanted.count;
  await waitUntil(isThere, `${wanted.count} times ${wanted.event}`);
}

async function waitUntil(
  isThere: () => boolean | Promise<boolean>,
  what: string,
  withinMs = EVENT_TIMEOUT_MS,
): Promise<void> {
  const until = Date.now() + withinMs;
  while (!await isThere()) {
    if (Date.now() > until) throw new Error(`no ${what} in ${withinMs} ms`);
    await pause(POLL_MS);
  }
}

interface Target {
  pid: number;
  exited: Promise<unknown>;
  signal(name: NodeJS.Signals): void;
}

/** Targets: `entry NAME`, `worker NAME`, `lead ZONE`, `other ZONE` (an entry of the zone that does not lead). */
async function find(run: Run, target: string): Promise<Target> {
  const [kind, name] = target.split(" ");
  const { entries, workers } = run.system;
  const found = kind === "worker"
    ? workers.find((worker) => worker.name === name)?.process
    : (kind === "entry"
      ? entries.findLast((entry) => entry.name === name)
      : await findLead(run, name, kind === "lead"))?.process;
  if (found === undefined) throw new Error(`no ${target}`);
  return found;
}

async function findLead(
  run: Run,
  zone: string,
  isLead: boolean,
): Promise<RunningEntry | undefined> {
  const live = liveEntries(run).filter((entry) => entry.zone === zone);
  for (const entry of live) {
    const status = await getJson(`${entry.operators}/status`);
    const lead = live.find(({ name }) => name === status?.lead);
    if (lead === undefined) continue;
    return isLead ? lead : live.find((other) => other !== lead);
  }
  return undefined;
}

function liveEntries({ system, frozen }: Run): RunningEntry[] {
  const live = new Set(system.launcher.running().map(({ pid }) => pid));
  return system.entries.filter((entry) =>
    live.has(entry.pid) && !frozen.includes(entry.process)
  );
}

async function getJson(
  url: string,
): Promise<Record<string, unknown> | undefined> {
  try {
    const signal = AbortSignal.timeout(1_000);
    const response = await request(url, { signal });
    return await response.body.json() as Record<string, unknown>;
  } catch {
    return undefined;
  }
}

async function freeze(run: Run, target: string): Promise<void> {
  const found = await find(run, target);
  found.signal("SIGSTOP");
  run.frozen.push(found);
}

function thaw(run: Run): void {
  for (const { signal } of run.frozen) signal("SIGCONT");
  run.frozen = [];
}

async function waitForExit(
  run: Run,
  { exited, withinMs }: { exited: string; withinMs: number },
): Promise<void> {
  const [, name] = exited.split(" ");
  const isGone = () =>
    !run.system.launcher.running().some((process) => process.name === name);
  const startedAt = Date.now();
  await waitUntil(isGone, `exit of ${name}`, withinMs);
  run.figures[`exit of ${name} ms`] = Date.now() - startedAt;
}

async function restart(run: Run, target: string): Promise<void> {
  const [, name] = target.split(" ");
  const { system, systemOptions } = run;
  const old = system.entries.find((entry) => entry.name === name);
  if (old === undefined) throw new Error(`no ${target}`);
  await old.process.exited;
  const started = await startEntryProcess(system.launcher, systemOptions, {
    name,
    zone: old.zone,
    address: old.address,
    peers: system.peers,
    platform: system.platform.address,
    workers: system.workers.map(({ address }) => address),
  });
  system.entries.push(started);
  system.entries.splice(system.entries.indexOf(old), 1);
}

async function cancelBatch(run: Run, name: string): Promise<void> {
  const { keys, submit: wanted } = batchOf(run, name);
  const bearer = run.layout.accounts.find((account) =>
    account.name === wanted.account
  )?.key;
  const states = await Promise.all(
    liveEntries(run).map(async (entry) => ({
      entry,
      state: await getJson(`${entry.operators}/debug/state`),
    })),
  );
  const cancels = states.flatMap(({ entry, state }) =>
    (state?.requests as { id: string; key: string }[] ?? [])
      .filter(({ key }) => keys.has(key))
      .map(async ({ id }) => {
        const response = await request(`${entry.callers}/v1/requests/${id}`, {
          method: "DELETE",
          headers: { authorization: `Bearer ${bearer}` },
        });
        await response.body.dump();
      })
  );
  await Promise.all(cancels);
}

/** Operators race from the same version; the log must accept exactly one of them. */
async function publish(run: Run, operators: number): Promise<void> {
  const platform = run.system.platform.address;
  const versions = await Promise.all(liveEntries(run).map(readVersion));
  const base = Math.max(...versions.map((version) => version ?? 0));
  const text = composeRules(run.layout);
  await Promise.all(
    Array.from({ length: operators }, (_, index) =>
      publishRules(
        platform,
        `${text}# edition ${base + 1} of operator ${index}\n`,
        base,
      )),
  );
}

async function waitForVersion(
  run: Run,
  wanted: { version: number; withinMs: number; entries?: string[] },
): Promise<void> {
  const entries = liveEntries(run).filter(({ name }) =>
    wanted.entries?.includes(name) ?? true
  );
  const startedAt = Date.now();
  await waitUntil(
    async () => {
      const versions = await Promise.all(entries.map(readVersion));
      return versions.every((version) => version === wanted.version);
    },
    `version ${wanted.version} at ${entries.map(({ name }) => name)}`,
    wanted.withinMs,
  );
  run.figures["config spread ms"] = Date.now() - startedAt;
}

async function readVersion(entry: RunningEntry): Promise<number | undefined> {
  const health = await getJson(`${entry.operators}/healthz`);
  return health?.configVersion as number | undefined;
}

/** A version that goes down within one process is a reversal. */
async function watchVersions(run: Run): Promise<void> {
  await Promise.all(
    liveEntries(run).map(async (entry) => {
      const version = await readVersion(entry);
      if (version === undefined) return;
      const before = run.versions.get(entry.pid) ?? 0;
      if (version < before) {
        run.faults.push(`${entry.name} went from ${before} to ${version}`);
      }
      run.versions.set(entry.pid, Math.max(before, version));
    }),
  );
}

async function checkReady(
  run: Run,
  wanted: { entry: string; is: boolean },
): Promise<void> {
  const entry = run.system.entries.find(({ name }) => name === wanted.entry);
  const isAsWanted = async () => {
    const answer = await getJson(`${entry?.operators}/readyz`);
    return (answer?.status === "ready") === wanted.is;
  };
  await waitUntil(isAsWanted, `readiness ${wanted.is} of ${wanted.entry}`);
}

async function expectBatch(run: Run, wanted: Expectation): Promise<void> {
  const records = await batchOf(run, wanted.batch).records;
  const count = (outcome: CallerRecord["outcome"]) =>
    records.filter((record) => record.outcome === outcome).length;
  const times = records.map(({ completionMs }) => Math.round(completionMs));
  const found = {
    done: count("done"),
    failed: count("failed"),
    notRun: count("not-run"),
    unknown: count("unknown"),
    slowestMs: Math.max(...times),
    fastestMs: Math.min(...times),
  };
  run.figures[`${wanted.batch} slowest ms`] = found.slowestMs;
  run.figures[`${wanted.batch} not done`] = records.length - found.done;
  const others = records.filter(({ outcome }) => outcome !== "done").slice(0, 3)
    .map(({ key, outcome, status }) => `${key} ${outcome} ${status}`);
  const fault = (what: string) =>
    run.faults.push(
      `${wanted.batch}: ${what} (${JSON.stringify(found)}) ${
        others.join(", ")
      }`,
    );
  for (const name of ["done", "failed", "notRun", "unknown"] as const) {
    if ((wanted[name] ?? found[name]) !== found[name]) {
      fault(`${name} is ${found[name]}, expected ${wanted[name]}`);
    }
  }
  if (found.done < (wanted.doneAtLeast ?? 0)) fault("too few done");
  if (found.notRun < (wanted.notRunAtLeast ?? 0)) fault("too few not run");
  if (found.slowestMs > (wanted.slowestMs ?? Infinity)) fault("too slow");
  if (found.fastestMs > (wanted.fastestMs ?? Infinity)) fault("too slow");
}
