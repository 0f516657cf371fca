import { readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { createIdentifier, pause } from "@rattanhill/shared";
import { encodeRecord, Streams, type VmInfo } from "@rattanhill/protocol";
import { request } from "undici";
import {
  createLauncher,
  findFreePorts,
  type LaunchedProcess,
  type Launcher,
  Program,
  writeSettings,
} from "./launcher.ts";
import {
  composeRules,
  type SystemLayout,
  WORKERS_PER_RACK,
} from "./system_layout.ts";

/** An entry that runs as a process of its own. */
export interface RunningEntry {
  name: string;
  zone: string;
  pid: number;
  /** Address for other entries. */
  address: string;
  /** Base URL of the callers' interface. */
  callers: string;
  /** Base URL of the operators' interface. */
  operators: string;
  process: LaunchedProcess;
}

/** A worker stand-in that runs as a process of its own. */
export interface RunningWorkerProcess {
  name: string;
  zone: string;
  rack: string;
  pid: number;
  address: string;
  process: LaunchedProcess;
}

/** A whole system of entries, workers and the platform, one process each. */
export interface RunningSystem {
  entries: RunningEntry[];
  workers: RunningWorkerProcess[];
  platform: { address: string; process: LaunchedProcess };
  /** Addresses at which entries reach each other. */
  peers: readonly string[];
  /** Path of the journal that all workers append to. */
  journal: string;
  launcher: Launcher;
  /** Ends all processes, and resolves once they have exited. */
  stop(): Promise<void>;
}

/** Identity of an entry, and the addresses that it uses. */
export interface EntryConfig {
  name: string;
  zone: string;
  /** Address for other entries. */
  address: string;
  /** Addresses of all entries. */
  peers: readonly string[];
  platform: string;
  /** Addresses of all workers. */
  workers: readonly string[];
}

/** Options of {@link startSystem}. */
export interface SystemOptions {
  layout: SystemLayout;
  /** Directory for settings, logs and the journal. */
  directory: string;
  /** Overrides of the timing settings of every entry, by their names. */
  timing?: Record<string, number>;
  /**
   * Maps target addresses to the addresses that an entry uses in their place,
   * such as those of relays.
   */
  translate?(
    entry: EntryConfig,
    targets: readonly string[],
  ): Promise<Record<string, string>>;
  /** Time for which the platform's log keeps a record; 1 h by default. */
  retentionMs?: number;
  /** Has no effect: all processes of a kind start at the same time. */
  parallel?: number;
  /**
   * Whether to publish the rules and wait until every entry is ready; true by
   * default.
   */
  publish?: boolean;
}

/**
 * Starts a whole system as separate processes on loopback.
 *
 * @param options layout, directory and overrides
 * @returns the system, with every entry ready unless `publish` is false
 */
export async function startSystem(
  options: SystemOptions,
): Promise<RunningSystem> {
  const { layout, directory } = options;
  const launcher = createLauncher(directory);
  const journal = join(directory, "journal.jsonl");
  writeFileSync(journal, "");
  const platformProcess = await launcher.launch("platform", Program.platform, [
    "--retention",
    String(options.retentionMs ?? 3_600_000),
  ]);
  const platform = String(platformProcess.ready.address);
  const workers = await startWorkers(launcher, layout, { platform, journal });
  const workerAddresses = workers.map(({ address }) => address);
  const { entries, peers } = await startEntries(launcher, options, {
    platform,
    workers: workerAddresses,
  });
  if (options.publish !== false) {
    await publishRules(platform, composeRules(layout), 0);
    await Promise.all(entries.map(waitUntilReady));
  }
  return {
    entries,
    workers,
    platform: { address: platform, process: platformProcess },
    peers,
    journal,
    launcher,
    stop: () => launcher.stopAll(),
  };
}

/**
 * Publishes rules by appending them to the platform's log directly.
 *
 * @param platform address of the platform
 * @param text the rules file
 * @param base configuration version that the text is based on
 */
export async function publishRules(
  platform: string,
  text: string,
  base: number,
): Promise<void> {
  const record = encodeRecord({
    kind: "rules",
    id: createIdentifier(),
    base,
    text,
    author: "launcher",
  });
  await postJson(`http://${platform}/log/${Streams.config}`, {
    records: [record],
  });
}

/**
 * Posts a JSON body.
 *
 * @param url address to post to
 * @param body value to send as JSON
 * @returns status and parsed JSON body of the response
 */
export async function postJson(
  url: string,
  body: unknown,
): Promise<{ status: number; body: unknown }> {
  const response = await request(url, {
    method: "POST",
    body: JSON.stringify(body),
    headers: { "content-type": "application/json" },
  });
  return { status: response.statusCode, body: await response.body.json() };
}

/**
 * Starts a worker and registers its VM with the platform.
 *
 * @param launcher starts the process
 * @param identity name, zone and rack of the worker
 * @param context address of the platform and path of the journal
 * @returns the worker
 */
export async function startWorkerProcess(
  launcher: Launcher,
  { name, zone, rack }: { name: string; zone: string; rack: string },
  { platform, journal }: { platform: string; journal: string },
): Promise<RunningWorkerProcess> {
  const args = ["--name", name, "--zone", zone, "--rack", rack];
  const started = await launcher.launch(name, Program.worker, [
    ...args,
    "--journal",
    journal,
  ]);
  const address = String(started.ready.address);
  const vm = { kind: "worker", name, address, zone, rack } as const;
  await registerVm(platform, vm, started);
  return { name, zone, rack, pid: started.pid, address, process: started };
}

/** Registers a VM with the platform until its process exits. */
async function registerVm(
  platform: string,
  vm: Omit<VmInfo, "state">,
  process: LaunchedProcess,
): Promise<void> {
  await postJson(`http://${platform}/vms`, { ...vm, state: "live" });
  void process.exited.then(async () => {
    const path = `http://${platform}/vms/${vm.name}`;
    const response = await request(path, { method: "DELETE" });
    await response.body.dump();
  }).catch(() => {
    // The platform may have exited before.
  });
}

async function startWorkers(
  launcher: Launcher,
  layout: SystemLayout,
  context: { platform: string; journal: string },
): Promise<RunningWorkerProcess[]> {
  const identities = layout.zones.flatMap(({ name: zone, workers }) =>
    Array.from({ length: workers }, (_, index) => ({
      zone,
      rack: `${zone}-r${Math.floor(index / WORKERS_PER_RACK) + 1}`,
      name: `${zone}-w${String(index + 1).padStart(2, "0")}`,
    }))
  );
  return await Promise.all(
    identities.map((identity) =>
      startWorkerProcess(launcher, identity, context)
    ),
  );
}

async function startEntries(
  launcher: Launcher,
  options: SystemOptions,
  { platform, workers }: { platform: string; workers: readonly string[] },
): Promise<{ entries: RunningEntry[]; peers: string[] }> {
  const identities = options.layout.zones.flatMap(({ name: zone, entries }) =>
    Array.from({ length: entries }, (_, index) => ({
      zone,
      name: `${zone}-e${index + 1}`,
    }))
  );
  const ports = await findFreePorts(identities.length);
  const peers = ports.map((port) => `127.0.0.1:${port}`);
  const entries = await Promise.all(
    identities.map((identity, index) =>
      startEntryProcess(launcher, options, {
        ...identity,
        platform,
        peers,
        workers,
        address: peers[index],
      })
    ),
  );
  return { entries, peers };
}

/**
 * Starts one entry.
 *
 * @param launcher starts the process
 * @param options options of the system: directory, timing and `translate`
 * @param config name, zone and addresses of the entry
 * @returns the entry, which may not be ready yet
 */
export async function startEntryProcess(
  launcher: Launcher,
  options: SystemOptions,
  config: EntryConfig,
): Promise<RunningEntry> {
  const { name, zone, platform, peers, address, workers } = config;
  const others = peers.filter((peer) => peer !== address);
  const targets = [...others, platform, ...workers];
  const translate = await options.translate?.(config, targets) ?? {};
  const file = writeSettings(options.directory, name, {
    name,
    zone,
    host: "127.0.0.1",
    ports: {
      callers: 0,
      operators: 0,
      peers: Number(address.split(":")[1]),
    },
    platform: { address: platform },
    peers: others,
    translate,
    timing: options.timing ?? {},
  });
  const started = await launcher.launch(name, Program.entry, [
    "--settings",
    file,
  ]);
  await registerVm(platform, { kind: "entry", name, address, zone }, started);
  return {
    name,
    zone,
    pid: started.pid,
    address,
    callers: `http://127.0.0.1:${started.ready.callers}`,
    operators: `http://127.0.0.1:${started.ready.operators}`,
    process: started,
  };
}

/**
 * Waits, without a time limit, until an entry reports itself ready to the load
 * balancer.
 *
 * @param entry the entry
 */
export async function waitUntilReady(entry: RunningEntry): Promise<void> {
  for (;;) {
    const response = await request(`${entry.operators}/readyz`);
    await response.body.dump();
    if (response.statusCode === 200) return;
    await pause(50);
  }
}

/** One line of the workers' journal: an event of one part of a request. */
export interface JournalLine {
  /** Wall-clock time of the event in milliseconds. */
  time: number;
  worker: string;
  event: "started" | "ended" | "stopped";
  request: string;
  key: string;
  attempt: number;
  part: number;
  parts: number;
  account: string;
  repeatable: boolean;
  lease: string;
  reason: string;
}

/**
 * Reads the workers' journal. A last line without its line break is left out: a
 * worker is still appending it, and a later read returns it.
 *
 * @param file path of the journal
 * @returns its lines, in the order in which they were appended
 */
export function readJournal(file: string): JournalLine[] {
  const lines = readFileSync(file, "utf8").split("\n").slice(0, -1);
  return lines.map((line) => JSON.parse(line));
}
