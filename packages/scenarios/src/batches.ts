import { createIdentifier, pause } from "@rattanhill/shared";
import { type CallerRecord, callWithRetries } from "@rattanhill/standins";
import { request } from "undici";
import { getJson, liveEntries } from "./processes.ts";
import type { Batch, Run } from "./run_state.ts";
import type { Expectation, Submit } from "./scenario_file.ts";

// Number of parts of the gang classes in the rules that all scenarios share.
const PARTS_OF_CLASS: Readonly<Record<string, number>> = { venue: 4, dawn: 2 };

/**
 * Submits a batch without waiting for it: each request has a caller that
 * retries until a response is final or its time limit has passed.
 */
export function submitBatch(run: Run, submission: Submit): void {
  const account = run.layout.accounts.find(({ name }) =>
    name === submission.account
  );
  const keys = new Set<string>();
  const records = Array.from({ length: submission.count }, async (_, index) => {
    const [low, high] = submission.runMs;
    const runMs = Math.round(low + run.random() * (high - low));
    const atMs = Math.round(submission.overMs * run.random());
    await pause(atMs);
    const key = createIdentifier();
    keys.add(key);
    const copies = Array.from(
      { length: submission.copies },
      (_, copy) =>
        callWithRetries({
          bearer: account?.key ?? "",
          class: submission.class,
          parts: submission.parts ?? defaultParts(submission.class),
          accelerators: submission.accelerators,
          adjacent: submission.adjacent,
          repeatable: submission.repeatable,
          payload: { runMs, note: `${submission.batch} ${index}` },
          expectedMs: Math.max(1, runMs),
          deadlineMs: submission.deadlineMs,
          key,
          isAsync: submission.async,
        }, {
          targets: () => selectTargets(run, submission, copy),
          timeoutMs: submission.patienceMs,
          attemptTimeoutMs: submission.tryMs,
          random: run.random,
          retryNotRun: submission.retryNotRun,
        }),
    );
    return await Promise.all(copies);
  });
  run.batches.set(submission.batch, {
    submit: submission,
    keys,
    records: Promise.all(records).then((groups) => groups.flat()),
  });
}

/**
 * Lists the live entries that a caller may use. Callers that send copies of one
 * request get one entry each, so that duplicates arrive at different entries.
 */
function selectTargets(run: Run, submission: Submit, copy: number): string[] {
  const live = new Set(run.system.launcher.running().map(({ pid }) => pid));
  const usable = run.system.entries.filter(({ pid, name }) =>
    live.has(pid) && (submission.through?.includes(name) ?? true)
  );
  if (submission.copies === 1 || usable.length === 0) {
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
 * Waits until every caller of a batch has finished and records each deviation
 * from the expectation, with the first three requests that are not done.
 */
export async function expectBatch(
  run: Run,
  expectation: Expectation,
): Promise<void> {
  const records = await getBatch(run, expectation.batch).records;
  const count = (outcome: CallerRecord["outcome"]) =>
    records.filter((record) => record.outcome === outcome).length;
  const times = records.map(({ completionMs }) => Math.round(completionMs));
  const measured = {
    done: count("done"),
    failed: count("failed"),
    notRun: count("not-run"),
    unknown: count("unknown"),
    slowestMs: Math.max(...times),
    fastestMs: Math.min(...times),
  };
  run.figures[`${expectation.batch} slowest ms`] = measured.slowestMs;
  run.figures[`${expectation.batch} not done`] = records.length - measured.done;
  const notDone = records.filter(({ outcome }) => outcome !== "done").slice(
    0,
    3,
  )
    .map(({ key, outcome, status }) => `${key} ${outcome} ${status}`);
  const addFailure = (deviation: string) =>
    run.failures.push(
      `${expectation.batch}: ${deviation} (${JSON.stringify(measured)}) ${
        notDone.join(", ")
      }`,
    );
  for (const name of ["done", "failed", "notRun", "unknown"] as const) {
    if ((expectation[name] ?? measured[name]) !== measured[name]) {
      addFailure(`${name} is ${measured[name]}, expected ${expectation[name]}`);
    }
  }
  if (measured.done < (expectation.doneAtLeast ?? 0)) {
    addFailure(`expected at least ${expectation.doneAtLeast} done`);
  }
  if (measured.notRun < (expectation.notRunAtLeast ?? 0)) {
    addFailure(`expected at least ${expectation.notRunAtLeast} not run`);
  }
  if (measured.slowestMs > (expectation.slowestMs ?? Infinity)) {
    addFailure(`expected the slowest within ${expectation.slowestMs} ms`);
  }
  if (measured.fastestMs > (expectation.fastestMs ?? Infinity)) {
    addFailure(`expected the fastest within ${expectation.fastestMs} ms`);
  }
}

/** Cancels the requests of a batch that are in progress at a live entry. */
export async function cancelBatch(run: Run, name: string): Promise<void> {
  const { keys, submit: submission } = getBatch(run, name);
  const bearer = run.layout.accounts.find((account) =>
    account.name === submission.account
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
