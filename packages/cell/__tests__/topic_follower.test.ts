import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  pause,
  silentLogger,
  UnavailableError,
} from "@rattanhill/shared";
import { createTopicFollower } from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const WAIT_MS = 1_000;

// On a topic without new records, a long poll would delay the detection that an
// outage of the store is over by its whole wait.
it("topic follower: long polling pauses only after a failure", async () => {
  const { store } = createMemoryStore();
  const waits: number[] = [];
  let isStoreDown = false;
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: () => {},
    readIntervalMs: () => 10,
    waitMs: WAIT_MS,
    store: {
      ...store,
      read: (topic, from, limits) => {
        waits.push(limits.waitMs);
        if (!isStoreDown) return store.read(topic, from, limits);
        return Promise.reject(
          new UnavailableError(ErrorCode.logUnavailable, "503", {
            step: "store.read",
            peer: "memory",
          }),
        );
      },
    },
  });
  await pause(100);
  expect(follower.steadyMs()).to.equal(Infinity);
  isStoreDown = true;
  await pause(300);
  isStoreDown = false;
  await pause(300);
  expect(follower.steadyMs()).to.be.within(1, 600);
  follower.close();
  expect(waits[0]).to.equal(WAIT_MS);
  const firstImmediateRead = waits.findIndex((wait) => wait === 0);
  expect(firstImmediateRead).to.be.greaterThan(0);
  expect(waits.at(-1)).to.equal(WAIT_MS);
});

it("topic follower: catchUp calls share a read and wait for its records", async () => {
  const { store } = createMemoryStore();
  const appliedKeys: string[] = [];
  let catchUpReads = 0;
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: (records) => records.forEach(({ key }) => appliedKeys.push(key)),
    readIntervalMs: () => 120,
    waitMs: WAIT_MS,
    store: {
      ...store,
      read: (topic, from, limits) => {
        if (limits.waitMs === 0) catchUpReads += 1;
        return store.read(topic, from, limits);
      },
    },
  });
  await pause(20);
  const timeoutMs = WAIT_MS;
  await store.append("t", [{ key: "a", value: "1" }], { timeoutMs });
  await Promise.all(Array.from({ length: 5 }, () => follower.catchUp()));
  follower.close();
  expect(appliedKeys).to.include("a");
  expect(catchUpReads).to.equal(1);
});

// Guards against a job that is called unknown since the follower was closed
// before it had read the job's submission.
it("topic follower: catchUp fails when it is closed before the end", async () => {
  const { store } = createMemoryStore();
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: () => {},
    readIntervalMs: () => 500,
    waitMs: 10,
    store,
  });
  await pause(50);
  await store.append("t", [{ key: "a", value: "1" }], { timeoutMs: 100 });
  const outcome = follower.catchUp().then(() => "current", () => "failed");
  await pause(20);
  follower.close();
  expect(await outcome).to.equal("failed");
});

// One answer of the store holds 1 MB at most, so a backlog takes several reads.
it("topic follower: a read of part of a backlog does not count as current", async () => {
  const { store } = createMemoryStore();
  const timeoutMs = WAIT_MS;
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: () => {},
    readIntervalMs: () => 100,
    waitMs: 0,
    store: {
      ...store,
      readNewest: () => Promise.resolve({ records: [], endOffset: 0 }),
      read: async (topic, from, limits) => {
        const answer = await store.read(topic, from, limits);
        if (answer.kind === "expired") return answer;
        const records = answer.records.slice(0, 1);
        return { ...answer, records, nextOffset: from + records.length };
      },
    },
  });
  const backlog = Array.from(
    { length: 6 },
    (_, index) => ({ key: `${index}`, value: "1" }),
  );
  await pause(50);
  await store.append("t", backlog, { timeoutMs });
  await pause(350);
  expect(follower.ageMs()).to.be.greaterThan(250);
  await follower.catchUp();
  expect(follower.position()).to.equal(backlog.length);
  follower.close();
});

// Guards against one record that stops the following of a topic for good, as it
// is read and applied again and again.
it("topic follower: records after one that cannot be applied are applied", async () => {
  const { store } = createMemoryStore();
  const appliedKeys: string[] = [];
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: (records) => {
      for (const { key } of records) {
        if (key === "bad") throw new RangeError("broken");
        appliedKeys.push(key);
      }
    },
    readIntervalMs: () => 10,
    waitMs: WAIT_MS,
    store,
  });
  await pause(50);
  await store.append("t", [{ key: "bad", value: "1" }], { timeoutMs: 100 });
  await pause(50);
  await store.append("t", [{ key: "good", value: "1" }], { timeoutMs: 100 });
  await follower.catchUp();
  follower.close();
  expect(appliedKeys).to.deep.equal(["good"]);
});
