// The store is slow for a while. Meanwhile jobs of a queue with advice get room,
// each on the one executor that the policy allows for it.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  ADVISED_QUEUE,
  BOUNDS,
  pause,
  require,
  runCase,
  waitUntil,
} from "../lib/deployment.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const MACHINES = 10;
const SPELL_MS = 4_500;
const ANSWER_MS = 4;
const SLOW_FACTOR = 60;
// The jobs get room at times that are spread evenly over this time, counted from
// the last ticket of each.
const SPREAD_MS = 2_500;
const WINDOW_MS = 3_000;

const idOf = (digit, index) => digit + String(index).padStart(15, "0");
const jobs = Array.from({ length: MACHINES }, (_, index) => idOf("a", index));
/** Id of the executor that the policy allows for each job. */
const allowedByJob = new Map();
const isAllowed = (step, id) => allowedByJob.get(step.split(".", 1)[0]) === id;

await runCase(
  { folder, machines: MACHINES, isAllowed },
  async (deployment, isTroubled) => {
    const { submit, call, executors, events, record, store, advice } =
      deployment;
    jobs.forEach((id, index) => allowedByJob.set(id, executors[index].id()));
    for (let index = 0; index < MACHINES; index++) {
      const { status } = await submit(idOf("b", index), {
        count: 1,
        gpu: 8,
        workMs: 100_000,
      });
      require(status === 200, "a long job is accepted");
    }
    require(
      await waitUntil(
        () => executors.every((executor) => executor.runs().length === 1),
        5_000,
      ),
      "every executor is busy",
    );
    for (const [index, id] of jobs.entries()) {
      const { status } = await submit(
        id,
        { count: 1, gpu: 4, cpu: 1_000 + index, workMs: 2_000 },
        { queue: ADVISED_QUEUE },
      );
      require(status === 200, "a job is accepted");
    }
    require(
      await waitUntil(() => advice.lastTicketAt.size === MACHINES, 5_000),
      "every job has had a ticket",
    );

    if (isTroubled) {
      store.answerMs = SLOW_FACTOR * ANSWER_MS;
      record(`store: answers take ${SLOW_FACTOR} times as long`);
    }
    const spellUntil = performance.now() + SPELL_MS;
    await Promise.all(jobs.map(async (id, index) => {
      const at = advice.lastTicketAt.get(`${id}.0.0`) +
        (index + 0.5) * SPREAD_MS / MACHINES;
      await pause(at - performance.now());
      const [{ task }] = executors[index].runs();
      executors[index].end(task, "done");
    }));
    await pause(spellUntil - performance.now());
    store.answerMs = ANSWER_MS;
    record("store: answers take their usual time");
    // Jobs are asked for finish_s after the end of the traffic; the rule is
    // broken if one has nothing running for 3 s then.
    await pause(1_000 * BOUNDS.finish_s + WINDOW_MS);
    for (const id of jobs) await call("GET", id, { queue: ADVISED_QUEUE });
    const idle = executors.filter((one) => one.runs().length === 0).length;
    const stuck = jobs.filter((id) =>
      !events.some(({ kind, task }) => kind === "start" && task.startsWith(id))
    );
    record(
      `${stuck.length} of ${MACHINES} jobs have had no start: ${stuck}; ` +
        `${idle} of ${MACHINES} executors are idle`,
    );
    if (stuck.length === 0) return undefined;
    return `LOST: ${stuck.length} of ${MACHINES} accepted jobs had nothing ` +
      `running for ${BOUNDS.finish_s + WINDOW_MS / 1_000} s after the end of ` +
      `the traffic, with ${idle} of ${MACHINES} executors idle`;
  },
);
