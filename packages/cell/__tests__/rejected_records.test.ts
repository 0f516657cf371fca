import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  InvalidError,
  pause,
  silentLogger,
} from "@rattanhill/shared";
import { createBatchWriter, sizeOfRecord } from "../src/mod.ts";
import { createRecordWriter } from "../src/record_writer.ts";
import { createLead } from "./lead_fixture.ts";
import { createMemoryStore } from "./memory_store.ts";

const TASKS = 400;
const LIMITS = { recordBytes: 262_144, callBytes: 2_097_152 };

// The lead repeated a rejected append for good, and started no job any more.
it("rejected records: a store that takes smaller ones stops no job", async () => {
  const memory = createMemoryStore(
    [],
    LIMITS,
    (record) => sizeOfRecord(record) <= 6_000,
  );
  const { lead, submit, waitForStart } = createLead({ store: memory.store });
  await lead.start();
  await pause(50);
  lead.submitJob({
    id: "wide",
    queue: "q",
    account: "t",
    payload: "",
    service: "planner",
    submittedAt: Date.now(),
    steps: [{
      taskCount: TASKS,
      milliCores: 1,
      memoryMegabytes: 1,
      accelerators: 0,
      estimateMs: 60_000,
      after: [],
    }],
  });
  submit("small");
  await waitForStart(TASKS + 1);
  const { jobs } = lead.scheduler()!.state;
  const outcomes = [...jobs.values()].map(({ outcome }) => outcome);
  lead.close();
  const stored = memory.recordsOf("progress");
  expect(stored.some(({ key }) => key.startsWith("step/wide.0.0:")))
    .to.equal(true);
  expect(outcomes).to.deep.equal([undefined, undefined]);
});

it("rejected records: only the one that the store rejects fails", async () => {
  const { store } = createMemoryStore([], LIMITS, ({ key }) => key !== "bad");
  const writer = createBatchWriter({
    store,
    topic: "t",
    clock: createSystemClock(),
  });
  const outcomes = await Promise.all(
    ["a", "b", "c", "bad", "d"].map((key) =>
      writer.append({ key, value: "1" }, 1_000).then((outcome) =>
        outcome === "rejected" ? outcome : "stored"
      )
    ),
  );
  expect(outcomes).to.deep.equal([
    "stored",
    "stored",
    "stored",
    "rejected",
    "stored",
  ]);
});

it("rejected records: one that may be stored stays uncertain", async () => {
  const { store } = createMemoryStore(["undone", "rejected"]);
  const storeRecord = createRecordWriter({
    store,
    topic: "t",
    clock: createSystemClock(),
    storeOutageMs: () => 0,
    log: silentLogger,
  });
  const outcome = await storeRecord({ key: "a" }, performance.now() + 2_000);
  expect(outcome).to.equal("uncertain");
});

// Such a record may be stored, so its caller must not be told that it is not.
it("rejected records: an answer that can't be decoded is no rejection", async () => {
  const { store } = createMemoryStore();
  const undecodable = new InvalidError(ErrorCode.answerDamaged, "no JSON", {
    step: "store.append",
    peer: "store",
    faults: ["no JSON"],
  });
  const storeRecord = createRecordWriter({
    store: { ...store, append: () => Promise.reject(undecodable) },
    topic: "t",
    clock: createSystemClock(),
    storeOutageMs: () => 0,
    log: silentLogger,
  });
  const outcome = await storeRecord({ key: "a" }, performance.now() + 500);
  expect(outcome).to.equal("uncertain");
});
