import { expect } from "chai";
import type { WorkerEntry } from "../src/mod.ts";
import { createCell, job } from "./cell_fixture.ts";

const LEASES_MS = 10_500;

/**
 * Creates a lead that has restored a run on a worker that is not listed any
 * more, and what it may learn of that worker.
 */
function createLeadAfterRemoval({ isDraining = true } = {}) {
  const earlier = createCell({ workers: 1 });
  earlier.submit(job("a"));
  earlier.settle();
  const cell = createCell({ workers: 0 });
  const stored = earlier.book.find("a")!;
  cell.scheduler.restore(stored, cell.clock.now() + LEASES_MS);
  const entry: WorkerEntry = { ...earlier.entries[0], isDraining };
  const worker = cell.scheduler.state.workers.get("w0")!;
  const find = (changes: Partial<WorkerEntry> = {}, left: string[] = []) =>
    cell.scheduler.updateRemovedWorkers({
      entries: [{ ...entry, ...changes }],
      left: new Set(left),
    });
  /** Records results of polls, one each 400 ms: refused, or not answered. */
  const poll = (...refusals: boolean[]) => {
    for (const isRefused of refusals) {
      cell.scheduler.recordNoAnswer(worker, { isRefused });
      cell.clock.advance(400);
    }
    cell.scheduler.plan();
    return worker.runs.size;
  };
  return { cell, worker, find, poll };
}

it("departed workers: a removed worker is asked at its last address", () => {
  const { cell, worker, find } = createLeadAfterRemoval();
  expect(worker.address).to.equal("");
  find();
  expect(worker.address).to.equal("w0");
  expect(worker.isListed).to.equal(false);
  expect(cell.lines.map(({ event }) => event)).to.include(
    "removed worker found in the history of the list",
  );
});

it("departed workers: a drained one whose port is closed loses its runs", () => {
  const { cell, find, poll } = createLeadAfterRemoval();
  find();
  expect(poll(true, true)).to.equal(1);
  expect(poll(true)).to.equal(0);
  expect(cell.warnings).to.include("run lost: its worker drained and left");
});

it("departed workers: one that is silent keeps its runs until its leases end", () => {
  const { cell, find, poll } = createLeadAfterRemoval();
  find();
  expect(poll(true, false, true, false, true, false)).to.equal(1);
  cell.clock.advance(LEASES_MS);
  expect(poll(false)).to.equal(0);
});

it("departed workers: a closed port proves nothing of one that was not draining", () => {
  const { find, poll } = createLeadAfterRemoval({ isDraining: false });
  find();
  expect(poll(true, true, true, true)).to.equal(1);
});

it("departed workers: a closed port proves nothing of one that is listed", () => {
  const { cell, worker, find, poll } = createLeadAfterRemoval();
  find();
  cell.entries.push({
    ...worker,
    isDraining: true,
  });
  cell.updateListing();
  expect(poll(true, true, true, true)).to.equal(1);
});

it("departed workers: one that left loses its runs once it does not answer", () => {
  const { cell, find, poll } = createLeadAfterRemoval();
  find({}, ["w0"]);
  cell.scheduler.plan();
  expect(cell.scheduler.state.jobs.get("a")!.runCount).to.equal(1);
  expect(poll(false)).to.equal(0);
});

it("departed workers: the entry of another lifetime is not taken", () => {
  const { worker, find } = createLeadAfterRemoval();
  find({ lifetime: 2 }, ["w0"]);
  expect(worker.address).to.equal("");
  expect(worker.hasLeft).to.equal(false);
});
