import { pause } from "@rattanhill/shared";
import { type RunningEntry, startEntryProcess } from "@rattanhill/standins";
import { request } from "undici";
import type { Run } from "./run_state.ts";

const EVENT_TIMEOUT_MS = 30_000;
const POLL_MS = 25;

/** A process that a step acts on. */
export interface Target {
  pid: number;
  exited: Promise<unknown>;
  signal(name: NodeJS.Signals): void;
}

/** Targets: `entry NAME`, `worker NAME`, `lead ZONE`, `other ZONE` (an entry of the zone that does not lead). */
export async function find(run: Run, target: string): Promise<Target> {
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

/** @returns entries whose process neither ended nor is frozen */
export function liveEntries({ system, frozen }: Run): RunningEntry[] {
  const live = new Set(system.launcher.running().map(({ pid }) => pid));
  return system.entries.filter((entry) =>
    live.has(entry.pid) && !frozen.includes(entry.process)
  );
}

/** Asks a process for JSON; nothing when it does not answer in time. */
export async function getJson(
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

/** Pauses a process as a whole. */
export async function freeze(run: Run, target: string): Promise<void> {
  const found = await find(run, target);
  found.signal("SIGSTOP");
  run.frozen.push(found);
}

/** Lets all paused processes go on. */
export function thaw(run: Run): void {
  for (const { signal } of run.frozen) signal("SIGCONT");
  run.frozen = [];
}

/** Waits until a process has ended. */
export async function waitForExit(
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

/** Replaces an entry that ended by a new one at the same address. */
export async function restart(run: Run, target: string): Promise<void> {
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

/** Waits until something is there, or throws after the time. */
export async function waitUntil(
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
