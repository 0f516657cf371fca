import {
  composeRules,
  publishRules,
  type RunningEntry,
} from "@rattanhill/standins";
import { getJson, liveEntries, waitUntil } from "./processes.ts";
import type { Run } from "./run_state.ts";

/**
 * Publishes rules as several operators at once, all from the version in force.
 * The log must accept exactly one of the records.
 */
export async function publish(
  run: Run,
  operators: number,
): Promise<void> {
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

/**
 * Waits until the given entries, or all live ones, have a version in force, and
 * records how long it took.
 */
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

/**
 * Reads the version in force at every live entry. A version lower than one that
 * the same process reported before is a fault.
 */
export async function checkConfigVersions(run: Run): Promise<void> {
  await Promise.all(
    liveEntries(run).map(async (entry) => {
      const version = await readVersion(entry);
      if (version === undefined) return;
      const before = run.versions.get(entry.pid) ?? 0;
      if (version < before) {
        run.failures.push(
          `${entry.name} reverted config version ${before} to ${version}`,
        );
      }
      run.versions.set(entry.pid, Math.max(before, version));
    }),
  );
}

/** Waits until an entry's answer to `/readyz` is as the step expects. */
export async function waitForReadiness(
  run: Run,
  wanted: { entry: string; is: boolean },
): Promise<void> {
  const entry = run.system.entries.find(({ name }) => name === wanted.entry);
  const hasWantedReadiness = async () => {
    const answer = await getJson(`${entry?.operators}/readyz`);
    return (answer?.status === "ready") === wanted.is;
  };
  await waitUntil(
    hasWantedReadiness,
    `readiness ${wanted.is} of ${wanted.entry}`,
  );
}
