// A job of many subtasks runs while the executors crash, one at a time. What the
// lead stores of its step then exceeds the largest record that the store takes.
// It is seen whether other jobs are still run.
import { fileURLToPath } from "node:url";
import { main } from "../lib-2/main.mjs";
import { createId, hasTrouble, pause, startTrial } from "../lib-2/trial.mjs";

const EXECUTORS = 9;
const SUBTASKS = 2_184;
const PER_EXECUTOR = Math.ceil(SUBTASKS / EXECUTORS);
const WIDE_MS = 200_000;
// srv_crash of the pages: share .15 of the executors; here one of nine at a
// time, each twice.
const CRASHES = 2 * EXECUTORS;
const DOWN_MS = 700;
const GAP_MS = 1_800;
const SMALL_JOBS = 5;
const SMALL_MS = 300;
const WATCH_MS = 20_000;
// LOST: "for 3 s, a job has nothing running …".
const IDLE_MS = 3_000;

const NEEDS = { cpu: 50, gpu: 0 };

await main(async () => {
  const trial = await startTrial({
    record: fileURLToPath(new URL("record.txt", import.meta.url)),
    executors: Array.from({ length: EXECUTORS }, (_, index) => ({
      id: `i-7f3a91c${index}`,
      machine: `m-0a3f${index}`,
      labels: ["a", `r${index % 3}`],
      capacity: { cpu: 128_000, mem_mb: 524_288, gpu: 8 },
    })),
    routes: [
      { name: "wide", path_prefix: "/wide/", priority: 2, max_attempts: 4 },
      { name: "small", path_prefix: "/small/", priority: 1, max_attempts: 4 },
    ],
  });
  try {
    await pause(2_000);
    const wide = createId();
    const wideAt = await trial.submit(`/wide/${wide}`, {
      spec: JSON.stringify({ ms: WIDE_MS, ...NEEDS, saves: true }),
      steps: [{
        count: SUBTASKS,
        ...NEEDS,
        mem_mb: 8,
        estimate_ms: WIDE_MS,
        checkpointing: true,
        anti_affinity: PER_EXECUTOR,
      }],
    });
    if (wideAt === undefined) throw new Error("the wide job was not accepted");
    await pause(8_000);
    for (let index = 0; index < CRASHES && hasTrouble(); index++) {
      const executor = trial.fleet[index % EXECUTORS];
      executor.crash();
      await pause(DOWN_MS);
      await executor.restart();
      await pause(GAP_MS - DOWN_MS);
    }
    await pause(5_000);
    const small = [];
    for (let index = 0; index < SMALL_JOBS; index++) {
      const id = createId();
      const acceptedAt = await trial.submit(`/small/${id}`, {
        spec: JSON.stringify({ ms: SMALL_MS, ...NEEDS }),
        steps: [{ count: 1, ...NEEDS, mem_mb: 8, estimate_ms: SMALL_MS }],
      });
      if (acceptedAt !== undefined) small.push({ id, acceptedAt });
    }
    if (small.length === 0) throw new Error("no small job was accepted");
    await pause(WATCH_MS);
    const { body } = await trial.ask("GET", `/wide/${wide}`);
    trial.write(`the wide job is shown as ${body?.state}`);
    const broken = [];
    for (const { id, acceptedAt } of small) {
      await trial.ask("GET", `/small/${id}`);
      const begun = trial.events.find(({ event, task }) =>
        event === "begun" && task.startsWith(`${id}.`)
      );
      const waitedMs = (begun?.at ?? Date.now()) - acceptedAt;
      if (waitedMs <= IDLE_MS) continue;
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
});
