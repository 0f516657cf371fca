import {
  composeRules,
  publishRules,
  type RunningEntry,
} from "@rattanhill/standins";
import { getJson, liveEntries, waitUntil } from "./processes.ts";
import type { Run } from "./run_state.ts";

/**
 * Publishes rules as several operators at once, all based on the version in
 * force. Exactly one of the records must be accepted.
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
 * Waits until a version is in force at the given entries, or at all live ones,
 * and records how long it took.
 */
export async function waitForVersion(
  run: Run,
  expected: { version: number; withinMs: number; entries?: string[] },
): Promise<void> {
  const entries = liveEntries(run).filter(({ name }) =>
    expected.entries?.includes(name) ?? true
  );
  const startedAt = Date.now();
  await waitUntil(
    async () => {
      const versions = await Promise.all(entries.map(readVersion));
      return versions.every((version) => version === expected.version);
    },
    `version ${expected.version} at ${entries.map(({ name }) => name)}`,
    expected.withinMs,
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

/** Waits until an entry's readiness, by `/readyz`, is as expected. */
export async function waitForReadiness(
  run: Run,
  expected: { entry: string; is: boolean },
): Promise<void> {
  const entry = run.system.entries.find(({ name }) => name === expected.entry);
  const hasExpectedReadiness = async () => {
    const body = await getJson(`${entry?.operators}/readyz`);
    return (body?.status === "ready") === expected.is;
  };
  await waitUntil(
    hasExpectedReadiness,
    `readiness ${expected.is} of ${expected.entry}`,
  );
}
