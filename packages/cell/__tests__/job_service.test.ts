import { expect } from "chai";
import {
  type Clock,
  createManualClock,
  createSystemClock,
  ErrorCode,
  pause,
  silentLogger,
  UncertainError,
} from "@rattanhill/shared";
import { createJobBook, type JobBook } from "@rattanhill/scheduler";
import {
  type CallerCall,
  createJobService,
  createMetrics,
  decodeStoredRecords,
  indexConfig,
  type Store,
} from "../src/mod.ts";
import type { UnknownJobAnswer } from "../src/unknown_jobs.ts";
import { type AppendFault, createMemoryStore } from "./memory_store.ts";

const ID = "0123456789abcdef";
const DEPLOYMENT = { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 };
const createQueue = (name: string, pathPrefix: string, isPublic = false) => ({
  name,
  host: "h",
  pathPrefix,
  service: "s",
  isPublic,
  timeoutMs: 3_000,
  priority: 1,
  maximumAttempts: 1,
  stretch: 1,
  targetMs: 0,
});
const CONFIG = indexConfig({
  version: 1,
  queues: [
    createQueue("short", "/a/"),
    createQueue("long", "/a/b/"),
    createQueue("open", "/open/", true),
  ],
  accounts: [{ name: "routes", keys: ["k"], guaranteedAccelerators: 0 }],
}, DEPLOYMENT);

/** Creates a service over a memory store, with the given ages and faults. */
function createService(
  {
    faults = [],
    configAgeMs = 0,
    bookAgeMs = 0,
    outageMs = 0,
    hasConfig = true,
    catchUpBook = () => Promise.resolve(),
    clock = createManualClock(),
    append,
    maximumJobBytes,
  }: {
    faults?: AppendFault[];
    configAgeMs?: number;
    bookAgeMs?: number;
    outageMs?: number;
    hasConfig?: boolean;
    catchUpBook?: (book: JobBook) => Promise<void>;
    clock?: Clock;
    append?: Store["append"];
    maximumJobBytes?: number;
  } = {},
) {
  const memory = createMemoryStore(faults);
  const { recordsOf } = memory;
  const book = createJobBook();
  const unknownJobs: UnknownJobAnswer[] = [];
  const service = createJobService({
    store: { ...memory.store, append: append ?? memory.store.append },
    topic: "t",
    book,
    clock,
    log: silentLogger,
    config: () => hasConfig ? CONFIG : undefined,
    configAgeMs: () => configAgeMs,
    bookAgeMs: () => bookAgeMs,
    catchUpBook: () => catchUpBook(book),
    // Reads the journal as the entry's follower does.
    waitForBook: () => {
      for (const record of decodeStoredRecords(recordsOf("t"), silentLogger)) {
        book.apply(record);
      }
      return Promise.resolve();
    },
    maximumConfigAgeMs: 4_000,
    maximumBookAgeMs: 2_500,
    storeOutageMs: () => outageMs,
    maximumJobBytes,
    onUnknownJob: (answer) => unknownJobs.push(answer),
    metrics: createMetrics(),
  });
  const call = (changes: Partial<CallerCall> = {}) =>
    service.handle({
      action: "submit",
      host: "h",
      path: `/a/${ID}`,
      key: "k",
      readJob: () => ({ payload: "", steps: [] }),
      ...changes,
    });
  return { ...memory, book, call, unknownJobs };
}

it("job service: the longest matching prefix selects the queue", async () => {
  const { call, book } = createService();
  await call({ path: `/a/b/${ID}` });
  expect(book.find(ID)!.spec.queue).to.equal("long");
});

it("job service: a repeated submission is accepted without a write", async () => {
  const { call, appends } = createService();
  await call();
  expect((await call()).kind).to.equal("accepted");
  expect(appends()).to.equal(1);
});

it("job service: a write refused twice is answered as unavailable", async () => {
  const { call, recordsOf } = createService({ faults: ["refused", "refused"] });
  expect((await call()).kind).to.equal("unavailable");
  expect(recordsOf("t")).to.deep.equal([]);
});

it("job service: an unanswered write is never reported as refused", async () => {
  const { call } = createService({ faults: ["undone", "refused"] });
  expect((await call()).kind).to.equal("accepted");
});

it("job service: an outage refuses writes with the long retry delay", async () => {
  const { call, appends } = createService({ outageMs: 5_000 });
  const reply = await call();
  expect(reply).to.include({ kind: "unavailable", retryAfterMs: 2_000 });
  expect(appends()).to.equal(0);
});

it("job service: an old configuration serves only public queues", async () => {
  const { call } = createService({ configAgeMs: 4_500 });
  expect((await call()).kind).to.equal("unavailable");
  const publicCall = { path: `/open/${ID}`, key: undefined };
  expect((await call(publicCall)).kind).to.equal("accepted");
});

it("job service: only an up-to-date book reports jobs as unknown", async () => {
  const ask = { action: "ask" } as const;
  expect((await createService().call(ask)).kind).to.equal("unknownJob");
  expect((await createService({ bookAgeMs: 3_000 }).call(ask)).kind)
    .to.equal("unavailable");
});

it("job service: calls before any configuration are unavailable", async () => {
  const { call } = createService({ hasConfig: false });
  expect((await call()).kind).to.equal("unavailable");
});

it("job service: unknown hosts and keys and invalid IDs are rejected", async () => {
  const { call } = createService();
  expect((await call({ host: "x" })).kind).to.equal("unknownQueue");
  expect((await call({ path: "/a/zzz" })).kind).to.equal("unknownQueue");
  expect((await call({ key: "x" })).kind).to.equal("unknownKey");
});

it("job service: a cancellation is acknowledged once it is stored", async () => {
  const { call, recordsOf } = createService();
  expect((await call({ action: "cancel" })).kind).to.equal("unknownJob");
  await call();
  expect((await call({ action: "cancel" })).kind).to.equal("cancelled");
  expect(recordsOf("t").map(({ key }) => key)).to.deep.equal([
    `job/${ID}`,
    `cancel/${ID}`,
  ]);
});

/** Applies a submission that another entry has just stored. */
function applyLateSubmission(book: JobBook): Promise<void> {
  book.apply({
    kind: "submission",
    spec: {
      id: ID,
      queue: "short",
      account: "routes",
      payload: "",
      steps: [],
      submittedAt: 0,
      service: "s",
    },
  });
  return Promise.resolve();
}

it("job service: a job just accepted by another entry can be cancelled", async () => {
  const { call, book } = createService({ catchUpBook: applyLateSubmission });
  const reply = await call({ action: "cancel" });
  expect(reply).to.deep.equal({ kind: "cancelled" });
  expect(book.stateOf(ID)).to.equal("cancelled");
});

it("job service: a job just accepted by another entry is found", async () => {
  const { call } = createService({ catchUpBook: applyLateSubmission });
  const reply = await call({ action: "ask" });
  expect(reply).to.deep.equal({ kind: "state", state: "queued" });
});

it("job service: no job is unknown while the store cannot be read", async () => {
  const catchUpBook = () => Promise.reject(new Error("no answer"));
  for (const action of ["ask", "cancel"] as const) {
    const { call } = createService({ catchUpBook });
    expect((await call({ action })).kind).to.equal("unavailable");
  }
});

it("job service: a job whose records would be too large is rejected", async () => {
  const { call, recordsOf } = createService();
  const largePayload = await call({
    readJob: () => ({ payload: "x".repeat(262_144), steps: [] }),
  });
  expect(largePayload.kind).to.equal("invalid");
  const manyTasks = await call({
    readJob: () => ({
      payload: "",
      steps: [{
        taskCount: 10_000,
        milliCores: 1,
        memoryMegabytes: 1,
        accelerators: 0,
        estimateMs: 1,
        after: [],
      }],
    }),
  });
  expect(manyTasks.kind).to.equal("invalid");
  expect(recordsOf("t")).to.have.length(0);
});

it("job service: a fast store serves calls with short deadlines", async () => {
  const { call } = createService();
  expect(await call({ deadlineMs: 120 })).to.deep.equal({ kind: "accepted" });
  const reply = await call({ action: "cancel", deadlineMs: 120 });
  expect(reply).to.deep.equal({ kind: "cancelled" });
});

// Two appends may be in flight; further ones wait behind them.
it("job service: calls behind a silent store are answered in time", async () => {
  const deadlineMs = 400;
  const { call } = createService({
    clock: createSystemClock(),
    append: async (_topic, _records, { timeoutMs }) => {
      await pause(timeoutMs);
      throw new UncertainError(ErrorCode.logUncertain, "no answer", {
        step: "store.append",
        peer: "memory",
      });
    },
  });
  const startedAt = performance.now();
  const calls = await Promise.all(
    Array.from({ length: 6 }, async (_, index) => {
      await pause(index * 20);
      const sentAt = performance.now();
      const reply = await call({
        path: `/a/${ID.slice(1)}${index}`,
        deadlineMs,
      });
      return { reply, tookMs: performance.now() - sentAt };
    }),
  );
  expect(calls.filter(({ tookMs }) => tookMs > deadlineMs)).to.deep.equal([]);
  expect(calls[0].reply.kind).to.equal("uncertain");
  expect(performance.now() - startedAt).to.be.lessThan(2 * deadlineMs);
});

it("job service: an answer that a job is unknown is passed on for the log", async () => {
  const { call, book, unknownJobs } = createService({ bookAgeMs: 120 });
  book.apply({ kind: "outcome", job: ID, outcome: "completed", at: 1 });
  expect((await call({ action: "ask" })).kind).to.equal("unknownJob");
  expect(unknownJobs).to.deep.equal([{
    action: "ask",
    job: ID,
    queue: "short",
    account: "routes",
    bookAgeMs: 120,
    catchUpMs: 0,
    hasEarlyRecords: true,
  }]);
});

// All accepted jobs were held in memory, until the heap of every entry was full.
it("job service: a job that does not fit into memory is refused unstored", async () => {
  const { call, recordsOf } = createService({ maximumJobBytes: 1_000 });
  const reply = await call();
  expect(reply).to.include({ kind: "unavailable" });
  expect(recordsOf("t")).to.deep.equal([]);
});

it("job service: without room for jobs, a repetition is accepted", async () => {
  const { call, book } = createService({ maximumJobBytes: 3_000 });
  expect((await call()).kind).to.equal("accepted");
  const other = { path: "/a/00000000000000ff" };
  expect((await call(other)).kind).to.equal("unavailable");
  expect((await call()).kind).to.equal("accepted");
  expect(book.stateOf(ID)).to.equal("queued");
});
