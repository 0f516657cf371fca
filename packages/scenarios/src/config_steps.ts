import {
  composeRules,
  publishRules,
  type RunningEntry,
} from "@rattanhill/standins";
import { getJson, liveEntries, waitUntil } from "./processes.ts";
import type { Run } from "./run_state.ts";

/** Operators race from the same version; the log must accept exactly one of them. */
export async function publish(run: Run, operators: number): Promise<void> {
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

/** Waits until entries have a version in force, and notes how long it took. */
export async function waitForVersion(
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
export async function watchVersions(run: Run): Promise<void> {
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

/** Waits until an entry tells the balancer what the step expects. */
export async function checkReady(
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
