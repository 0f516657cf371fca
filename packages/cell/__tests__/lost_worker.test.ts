import { expect } from "chai";
import { type Milliseconds, pause } from "@rattanhill/shared";
import type { CellLeadOptions, ConnectWorker } from "../src/mod.ts";
import { createLead, ENTRY, unanswered } from "./lead_fixture.ts";
import { createModelWorker, type ModelWorker } from "./model_worker.ts";
import { installVirtualTime } from "./virtual_time.ts";

const ADDRESSES = ["a1", "a2"];
const STEP = {
  taskCount: 1,
  milliCores: 1,
  memoryMegabytes: 1,
  accelerators: 0,
  after: [],
};
const LASTING_KEY = "lasting.0.0.0";
const SETTLE_MS: Milliseconds = 25_000;
const SHORT_MS: Milliseconds = 400;
const SHORT_PACE_MS: Milliseconds = 150;

/** A start or an end of the long-running task. */
interface TaskEvent {
  kind: string;
  at: Milliseconds;
  address: string;
}

/** A cell with a long-running task in simulated time. */
interface Cell {
  now(): Milliseconds;
  events: TaskEvent[];
  workers: Map<string, ModelWorker>;
}

/**
 * Plays a cell of two workers.
 *
 * @param play called once the long-running task has run for a while
 * @param options what a call to a crashed worker meets, whether there are many
 * short tasks as well, and other options of the lead, by the simulated time
 */
async function playCell(
  play: (cell: Cell) => Promise<void>,
  {
    lossOf = () => Promise.reject(unanswered),
    hasShortTasks = true,
    changes = () => ({}),
  }: {
    lossOf?(timeoutMs: Milliseconds): Promise<never>;
    hasShortTasks?: boolean;
    changes?(now: () => Milliseconds): Partial<CellLeadOptions>;
  } = {},
): Promise<void> {
  const time = installVirtualTime();
  const { now } = time;
  const events: TaskEvent[] = [];
  const workers = new Map<string, ModelWorker>();
  for (const address of ADDRESSES) {
    const record = (key: string, kind: string): void => {
      if (key === LASTING_KEY) events.push({ kind, at: now(), address });
    };
    const worker = createModelWorker(address, {
      lifetime: 1,
      now,
      onStart: (key) => record(key, "start"),
      onEnd: record,
      onAcknowledged: () => {},
    });
    workers.set(address, worker);
  }
  const connect: ConnectWorker = (_id, address) => {
    const worker = workers.get(address)!;
    const call = async <Result>(
      timeoutMs: Milliseconds,
      execute: () => Result | Promise<Result>,
    ): Promise<Result> => {
      await pause(1);
      if (worker.isDead()) return await lossOf(timeoutMs);
      const result = await execute();
      return worker.isDead() ? await lossOf(timeoutMs) : result;
    };
    return {
      hold: (poll) =>
        call(poll.timeoutMs, async () => {
          const answer = await worker.hold(poll);
          if (answer === "fenced") throw unanswered;
          return answer;
        }),
      start: (command) =>
        call(command.timeoutMs, () => {
          const durationMs = Number(command.payload);
          return worker.start({ ...command, durationMs });
        }),
      stop: ({ term, task, number, timeoutMs }) =>
        call(timeoutMs, () => worker.stop(term, task, number)),
      close: async () => {},
    };
  };
  const { lead } = createLead({
    clock: { now: () => Math.floor(now()), wallTime: () => Math.floor(now()) },
    connect,
    entries: ADDRESSES.map((address) => ({ ...ENTRY, id: address, address })),
    ...changes(now),
  });
  const submit = (
    id: string,
    estimateMs: Milliseconds,
    isLongRunning = false,
  ): void =>
    lead.submitJob({
      id,
      queue: "q",
      account: "t",
      service: "planner",
      payload: String(estimateMs),
      submittedAt: now(),
      steps: [{ ...STEP, estimateMs, isLongRunning }],
    });
  let isOver = false;
  const run = async (): Promise<void> => {
    await lead.start();
    submit("lasting", 3_600_000, true);
    let shortJobs = 0;
    if (hasShortTasks) {
      setInterval(() => submit(`s${shortJobs++}`, SHORT_MS), SHORT_PACE_MS);
    }
    await pause(SETTLE_MS);
    await play({ now, events, workers });
  };
  const played = run().finally(() => isOver = true);
  try {
    while (!isOver) await time.runUntil(now() + 1_000);
    await played;
  } finally {
    lead.close();
    time.uninstall();
  }
}

/** Loses the worker of the long-running task; returns when it runs again. */
async function measureRestart(
  options?: Parameters<typeof playCell>[1],
): Promise<Milliseconds> {
  let result: Milliseconds = Infinity;
  await playCell(async ({ now, events, workers }) => {
    const lostAt = now();
    workers.get(events[0].address)!.crash();
    await pause(15_000);
    const next = events.find(({ at }) => at > lostAt);
    if (next !== undefined) result = next.at - lostAt;
  }, options);
  return result;
}

it("lost worker: its long-running task runs again within 9 s", async () => {
  expect(await measureRestart()).to.be.lessThan(9_000);
}).timeout(10_000);

it("lost worker: a worker that answers nothing delays it no longer", async () => {
  const lossOf = async (timeoutMs: Milliseconds): Promise<never> => {
    await pause(timeoutMs);
    throw unanswered;
  };
  expect(await measureRestart({ lossOf })).to.be.lessThan(9_000);
}).timeout(10_000);

// Guards against an outage of the store that ends long-running tasks, since
// their lease is shorter.
it("lost lead: long-running tasks go on for 9 s after its last renewal", async () => {
  for (const phaseMs of [0, 400, 800, 1_200, 1_600]) {
    let renewedAt: Milliseconds = Infinity;
    await playCell(async ({ now, events }) => {
      await pause(phaseMs);
      renewedAt = now();
      await pause(8_900);
      renewedAt = Infinity;
      await pause(2_000);
      expect(events.map(({ kind }) => kind), `phase ${phaseMs} ms`)
        .to.deep.equal(["start"]);
    }, {
      // Without ends of tasks, polls wait for 2 s.
      hasShortTasks: false,
      changes: (now) => ({
        isLeading: () => now() < renewedAt + 1_350,
        isRenewalOverdue: () => now() > renewedAt + 800,
      }),
    });
  }
}).timeout(10_000);
