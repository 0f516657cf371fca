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

// Of the cold rack one worker is in use, so it would be chosen for its score.
it("cold workers: a gang on one rack prefers a rack that is not cold", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(job("small", { steps: [step({ estimateMs: 60_000 })] }));
  cell.settle();
  const [{ worker }] = cell.runs("small");
  const { rack } = cell.entries.find(({ id }) => id === worker)!;
  for (const entry of cell.entries) {
    if (entry.rack === rack) entry.coldRemainingMs = 5_000;
  }
  cell.updateListing();
  const gang = step({ taskCount: 4, isGang: true, needsOneRack: true });
  cell.submit(job("gang", { queue: "urgent", steps: [gang] }));
  cell.settle();
  const racks = cell.runs("gang").map((run) =>
    cell.entries.find(({ id }) => id === run.worker)!.rack
  );
  expect(racks).to.have.length(4).and.not.include(rack);
});

// Spanning racks costs a gang more than a cold rack.
it("cold workers: a gang uses a cold rack rather than spanning others", () => {
  const cell = createCell({ workers: 6 });
  const half = step({ accelerators: 4, estimateMs: 60_000, taskCount: 8 });
  cell.submit(job("busy", { steps: [half] }));
  cell.settle();
  for (const entry of cell.entries) {
    const isBusy = cell.runs("busy").some(({ worker }) => worker === entry.id);
    if (!isBusy) entry.coldRemainingMs = 5_000;
  }
  cell.updateListing();
  const gang = step({
    taskCount: 2,
    accelerators: 8,
    isGang: true,
    needsOneRack: true,
  });
  cell.submit(job("gang", { queue: "urgent", steps: [gang] }));
  cell.settle();
  expect(cell.runs("gang")).to.have.length(2);
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
