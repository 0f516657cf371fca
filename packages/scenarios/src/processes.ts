import { pause } from "@rattanhill/shared";
import { type RunningEntry, startEntryProcess } from "@rattanhill/standins";
import { request } from "undici";
import type { Run } from "./run_state.ts";

// Time limit of a wait for which the step specifies none.
const DEFAULT_WAIT_MS = 30_000;
const POLL_INTERVAL_MS = 25;

/** A process that a step acts on. */
export interface Target {
  pid: number;
  exited: Promise<unknown>;
  signal(name: NodeJS.Signals): void;
}

/**
 * Finds the process that a target names: `entry NAME`, `worker NAME`,
 * `lead ZONE` for the zone's lead, or `other ZONE` for a live entry of the zone
 * that does not lead.
 *
 * @throws Error when no such process is known
 */
export async function targetOf(run: Run, target: string): Promise<Target> {
  const [kind, name] = target.split(" ");
  const { entries, workers } = run.system;
  const found = kind === "worker"
    ? workers.find((worker) => worker.name === name)?.process
    : (kind === "entry"
      ? entries.findLast((entry) => entry.name === name)
      : await findEntryByRole(run, name, kind === "lead"))?.process;
  if (found === undefined) throw new Error(`no process for ${target}`);
  return found;
}

/**
 * Queries a zone's live entries for the lead, and finds either the lead or an
 * entry that does not lead.
 */
async function findEntryByRole(
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

/** Lists entries whose process has neither exited nor been frozen. */
export function liveEntries({ system, frozen }: Run): RunningEntry[] {
  const live = new Set(system.launcher.running().map(({ pid }) => pid));
  return system.entries.filter((entry) =>
    live.has(entry.pid) && !frozen.includes(entry.process)
  );
}

/** Fetches JSON from a process; `undefined` without a response within 1 s. */
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

/** Suspends a process by SIGSTOP. */
export async function freeze(run: Run, target: string): Promise<void> {
  const found = await targetOf(run, target);
  found.signal("SIGSTOP");
  run.frozen.push(found);
}

/** Resumes all frozen processes. */
export function thaw(run: Run): void {
  for (const { signal } of run.frozen) signal("SIGCONT");
  run.frozen = [];
}

/** Waits until a process has exited and records how long it took. */
export async function waitForExit(
  run: Run,
  { exited, withinMs }: { exited: string; withinMs: number },
): Promise<void> {
  const [, name] = exited.split(" ");
  const hasExited = () =>
    !run.system.launcher.running().some((process) => process.name === name);
  const startedAt = Date.now();
  await waitUntil(hasExited, `exit of ${name}`, withinMs);
  run.figures[`exit of ${name} ms`] = Date.now() - startedAt;
}

/** Waits until an entry has exited and starts a new one at its address. */
export async function restart(run: Run, target: string): Promise<void> {
  const [, name] = target.split(" ");
  const { system, systemOptions } = run;
  const old = system.entries.find((entry) => entry.name === name);
  if (old === undefined) throw new Error(`no process for ${target}`);
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

/**
 * Polls until a condition is met.
 *
 * @param isMet the condition
 * @param what the expected event, for the error's message
 * @param withinMs time after which the wait fails
 * @throws Error when the condition was not met in time
 */
export async function waitUntil(
  isMet: () => boolean | Promise<boolean>,
  what: string,
  withinMs = DEFAULT_WAIT_MS,
): Promise<void> {
  const deadline = Date.now() + withinMs;
  while (!await isMet()) {
    if (Date.now() > deadline) throw new Error(`no ${what} in ${withinMs} ms`);
    await pause(POLL_INTERVAL_MS);
  }
}
