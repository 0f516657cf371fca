import { expect } from "chai";
import { createSystemClock, pause, silentLogger } from "@rattanhill/shared";
import { createWorkerList } from "../src/mod.ts";
import { createLead, ENTRY } from "./lead_fixture.ts";
import { createMemoryStore } from "./memory_store.ts";

// Guards against a process that is elected twice within a short time, and whose
// first term, still starting, takes the list of workers from the second, which
// then plans nothing as long as it leads.
it("lead start: one that is closed meanwhile does not follow the workers", async () => {
  const { store } = createMemoryStore();
  const workers = createWorkerList({
    store: {
      ...store,
      readNewest: async (...call) => {
        await pause(100);
        return await store.readNewest(...call);
      },
    },
    clock: createSystemClock(),
    log: silentLogger,
    decode: () => ENTRY,
    heartbeatMs: 1_500,
    storeSteadyMs: () => Infinity,
    onChange: () => {},
  });
  let isSlow = true;
  const { lead: first } = createLead({
    waitForBook: async () => {
      while (isSlow) await pause(1);
    },
    listWorkers: workers.follow,
  });
  const { lead: second } = createLead({ listWorkers: workers.follow });
  void first.start();
  await pause(20);
  first.close();
  workers.stop();
  void second.start();
  await pause(20);
  isSlow = false;
  await pause(400);
  const isPlanning = second.scheduler() !== undefined;
  second.close();
  workers.stop();
  expect(isPlanning).to.equal(true);
});
