import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createConfig,
  createId,
  createJob,
  pause,
  runCase,
  waitFor,
} from "../lib-3/harness.mjs";

// `visible_ms` of the deployment, more than `config_apply_ms`.
const VISIBLE_MS = 3_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { deploy, record, hasTrouble } = context;
  const events = [];
  const { entries, store, fleet } = await deploy({
    workers: 4,
    onEvent: (event) => events.push(event),
  });
  const id = createId();
  const submitted = await entries[0].call("POST", id, {
    body: createJob({ count: 4, gpu: 8, ms: 25_000 }),
  });
  if (submitted.status !== 200) throw new Error("the job was not accepted");
  const hasStarted = await waitFor(
    () => fleet.every((worker) => worker.runCount() === 1),
    10_000,
  );
  if (!hasStarted) throw new Error("the job did not start");
  await pause(VISIBLE_MS);
  for (const entry of entries) await entry.call("GET", id);

  if (hasTrouble) {
    record(
      "operator: version 2 removes the route and adds one of another name",
    );
    store.write("keyed.op", "config", createConfig(2, { route: "r-k2x9d4m" }));
  } else {
    record("operator: version 2 changes the time-out of the route");
    store.write("keyed.op", "config", createConfig(2, { timeoutMs: 4_000 }));
  }
  await pause(VISIBLE_MS + 1_000);
  const answers = [];
  for (const entry of entries) answers.push(await entry.call("GET", id));
  if (hasTrouble) {
    // Not judged: what the caller meets next.
    await entries[1].call("DELETE", id);
    await pause(4_000);
    const running = fleet.reduce((sum, one) => sum + one.runCount(), 0);
    record(`${running} tasks of the job run 4 s after the answer to DELETE`);
  }
  const denied = answers.filter(({ status }) => status === 410).length;
  const isCancelled = events.some(({ how }) => how === "stopped");
  return denied > 0
    ? `GET for an accepted job was answered 410 by ${denied} of ` +
      `${entries.length} entries; runs stopped: ${isCancelled}`
    : undefined;
});
