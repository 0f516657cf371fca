import { createIdentifier, pause } from "@rattanhill/shared";
import { type CallerRecord, callWithRetries } from "@rattanhill/standins";
import { request } from "undici";
import { getJson, liveEntries } from "./processes.ts";
import type { Batch, Run } from "./run_state.ts";
import type { Expectation, Submit } from "./scenario_file.ts";

/** Parts of the gang classes in the scenarios' common rules. */
const PARTS_OF_CLASS: Readonly<Record<string, number>> = { venue: 4, dawn: 2 };

/**
 * Submits a batch without waiting for it: each request has a caller that
 * retries until it has a final answer or gives up.
 */
export function submitBatch(run: Run, wanted: Submit): void {
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
        callWithRetries({
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
          targets: () => selectTargets(run, wanted, copy),
          timeoutMs: wanted.patienceMs,
          attemptTimeoutMs: wanted.tryMs,
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

/**
 * Lists the live entries that a caller may use. Callers that send copies of one
 * request get one entry each, so that duplicates meet at different entries.
 */
function selectTargets(run: Run, wanted: Submit, copy: number): string[] {
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

/**
 * Finds a batch by its name.
 *
 * @throws Error when no step has submitted such a batch
 */
export function getBatch(run: Run, name: string): Batch {
  const batch = run.batches.get(name);
  if (batch === undefined) throw new Error(`no step submitted batch ${name}`);
  return batch;
}

/**
 * Waits for all answers of a batch and records what was not as expected, with
 * the first three requests that are not done.
 */
export async function expectBatch(
  run: Run,
  wanted: Expectation,
): Promise<void> {
  const records = await getBatch(run, wanted.batch).records;
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
  const notDone = records.filter(({ outcome }) => outcome !== "done").slice(
    0,
    3,
  )
    .map(({ key, outcome, status }) => `${key} ${outcome} ${status}`);
  const addFailure = (what: string) =>
    run.failures.push(
      `${wanted.batch}: ${what} (${JSON.stringify(found)}) ${
        notDone.join(", ")
      }`,
    );
  for (const name of ["done", "failed", "notRun", "unknown"] as const) {
    if ((wanted[name] ?? found[name]) !== found[name]) {
      addFailure(`${name} is ${found[name]}, expected ${wanted[name]}`);
    }
  }
  if (found.done < (wanted.doneAtLeast ?? 0)) {
    addFailure(`expected at least ${wanted.doneAtLeast} done`);
  }
  if (found.notRun < (wanted.notRunAtLeast ?? 0)) {
    addFailure(`expected at least ${wanted.notRunAtLeast} not run`);
  }
  if (found.slowestMs > (wanted.slowestMs ?? Infinity)) {
    addFailure(`expected the slowest within ${wanted.slowestMs} ms`);
  }
  if (found.fastestMs > (wanted.fastestMs ?? Infinity)) {
    addFailure(`expected the fastest within ${wanted.fastestMs} ms`);
  }
}

/** Cancels every request of a batch that a live entry has in progress. */
export async function cancelBatch(run: Run, name: string): Promise<void> {
  const { keys, submit: wanted } = getBatch(run, name);
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
