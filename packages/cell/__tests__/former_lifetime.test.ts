import { expect } from "chai";
import { type Milliseconds, pause } from "@rattanhill/shared";
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
    [...workers.values()].every(({ polls }) => polls.length > 1)
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
