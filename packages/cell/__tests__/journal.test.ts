import { expect } from "chai";
import { silentLogger } from "@rattanhill/shared";
import { createJournal, sizeOfRecord } from "../src/mod.ts";
import { type AppendFault, createMemoryStore } from "./memory_store.ts";

const CANCELLATION = { kind: "cancellation", job: "a" } as const;

function createTestJournals(term: number, faults: AppendFault[] = []) {
  const memory = createMemoryStore(faults);
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
  expect(await journal.append([CANCELLATION])).to.equal(true);
  expect(recordsOf("t")).to.have.length(1);
});

it("journal: a refused or unanswered append is retried", async () => {
  const { journal, recordsOf } = createTestJournals(1, ["refused", "undone"]);
  expect(await journal.append([CANCELLATION])).to.equal(true);
  expect(recordsOf("t")).to.have.length(1);
});

it("journal: opening it in a later term fences an earlier lead", async () => {
  const { journal, create, recordsOf } = createTestJournals(1);
  expect(await journal.append([CANCELLATION])).to.equal(true);
  expect(await create(2).open()).to.equal(1);
  expect(await journal.append([CANCELLATION])).to.equal(false);
  expect(recordsOf("t")).to.have.length(1);
});

it("journal: nothing is appended once the lead is lost", async () => {
  const { journal, loseLead, appends } = createTestJournals(1);
  loseLead();
  expect(await journal.append([CANCELLATION])).to.equal(false);
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
  expect(await journal.append(records)).to.equal(true);
  expect(Math.max(...sizes)).to.be.at.most(100);
  expect(recordsOf("t").map(({ key }) => key.split("/")[1])).to.deep.equal(
    jobs,
  );
});
