import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  pause,
  UncertainError,
} from "@rattanhill/shared";
import {
  createJobBook,
  type QueueRules,
  type Rules,
  type WorkerEntry,
} from "@rattanhill/scheduler";
import {
  createCellLead,
  createIdentityTracker,
  createMetrics,
  type HoldAnswer,
  type WorkerConnection,
} from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const unanswered = new UncertainError(ErrorCode.workerUnreachable, "none", {
  step: "worker.call",
  peer: "w",
});
const ENTRY: WorkerEntry = {
  id: "w",
  lifetime: 1,
  service: "planner",
  address: "a1",
  zone: "z",
  labels: ["r"],
  rack: "r",
  capacity: { milliCores: 8_000, memoryMegabytes: 8_000, accelerators: 8 },
  isDraining: false,
  remainingMs: 0,
};

const QUEUE = {
  name: "q",
  service: "planner",
  priority: 1,
  maximumAttempts: 3,
  stretch: 2,
  targetMs: 500,
};
const rulesWith = (...queues: QueueRules[]): Rules => ({
  queues: new Map(queues.map((queue) => [queue.name, queue])),
  guarantees: new Map(),
  deployment: { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 },
});
const UNCONNECTABLE: WorkerEntry = { ...ENTRY, id: "other", address: "none" };

async function startLead(
  { isRestored = false, entries = [ENTRY] } = {},
) {
  const clock = createSystemClock();
  const { store } = createMemoryStore();
  const book = createJobBook();
  const calls: string[] = [];
  const connectedIds: string[] = [];
  const lines: string[] = [];
  const writeLine = (_fields: unknown, event: string) => {
    lines.push(event);
  };
  let running: HoldAnswer["running"] = [];
  /** Addresses at which a worker answers, with its lifetime. */
  const answering = new Map([["a1", 1]]);
  const openConnection = (address: string): WorkerConnection => ({
    hold: async ({ waitMs }) => {
      await pause(Math.min(waitMs, 20) + 1);
      const lifetime = answering.get(address);
      if (lifetime === undefined) throw unanswered;
      return { clock: clock.now(), lifetime, running, ended: [] };
    },
    start: ({ task, number }) => {
      if (!answering.has(address)) return Promise.reject(unanswered);
      calls.push(`start ${number} ${address}`);
      running = [{ task, number, checkpoint: "", percent: 0 }];
      return Promise.resolve({ kind: "started", clock: clock.now() });
    },
    stop: ({ number }) => {
      if (!answering.has(address)) return Promise.reject(unanswered);
      calls.push(`stop ${number} ${address}`);
      running = [];
      return Promise.resolve(true);
    },
    close: async () => {},
  });
  const connect = (id: string, address: string): WorkerConnection => {
    connectedIds.push(id);
    if (address === UNCONNECTABLE.address) throw new TypeError("Invalid URL");
    return openConnection(address);
  };
  const lead = createCellLead({
    identities: createIdentityTracker(),
    readRemovedWorkers: () => Promise.resolve({ entries: [], left: new Set() }),
    store,
    topic: "journal",
    progressTopic: "progress",
    term: 1,
    book,
    clock,
    log: { info: writeLine, warn: writeLine, error: writeLine },
    connect,
    isLeading: () => true,
    isRenewalOverdue: () => false,
    waitForBook: async () => {},
    listWorkers: () => Promise.resolve({ entries, left: new Set() }),
    rules: () => rulesWith(QUEUE),
    catchUpOperators: async () => {},
    evacuatedZones: () => new Set(),
    areRequestsCurrent: () => true,
    keepEndedMs: 60_000,
    metrics: createMetrics(),
  });
  const spec = {
    id: "j",
    queue: "q",
    account: "t",
    payload: "",
    service: "planner",
    submittedAt: clock.wallTime(),
    steps: [{
      taskCount: 1,
      milliCores: 1,
      memoryMegabytes: 1,
      accelerators: 1,
      estimateMs: 60_000,
      after: [],
    }],
  };
  if (isRestored) {
    const task = { job: "j", occurrence: 0, step: 0, index: 0 };
    running = [{ task, number: 1, checkpoint: "", percent: 0 }];
    book.apply({ kind: "submission", spec });
    book.apply({
      kind: "progress",
      step: "j.0.0",
      progress: {
        highestRun: 1,
        done: [],
        runs: [[0, 1, "w", 1, ""]],
        failedRuns: [],
        checkpoints: [],
        crashes: [],
      },
    });
    book.apply({ kind: "cancellation", job: "j" });
  }
  await lead.start();
  if (!isRestored) lead.submitJob(spec);
  const waitFor = async (call: string, ms: number) => {
    for (let t = 0; t < ms && !calls.includes(call); t += 20) await pause(20);
    return calls;
  };
  if (!isRestored) {
    expect(await waitFor("start 1 a1", 2_000)).to.include("start 1 a1");
  }
  return {
    lead,
    calls,
    connectedIds,
    lines,
    answering,
    waitFor,
    loseRuns: () => running = [],
  };
}

it("cell lead: a worker that restarts at another address gets the stop", async () => {
  const { lead, answering, waitFor, loseRuns } = await startLead();
  answering.clear();
  loseRuns();
  await pause(300);
  answering.set("a2", 2);
  lead.updateWorkers({
    entries: [{ ...ENTRY, lifetime: 2, address: "a2" }],
    left: new Set(),
  });
  const calls = await waitFor("start 2 a2", 14_000);
  lead.close();
  expect(calls).to.include("start 2 a2");
});

it("cell lead: a run that a lost stop was meant for is stopped once listed", async () => {
  // The list has lapsed in an outage of the store when this lead takes over.
  const { lead, waitFor } = await startLead({
    isRestored: true,
    entries: [],
  });
  lead.updateWorkers({ entries: [ENTRY], left: new Set() });
  const calls = await waitFor("stop 1 a1", 5_000);
  lead.close();
  expect(calls).to.include("stop 1 a1");
});

it("cell lead: a worker that restarts at its address gets the stop", async () => {
  const { lead, answering, waitFor, loseRuns } = await startLead();
  answering.clear();
  loseRuns();
  await pause(300);
  answering.set("a1", 2);
  lead.updateWorkers({ entries: [{ ...ENTRY, lifetime: 2 }], left: new Set() });
  const calls = await waitFor("start 2 a1", 5_000);
  lead.close();
  expect(calls).to.include("start 2 a1");
});

// Guards against a worker whose connection cannot be opened and that stops all
// planning, and the takeover of the next lead.
it("cell lead: a worker that cannot be connected to stops no other", async () => {
  const { lead, waitFor } = await startLead({
    entries: [UNCONNECTABLE, ENTRY],
  });
  lead.updateWorkers({
    entries: [UNCONNECTABLE, { ...ENTRY, id: "w2", address: "a2" }, ENTRY],
    left: new Set(),
  });
  lead.cancelJob("j");
  const calls = await waitFor("stop 1 a1", 2_000);
  lead.close();
  expect(calls).to.include("stop 1 a1");
});

// Guards against runs that are given up since the entry of their worker named
// an address for a moment that no connection can be opened to.
it("cell lead: runs go on while an entry names an address that is none", async () => {
  const { lead, calls, waitFor } = await startLead();
  lead.updateWorkers({
    entries: [{ ...ENTRY, address: UNCONNECTABLE.address }],
    left: new Set(),
  });
  await pause(500);
  const [worker] = lead.scheduler()!.state.workers.values();
  expect(worker.silentSince).to.equal(undefined);
  lead.updateWorkers({ entries: [ENTRY], left: new Set() });
  lead.cancelJob("j");
  await waitFor("stop 1 a1", 2_000);
  lead.close();
  expect(calls).to.deep.equal(["start 1 a1", "stop 1 a1"]);
});

// Guards against calls, and the sending of leases, to what only another writer
// calls a worker.
it("cell lead: a worker of a service that no queue uses is not called", async () => {
  const other: WorkerEntry = { ...ENTRY, id: "x", service: "unused" };
  const { lead, connectedIds } = await startLead({ entries: [other, ENTRY] });
  expect(connectedIds).to.deep.equal(["w"]);
  lead.updateRules(rulesWith({ ...QUEUE, name: "n", service: "unused" }));
  await pause(300);
  lead.updateRules(rulesWith(QUEUE));
  await pause(300);
  lead.close();
  expect(connectedIds).to.deep.equal(["w", "x"]);
});

// Guards against a lead that asks a service without end, and logs each time,
// where the deployment has none.
it("cell lead: without an advice service, questions fail now and then", async () => {
  const { lead, lines } = await startLead();
  lead.updateRules(rulesWith({ ...QUEUE, needsAdvice: true }));
  const { jobs } = lead.scheduler()!.state;
  lead.submitJob({ ...jobs.get("j")!.spec, id: "k" });
  await pause(1_000);
  lead.close();
  expect(lines.filter((event) => event === "advice request failed").length).to
    .be
    .within(1, 10);
  expect(lines).to.not.include("advice received");
});
