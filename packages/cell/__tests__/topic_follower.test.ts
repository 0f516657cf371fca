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

it("follower: after a failure it asks without waiting for a new record", async () => {
  const { store } = createMemoryStore();
  const waits: number[] = [];
  let isAway = false;
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: () => {},
    paceMs: () => 10,
    waitMs: WAIT_MS,
    store: {
      ...store,
      read: (topic, from, limits) => {
        waits.push(limits.waitMs);
        if (!isAway) return store.read(topic, from, limits);
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
  isAway = true;
  await pause(300);
  isAway = false;
  await pause(300);
  follower.close();
  expect(waits[0]).to.equal(WAIT_MS);
  const afterFailures = waits.findIndex((wait) => wait === 0);
  expect(afterFailures).to.be.greaterThan(0);
  expect(waits.at(-1)).to.equal(WAIT_MS);
});

it("follower: it catches up with what was stored before it was asked", async () => {
  const { store } = createMemoryStore();
  const taken: string[] = [];
  let probes = 0;
  const follower = createTopicFollower({
    topic: "t",
    clock: createSystemClock(),
    log: silentLogger,
    apply: (records) => records.forEach(({ key }) => taken.push(key)),
    paceMs: () => 120,
    waitMs: WAIT_MS,
    store: {
      ...store,
      read: (topic, from, limits) => {
        if (limits.waitMs === 0) probes += 1;
        return store.read(topic, from, limits);
      },
    },
  });
  await pause(20);
  const timeoutMs = WAIT_MS;
  await store.append("t", [{ key: "a", value: "1" }], { timeoutMs });
  await Promise.all(Array.from({ length: 5 }, () => follower.caughtUp()));
  follower.close();
  expect(taken).to.include("a");
  expect(probes).to.equal(1);
});
