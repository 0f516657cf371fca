import { expect } from "chai";
import {
  type Clock,
  createManualClock,
  ErrorCode,
  type Milliseconds,
  pause,
  silentLogger,
  UnavailableError,
} from "@rattanhill/shared";
import type { WorkerEntry, WorkerListing } from "@rattanhill/scheduler";
import { createWorkerList, PlatformTopic } from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const HEARTBEAT_MS: Milliseconds = 1_500;
// The list reads the store every 200 ms of real time.
const READ_PAUSE_MS: Milliseconds = 450;
// Time that one read of the store takes while the clocks are advanced.
const READ_STEP_MS: Milliseconds = 400;
// Time after which heartbeats count for a list that has just been loaded.
const SETTLED_MS: Milliseconds = 4_000;
const WORKER = "w";
const INVALID_ENTRY = "invalid";
const DRAINING_ENTRY = "draining";

/** Follows a list whose reads can be held up, with clocks set by the test. */
function followList() {
  const memory = createMemoryStore();
  const monotonic = createManualClock(100_000);
  let suspendedMs = 0;
  const clock: Clock = {
    now: monotonic.now,
    wallTime: () => monotonic.wallTime() + suspendedMs,
  };
  let reads = Promise.resolve();
  let hasExpired = false;
  let isStoreDown = false;
  let isLogBroken = false;
  let remainingMs: Milliseconds = 0;
  let listing: WorkerListing | undefined;
  let storeSteadyMs: Milliseconds = Infinity;
  const list = createWorkerList({
    clock,
    log: {
      ...silentLogger,
      warn: () => {
        if (isLogBroken) throw new RangeError("line too long");
      },
    },
    heartbeatMs: HEARTBEAT_MS,
    storeSteadyMs: () => storeSteadyMs,
    decode: (id, text) => {
      if (text === INVALID_ENTRY) throw new Error("not an entry");
      return {
        id,
        isDraining: text === DRAINING_ENTRY,
        remainingMs: 0,
      } as WorkerEntry;
    },
    onChange: (changed) => listing = changed,
    store: {
      ...memory.store,
      read: async (topic, from, limits) => {
        const stepMs = Math.min(remainingMs, READ_STEP_MS);
        remainingMs -= stepMs;
        monotonic.advance(stepMs);
        if (isStoreDown) {
          const context = { step: "store.read", peer: "memory" };
          throw new UnavailableError(ErrorCode.logUnavailable, "503", context);
        }
        if (hasExpired) {
          hasExpired = false;
          return { kind: "expired" };
        }
        const answer = await memory.store.read(topic, from, limits);
        await reads;
        return answer;
      },
      readNewest: (topic) => {
        const records = memory.recordsOf(topic);
        const newest = new Map(records.map((record) => [record.key, record]));
        return Promise.resolve({
          records: [...newest.values()].filter(({ value }) =>
            value !== undefined
          ),
          endOffset: records.length,
        });
      },
    },
  });
  const write = (value: string | undefined, key = WORKER) =>
    memory.store.append(PlatformTopic.workers, [{ key, value }], {
      timeoutMs: 1_000,
    });
  return {
    list,
    write,
    start: async () => {
      listing = await list.follow();
    },
    /**
     * Lets time pass by both clocks while the list reads the store, and then
     * the list read it once more.
     */
    advance: async (durationMs: Milliseconds) => {
      remainingMs = durationMs;
      while (remainingMs > 0) await pause(5);
      await pause(READ_PAUSE_MS);
    },
    /** Lets time pass by both clocks without an answer of the store. */
    stall: (durationMs: Milliseconds) => monotonic.advance(durationMs),
    /** Makes the store refuse all reads, or answer them again. */
    setStoreDown: (isDown: boolean) => isStoreDown = isDown,
    /** Lets only the wall clock pass, as while the VM is suspended. */
    suspend: (durationMs: Milliseconds) => suspendedMs += durationMs,
    /** Holds all answers of the store up until the result is called. */
    holdReads: () => {
      let release = () => {};
      reads = new Promise((resolve) => release = resolve);
      return release;
    },
    deleteHistory: () => hasExpired = true,
    setStoreSteadyMs: (durationMs: Milliseconds) => storeSteadyMs = durationMs,
    /** Makes each line of the log throw. */
    breakLog: () => isLogBroken = true,
    hasLeft: () => listing!.left.has(WORKER),
    isListed: () => listing!.entries.length > 0,
  };
}

it("worker list: a removal soon after a heartbeat is a withdrawal", async () => {
  const { list, write, start, advance, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(true);
});

it("worker list: a removal proves nothing before a heartbeat is seen", async () => {
  const { list, write, start, advance, hasLeft, isListed } = followList();
  await write("entry");
  await start();
  expect(isListed()).to.equal(true);
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(isListed()).to.equal(false);
  expect(hasLeft()).to.equal(false);
});

it("worker list: heartbeats before a reload of the list prove nothing", async () => {
  const { list, write, start, advance, deleteHistory, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(0);
  deleteHistory();
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

it("worker list: a heartbeat read late counts from the earlier read", async () => {
  const { list, write, start, advance, stall, holdReads, hasLeft } =
    followList();
  await start();
  await advance(SETTLED_MS);
  const release = holdReads();
  await write("entry");
  stall(4_500);
  await advance(0);
  release();
  await advance(0);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

it("worker list: time while the VM is suspended counts as silence", async () => {
  const { list, write, start, advance, suspend, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(0);
  suspend(4_500);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

it("worker list: an invalid entry is no heartbeat", async () => {
  const { list, write, start, advance, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  await write(INVALID_ENTRY);
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

it("worker list: a second lead trusts no heartbeat that the first one saw", async () => {
  const { list, write, start, advance, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(0);
  await start();
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

it("worker list: a removal while the store refuses reads is no withdrawal", async () => {
  const { list, write, start, advance, setStoreDown, hasLeft, isListed } =
    followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(0);
  setStoreDown(true);
  await advance(400);
  await write(undefined);
  setStoreDown(false);
  await advance(0);
  list.stop();
  expect(isListed()).to.equal(false);
  expect(hasLeft()).to.equal(false);
});

it("worker list: a removal while an answer is late is no withdrawal", async () => {
  const { list, write, start, advance, stall, holdReads, hasLeft, isListed } =
    followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(0);
  const release = holdReads();
  await advance(0);
  stall(1_500);
  release();
  await write(undefined);
  await advance(0);
  list.stop();
  expect(isListed()).to.equal(false);
  expect(hasLeft()).to.equal(false);
});

it("worker list: a heartbeat before an outage proves nothing after it", async () => {
  const { list, write, start, advance, setStoreDown, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  await write("entry");
  await advance(0);
  setStoreDown(true);
  await advance(400);
  setStoreDown(false);
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

it("worker list: heartbeats count again once the store has been steady", async () => {
  const { list, write, start, advance, setStoreDown, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  setStoreDown(true);
  await advance(400);
  setStoreDown(false);
  await advance(0);
  const results: boolean[] = [];
  for (const steadyMs of [500, SETTLED_MS]) {
    await advance(steadyMs);
    await write("entry");
    await advance(1_000);
    await write(undefined);
    await advance(0);
    results.push(hasLeft());
  }
  list.stop();
  expect(results).to.deep.equal([false, true]);
});

it("worker list: a heartbeat soon after a load of the list proves nothing", async () => {
  const { list, write, start, advance, deleteHistory, hasLeft } = followList();
  await start();
  await advance(SETTLED_MS);
  deleteHistory();
  await advance(1_000);
  await write("entry");
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});

// Guards against an entry whose handling throws, even in the line that says so,
// and that hides the entries after it.
it("worker list: an entry that fails in any way hides no other", async () => {
  const { list, write, start, breakLog, isListed } = followList();
  breakLog();
  await write(INVALID_ENTRY, "other");
  await write("entry");
  await start();
  list.stop();
  expect(isListed()).to.equal(true);
});

it("worker list: the last entry of a removed worker is found, also in part of the history", async () => {
  const { list, write, start, deleteHistory } = followList();
  for (const key of [WORKER, "a", "b"]) await write("entry", key);
  await write(undefined);
  await start();
  await pause(READ_PAUSE_MS);
  const removed = await list.readRemoved(new Set([WORKER]));
  expect(removed.entries.map(({ id }) => id)).to.deep.equal([WORKER]);
  expect(removed.left.size).to.equal(0);
  deleteHistory();
  const inPart = await list.readRemoved(new Set([WORKER]));
  expect(inPart.entries).to.deep.equal([]);
  list.stop();
});

// Its task ran twice if it was only cut off, and its entry removed meanwhile.
it("worker list: no removal shows that a worker left if the store was away", async () => {
  const { list, write, start, setStoreSteadyMs } = followList();
  for (const key of ["a", "b", "c"]) await write("entry", key);
  await write(DRAINING_ENTRY);
  await write(undefined);
  for (const key of ["a", "b", "c"]) await write("entry", key);
  await start();
  await pause(READ_PAUSE_MS);
  const hasLeft = async () =>
    (await list.readRemoved(new Set([WORKER]))).left.has(WORKER);
  expect(await hasLeft()).to.equal(true);
  setStoreSteadyMs(6 * HEARTBEAT_MS - 1);
  expect(await hasLeft()).to.equal(false);
  list.stop();
});
