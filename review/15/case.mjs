import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createId,
  createJob,
  findLead,
  pause,
  runCase,
  waitFor,
} from "../lib-3/harness.mjs";

// `drain_ms` of the deployment is 2,000.
const DRAIN_MS = 2_500;
// The lead is killed this long before the worker leaves.
const KILLED_BEFORE_MS = 500;
const RESTART_DELAY_MS = 1_000;
// A job may have nothing running for 3 s after 4 s without a disturbance.
const CALM_MS = 4_000;
const IDLE_LIMIT_MS = 3_000;
const WATCH_MS = 40_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { deploy, record, hasTrouble } = context;
  const starts = [];
  const deployment = await deploy({
    workers: 16,
    onEvent: ({ kind, at }) => {
      if (kind === "started") starts.push(at);
    },
  });
  const { entries, fleet } = deployment;
  const id = createId();
  const submitted = await entries[0].call("POST", id, {
    body: createJob({ gpu: 8, ms: 60_000 }),
  });
  if (submitted.status !== 200) throw new Error("the job was not accepted");
  const findWorker = () => fleet.find((worker) => worker.runCount() === 1);
  if (!await waitFor(() => findWorker() !== undefined, 10_000)) {
    throw new Error("the job did not start");
  }
  await pause(5_000);
  if (!hasTrouble) {
    await pause(CALM_MS + IDLE_LIMIT_MS);
    return findWorker() === undefined ? "nothing runs" : undefined;
  }

  const worker = findWorker();
  const lead = await findLead(deployment);
  if (lead === undefined) throw new Error("no entry leads");
  record(`${lead.node} leads, the task runs on ${worker.id}`);
  worker.drain(DRAIN_MS);
  await pause(DRAIN_MS - KILLED_BEFORE_MS);
  const restart = async () => {
    record(`${lead.node}: SIGKILL`);
    await lead.kill("SIGKILL");
    await pause(RESTART_DELAY_MS);
    lead.launch();
    if (!await waitFor(lead.isReady, 10_000)) {
      throw new Error("the killed entry did not become ready");
    }
  };
  const restarted = restart();
  await pause(KILLED_BEFORE_MS);
  await worker.leave();
  const leftAt = performance.now();
  await restarted;
  const calmSince = performance.now();
  record("the killed entry is ready; no disturbance from now on");
  const findStart = () => starts.find((at) => at > leftAt);
  await waitFor(() => findStart() !== undefined, WATCH_MS);
  await entries.find((entry) => entry !== lead).call("GET", id);
  const startedAt = findStart() ?? performance.now();
  const tookMs = Math.round(startedAt - leftAt);
  const calmMs = Math.round(startedAt - calmSince);
  record(
    `nothing ran for ${tookMs} ms, the last ${calmMs} without disturbance`,
  );
  return calmMs > CALM_MS + IDLE_LIMIT_MS
    ? `job ${id} had nothing running for ${tookMs} ms, the last ${calmMs} ms ` +
      `of them without a disturbance, beside ${fleet.length - 1} idle workers`
    : undefined;
});
