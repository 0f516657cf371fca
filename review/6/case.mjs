// A tenant hands in a few jobs of many steps, all well inside what the entries
// accept. Then it is seen whether jobs of one subtask are still run.
import { fileURLToPath } from "node:url";
import { main } from "../lib-2/main.mjs";
import { createId, hasTrouble, pause, startTrial } from "../lib-2/trial.mjs";

const EXECUTORS = 8;
const WIDE_JOBS = 6;
const STEPS = 2_000;
const SMALL_JOBS = 6;
const FINISH_MS = 20_000;
// No small job is handed in later than this, so that the trial ends in time.
const HAND_IN_MS = 45_000;
// LOST: "for 3 s, a job has nothing running while a subtask's turn has come,
// there is capacity for it twice over, and under half of the service's capacity
// is in use".
const IDLE_MS = 3_000;

const NEEDS = { cpu: 100, gpu: 0 };
const step = (ms) => ({
  count: 1,
  cpu: NEEDS.cpu,
  mem_mb: 8,
  estimate_ms: ms,
});
const spec = (ms) => JSON.stringify({ ms, ...NEEDS });

await main(async () => {
  const trial = await startTrial({
    record: fileURLToPath(new URL("record.txt", import.meta.url)),
    executors: Array.from({ length: EXECUTORS }, (_, index) => ({
      id: `i-${index}`,
      machine: `m-${index}`,
      labels: ["a", `r${index % 2}`],
      capacity: { cpu: 128_000, mem_mb: 524_288, gpu: 8 },
    })),
    routes: [
      { name: "wide", path_prefix: "/wide/", priority: 2, max_attempts: 3 },
      { name: "small", path_prefix: "/small/", priority: 0, max_attempts: 3 },
    ],
  });
  try {
    if (hasTrouble()) {
      for (let index = 0; index < WIDE_JOBS; index++) {
        const at = await trial.submit(`/wide/${createId()}`, {
          spec: spec(500),
          steps: Array.from({ length: STEPS }, () => step(500)),
        }, { tries: 2 });
        if (at === undefined) trial.write("a wide job was not accepted");
      }
    }
    const small = [];
    for (let index = 0; index < SMALL_JOBS; index++) {
      if (Date.now() - trial.beganAt > HAND_IN_MS) break;
      const id = createId();
      const job = { spec: spec(300), steps: [step(300)] };
      const acceptedAt = await trial.submit(`/small/${id}`, job, { tries: 3 });
      if (acceptedAt !== undefined) small.push({ id, acceptedAt });
      await pause(300);
    }
    if (small.length === 0) throw new Error("no small job was accepted");
    const until = Date.now() + FINISH_MS;
    let open = small;
    while (open.length > 0 && Date.now() < until) {
      await pause(1_000);
      const states = await Promise.all(
        open.map(({ id }) => trial.ask("GET", `/small/${id}`)),
      );
      open = open.filter((_, index) =>
        states[index].body?.state !== "completed"
      );
    }
    const broken = [];
    for (const { id, acceptedAt } of small) {
      const begun = trial.events.find(({ event, task }) =>
        event === "begun" && task.startsWith(`${id}.`)
      );
      const waitedMs = (begun?.at ?? Date.now()) - acceptedAt;
      if (waitedMs <= IDLE_MS || isHalfUsed(trial.events, acceptedAt)) continue;
      const end = begun === undefined ? "and never began" : "before it began";
      broken.push(
        `LOST: job ${id} had nothing running for ${waitedMs} ms, ${end}`,
      );
    }
    for (const line of broken) trial.write(line);
    return broken;
  } finally {
    await trial.close();
  }

  /** Whether half of the cores were ever in use after a time. */
  function isHalfUsed(events, from) {
    let used = 0;
    let most = 0;
    const running = new Set();
    for (const { at, event, executor, task, run } of events) {
      const name = `${executor} ${task} ${run}`;
      if (event === "begun") running.add(name);
      else running.delete(name);
      used = running.size * NEEDS.cpu;
      if (at >= from) most = Math.max(most, used);
    }
    return most >= EXECUTORS * 128_000 / 2;
  }
});
