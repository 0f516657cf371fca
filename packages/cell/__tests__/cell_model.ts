import { type Logger, type Milliseconds, pause } from "@rattanhill/shared";
import { PlatformTopic } from "../src/mod.ts";
import { createModelClients, tasksOf } from "./model_clients.ts";
import {
  addressOf,
  type ModelEntry,
  type ModelEntryOptions,
  startModelEntry,
} from "./model_entry.ts";
import { createModelStore, type Fate } from "./model_store.ts";
import { createModelWorker, type ModelWorker } from "./model_worker.ts";
import { installVirtualTime } from "./virtual_time.ts";

const ENTRY_COUNT = 3;
const WORKER_COUNT = 4;
/** Time from the start until jobs are submitted, and disturbances begin. */
const START_MS: Milliseconds = 3_000;
const DISTURBED_MS: Milliseconds = 12_000;
const LONGEST_DISTURBANCE_MS: Milliseconds = 2_500;
/** Time after the disturbances; all leases expire in it. */
const CALM_MS: Milliseconds = 20_000;
/** Time in calm from which a job must not wait beside free workers. */
const CONTACT_MS: Milliseconds = 4_000;
const MAXIMUM_IDLE_MS: Milliseconds = 3_000;
const WALL_START_MS: Milliseconds = 1_000_000_000_000;
const QUEUE = {
  name: "q",
  host: "h",
  pathPrefix: "/q/",
  service: "s",
  isPublic: false,
  timeoutMs: 3_000,
  priority: 1,
  maximumAttempts: 3,
  stretch: 2,
  targetMs: 500,
};
const CONFIG = {
  version: 1,
  queues: [QUEUE],
  accounts: [{ name: "a", keys: ["k"], guaranteedAccelerators: 0 }],
};
const LOST_FATES: readonly Fate[] = ["lost", "lost", "answerLost"];
const FAULTS: readonly Fate[] = ["refused", "lost", "answerLost", "late"];

/**
 * Simulates the entries of a cell, its workers, the store and client programs in
 * simulated time. For a while, calls to the store and to workers fail or are
 * slow, old records of the store are deleted, entries are killed or stand still,
 * their VMs are suspended, a worker crashes and clocks step. Then nothing is disturbed any more.
 *
 * @param seed determines all that happens
 * @param log receives the log lines of the entries
 * @returns violations: accepted jobs that are unknown, shown as failed or
 * cancelled, or not completed in the end, or that wait for 3 s beside free
 * workers in the calm, and tasks that run twice
 */
export async function simulateCell(
  seed: number,
  log: Logger,
): Promise<string[]> {
  const random = createRandom(seed);
  const pick = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(random() * items.length)];
  const time = installVirtualTime();
  const { now } = time;
  const store = createModelStore(random);
  const violations: string[] = [];
  const report = (text: string): void => {
    violations.push(`${Math.round(now())} ms: ${text}`);
  };
  const calmAt = START_MS + DISTURBED_MS;
  const endAt = calmAt + CALM_MS;
  const isCalm = () => now() >= calmAt;

  /** What all calls to the store meet, and by link until when it is cut. */
  let storeFate: Fate = "answered";
  const cutUntil = new Map<string, Milliseconds>();
  let errorRate = 0;
  let slowness = 1;
  const fateOf = (...links: string[]): Fate => {
    if (isCalm()) return "answered";
    const isCut = links.some((link) => now() < (cutUntil.get(link) ?? 0));
    if (isCut) return pick(LOST_FATES);
    return random() < errorRate ? pick(FAULTS) : "answered";
  };
  const latencyOf = (): Milliseconds =>
    (isCalm() ? 1 : slowness) * (1 + random() * 4);

  const workers = new Map<string, ModelWorker>();
  const doneTasks = new Set<string>();
  const acknowledgedTasks = new Set<string>();
  const startWorker = (id: string, lifetime: number): void => {
    const worker: ModelWorker = createModelWorker(id, {
      lifetime,
      now,
      onStart: (key) => {
        if (acknowledgedTasks.has(key)) report(`${key} starts after its end`);
        for (const other of workers.values()) {
          const runsTwice = other !== worker && other.runs.has(key);
          if (runsTwice) report(`${key} runs twice`);
        }
      },
      onEnd: (key, end) => {
        if (end === "done") doneTasks.add(key);
      },
      onAcknowledged: (key, end) => {
        if (end === "done") acknowledgedTasks.add(key);
      },
    });
    workers.set(addressOf(id), worker);
    const register = (): void => {
      if (worker.isDead()) return clearInterval(timer);
      const value = JSON.stringify({ lifetime, at: now() });
      store.write(PlatformTopic.workers, [{ key: id, value }]);
    };
    const timer = setInterval(register, 1_500);
    register();
  };

  const processes = new Map<string, ModelEntry>();
  const skews = new Map<string, Milliseconds>();
  /** Time during which a VM was suspended, which its monotonic clock omits. */
  const suspendedMs = new Map<string, Milliseconds>();
  let incarnation = 0;
  const startEntry = (node: string): void => {
    skews.set(node, (random() - 0.5) * 2_000);
    suspendedMs.set(node, suspendedMs.get(node) ?? 0);
    incarnation += 1;
    const options: ModelEntryOptions = {
      node,
      incarnation,
      clock: {
        now: () => Math.floor(now()) - suspendedMs.get(node)!,
        wallTime: () => WALL_START_MS + Math.floor(now()) + skews.get(node)!,
      },
      log,
      store: store.createClient(
        () =>
          isCalm() || storeFate === "answered"
            ? fateOf(`${node}-store`)
            : storeFate,
        latencyOf,
      ),
      random,
      workerAt: (address) => workers.get(address),
      fateOf: (address) => fateOf(`${node}-${address}`, address),
      latencyOf,
    };
    const process = time.runAs(node, () => startModelEntry(options));
    processes.set(node, process);
  };

  const killEntry = (node: string): void => {
    if (processes.size === 1) return;
    processes.get(node)?.kill();
    if (!processes.delete(node)) return;
    const downMs = Math.min(500 + random() * 2_000, calmAt - now());
    setTimeout(() => startEntry(node), downMs);
  };
  /** Returns how long the process stands still. */
  const freezeEntry = (node: string, lengthMs: Milliseconds): Milliseconds => {
    const frozenMs = Math.floor(Math.min(lengthMs, calmAt - now()));
    time.freeze(node, now() + frozenMs);
    return frozenMs;
  };
  let hasCrashed = false;
  /** Crashes a worker once; two crashes may make a job fail. */
  const crashWorker = (address: string): void => {
    if (hasCrashed) return;
    hasCrashed = true;
    const { id, lifetime, crash } = workers.get(address)!;
    crash();
    const nextId = random() < 0.5 ? id : `${id}+`;
    setTimeout(
      () => startWorker(nextId, lifetime + 1),
      500 + random() * 2_500,
    );
    if (nextId === id) return;
    setTimeout(
      () => store.write(PlatformTopic.workers, [{ key: id }]),
      4_500,
    );
  };
  const disturb = async (): Promise<void> => {
    await pause(START_MS);
    while (!isCalm()) {
      await pause(100 + random() * 700);
      const node = `e${Math.floor(random() * ENTRY_COUNT)}`;
      const address = `w${Math.floor(random() * WORKER_COUNT)}`;
      const lengthMs = random() * LONGEST_DISTURBANCE_MS;
      await pick([
        async () => {
          storeFate = pick(FAULTS);
          await pause(lengthMs);
          storeFate = "answered";
        },
        async () => {
          errorRate = random() / 2;
          await pause(lengthMs);
          errorRate = 0;
        },
        async () => {
          slowness = 1 + random() * 60;
          await pause(lengthMs);
          slowness = 1;
        },
        () => cutUntil.set(`${node}-store`, now() + lengthMs),
        () => cutUntil.set(`${node}-${address}`, now() + lengthMs),
        () => cutUntil.set(address, now() + lengthMs),
        () => killEntry(node),
        () => crashWorker(address),
        () => freezeEntry(node, lengthMs),
        () => {
          const frozenMs = freezeEntry(node, lengthMs);
          suspendedMs.set(node, suspendedMs.get(node)! + frozenMs);
        },
        () => skews.set(node, (random() - 0.5) * 10_000),
        store.expire,
      ])();
    }
  };

  const clients = createModelClients({
    random,
    now,
    lastSubmissionAt: calmAt,
    endAt,
    call: async (callerCall) => {
      const running = pick([...processes]);
      if (running === undefined) return undefined;
      const [node, { entry }] = running;
      return await time.runAs(node, async () => {
        // A process that stands still does not begin.
        await pause(1);
        return await entry.handle(callerCall);
      });
    },
    isDone: (key) => doneTasks.has(key),
    onViolation: report,
  });
  const idleSince = new Map<string, Milliseconds>();
  /** Reports accepted jobs that have had nothing running for too long. */
  const checkIdleJobs = (): void => {
    if (now() < calmAt + CONTACT_MS) return;
    const running = new Set(
      [...workers.values()].flatMap(({ runs }) => [...runs.keys()]),
    );
    for (const job of clients.jobs) {
      const { id, acceptedAt, isCancelled } = job;
      const tasks = tasksOf(job);
      const isIdle = acceptedAt !== undefined && !isCancelled &&
        tasks.some((key) => !doneTasks.has(key)) &&
        tasks.every((key) => !running.has(key));
      if (!isIdle) {
        idleSince.delete(id);
        continue;
      }
      const since = idleSince.get(id) ?? now();
      idleSince.set(id, since);
      if (now() - since < MAXIMUM_IDLE_MS) continue;
      report(`job ${id} waits`);
      idleSince.set(id, Infinity);
    }
  };

  try {
    store.write(PlatformTopic.operators, [{
      key: "config",
      value: JSON.stringify(CONFIG),
    }]);
    for (let index = 0; index < WORKER_COUNT; index++) {
      startWorker(`w${index}`, 1_000);
    }
    for (let index = 0; index < ENTRY_COUNT; index++) startEntry(`e${index}`);
    setTimeout(() => void clients.run(), START_MS);
    void disturb();
    setInterval(checkIdleJobs, 50);
    await time.runUntil(endAt);
    for (const { id, acceptedAt, isCancelled, isCompleted } of clients.jobs) {
      const isOpen = acceptedAt !== undefined && !isCancelled && !isCompleted;
      if (isOpen) report(`job ${id} is not completed`);
    }
    return violations;
  } finally {
    for (const process of processes.values()) process.kill();
    time.uninstall();
  }
}

/** Creates a source of random numbers (mulberry32). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
  };
}
