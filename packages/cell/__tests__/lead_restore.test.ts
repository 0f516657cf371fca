import { expect } from "chai";
import { createSystemClock } from "@rattanhill/shared";
import { createJobBook, type JobSpec } from "@rattanhill/scheduler";
import { createLead } from "./lead_fixture.ts";

const JOB_COUNT = 400;

const specOf = (id: string): JobSpec => ({
  id,
  queue: "q",
  account: "t",
  payload: "",
  service: "planner",
  submittedAt: 0,
  steps: [{
    taskCount: 1,
    milliCores: 1,
    memoryMegabytes: 1,
    accelerators: 1,
    estimateMs: 60_000,
    after: [],
  }],
});

/** Creates a lead with stored jobs, on a clock on which each reading takes 1 ms. */
function createSlowLead(options: Parameters<typeof createLead>[0] = {}) {
  const book = createJobBook();
  for (let index = 0; index < JOB_COUNT; index++) {
    book.apply({ kind: "submission", spec: specOf(`job-${index}`) });
  }
  let now = 0;
  const clock = { ...createSystemClock(), now: () => now += 1 };
  return { book, ...createLead({ book, clock, ...options }) };
}

// A lead that took over many jobs lost its lease before it had restored them.
it("lead restore: other events are handled while jobs are restored", async () => {
  let turns = 0;
  const timer = setInterval(() => turns += 1, 0);
  const countTurns = () => {
    turns += 1;
    immediate = setImmediate(countTurns);
  };
  let immediate = setImmediate(countTurns);
  const { lead } = createSlowLead();
  await lead.start();
  clearInterval(timer);
  clearImmediate(immediate);
  expect(lead.scheduler()!.state.jobs.size).to.equal(JOB_COUNT);
  lead.close();
  expect(turns).to.be.at.least(JOB_COUNT / 40);
});

it("lead restore: a cancellation meanwhile reaches a job that was restored", async () => {
  const { lead, book } = createSlowLead();
  const started = lead.start();
  const cancelFirst = () => {
    if (lead.scheduler() !== undefined) return;
    const record = { kind: "cancellation", job: "job-0" } as const;
    book.apply(record);
    lead.cancelJob("job-0");
    book.apply({ kind: "submission", spec: specOf("late") });
    lead.submitJob(specOf("late"));
  };
  for (let turn = 0; turn < 6; turn++) {
    await new Promise(setImmediate);
  }
  cancelFirst();
  await started;
  const { jobs } = lead.scheduler()!.state;
  lead.close();
  expect(jobs.get("job-0")!.isCancelled).to.equal(true);
  expect(jobs.has("late")).to.equal(true);
});

it("lead restore: it ends when the lease is lost", async () => {
  let readings = 0;
  const { lead } = createSlowLead({
    isLeading: () => (readings += 1) < JOB_COUNT / 2,
  });
  await lead.start();
  expect(lead.scheduler()).to.equal(undefined);
  lead.close();
});
