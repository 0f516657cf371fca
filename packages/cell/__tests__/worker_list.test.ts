import { expect } from "chai";
import {
  type Clock,
  createManualClock,
  type Milliseconds,
  pause,
  silentLogger,
} from "@rattanhill/shared";
import type { WorkerEntry, WorkerListing } from "@rattanhill/scheduler";
import { createWorkerList, PlatformTopic } from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const HEARTBEAT_MS: Milliseconds = 1_500;
// The list reads the store every 200 ms of real time.
const READ_PAUSE_MS: Milliseconds = 450;
const WORKER = "w";
const INVALID_ENTRY = "invalid";

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
  let listing: WorkerListing | undefined;
  const list = createWorkerList({
    clock,
    log: silentLogger,
    heartbeatMs: HEARTBEAT_MS,
    decode: (id, text) => {
      if (text === INVALID_ENTRY) throw new Error("not an entry");
      return { id } as WorkerEntry;
    },
    onChange: (changed) => listing = changed,
    store: {
      ...memory.store,
      read: async (topic, from, limits) => {
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
  const write = (value: string | undefined) =>
    memory.store.append(PlatformTopic.workers, [{ key: WORKER, value }], {
      timeoutMs: 1_000,
    });
  return {
    list,
    write,
    start: async () => {
      listing = await list.follow();
    },
    /** Lets time pass by both clocks, and then the list read the store. */
    advance: async (durationMs: Milliseconds) => {
      monotonic.advance(durationMs);
      await pause(READ_PAUSE_MS);
    },
    /** Lets only the wall clock pass, as while the VM is suspended. */
    suspend: (durationMs: Milliseconds) => suspendedMs += durationMs,
    /** Holds all answers of the store up until the result is called. */
    holdReads: () => {
      let release = () => {};
      reads = new Promise((resolve) => release = resolve);
      return release;
    },
    deleteHistory: () => hasExpired = true,
    hasLeft: () => listing!.left.has(WORKER),
    isListed: () => listing!.entries.length > 0,
  };
}

it("worker list: a removal soon after a heartbeat is a withdrawal", async () => {
  const { list, write, start, advance, hasLeft } = followList();
  await start();
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
  const { list, write, start, advance, holdReads, hasLeft } = followList();
  await start();
  await advance(0);
  const release = holdReads();
  await write("entry");
  await advance(4_500);
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
  await write("entry");
  await advance(0);
  await start();
  await advance(1_000);
  await write(undefined);
  await advance(0);
  list.stop();
  expect(hasLeft()).to.equal(false);
});
