import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";

it("stored placement: no start over a capacity that shrank meanwhile", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a", { steps: [step({ accelerators: 4 })] }));
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  const { capacity } = cell.entries[0];
  cell.entries[0] = {
    ...cell.entries[0],
    capacity: { ...capacity, accelerators: 3 },
  };
  cell.updateListing();
  cell.scheduler.handleBatchStored(batch);
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal([]);
});

it("stored placement: no start on a lifetime without the required label", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a", { steps: [step({ requiredLabel: "a" })] }));
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  cell.entries[0] = { ...cell.entries[0], lifetime: 2, labels: ["b"] };
  cell.fleet.get("w0")!.crash();
  cell.updateListing();
  cell.scheduler.handleBatchStored(batch);
  cell.storeBatch();
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal([]);
});

it("stored placement: no member of a gang starts if one cannot", () => {
  const cell = createCell({ workers: 2 });
  cell.submit(job("g", {
    steps: [step({ taskCount: 2, accelerators: 8, isGang: true })],
  }));
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  cell.scheduler.recordReplacement(cell.scheduler.state.workers.get("w0")!);
  cell.scheduler.handleBatchStored(batch);
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal([]);
});

it("stored placement: no start on a worker that fell silent meanwhile", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get("w0")!);
  cell.scheduler.handleBatchStored(batch);
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal([]);
});

// A restarted worker may have other labels and another capacity.
it("placement: nothing starts on a restarted worker before its entry is renewed", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a", { steps: [step({ requiredLabel: "a" })] }));
  cell.scheduler.plan();
  const batch = cell.scheduler.takeBatch()!;
  cell.fleet.get("w0")!.crash();
  cell.clock.advance(1);
  cell.pollWorkers();
  cell.scheduler.handleBatchStored(batch);
  for (let round = 0; round < 3; round++) {
    cell.pollWorkers();
    cell.scheduler.plan();
    cell.storeBatch();
  }
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal([]);
  cell.entries[0] = { ...cell.entries[0], lifetime: 2, labels: ["b"] };
  cell.updateListing();
  cell.settle();
  expect(cell.fleet.get("w0")!.started).to.deep.equal([]);
});
