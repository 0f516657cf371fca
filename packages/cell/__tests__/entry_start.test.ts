import { expect } from "chai";
import { createSystemClock, pause, silentLogger } from "@rattanhill/shared";
import {
  createCellEntry,
  createMetrics,
  journalTopic,
  PlatformTopic,
} from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const JOURNAL_READ_MS = 300;

/** Starts an entry that has read its configuration, but not its journal. */
async function startEntry() {
  const { store } = createMemoryStore();
  await store.append(PlatformTopic.operators, [{ key: "config", value: "1" }], {
    timeoutMs: 1_000,
  });
  const entry = createCellEntry({
    node: "entry",
    incarnation: "1",
    cell: 0,
    store: {
      ...store,
      readNewest: async (topic, timeoutMs) => {
        if (topic === journalTopic(0)) await pause(JOURNAL_READ_MS);
        return await store.readNewest(topic, timeoutMs);
      },
    },
    clock: createSystemClock(),
    log: silentLogger,
    metrics: createMetrics(),
    limits: {
      revocationMs: 5_000,
      visibleMs: 3_000,
      keepEndedMs: 120_000,
      heartbeatMs: 1_500,
      remoteFactor: 1,
      reclaimMs: 3_000,
      stopMs: 500,
    },
    connect: () => {
      throw new Error("there are no workers");
    },
    random: () => 0,
    electionPriority: 0,
    decodeConfig: () => ({
      version: 1,
      queues: [{
        name: "q",
        host: "h",
        pathPrefix: "/",
        service: "s",
        isPublic: true,
        timeoutMs: 3_000,
        priority: 1,
        maximumAttempts: 1,
        stretch: 1,
        targetMs: 0,
      }],
      accounts: [],
    }),
    configKey: "config",
    evacuatedZoneOf: () => undefined,
    decodeWorker: () => {
      throw new Error("there are no workers");
    },
  });
  await pause(JOURNAL_READ_MS / 3);
  return entry;
}

// It was refused, and its caller came back a second later.
it("entry start: a call before the first read of the journal waits for it", async () => {
  const entry = await startEntry();
  const reply = await entry.handle({
    action: "ask",
    host: "h",
    path: "/",
  });
  expect(reply).to.deep.equal({ kind: "pending", count: 0 });
  entry.close();
});
