import {
  type Clock,
  createSystemClock,
  ErrorCode,
  type Milliseconds,
  pause,
  silentLogger,
  UncertainError,
} from "@rattanhill/shared";
import { createJobBook, type WorkerEntry } from "@rattanhill/scheduler";
import {
  type CellLeadOptions,
  createCellLead,
  createIdentityTracker,
  createMetrics,
  type HoldAnswer,
  type WorkerConnection,
} from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

/** Error of a call that got no answer. */
export const unanswered = new UncertainError(
  ErrorCode.workerUnreachable,
  "none",
  {
    step: "worker.call",
    peer: "w",
  },
);
/** The worker of a lead, unless a test lists others. */
export const ENTRY: WorkerEntry = {
  id: "w",
  lifetime: 1,
  service: "planner",
  address: "a",
  zone: "z",
  labels: [],
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
/**
 * Creates a lead with workers that answer a poll at once only if a run has
 * ended.
 *
 * @param options number of start commands that never reach a worker, and of
 * immediate polls after them that are not answered, the list of workers, the
 * clock, what is called for each informative log line, and other options of the
 * lead
 * @returns the lead, the times at which its runs started, and functions to
 * submit a job of one task, wait for a start and restart the worker
 */
export function createLead(
  {
    lostStarts = 0,
    lostPolls = 0,
    entries = [ENTRY],
    clock = createSystemClock(),
    onEvent = () => {},
    ...changes
  }: {
    lostStarts?: number;
    lostPolls?: number;
    entries?: WorkerEntry[];
    clock?: Clock;
    onEvent?(event: string): void;
  } & Partial<CellLeadOptions> = {},
) {
  const startedAt: Milliseconds[] = [];
  const lines: string[] = [];
  const addLine = (event: string): void => {
    lines.push(`${clock.now()} ${event}`);
  };
  let running: HoldAnswer["running"] = [];
  let lifetime = 1;
  let isDown = false;
  let hasLostStart = false;
  const connection: WorkerConnection = {
    hold: async ({ waitMs, timeoutMs }) => {
      if (isDown) throw unanswered;
      if (hasLostStart && waitMs === 0 && lostPolls > 0) {
        lostPolls -= 1;
        await pause(timeoutMs);
        throw unanswered;
      }
      const askedLifetime = lifetime;
      await pause(waitMs + 1);
      if (isDown || lifetime !== askedLifetime) throw unanswered;
      return { clock: clock.now(), lifetime, running, ended: [] };
    },
    start: async ({ task, number, timeoutMs }) => {
      if (lostStarts > 0) {
        lostStarts -= 1;
        hasLostStart = true;
        await pause(timeoutMs);
        throw unanswered;
      }
      if (isDown) throw unanswered;
      startedAt.push(clock.now());
      running = [{ task, number, checkpoint: "", percent: 0 }];
      return { kind: "started", clock: clock.now() };
    },
    stop: () => isDown ? Promise.reject(unanswered) : Promise.resolve(true),
    close: async () => {},
  };
  const lead = createCellLead({
    identities: createIdentityTracker(),
    readRemovedWorkers: () => Promise.resolve({ entries: [], left: new Set() }),
    store: createMemoryStore().store,
    topic: "journal",
    progressTopic: "progress",
    term: 1,
    book: createJobBook(),
    clock,
    log: {
      ...silentLogger,
      info: (_fields: unknown, event: string) => {
        addLine(event);
        onEvent(event);
      },
      warn: (_fields: unknown, event: string) => addLine(event),
    },
    connect: () => connection,
    isLeading: () => true,
    isRenewalOverdue: () => false,
    waitForBook: async () => {},
    listWorkers: () => Promise.resolve({ entries, left: new Set() }),
    rules: () => ({
      queues: new Map([["q", QUEUE]]),
      guarantees: new Map(),
      deployment: { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 },
    }),
    catchUpOperators: async () => {},
    evacuatedZones: () => new Set(),
    areRequestsCurrent: () => true,
    keepEndedMs: 60_000,
    metrics: createMetrics(),
    ...changes,
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
        taskCount: 1,
        milliCores: 1,
        memoryMegabytes: 1,
        accelerators: 1,
        estimateMs: 60_000,
        after: [],
      }],
    });
  const waitForStart = async (count: number): Promise<void> => {
    const end = clock.now() + 8_000;
    while (startedAt.length < count && clock.now() < end) await pause(5);
  };
  return {
    lead,
    submit,
    startedAt,
    /** Log lines with their times, to explain a failure. */
    lines,
    waitForStart,
    now: clock.now,
    crash: async (downMs: Milliseconds) => {
      isDown = true;
      await pause(downMs);
      running = [];
      lifetime += 1;
      isDown = false;
      lead.updateWorkers({
        entries: [{ ...ENTRY, lifetime }],
        left: new Set(),
      });
    },
  };
}

/**
 * Creates a lead as {@link createLead}, starts it and submits a job.
 *
 * @param options see {@link createLead}
 * @returns see {@link createLead}
 */
export async function startLead(options?: Parameters<typeof createLead>[0]) {
  const created = createLead(options);
  await created.lead.start();
  await pause(50);
  created.submit("j");
  return created;
}
