import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createId,
  createJob,
  createStarvationCheck,
  pause,
  runCase,
} from "../lib-3/harness.mjs";

// A client that gives its interval in seconds where milliseconds are expected:
// every 5 s for a day. Without the mistake, the job is due every 5 s.
const REPEATS = 17_280;
const MISTAKEN_INTERVAL_MS = 5;
const INTERVAL_MS = 5_000;
const STEPS = 16;
const TASK_MS = 500;
const PLAY_MS = 80_000;
const RESTART_DELAY_MS = 500;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { deploy, record, hasTrouble } = context;
  const endsByNode = new Map();
  let isPlaying = false;
  const check = createStarvationCheck(record);
  const deployment = await deploy({
    workers: 10,
    onEvent: check.apply,
    onExit: ({ node, code, signal, entry }) => {
      // The case sends no signal to a process before its end.
      const ends = (endsByNode.get(node) ?? 0) + 1;
      endsByNode.set(node, ends);
      record(`${node} ended by itself, time ${ends}: ${signal ?? code}`);
      setTimeout(() => {
        if (isPlaying) entry.launch();
      }, RESTART_DELAY_MS);
    },
  });
  const { entries, fleet } = deployment;
  isPlaying = true;
  check.watch(fleet);
  // An ordinary job, accepted before the other one.
  const ordinary = { count: 4, gpu: 1 };
  const id = createId();
  const submitted = await entries[0].call("POST", id, {
    body: createJob({ ...ordinary, ms: 50_000 }),
  });
  if (submitted.status !== 200) throw new Error("the job was not accepted");
  check.accept(id, ordinary);

  const step = {
    count: 1,
    cpu: 1_000,
    mem_mb: 100,
    gpu: 1,
    estimate_ms: TASK_MS,
  };
  const body = JSON.stringify({
    spec: JSON.stringify({ gpu: 1, ms: TASK_MS }),
    steps: Array.from({ length: STEPS }, () => step),
    repeats: REPEATS,
    start_at_ms: Date.now(),
    interval_ms: hasTrouble ? MISTAKEN_INTERVAL_MS : INTERVAL_MS,
  });
  const periodic = await entries[1].call("POST", createId(), { body });
  if (periodic.status !== 200) throw new Error("the job was not accepted");
  record(`the periodic job has ${STEPS} steps and ${body.length} bytes`);

  const until = performance.now() + PLAY_MS;
  while (performance.now() < until) {
    await pause(5_000);
    const used = fleet.reduce((sum, worker) => sum + worker.usedGpu(), 0);
    record(`${used} of ${8 * fleet.length} accelerators are in use`);
    for (const entry of entries) {
      if ((await entry.call("GET", id)).status === 200) break;
    }
  }
  isPlaying = false;
  check.stop();
  const ends = [...endsByNode].map(([node, count]) => `${node} ${count} times`);
  record(`processes ended by themselves: ${ends.join(", ") || "none"}`);
  return check.breach();
});
