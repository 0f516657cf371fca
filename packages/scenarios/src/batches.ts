import { createIdentifier, pause } from "@rattanhill/shared";
import { type CallerRecord, callUntilAnswered } from "@rattanhill/standins";
import { request } from "undici";
import { getJson, liveEntries } from "./processes.ts";
import type { Batch, Run } from "./run_state.ts";
import type { Expectation, Submit } from "./scenario_file.ts";

const PARTS_OF_CLASS: Readonly<Record<string, number>> = { venue: 4, dawn: 2 };

/** Submits a batch; its callers retry until they are answered. */
export function submit(run: Run, wanted: Submit): void {
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

function defaultParts(requestClass: string): number | undefined {
  return PARTS_OF_CLASS[requestClass];
}

/** @returns the batch of that name, or throws when no step submitted it */
export function batchOf(run: Run, name: string): Batch {
  const batch = run.batches.get(name);
  if (batch === undefined) throw new Error(`no batch ${name}`);
  return batch;
}

/** Waits for all answers of a batch and compares them with the expectation. */
export async function expectBatch(
  run: Run,
  wanted: Expectation,
): Promise<void> {
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

/** Cancels every request of a batch that is in progress. */
export async function cancelBatch(run: Run, name: string): Promise<void> {
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
