import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";

/** @returns a cell of which the workers up to an index are cold for 5 s */
function createColdCell({ workers, cold }: { workers: number; cold: number }) {
  const cell = createCell({ workers });
  for (const entry of cell.entries.slice(0, cold)) {
    entry.coldRemainingMs = 5_000;
  }
  cell.updateListing();
  return cell;
}

it("cold workers: tasks use them only if nothing else fits", () => {
  const cell = createColdCell({ workers: 2, cold: 1 });
  const large = step({ accelerators: 4, estimateMs: 60_000 });
  for (const id of ["one", "two", "three"]) {
    cell.submit(job(id, { queue: "urgent", steps: [large] }));
    cell.settle();
  }
  const workers = ["one", "two", "three"].map((id) => cell.runs(id)[0].worker);
  expect(workers).to.deep.equal(["w1", "w1", "w0"]);
});

// The cold rack is nearly full, so its score is lower in spite of the penalty.
it("cold workers: a gang on one rack prefers a rack that is not cold", () => {
  const cell = createCell({ workers: 4 });
  const nearlyFull = step({
    taskCount: 2,
    milliCores: 30_000,
    memoryMegabytes: 60_000,
    accelerators: 7,
    estimateMs: 60_000,
    isGang: true,
    needsOneRack: true,
  });
  cell.submit(job("busy", { steps: [nearlyFull] }));
  cell.settle();
  const rackOf = (id: string) =>
    cell.entries.find((entry) => entry.id === id)!.rack;
  const rack = rackOf(cell.runs("busy")[0].worker);
  for (const entry of cell.entries) {
    if (entry.rack === rack) entry.coldRemainingMs = 5_000;
  }
  cell.updateListing();
  const gang = step({ taskCount: 2, isGang: true, needsOneRack: true });
  cell.submit(job("gang", { queue: "urgent", steps: [gang] }));
  cell.settle();
  const racks = cell.runs("gang").map(({ worker }) => rackOf(worker));
  expect(racks).to.have.length(2).and.not.include(rack);
});

// A gang that spans racks takes up to three times as long.
it("cold workers: a gang uses a cold rack rather than spanning others", () => {
  const cell = createCell({ workers: 6 });
  // One worker of each of the first two racks is full.
  for (const index of [0, 2]) {
    cell.entries[index].labels = ["full", cell.entries[index].rack];
  }
  for (const index of [4, 5]) cell.entries[index].coldRemainingMs = 9_000;
  cell.updateListing();
  const whole = { taskCount: 2, accelerators: 8, estimateMs: 60_000 };
  cell.submit(job("busy", {
    steps: [step({ ...whole, requiredLabel: "full" })],
  }));
  cell.settle();
  const gang = step({ ...whole, isGang: true, needsOneRack: true });
  cell.submit(job("gang", { queue: "urgent", steps: [gang] }));
  // From then on it may span racks.
  cell.clock.advance(2_900);
  cell.settle();
  const workers = cell.runs("gang").map(({ worker }) => worker).sort();
  expect(workers).to.deep.equal(["w4", "w5"]);
});

// The list is applied again whenever another entry changes.
it("cold workers: the time counts down from when the entry was read", () => {
  const cell = createColdCell({ workers: 1, cold: 1 });
  const worker = cell.scheduler.state.workers.get("w0")!;
  const coldUntil = cell.clock.now() + 5_000;
  cell.clock.advance(1_000);
  cell.updateListing();
  expect(worker.coldUntil).to.equal(coldUntil);
  cell.entries[0].coldRemainingMs = 1_000;
  cell.updateListing();
  expect(worker.coldUntil).to.equal(cell.clock.now() + 1_000);
  cell.entries[0].coldRemainingMs = undefined;
  cell.updateListing();
  expect(worker.coldUntil).to.equal(cell.clock.now());
});
