import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  silentLogger,
  UnavailableError,
} from "@rattanhill/shared";
import type { CellRecord } from "@rattanhill/scheduler";
import { createCellJournal } from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const START: CellRecord = { kind: "start", job: "a" };
const PROGRESS: CellRecord = {
  kind: "progress",
  step: "a.0.0",
  progress: {
    highestRun: 1,
    done: [],
    runs: [],
    failedRuns: [],
    checkpoints: [],
    crashes: [],
  },
};

function createTestJournals() {
  const memory = createMemoryStore();
  let failingReads = 0;
  let isLeading = true;
  const create = (term: number) =>
    createCellJournal({
      store: {
        ...memory.store,
        readNewest: (topic, timeoutMs) => {
          if (failingReads === 0) {
            return memory.store.readNewest(topic, timeoutMs);
          }
          failingReads -= 1;
          return Promise.reject(
            new UnavailableError(ErrorCode.logUnavailable, "503", {
              step: "store.newest",
              peer: "memory",
            }),
          );
        },
      },
      topic: "journal",
      progressTopic: "progress",
      term,
      isLeading: () => isLeading,
      clock: createSystemClock(),
      log: silentLogger,
    });
  return {
    ...memory,
    create,
    failReads: (count: number) => failingReads = count,
    loseLead: () => isLeading = false,
  };
}

it("cell journal: progress is stored apart from what entries read", async () => {
  const { create, recordsOf } = createTestJournals();
  expect(await create(1).append([START, PROGRESS])).to.deep.equal([]);
  expect(recordsOf("journal").map(({ key }) => key)).to.deep.equal(["start/a"]);
  expect(recordsOf("progress").map(({ key }) => key))
    .to.deep.equal(["step/a.0.0"]);
});

it("cell journal: a later lead fences both topics", async () => {
  const { create, recordsOf } = createTestJournals();
  const earlier = create(1);
  await create(2).open();
  expect(await earlier.append([PROGRESS])).to.equal(undefined);
  expect(await earlier.append([START])).to.equal(undefined);
  expect(recordsOf("journal")).to.deep.equal([]);
  expect(recordsOf("progress")).to.deep.equal([]);
});

it("cell journal: progress is read again after a failure", async () => {
  const { create, failReads } = createTestJournals();
  await create(1).append([PROGRESS]);
  failReads(2);
  const progress = await create(2).readProgress();
  expect([...progress!.keys()]).to.deep.equal(["a"]);
});

it("cell journal: reading ends when the lead is lost", async () => {
  const { create, failReads, loseLead } = createTestJournals();
  failReads(Infinity);
  const reading = create(1).readProgress();
  loseLead();
  expect(await reading).to.equal(undefined);
});
