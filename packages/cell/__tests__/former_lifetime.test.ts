import { expect } from "chai";
import {
  createSystemClock,
  type Milliseconds,
  pause,
  silentLogger,
} from "@rattanhill/shared";
import type { Run, WorkerState } from "@rattanhill/scheduler";
import { createWorkerLink } from "../src/mod.ts";
import { createLead, ENTRY } from "./lead_fixture.ts";
import {
  createRestartableWorker,
  type RestartableWorker,
  waitUntil,
} from "./restartable_worker.ts";

const TIMEOUT_MS: Milliseconds = 15_000;

/** Starts a lead with restartable workers, in the order of their ids. */
async function startCell(count = 1) {
  const workers = new Map<string, RestartableWorker>();
  for (let index = 0; index < count; index++) {
    workers.set(`w${index}`, createRestartableWorker());
  }
  const entries = () =>
    [...workers].map(([id, worker]) => ({
      ...ENTRY,
      id,
      address: id,
      lifetime: worker.lifetime(),
    }));
  const { lead, submit, lines } = createLead({
    listWorkers: () => Promise.resolve({ entries: entries(), left: new Set() }),
    connect: (id) => workers.get(id)!.connection,
  });
  await lead.start();
  await waitUntil(() =>
    [...workers.values()].every(({ polls }) =>
      polls.some(({ waitMs }) => waitMs > 0)
    )
  );
  return {
    lead,
    submit,
    lines,
    workers: [...workers.values()],
    /** Gives the lead the current list of workers. */
    list: () => lead.updateWorkers({ entries: entries(), left: new Set() }),
  };
}

// The restarted worker numbers its ends from 1 again, and forgot one that nobody
// had read: its task ran twice.
it("former lifetime: an end of the next lifetime is not acknowledged unread", async () => {
  const { lead, submit, lines, workers: [worker], list } = await startCell();
  submit("a");
  await waitUntil(() => worker.running().length === 1);
  worker.endRuns("done");
  await waitUntil(() => worker.polls.at(-1)!.acknowledgedEnd > 0);
  worker.holdStarts(true);
  submit("b");
  await waitUntil(() => worker.heldStarts.length === 1);
  worker.crash();
  worker.restart();
  worker.carryOut(worker.heldStarts[0]);
  worker.endRuns("done");
  worker.holdStarts(false);
  await pause(1_000);
  list();
  await pause(1_500);
  lead.close();
  expect(worker.startedRuns.length, lines.join("\n")).to.equal(2);
}).timeout(TIMEOUT_MS);

// A start that was unanswered, stopped and replaced by one on another worker ran
// beside it, since its restarted worker knew nothing of the stop.
it("former lifetime: a late start of a released run does not run in the next", async () => {
  const { lead, submit, lines, workers: [first, second], list } =
    await startCell(2);
  for (const worker of [first, second]) worker.holdStarts(true);
  submit("a");
  const heldBy = () =>
    [first, second].find(({ heldStarts }) => heldStarts.length > 1);
  await waitUntil(() => heldBy() !== undefined);
  const holder = heldBy()!;
  const other = holder === first ? second : first;
  for (const worker of [first, second]) worker.holdStarts(false);
  await waitUntil(() => other.running().length === 1);
  holder.crash();
  holder.restart();
  const pollsBefore = holder.polls.length;
  list();
  await waitUntil(() => holder.polls.length > pollsBefore + 1);
  holder.carryOut(holder.heldStarts[0]);
  lead.close();
  expect(holder.running(), lines.join("\n")).to.deep.equal([]);
}).timeout(TIMEOUT_MS);

// The restarted worker cuts a lease by the former clock to the longest one from
// when it carries the start out, however late, and so beyond what is waited for.
it("former lifetime: no start has a lease by the clock of the former one", async () => {
  const { connection, startedRuns, polls } = createRestartableWorker();
  const worker = {
    id: "w",
    lifetime: 1,
    tokenOffset: 0,
    runs: new Set<Run>(),
    leasesEndBy: 0,
    lastHandledEnd: 0,
    lastStoredEnd: 0,
  } as WorkerState;
  const job = { spec: { id: "a", payload: "" } };
  const step = { job, occurrence: 0, index: 0, key: "a.0.0" };
  const run = { step, index: 0, number: 1, worker, checkpoint: "" } as Run;
  const answers: [string, string?][] = [];
  const link = createWorkerLink({
    worker,
    connection,
    term: 1,
    clock: createSystemClock(),
    log: silentLogger,
    isLeading: () => true,
    mayStart: () => true,
    onReport: () => {},
    onNoAnswer: () => {},
    onReplacement: () => {},
    onStartAnswer: (_run, answer, reason) => answers.push([answer, reason]),
    onStopAnswer: () => {},
  });
  await waitUntil(() => polls.some(({ waitMs }) => waitMs > 0));
  // The list of workers tells of the restart while a poll waits.
  worker.lifetime = 2;
  link.sendCommand({ kind: "start", run });
  await waitUntil(() => answers.length > 0);
  link.close();
  expect(startedRuns).to.deep.equal([]);
  expect(answers).to.deep.equal([["refused", "not sent"]]);
});

/** Watches two workers for a task that runs on both. */
function watchDoubleRuns(workers: RestartableWorker[]) {
  let doubleRuns = 0;
  const timer = setInterval(() => {
    const active = workers.filter((worker) => worker.running().length > 0);
    if (active.length > 1) doubleRuns += 1;
  }, 1);
  return () => {
    clearInterval(timer);
    return doubleRuns;
  };
}

it("former lifetime: a late start that the next one carried out is no second run", async () => {
  const { lead, submit, lines, workers } = await startCell(2);
  const stopWatching = watchDoubleRuns(workers);
  for (const worker of workers) worker.holdStarts(true);
  submit("a");
  const holderOf = () =>
    workers.find(({ heldStarts }) => heldStarts.length > 0);
  await waitUntil(() => holderOf() !== undefined);
  const holder = holderOf()!;
  holder.crash();
  holder.restart();
  for (const worker of workers) worker.holdStarts(false);
  holder.carryOut(holder.heldStarts[0]);
  await pause(3_000);
  lead.close();
  expect(stopWatching(), lines.join("\n")).to.equal(0);
  const active = workers.filter(({ running }) => running().length > 0);
  expect(active.length, lines.join("\n")).to.equal(1);
}).timeout(TIMEOUT_MS);

it("former lifetime: a start that the next one confirmed is no second run", async () => {
  const { lead, submit, lines, workers, list } = await startCell(2);
  const stopWatching = watchDoubleRuns(workers);
  for (const worker of workers) {
    worker.crash({ isNoticed: false });
    worker.restart();
  }
  submit("a");
  await waitUntil(() => workers.some(({ running }) => running().length > 0));
  expect(lines.join("\n")).not.to.include("worker restarted");
  await waitUntil(() => lines.join().includes("worker restarted"));
  list();
  await pause(3_000);
  lead.close();
  expect(stopWatching(), lines.join("\n")).to.equal(0);
  const active = workers.filter(({ running }) => running().length > 0);
  expect(active.length, lines.join("\n")).to.equal(1);
}).timeout(TIMEOUT_MS);
