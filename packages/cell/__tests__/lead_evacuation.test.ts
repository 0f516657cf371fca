import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  pause,
  silentLogger,
  UnavailableError,
} from "@rattanhill/shared";
import { createJobBook, type WorkerEntry } from "@rattanhill/scheduler";
import {
  createCellLead,
  createIdentityTracker,
  createMetrics,
  type HoldAnswer,
  type WorkerConnection,
} from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const unavailable = new UnavailableError(ErrorCode.logUnavailable, "503", {
  step: "store.probe",
  peer: "memory",
});

const entryIn = (zone: string): WorkerEntry => ({
  id: `worker-${zone}`,
  lifetime: 1,
  service: "planner",
  address: zone,
  zone,
  labels: [],
  rack: zone,
  capacity: { milliCores: 8_000, memoryMegabytes: 8_000, accelerators: 8 },
  isDraining: false,
  remainingMs: 0,
});

/** Creates a lead with one worker in each of the zones a and b. */
function createLead(
  operators: {
    catchUpOperators?(): Promise<void>;
    evacuatedZones?(): ReadonlySet<string>;
    areRequestsCurrent?(): boolean;
    isLeading?(): boolean;
  },
) {
  const clock = createSystemClock();
  const { store } = createMemoryStore();
  /** Zones in which a task was started, in order. */
  const starts: string[] = [];
  const connect = (_id: string, zone: string): WorkerConnection => {
    const running: HoldAnswer["running"] = [];
    return {
      hold: async ({ waitMs }) => {
        await pause(Math.min(waitMs, 20) + 1);
        return { clock: clock.now(), lifetime: 1, running, ended: [] };
      },
      start: ({ task, number }) => {
        starts.push(zone);
        running.push({ task, number, checkpoint: "", percent: 0 });
        return Promise.resolve({ kind: "started", clock: clock.now() });
      },
      stop: () => Promise.resolve(true),
      close: async () => {},
    };
  };
  const queue = {
    name: "q",
    service: "planner",
    priority: 1,
    maximumAttempts: 3,
    stretch: 2,
    targetMs: 500,
  };
  const entries = [entryIn("a"), entryIn("b")];
  const lead = createCellLead({
    identities: createIdentityTracker(),
    readRemovedWorkers: () => Promise.resolve({ entries: [], left: new Set() }),
    store,
    topic: "journal",
    progressTopic: "progress",
    term: 1,
    book: createJobBook(),
    clock,
    log: silentLogger,
    connect,
    isLeading: () => true,
    isRenewalOverdue: () => false,
    waitForBook: async () => {},
    listWorkers: () => Promise.resolve({ entries, left: new Set() }),
    rules: () => ({
      queues: new Map([["q", queue]]),
      guarantees: new Map(),
      deployment: { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 },
    }),
    catchUpOperators: async () => {},
    evacuatedZones: () => new Set(),
    areRequestsCurrent: () => true,
    keepEndedMs: 60_000,
    metrics: createMetrics(),
    ...operators,
  });
  const submit = (id: string) =>
    lead.submitJob({
      id,
      queue: "q",
      account: "t",
      payload: "",
      service: "planner",
      submittedAt: clock.wallTime(),
      steps: [{
        taskCount: 2,
        milliCores: 1,
        memoryMegabytes: 1,
        accelerators: 8,
        estimateMs: 60_000,
        after: [],
      }],
    });
  return { lead, starts, submit };
}

// Guards against a new lead that starts tasks by requests which it read before
// it was elected, and against runs whose leases expire while it waits for them.
it("lead evacuation: nothing starts before the requests are read", async () => {
  const failures = Array.from({ length: 3 }, () => unavailable);
  const { lead, starts, submit } = createLead({
    catchUpOperators: async () => {
      await pause(10);
      const failure = failures.shift();
      if (failure !== undefined) throw failure;
      lead.updateEvacuations(new Set(["a"]));
    },
  });
  await lead.start();
  submit("j");
  await pause(300);
  const { workers } = lead.scheduler()!.state;
  const hasLease = [...workers.values()].every(({ leasesEndBy }) =>
    leasesEndBy > 0
  );
  expect([hasLease, starts]).to.deep.equal([true, []]);
  await pause(800);
  lead.close();
  expect(starts).to.deep.equal(["b"]);
});

it("lead evacuation: requests that are known before the start apply", async () => {
  const { lead, starts, submit } = createLead({
    evacuatedZones: () => new Set(["a"]),
  });
  await lead.start();
  submit("j");
  await pause(300);
  lead.close();
  expect(starts).to.deep.equal(["b"]);
});

it("lead evacuation: a lead whose term has ended reads no requests", async () => {
  let isLeading = true;
  let reads = 0;
  const { lead } = createLead({
    catchUpOperators: () => {
      reads += 1;
      isLeading = false;
      return Promise.reject(unavailable);
    },
    isLeading: () => isLeading,
  });
  await lead.start();
  await pause(500);
  lead.close();
  expect(reads).to.equal(1);
});

it("lead evacuation: a change takes effect on the next start", async () => {
  const { lead, starts, submit } = createLead({});
  await lead.start();
  lead.updateEvacuations(new Set(["a", "b"]));
  submit("j");
  await pause(300);
  expect(starts).to.deep.equal([]);
  lead.updateEvacuations(new Set(["b"]));
  for (let waited = 0; waited < 4_000 && starts.length === 0; waited += 20) {
    await pause(20);
  }
  lead.close();
  expect(starts).to.deep.equal(["a"]);
});

it("lead evacuation: with old requests, nothing is sent", async () => {
  let isCurrent = false;
  const { lead, starts, submit } = createLead({
    areRequestsCurrent: () => isCurrent,
  });
  await lead.start();
  submit("j");
  await pause(300);
  expect(starts).to.deep.equal([]);
  isCurrent = true;
  await pause(400);
  lead.close();
  expect(starts.sort()).to.deep.equal(["a", "b"]);
});
