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
