import { expect } from "chai";
import {
  createManualClock,
  type LogFields,
  silentLogger,
} from "@rattanhill/shared";
import {
  createJobBook,
  encodeRecord,
  type JobSpec,
} from "@rattanhill/scheduler";
import {
  type CallerCall,
  createBodyDigest,
  createJobService,
  createMetrics,
  decodeStoredRecords,
  indexConfig,
} from "../src/mod.ts";
import { createMemoryStore } from "./memory_store.ts";

const ID = "0123456789abcdef";
const DEPLOYMENT = { remoteFactor: 3, reclaimMs: 3_000, stopMs: 500 };
const TOPIC = "t";
const DEFAULT_ACCOUNTS = { alpha: ["key-a", "key-a2"], beta: ["key-b"] };
const createQueue = (name: string, isPublic: boolean) => ({
  name,
  host: "h",
  pathPrefix: `/${name}/`,
  service: "s",
  isPublic,
  timeoutMs: 3_000,
  priority: 1,
  maximumAttempts: 1,
  stretch: 1,
  targetMs: 0,
});
const createConfig = (
  accounts: Record<string, string[]>,
  publicQueues: string[],
) =>
  indexConfig({
    version: 1,
    queues: ["one", "two", "open"].map((name) =>
      createQueue(name, publicQueues.includes(name))
    ),
    accounts: Object.entries(accounts).map(([name, keys]) => ({
      name,
      keys,
      guaranteedAccelerators: 0,
    })),
  }, DEPLOYMENT);

/** Creates an entry's job service over a journal that entries may share. */
function createEntry(memory = createMemoryStore()) {
  const clock = createManualClock();
  const book = createJobBook();
  const metrics = createMetrics();
  const lines: LogFields[] = [];
  const state = {
    config: createConfig(DEFAULT_ACCOUNTS, ["open"]),
    configAgeMs: 0,
    bookAgeMs: 0,
    catchUps: 0,
    waits: 0,
  };
  const readJournal = () => {
    for (
      const record of decodeStoredRecords(memory.recordsOf(TOPIC), silentLogger)
    ) book.apply(record);
  };
  const service = createJobService({
    store: memory.store,
    topic: TOPIC,
    book,
    clock,
    log: {
      ...silentLogger,
      info: (fields, message) => lines.push({ ...fields, message }),
      warn: (fields, message) => lines.push({ ...fields, message }),
    },
    config: () => state.config,
    configAgeMs: () => state.configAgeMs,
    bookAgeMs: () => state.bookAgeMs,
    catchUpBook: () => {
      state.catchUps += 1;
      readJournal();
      return Promise.resolve();
    },
    waitForBook: () => {
      state.waits += 1;
      readJournal();
      return Promise.resolve();
    },
    maximumConfigAgeMs: 4_000,
    maximumBookAgeMs: 2_500,
    storeOutageMs: () => 0,
    metrics,
  });
  const call = async (
    action: CallerCall["action"],
    { key, queue = "one", payload = "p", id = ID }: {
      key?: string;
      queue?: string;
      payload?: string;
      id?: string;
    },
  ) =>
    (await service.handle({
      action,
      host: "h",
      path: `/${queue}/${id}`,
      key,
      readJob: () => ({ payload, steps: [] }),
    })).kind;
  return { memory, book, clock, metrics, lines, state, readJournal, call };
}

const OWNER = { key: "key-a" };
const FOREIGN_CALLS = [
  { key: "key-b" },
  { key: "key-a", queue: "two" },
  { key: "key-b", queue: "two" },
  { queue: "open" },
  { queue: "open", key: "key-a" },
];

// Guards against a client account that reads or cancels another one's job, by
// the job's own queue or by the prefix of another.
it("job access: foreign calls get the answer for a job that does not exist", async () => {
  const { call, book, memory } = createEntry();
  await call("submit", OWNER);
  for (const foreign of FOREIGN_CALLS) {
    for (const action of ["ask", "cancel"] as const) {
      expect(await call(action, foreign)).to.equal("unknownJob");
    }
  }
  expect(memory.appends()).to.equal(1);
  expect(book.stateOf(ID)).to.equal("queued");
  expect(await call("ask", OWNER)).to.equal("state");
  expect(await call("cancel", OWNER)).to.equal("cancelled");
  // The job has ended; it is still only its owner's.
  expect(await call("ask", FOREIGN_CALLS[0])).to.equal("unknownJob");
  expect(await call("cancel", FOREIGN_CALLS[0])).to.equal("unknownJob");
  expect(await call("ask", OWNER)).to.equal("state");
});

// Guards against a difference between a foreign job and none, in the reply and
// in the calls to the store, also while the book is out of date.
it("job access: a foreign job and no job cannot be told apart", async () => {
  for (const bookAgeMs of [0, 3_000]) {
    const { call, state } = createEntry();
    await call("submit", OWNER);
    state.bookAgeMs = bookAgeMs;
    for (const action of ["ask", "cancel"] as const) {
      const observe = async (id: string) => {
        const before = state.catchUps;
        const kind = await call(action, { key: "key-b", id });
        return { kind, catchUps: state.catchUps - before };
      };
      const foreign = await observe(ID);
      expect(foreign).to.deep.equal(await observe("00000000000000aa"));
      expect(foreign.kind).to.equal(
        bookAgeMs === 0 ? "unknownJob" : "unavailable",
      );
    }
  }
});

// Guards against a submission that is answered as accepted although the ID
// belongs to the job of another sender.
it("job access: a known ID with another sender or body is a conflict", async () => {
  const { call, memory } = createEntry();
  await call("submit", OWNER);
  for (const foreign of FOREIGN_CALLS) {
    expect(await call("submit", foreign)).to.equal("conflict");
  }
  const otherBody = { ...OWNER, payload: "q" };
  expect(await call("submit", otherBody)).to.equal("conflict");
  expect(await call("submit", OWNER)).to.equal("accepted");
  await call("cancel", OWNER);
  expect(await call("submit", OWNER)).to.equal("accepted");
  expect(await call("submit", otherBody)).to.equal("conflict");
  expect(memory.appends()).to.equal(2);
});

// Guards against jobs that their owner loses when keys are replaced, and jobs
// that a new owner of a key gains.
it("job access: the stored account counts, not the key", async () => {
  const { call, state, book } = createEntry();
  await call("submit", OWNER);
  state.config = createConfig({ alpha: ["key-new"], beta: ["key-a"] }, []);
  expect(await call("ask", { key: "key-new" })).to.equal("state");
  expect(await call("submit", { key: "key-new" })).to.equal("accepted");
  expect(await call("ask", { key: "key-a" })).to.equal("unknownJob");
  expect(await call("cancel", { key: "key-a2" })).to.equal("unknownKey");
  // Renamed: the name is the identity, so the job has no owner for now.
  state.config = createConfig({ gamma: ["key-new"] }, []);
  expect(await call("cancel", { key: "key-new" })).to.equal("unknownJob");
  // Removed: nobody can ask, and the job stays as it is.
  state.config = createConfig({}, []);
  expect(await call("ask", { key: "key-new" })).to.equal("unknownKey");
  expect(book.stateOf(ID)).to.equal("queued");
  state.config = createConfig({ alpha: ["key-back"] }, []);
  expect(await call("ask", { key: "key-back" })).to.equal("state");
});

it("job access: keyless jobs are open to the callers of their queue", async () => {
  const { call, state } = createEntry();
  await call("submit", { queue: "open" });
  expect(await call("ask", { queue: "open" })).to.equal("state");
  expect(await call("ask", { queue: "one", key: "key-a" }))
    .to.equal("unknownJob");
  state.config = createConfig(DEFAULT_ACCOUNTS, []);
  expect(await call("ask", { queue: "open" })).to.equal("unknownKey");
  expect(await call("submit", { queue: "open", key: "key-a" }))
    .to.equal("accepted");
});

// Guards against jobs that become readable for everyone, or unknown to their
// owner, when a new configuration makes their queue public.
it("job access: jobs with an account keep it when their queue turns public", async () => {
  const { call, state } = createEntry();
  await call("submit", OWNER);
  state.config = createConfig(DEFAULT_ACCOUNTS, ["one"]);
  expect(await call("ask", {})).to.equal("unknownJob");
  expect(await call("submit", {})).to.equal("conflict");
  expect(await call("ask", { key: "key-b" })).to.equal("unknownJob");
  expect(await call("ask", OWNER)).to.equal("state");
  // While keys cannot be checked, the job must not be denied to its owner.
  state.configAgeMs = 4_500;
  expect(await call("ask", OWNER)).to.equal("unavailable");
  expect(await call("submit", OWNER)).to.equal("unavailable");
  expect(await call("cancel", {})).to.equal("unknownJob");
});

// Guards against ordinary repetitions that are refused.
it("job access: field order and jobs without a digest are no conflict", async () => {
  const step = { taskCount: 1, milliCores: 2 };
  const swapped = { milliCores: 2, taskCount: 1, image: undefined };
  const digests = [step, swapped, { ...step, milliCores: 3 }].map((each) =>
    createBodyDigest({ payload: "p", steps: [each as never] })
  );
  expect(digests[0]).to.equal(digests[1]);
  expect(digests[0]).not.to.equal(digests[2]);
  for (const bodyDigest of [undefined, "0:earlier"]) {
    const { call, book } = createEntry();
    const spec = { ...storedSpec("alpha"), bodyDigest };
    book.apply({ kind: "submission", spec });
    expect(await call("submit", OWNER)).to.equal("accepted");
    expect(await call("submit", { key: "key-b" })).to.equal("conflict");
  }
});

function storedSpec(account: string): JobSpec {
  return {
    id: ID,
    queue: "one",
    account,
    payload: "p",
    steps: [],
    submittedAt: 0,
    service: "s",
  };
}

// Guards against two senders that are both told that their job was accepted,
// where the entry has read the earlier submission before its own reply.
it("job access: the first submission in the journal is the job", async () => {
  const memory = createMemoryStore();
  const first = createEntry(memory);
  const second = createEntry(memory);
  const append = memory.store.append;
  // The other entry's record is stored just before this one, and read while the
  // store answers.
  memory.store.append = async (...args) => {
    const spec = { ...storedSpec("beta"), bodyDigest: "1:other" };
    await append(TOPIC, encodeRecord({ kind: "submission", spec }), args[2]);
    const result = await append(...args);
    second.readJournal();
    return result;
  };
  expect(await second.call("submit", OWNER)).to.equal("conflict");
  first.readJournal();
  expect(await first.call("ask", { key: "key-b" })).to.equal("state");
});

// Guards against the late sender that cancels the earlier sender's job before
// this entry has read it.
it("job access: a cancellation waits until the journal names the job", async () => {
  const memory = createMemoryStore();
  const { call, book, state } = createEntry(memory);
  const spec = { ...storedSpec("beta"), bodyDigest: "1:other" };
  await memory.store.append(
    TOPIC,
    encodeRecord({ kind: "submission", spec }),
    { timeoutMs: 1 },
  );
  expect(await call("submit", OWNER)).to.equal("accepted");
  expect(await call("cancel", OWNER)).to.equal("unknownJob");
  expect(state.waits).to.equal(1);
  expect(book.find(ID)!.spec.account).to.equal("beta");
  expect(book.stateOf(ID)).to.equal("queued");
});

it("job access: two submissions that differ are not written at once", async () => {
  const { call, memory } = createEntry();
  const kinds = await Promise.all([
    call("submit", OWNER),
    call("submit", { key: "key-b" }),
    call("submit", OWNER),
  ]);
  expect(kinds).to.deep.equal(["accepted", "unavailable", "accepted"]);
  expect(await call("submit", { key: "key-b" })).to.equal("conflict");
  expect(memory.recordsOf(TOPIC).every(({ value }) => value!.includes("alpha")))
    .to.equal(true);
});

// Guards against access checks that call the store for the owner's calls.
it("job access: the owner's calls make no further calls to the store", async () => {
  const { call, memory, state } = createEntry();
  let reads = 0;
  const { read, readNewest } = memory.store;
  memory.store.read = (...args) => {
    reads += 1;
    return read(...args);
  };
  memory.store.readNewest = (...args) => {
    reads += 1;
    return readNewest(...args);
  };
  const countCalls = () => [memory.appends(), state.catchUps, reads];
  await call("submit", OWNER);
  expect(countCalls()).to.deep.equal([1, 0, 0]);
  await call("submit", OWNER);
  await call("ask", OWNER);
  expect(countCalls()).to.deep.equal([1, 0, 0]);
  await call("cancel", OWNER);
  expect(countCalls()).to.deep.equal([2, 0, 0]);
  await call("cancel", OWNER);
  await call("ask", OWNER);
  expect(countCalls()).to.deep.equal([2, 0, 0]);
});

// Guards against a log that a flood of guesses fills, and against keys in it.
it("job access: refusals are counted and a bounded number is logged", async () => {
  const { call, lines, metrics, clock } = createEntry();
  await call("submit", OWNER);
  lines.length = 0;
  for (let guess = 0; guess < 100; guess++) {
    await call("cancel", { key: "key-b" });
    await call("submit", { key: "key-b" });
  }
  expect(lines).to.have.length(10);
  expect(lines[0]).to.deep.include({
    action: "cancel",
    account: "beta",
    job: ID,
    queue: "one",
    outcome: "unknownJob",
    message: "job access refused",
  });
  expect(JSON.stringify(lines)).not.to.include("key-b");
  expect(metrics.expose()).to.include("rattanhill_access_refused_total 200");
  clock.advance(1_000);
  await call("ask", { key: "key-b" });
  expect(lines[10]).to.deep.include({ action: "ask", notLogged: 190 });
});
