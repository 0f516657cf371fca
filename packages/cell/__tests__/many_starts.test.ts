import { expect } from "chai";
import { createSystemClock, pause, silentLogger } from "@rattanhill/shared";
import type { Run, WorkerState } from "@rattanhill/scheduler";
import {
  createWorkerLink,
  MAXIMUM_COMMANDS_UNDER_WAY,
  type WorkerConnection,
} from "../src/mod.ts";
import { unanswered } from "./lead_fixture.ts";

const RUN_COUNT = 90;

/**
 * Stops a few runs on a worker and starts many, and returns the answers to the
 * starts that the lead gets.
 */
async function startMany(
  start: WorkerConnection["start"],
  stop: WorkerConnection["stop"] = () => Promise.resolve(true),
) {
  const worker = {
    id: "w",
    lifetime: 1,
    pastLifetimes: new Set<number>(),
    runs: new Set<Run>(),
    leasesEndBy: 0,
    lastHandledEnd: 0,
    lastStoredEnd: 0,
  } as WorkerState;
  const job = { spec: { id: "job", payload: "" } };
  const step = { job, spec: {}, occurrence: 0, index: 0, key: "job.0.0" };
  const answers: string[] = [];
  let reports = 0;
  const link = createWorkerLink({
    worker,
    connection: {
      hold: async () => {
        await pause(5);
        return { clock: 0, lifetime: 1, running: [], ended: [] };
      },
      start,
      stop,
      close: () => Promise.resolve(),
    },
    term: 1,
    clock: createSystemClock(),
    log: silentLogger,
    isLeading: () => true,
    mayStart: () => true,
    onReport: () => reports += 1,
    onNoAnswer: () => {},
    onReplacement: () => {},
    onStartAnswer: (_run, answer, reason) =>
      answers.push(reason === undefined ? answer : `${answer}: ${reason}`),
    onStopAnswer: () => {},
  });
  while (reports === 0) await pause(1);
  for (let index = 0; index < MAXIMUM_COMMANDS_UNDER_WAY; index++) {
    const stopped = { step, index: -index, number: 1, worker } as Run;
    worker.runs.add(stopped);
    const task = { job: "other", occurrence: 0, step: 0, index };
    link.sendCommand({ kind: "stop", worker, task, number: 1, run: stopped });
  }
  for (let index = 0; index < RUN_COUNT; index++) {
    const run = { step, index, number: 1, worker, checkpoint: "" } as Run;
    worker.runs.add(run);
    link.sendCommand({ kind: "start", run });
  }
  const until = performance.now() + 5_000;
  while (answers.length < RUN_COUNT && performance.now() < until) {
    await pause(5);
  }
  link.close();
  return answers;
}

const countOf = (answers: readonly string[], answer: string) =>
  answers.filter((each) => each === answer).length;

// Starts waited for a connection within their own time limit. Those at the end
// were never sent, and were placed again beside the next ones.
it("many starts: the time limit of each begins with its turn", async () => {
  let underWay = 0;
  let mostUnderWay = 0;
  const answers = await startMany(async () => {
    underWay += 1;
    mostUnderWay = Math.max(mostUnderWay, underWay);
    await pause(40);
    underWay -= 1;
    return { kind: "started", clock: 0 };
  });
  expect(mostUnderWay).to.equal(MAXIMUM_COMMANDS_UNDER_WAY);
  expect(countOf(answers, "started")).to.equal(RUN_COUNT);
});

it("many starts: those behind an unanswered one are given up unsent", async () => {
  let sent = 0;
  const answers = await startMany(async () => {
    sent += 1;
    await pause(50);
    throw unanswered;
  });
  expect(sent).to.be.below(RUN_COUNT / 2);
  expect(countOf(answers, "unhealthy: undelivered"))
    .to.equal(RUN_COUNT - countOf(answers, "uncertain"));
});

it("many starts: they do not wait behind stops without an answer", async () => {
  const answers = await startMany(
    () => Promise.resolve({ kind: "started", clock: 0 }),
    async ({ timeoutMs }) => {
      await pause(timeoutMs);
      throw unanswered;
    },
  );
  expect(countOf(answers, "unhealthy: undelivered")).to.equal(RUN_COUNT);
});
