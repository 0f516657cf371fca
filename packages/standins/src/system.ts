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

/** A started entry. */
export interface RunningEntry {
  name: string;
  zone: string;
  pid: number;
  /** Address for other entries. */
  address: string;
  /** Base address of the callers' interface. */
  callers: string;
  /** Base address of the operators' interface. */
  operators: string;
  process: LaunchedProcess;
}

/** A started worker. */
export interface RunningWorkerProcess {
  name: string;
  zone: string;
  rack: string;
  pid: number;
  address: string;
  process: LaunchedProcess;
}

/** A started system. */
export interface RunningSystem {
  entries: RunningEntry[];
  workers: RunningWorkerProcess[];
  platform: { address: string; process: LaunchedProcess };
  /** Addresses at which entries reach each other. */
  peers: readonly string[];
  /** File with the workers' journal. */
  journal: string;
  launcher: Launcher;
  stop(): Promise<void>;
}

/** Where an entry runs and whom it has to know. */
export interface EntryPlace {
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
  /** Folder for settings, logs and the journal. */
  directory: string;
  /** Changes to the time limits of every entry. */
  timing?: Record<string, number>;
  /** Gives addresses that an entry uses in place of others, by those others. */
  translate?(
    entry: EntryPlace,
    targets: readonly string[],
  ): Promise<Record<string, string>>;
  /** Time for which the platform keeps records. */
  retentionMs?: number;
  /** Starts at the same time. */
  parallel?: number;
  /** Whether rules are published at start. */
  publish?: boolean;
}

/**
 * Starts a whole system as separate processes on loopback.
 *
 * @param options layout and folder
 * @returns the system, once every entry is ready
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
 * Publishes rules straight on the platform's log.
 *
 * @param platform address of the platform
 * @param text the rules file
 * @param base version the text was made from
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
 * Sends a JSON body.
 *
 * @param url where to
 * @param body the value
 * @returns status and parsed body
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
 * Starts one more worker and enters it into the platform's list.
 *
 * @param launcher starts the process
 * @param place name, zone and rack
 * @param context addresses that it needs
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
  await listVm(platform, vm, started);
  return { name, zone, rack, pid: started.pid, address, process: started };
}

/** The platform lists a VM from its start until its end. */
async function listVm(
  platform: string,
  vm: Omit<VmInfo, "state">,
  process: LaunchedProcess,
): Promise<void> {
  await postJson(`http://${platform}/vms`, { ...vm, state: "live" });
  void process.exited.then(async () => {
    const path = `http://${platform}/vms/${vm.name}`;
    const response = await request(path, { method: "DELETE" });
    await response.body.dump();
  }).catch(() => {}); // the platform may have ended first
}

async function startWorkers(
  launcher: Launcher,
  layout: SystemLayout,
  context: { platform: string; journal: string },
): Promise<RunningWorkerProcess[]> {
  const places = layout.zones.flatMap(({ name: zone, workers }) =>
    Array.from({ length: workers }, (_, index) => ({
      zone,
      rack: `${zone}-r${Math.floor(index / WORKERS_PER_RACK) + 1}`,
      name: `${zone}-w${String(index + 1).padStart(2, "0")}`,
    }))
  );
  return await Promise.all(
    places.map((place) => startWorkerProcess(launcher, place, context)),
  );
}

async function startEntries(
  launcher: Launcher,
  options: SystemOptions,
  { platform, workers }: { platform: string; workers: readonly string[] },
): Promise<{ entries: RunningEntry[]; peers: string[] }> {
  const places = options.layout.zones.flatMap(({ name: zone, entries }) =>
    Array.from({ length: entries }, (_, index) => ({
      zone,
      name: `${zone}-e${index + 1}`,
    }))
  );
  const ports = await findFreePorts(places.length);
  const peers = ports.map((port) => `127.0.0.1:${port}`);
  const entries = await Promise.all(
    places.map((place, index) =>
      startEntryProcess(launcher, options, {
        ...place,
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
 * @param options of the system
 * @param place name, zone and addresses
 * @returns the entry
 */
export async function startEntryProcess(
  launcher: Launcher,
  options: SystemOptions,
  place: EntryPlace,
): Promise<RunningEntry> {
  const { name, zone, platform, peers, address, workers } = place;
  const others = peers.filter((peer) => peer !== address);
  const targets = [...others, platform, ...workers];
  const translate = await options.translate?.(place, targets) ?? {};
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
  await listVm(platform, { kind: "entry", name, address, zone }, started);
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
 * Waits until an entry tells the balancer that it is ready.
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

/** One line of the workers' journal. */
export interface JournalLine {
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
 * Reads the workers' journal.
 *
 * @param file path of the journal
 * @returns its lines
 */
export function readJournal(file: string): JournalLine[] {
  return readFileSync(file, "utf8").split("\n")
    .filter((line) => line !== "")
    .map((line) => JSON.parse(line));
}
