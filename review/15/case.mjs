import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createId,
  createJob,
  pause,
  runCase,
  waitFor,
} from "../lib-3/harness.mjs";

// How long a worker refuses starts; the largest span of the site is 6.5 s.
const UNHEALTHY_MS = 6_400;
// `visible_ms` + 2 s, after which a job that has not begun must be counted.
const COUNTED_AFTER_MS = 5_000;
const JOBS = 8;

await runCase(dirname(fileURLToPath(import.meta.url)), async (context) => {
  const { deploy, record, hasTrouble } = context;
  const begun = new Set();
  const { entries, fleet } = await deploy({
    workers: 12,
    onEvent: ({ kind, task }) => {
      if (kind === "started") begun.add(task.split(".")[0]);
    },
  });
  // All workers but one are busy.
  for (let index = 1; index < fleet.length; index++) {
    await entries[0].call("POST", createId(), {
      body: createJob({ gpu: 8, ms: 60_000 }),
    });
  }
  const areBusy = await waitFor(
    () =>
      fleet.filter((worker) => worker.runCount() === 1).length ===
        fleet.length - 1,
    10_000,
  );
  if (!areBusy) throw new Error("the other jobs did not start");
  const ill = fleet.find((worker) => worker.runCount() === 0);
  await pause(5_000);
  const atRest = await entries[1].call("GET", "");
  if (atRest.body.pending !== 0) throw new Error("jobs are left at the start");

  if (hasTrouble) {
    record(`${ill.id} becomes unhealthy: it refuses starts with 503`);
    ill.isUnhealthy = true;
  }
  const illUntil = performance.now() + UNHEALTHY_MS;
  const ids = Array.from({ length: JOBS }, createId);
  for (const id of ids) {
    const answer = await entries[1].call("POST", id, {
      body: createJob({ gpu: 1, ms: 20_000 }),
    });
    if (answer.status !== 200) throw new Error("a job was not accepted");
  }
  const acceptedAt = performance.now();
  let breach;
  await pause(COUNTED_AFTER_MS + 300);
  while (performance.now() < illUntil - 100) {
    const waitingBefore = ids.filter((id) => !begun.has(id)).length;
    const counts = [];
    for (const entry of entries) {
      const answer = await entry.call("GET", "");
      counts.push(answer.body.pending);
    }
    const waiting = ids.filter((id) => !begun.has(id)).length;
    record(`${waiting} of ${JOBS} jobs have not begun`);
    const lowest = Math.min(...counts);
    if (waiting === waitingBefore && lowest < waiting / 2) {
      const age = Math.round(performance.now() - acceptedAt);
      breach ??= `pending is ${lowest} while ${waiting} jobs, accepted ` +
        `${age} ms before, have not begun`;
    }
    await pause(200);
  }
  record(`${ill.id} is healthy`);
  ill.isUnhealthy = false;
  const areBegun = await waitFor(
    () => ids.every((id) => begun.has(id)),
    15_000,
  );
  record(`all jobs have begun: ${areBegun}`);
  return breach;
});
