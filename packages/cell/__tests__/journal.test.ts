import { expect } from "chai";
import { silentLogger } from "@rattanhill/shared";
import type { KeyedValue } from "@rattanhill/scheduler";
import { createJournal, sizeOfRecord } from "../src/mod.ts";
import { type AppendFault, createMemoryStore } from "./memory_store.ts";

const CANCELLATION = { kind: "cancellation", job: "a" } as const;

function createTestJournals(
  term: number,
  faults: AppendFault[] = [],
  accepts?: (value: KeyedValue) => boolean,
) {
  const memory = createMemoryStore(faults, undefined, accepts);
  let isLeading = true;
  const create = (journalTerm: number) =>
    createJournal({
      store: memory.store,
      topic: "t",
      term: journalTerm,
      isLeading: () => isLeading,
      log: silentLogger,
    });
  return {
    ...memory,
    create,
    journal: create(term),
    loseLead: () => isLeading = false,
  };
}

it("journal: a record whose answer was lost is stored once", async () => {
  const { journal, recordsOf } = createTestJournals(1, ["lost"]);
  expect(await journal.append([CANCELLATION])).to.deep.equal([]);
  expect(recordsOf("t")).to.have.length(1);
});

it("journal: a refused or unanswered append is retried", async () => {
  const { journal, recordsOf } = createTestJournals(1, ["refused", "undone"]);
  expect(await journal.append([CANCELLATION])).to.deep.equal([]);
  expect(recordsOf("t")).to.have.length(1);
});

it("journal: opening it in a later term fences an earlier lead", async () => {
  const { journal, create, recordsOf } = createTestJournals(1);
  expect(await journal.append([CANCELLATION])).to.deep.equal([]);
  expect(await create(2).open()).to.equal(1);
  expect(await journal.append([CANCELLATION])).to.equal(undefined);
  expect(recordsOf("t")).to.have.length(1);
});

it("journal: nothing is appended once the lead is lost", async () => {
  const { journal, loseLead, appends } = createTestJournals(1);
  loseLead();
  expect(await journal.append([CANCELLATION])).to.equal(undefined);
  expect(appends()).to.equal(0);
});

it("journal: records are split over calls and stored in order", async () => {
  const sizes: number[] = [];
  const { store, recordsOf } = createMemoryStore([], {
    recordBytes: 100,
    callBytes: 100,
  });
  const journal = createJournal({
    store: {
      ...store,
      append: (topic, values, conditions) => {
        sizes.push(values.reduce((sum, each) => sum + sizeOfRecord(each), 0));
        return store.append(topic, values, conditions);
      },
    },
    topic: "t",
    term: 1,
    isLeading: () => true,
    log: silentLogger,
  });
  const jobs = Array.from({ length: 9 }, (_, index) => `job-${index}`);
  const records = jobs.map((job) => ({ kind: "cancellation", job }) as const);
  expect(await journal.append(records)).to.deep.equal([]);
  expect(Math.max(...sizes)).to.be.at.most(100);
  expect(recordsOf("t").map(({ key }) => key.split("/")[1])).to.deep.equal(
    jobs,
  );
});

// The lead repeated an append that the store will never take, and stored nothing
// else.
it("journal: a record that the store rejects keeps no other from it", async () => {
  const { journal, recordsOf } = createTestJournals(
    1,
    [],
    ({ key }) => !key.endsWith("job-3"),
  );
  const jobs = Array.from({ length: 9 }, (_, index) => `job-${index}`);
  const records = jobs.map((job) => ({ kind: "cancellation", job }) as const);
  expect(await journal.append(records)).to.deep.equal([records[3]]);
  expect(recordsOf("t").map(({ key }) => key.split("/")[1]))
    .to.deep.equal(jobs.filter((job) => job !== "job-3"));
});

it("journal: a store that rejects everything for a time gets all records", async () => {
  const { journal, recordsOf } = createTestJournals(1, [
    "rejected",
    "rejected",
    "rejected",
  ]);
  expect(await journal.append([CANCELLATION])).to.deep.equal([]);
  expect(recordsOf("t")).to.have.length(1);
});
