import { expect } from "chai";
import fc from "fast-check";
import {
  type CellRecord,
  createJobBook,
  decodeRecord,
  encodeRecord,
} from "../src/mod.ts";
import { job } from "./cell_fixture.ts";

const RECORDS: CellRecord[] = [
  { kind: "submission", spec: job("a") },
  {
    kind: "progress",
    step: "a.0.0",
    progress: {
      highestRun: 2,
      done: [0],
      runs: [[1, 2, "w", 7]],
      failedRuns: [[1, [3]]],
      checkpoints: [[1, "c"]],
      crashes: [[1, ["w/7", "v/3"], ["w/7"]]],
    },
  },
  { kind: "start", job: "a" },
  { kind: "outcome", job: "a", outcome: "failed", at: 5 },
];

it("job book: records may arrive in any order and more than once", () => {
  const order = fc.shuffledSubarray([...RECORDS, ...RECORDS], {
    minLength: 8,
  });
  fc.assert(fc.property(order, (records) => {
    const book = createJobBook();
    records.forEach(book.apply);
    expect(book.stateOf("a")).to.equal("failed");
    expect(book.pending("normal")).to.equal(0);
    expect(book.find("a")!.steps.size).to.equal(1);
  }));
});

it("job book: each job and cancellation is reported once", () => {
  const reported: string[] = [];
  const book = createJobBook({
    submitted: ({ id }) => reported.push(id),
    cancelled: (id) => reported.push(`-${id}`),
  });
  const cancellation = { kind: "cancellation", job: "a" } as const;
  for (const record of [cancellation, RECORDS[0], RECORDS[0], cancellation]) {
    book.apply(record);
  }
  expect(reported).to.deep.equal(["a", "-a"]);
});

it("job book: pending counts jobs neither started nor cancelled", () => {
  const book = createJobBook();
  book.apply({ kind: "submission", spec: job("a") });
  book.apply({ kind: "submission", spec: job("b") });
  expect(book.pending("normal")).to.equal(2);
  book.apply(RECORDS[1]);
  book.apply({ kind: "cancellation", job: "b" });
  expect(book.pending("normal")).to.equal(0);
});

it("records: an encoded record is decoded unchanged", () => {
  for (const record of RECORDS) {
    const [{ key, value }] = encodeRecord(record);
    expect(decodeRecord(key, value)).to.deep.equal(record);
  }
});

it("records: a removal deletes every key of its job", () => {
  const removal = { kind: "removal", job: "a", steps: ["a.0.0"] } as const;
  const keys = encodeRecord({ ...removal, steps: ["a.0.0"] })
    .map(({ key }) => key);
  const stored = RECORDS.flatMap(encodeRecord).map(({ key }) => key);
  expect(keys).to.include.members(stored);
});

it("records: failures of earlier versions, without run numbers, count", () => {
  const value = JSON.stringify([5, [], [], [[0, 2], [3, 1]], [], []]);
  const record = decodeRecord("step/a.0.0", value);
  if (record?.kind !== "progress") throw new Error("expected progress");
  const counts = record.progress.failedRuns.map(([index, runs]) => [
    index,
    new Set(runs).size,
  ]);
  expect(counts).to.deep.equal([[0, 2], [3, 1]]);
});

// Guards against an entry, and the lead on it, that takes its own submission
// for the job while an earlier one with the same ID comes first in the journal.
it("job book: the first submission in the journal replaces an unconfirmed one", () => {
  const submitted: string[] = [];
  const book = createJobBook({
    submitted: ({ account }) => submitted.push(account),
  });
  book.addUnconfirmed({ ...job("a"), account: "late", queue: "other" }, 2);
  expect(book.find("a")!.spec.account).to.equal("late");
  expect([...book.jobs()]).to.deep.equal([]);
  expect(submitted).to.deep.equal([]);
  const first = { ...job("a"), account: "first" };
  book.apply({ kind: "submission", spec: first });
  book.apply({ kind: "submission", spec: { ...first, account: "late" } });
  expect(book.find("a")!.spec.account).to.equal("first");
  expect([...book.jobs()]).to.have.length(1);
  expect(submitted).to.deep.equal(["first"]);
  expect(book.pending("other")).to.equal(0);
  expect(book.pending(first.queue)).to.equal(1);
});

// Guards against a cancellation that the lead misses because it was applied
// before the submission was confirmed.
it("job book: a job cancelled before its confirmation is reported after it", () => {
  const events: string[] = [];
  const book = createJobBook({
    submitted: ({ id }) => events.push(`submitted ${id}`),
    cancelled: (id) => events.push(`cancelled ${id}`),
  });
  book.addUnconfirmed(job("a"), 1);
  book.apply({ kind: "cancellation", job: "a" });
  book.apply({ kind: "submission", spec: job("a") });
  expect(events).to.deep.equal(["submitted a", "cancelled a"]);
});

// Guards against entries that start from the newest record of each key, and
// then take a later submission of an ID for the job.
it("job book: an overwritten submission is reported, and restored by the lead", () => {
  const overwritten: string[] = [];
  const createBook = () =>
    createJobBook({
      overwritten: ({ account }) => overwritten.push(account),
    });
  const first = { ...job("a"), account: "first" };
  const second = { ...job("a"), account: "second" };
  const book = createBook();
  for (const spec of [first, first, second]) {
    book.apply({ kind: "submission", spec });
  }
  expect(overwritten).to.deep.equal(["first"]);
  const started = createBook();
  const restored = { ...first, isRestored: true };
  for (const spec of [second, restored]) {
    started.apply({ kind: "submission", spec });
  }
  expect(started.find("a")!.spec.account).to.equal("first");
  expect(overwritten).to.deep.equal(["first"]);
});
