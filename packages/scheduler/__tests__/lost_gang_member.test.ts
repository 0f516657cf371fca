import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";
import { createFakeWorker } from "./fake_worker.ts";

/** Creates a cell with a gang that runs on both of its workers. */
function createCellWithGang() {
  const cell = createCell({ workers: 2 });
  const gang = step({ taskCount: 2, accelerators: 8, isGang: true });
  cell.submit(job("g", { steps: [gang] }));
  cell.settle();
  return cell;
}

it("gang: its other members are stopped when one is lost with its worker", () => {
  const cell = createCellWithGang();
  cell.scheduler.recordReplacement(cell.scheduler.state.workers.get("w0")!);
  cell.scheduler.plan();
  const stopped = cell.commands.map(({ kind }) => kind);
  expect(stopped).to.deep.equal(["stop"]);
});

it("gang: it starts again as a whole after its member's worker was replaced", () => {
  const cell = createCellWithGang();
  cell.scheduler.recordReplacement(cell.scheduler.state.workers.get("w0")!);
  cell.fleet.delete("w0");
  cell.entries[0] = { ...cell.entries[0], id: "w2", address: "w2" };
  cell.fleet.set("w2", createFakeWorker("w2"));
  cell.updateListing();
  cell.settle();
  expect(cell.runs("g").map(({ number }) => number)).to.deep.equal([2, 2]);
});

it("gang: its other members are stopped when the leases of one expire", () => {
  const cell = createCellWithGang();
  cell.fleet.delete("w0");
  cell.clock.advance(10_600);
  cell.pollWorkers();
  cell.scheduler.plan();
  const stopped = cell.commands.map(({ kind }) => kind);
  expect(stopped).to.deep.equal(["stop"]);
});

it("gang: its other members are stopped when one is missing from a report", () => {
  const cell = createCellWithGang();
  cell.fleet.get("w0")!.running.clear();
  cell.clock.advance(1);
  cell.pollWorkers();
  cell.scheduler.plan();
  const stopped = cell.commands.map(({ kind }) => kind);
  expect(stopped).to.deep.equal(["stop"]);
});

// The earlier lead stored that a member was lost, and ended before its stops.
it("gang: a new lead stops the other members of a gang that lost one", () => {
  const cell = createCellWithGang();
  const stored = cell.book.find("g")!;
  for (const record of stored.steps.values()) record.runs.splice(0, 1);
  const next = createCell({ workers: 2 });
  next.scheduler.restore(stored, next.clock.now() + 10_300);
  next.scheduler.plan();
  const stopped = next.commands.map(({ kind }) => kind);
  expect(stopped).to.deep.equal(["stop"]);
});
