// One executor of eight goes down and up by turns for some seconds. A job that
// needs its kind, and one that lasts on it, are handed in meanwhile. Neither has
// a run that ends `failed`, so neither may be shown as `failed`.
import { fileURLToPath } from "node:url";
import { main } from "../lib-2/main.mjs";
import { createId, hasTrouble, pause, startTrial } from "../lib-2/trial.mjs";

const EXECUTORS = 8;
// srv_flap of the pages: share .15, period 1.4 s, for 6.5 s.
const PERIOD_MS = 1_400;
const FLAPPING_MS = 6_500;
const RUN_MS = 1_500;
const WATCH_MS = 20_000;

const spec = (ms) => JSON.stringify({ ms, cpu: 4_000, gpu: 1 });
const step = (fields) => ({
  count: 1,
  cpu: 4_000,
  mem_mb: 64,
  gpu: 1,
  estimate_ms: RUN_MS,
  requires: "b",
  ...fields,
});

await main(async () => {
  const trial = await startTrial({
    record: fileURLToPath(new URL("record.txt", import.meta.url)),
    executors: Array.from({ length: EXECUTORS }, (_, index) => ({
      id: `i-${index}`,
      machine: `m-${index}`,
      labels: [index === 0 ? "b" : "a", `r${index % 2}`],
      capacity: { cpu: 128_000, mem_mb: 524_288, gpu: 8 },
    })),
    routes: [
      { name: "plans", path_prefix: "/plans/", priority: 1, max_attempts: 4 },
    ],
  });
  try {
    const jobs = {
      plain: { spec: spec(RUN_MS), steps: [step({})] },
      lasting: {
        spec: spec(3_600_000),
        steps: [step({ long_running: true })],
      },
    };
    const accepted = [];
    const handIn = async () => {
      for (const [kind, job] of Object.entries(jobs)) {
        const id = createId();
        const at = await trial.submit(`/plans/${id}`, job);
        if (at !== undefined) accepted.push({ kind, id });
      }
    };
    const flap = async () => {
      const [executor] = trial.fleet;
      const until = Date.now() + FLAPPING_MS;
      while (Date.now() < until) {
        executor.crash();
        await pause(PERIOD_MS / 2);
        await executor.restart();
        await pause(PERIOD_MS / 2);
      }
    };
    await pause(4_000);
    if (hasTrouble()) await Promise.all([flap(), handIn()]);
    else await handIn();
    if (accepted.length === 0) throw new Error("no job was accepted");
    await pause(WATCH_MS);
    const broken = [];
    for (const { kind, id } of accepted) {
      const { body } = await trial.ask("GET", `/plans/${id}`);
      const ends = trial.events.filter(({ task, event }) =>
        task?.startsWith(`${id}.`) && event !== "begun"
      ).map(({ event }) => event);
      if (body?.state !== "failed" || ends.includes("failed")) continue;
      broken.push(
        `LOST: the ${kind} job ${id} is shown as failed; ` +
          `its runs ended: ${ends.join(", ") || "none"}`,
      );
    }
    for (const line of broken) trial.write(line);
    return broken;
  } finally {
    await trial.close();
  }
});
