import { expect } from "chai";
import { recordAdvice, type Run } from "../src/mod.ts";
import { createCell, job, queueRules, step } from "./cell_fixture.ts";

/** Creates a cell with a queue whose policy restricts the workers of a step. */
function createAdvisedCell({ workers = 4 } = {}) {
  const cell = createCell({ workers });
  cell.scheduler.setRules({
    queues: new Map([["normal", {
      ...queueRules("normal", 1),
      needsAdvice: true,
    }]]),
    guarantees: new Map(),
    deployment: { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 },
  });
  return cell;
}

/** Answers the oldest open question of a cell. */
function answer(
  cell: ReturnType<typeof createAdvisedCell>,
  allowed: readonly string[],
): void {
  const question = cell.questions.shift()!;
  cell.scheduler.handleAdvice(question, {
    allowed: allowed
      .filter((worker) => question.workers.includes(worker))
      .map((worker) => ({ worker, ticket: "t" })),
    validMs: 3_000,
  });
}

it("advice: a step starts only on workers that its policy allows", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a", { steps: [step({ taskCount: 2 })] }));
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
  const [question] = cell.questions;
  expect(question.workers).to.have.length(4);
  cell.scheduler.handleAdvice(question, {
    allowed: [{ worker: "w3", ticket: "t" }],
    validMs: 3_000,
  });
  cell.settle();
  expect(cell.runs("a").map(({ worker }) => worker)).to.deep.equal([
    "w3",
    "w3",
  ]);
});

it("advice: an unanswered question is asked again", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a"));
  cell.settle();
  expect(cell.questions).to.have.length(1);
  cell.scheduler.handleAdvice(cell.questions[0], undefined);
  cell.settle();
  expect(cell.questions).to.have.length(2);
});

it("advice: a ticket expires with time and when its worker restarts", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a", { steps: [step({ accelerators: 8, taskCount: 2 })] }));
  cell.settle();
  const [question] = cell.questions;
  const answer = {
    allowed: [{ worker: "w0", ticket: "t" }],
    validMs: 3_000,
  };
  recordAdvice(question, answer, cell.clock.now() - 4_000);
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
  expect(cell.questions[1].workers).to.deep.equal(["w0"]);
  cell.fleet.get("w0")!.crash();
  cell.scheduler.handleAdvice(cell.questions[1], answer);
  cell.settle();
  expect(cell.runs("a")).to.deep.equal([]);
});

// Guards against an accepted job that never starts: a worker whose ticket was
// rejected once counted as refused by the policy.
it("advice: a worker that rejected a ticket is asked about again", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a"));
  cell.settle();
  answer(cell, ["w2"]);
  cell.scheduler.plan();
  cell.storeBatch();
  const [{ run }] = cell.commands.splice(0) as { run: Run }[];
  cell.scheduler.handleStartAnswer(run, "refused", "noTicket");
  cell.clock.advance(1_000);
  cell.settle();
  expect(cell.questions).to.have.length(1);
  expect(cell.questions[0].workers).to.deep.equal(["w2"]);
  answer(cell, ["w2"]);
  cell.settle();
  expect(cell.runs("a")).to.have.length(1);
});

// Guards against questions that can't be answered otherwise, since the policy's
// answer for a worker doesn't change.
it("advice: a worker that the policy refused is not asked about again", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a"));
  cell.settle();
  answer(cell, []);
  cell.clock.advance(10_000);
  cell.settle();
  expect(cell.questions).to.deep.equal([]);
  cell.fleet.get("w1")!.crash();
  cell.settle();
  expect(cell.questions.map(({ workers }) => workers)).to.deep.equal([["w1"]]);
});

// Guards against starts that their worker must reject, each of which was the
// last one of its job: their tickets had expired, or had ended with a lifetime
// of the worker, while their placement was being stored.
it("advice: a start whose ticket expired meanwhile is not sent", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a"));
  cell.settle();
  answer(cell, ["w2"]);
  cell.scheduler.plan();
  cell.clock.advance(3_000);
  cell.storeBatch();
  expect(cell.commands).to.deep.equal([]);
  cell.settle();
  expect(cell.questions[0].workers).to.deep.equal(["w2"]);
  answer(cell, ["w2"]);
  cell.settle();
  expect(cell.runs("a")).to.have.length(1);
});

it("advice: a start is sent with the newest ticket for its worker", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a", { steps: [step({ taskCount: 4 })] }));
  cell.settle();
  const [question] = cell.questions;
  const ticketOf = (ticket: string) => ({
    allowed: [{ worker: "w2", ticket }],
    validMs: 3_000,
  });
  answer(cell, ["w2"]);
  cell.scheduler.plan();
  cell.clock.advance(2_950);
  recordAdvice(question, ticketOf("newer"), cell.clock.now());
  cell.storeBatch();
  const runs = cell.commands.map((command) => (command as { run: Run }).run);
  expect(runs.map(({ ticket }) => ticket?.text)).to.deep.equal(
    Array(4).fill("newer"),
  );
  // The rejection of an older ticket says nothing about a newer one.
  recordAdvice(question, ticketOf("newest"), cell.clock.now());
  cell.scheduler.handleStartAnswer(runs[0], "refused", "noTicket");
  expect(runs[0].step.advice!.tickets.get("w2")!.text).to.equal("newest");
});

it("advice: no member of a gang starts if a ticket of one is void", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a", {
    steps: [step({ accelerators: 8, taskCount: 2, isGang: true })],
  }));
  cell.settle();
  answer(cell, ["w0", "w1"]);
  cell.scheduler.plan();
  cell.fleet.get("w1")!.crash();
  cell.pollWorkers();
  cell.entries[1] = { ...cell.entries[1], lifetime: 2 };
  cell.updateListing();
  cell.storeBatch();
  expect(cell.commands).to.deep.equal([]);
  cell.settle();
  expect(cell.questions[0].workers).to.deep.equal(["w1"]);
});

it("advice: tickets are used however short they are valid", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a"));
  cell.settle();
  const [{ workers }] = cell.questions;
  cell.scheduler.handleAdvice(cell.questions[0], {
    allowed: workers.map((worker) => ({ worker, ticket: "t" })),
    validMs: 400,
  });
  cell.settle();
  expect(cell.runs("a")).to.have.length(1);
});

// Guards against a job with advice that cannot be placed and that keeps others
// of the same needs from being asked about.
it("advice: a job that waits for its workers keeps no other waiting", () => {
  const cell = createAdvisedCell();
  cell.submit(job("blocked"));
  cell.settle();
  answer(cell, []);
  cell.submit(job("a"));
  cell.settle();
  answer(cell, ["w2"]);
  cell.settle();
  expect(cell.runs("a")).to.have.length(1);
});

// Guards against a step that may run nowhere any more: it avoids the workers on
// which it failed, and the policy allows no other.
it("advice: a step that failed on all its workers may use them again", () => {
  const cell = createAdvisedCell();
  cell.submit(job("a"));
  cell.settle();
  answer(cell, ["w2"]);
  cell.settle();
  cell.end("a", "failed");
  cell.settle();
  expect(cell.runs("a").map(({ worker }) => worker)).to.deep.equal(["w2"]);
});

// Guards against a step that waits for busy workers although the policy might
// allow idle ones.
it("advice: without room on the allowed workers, others are asked about", () => {
  const cell = createAdvisedCell({ workers: 40 });
  cell.submit(job("full", { steps: [step({ accelerators: 8 })] }));
  cell.settle();
  answer(cell, ["w0"]);
  cell.settle();
  cell.submit(job("a"));
  cell.settle();
  while (cell.questions.length > 0) {
    answer(cell, ["w0", "w39"]);
    cell.settle();
  }
  expect(cell.runs("a").map(({ worker }) => worker)).to.deep.equal(["w39"]);
});

// Guards against questions that wait for each other at the advice service, which
// handles one at a time, until all of them time out.
it("advice: few questions are open at a time, for the first jobs in rank", () => {
  const cell = createAdvisedCell();
  for (let index = 0; index < 50; index++) cell.submit(job(`j${index}`));
  cell.settle();
  const askedJobs = () => cell.questions.map(({ step }) => step.job.spec.id);
  expect(askedJobs()).to.deep.equal(["j0", "j1"]);
  for (let answers = 0; answers < 50; answers++) {
    answer(cell, cell.entries.map(({ id }) => id));
    cell.settle();
  }
  const waiting = [...cell.scheduler.state.jobs.values()].filter((one) =>
    !one.hasStarted
  );
  expect(waiting.map(({ spec }) => spec.id)).to.have.length.below(20);
});

// Guards against jobs that wait for room and whose tickets are renewed again and
// again, while a job that could start is not asked about.
it("advice: jobs that wait for room leave a question for one that need not", () => {
  const cell = createAdvisedCell();
  cell.submit(
    job("full", { steps: [step({ accelerators: 5, taskCount: 4 })] }),
  );
  cell.settle();
  answer(cell, cell.entries.map(({ id }) => id));
  cell.settle();
  for (let index = 0; index < 5; index++) {
    cell.submit(job(`big${index}`, { steps: [step({ accelerators: 8 })] }));
  }
  cell.submit(job("late"));
  cell.settle();
  const askedJobs = cell.questions.map(({ step: { job } }) => job.spec.id);
  expect(askedJobs).to.deep.equal(["big0", "late"]);
});
