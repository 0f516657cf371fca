import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";
import { createFakeWorker } from "./fake_worker.ts";

/**
 * Creates a cell whose only worker, on the VM `m0`, has crashed with a run of
 * job `a`.
 */
function createCellWithCrash() {
  const cell = createCell({ workers: 1 });
  cell.entries[0] = { ...cell.entries[0], vm: "m0", lifetime: 5 };
  cell.fleet.get("w0")!.lifetime = 5;
  cell.updateListing();
  cell.settle();
  cell.submit(job("a"));
  cell.settle();
  const crashed = cell.scheduler.state.workers.get("w0")!;
  cell.fleet.delete("w0");
  cell.scheduler.recordNoAnswer(crashed);
  return { cell, crashed };
}

type Cell = ReturnType<typeof createCell>;

/** Adds a worker with a new id to a cell. */
function addWorker(cell: Cell, id: string, vm: string, lifetime: number) {
  cell.fleet.set(id, { ...createFakeWorker(id), lifetime });
  cell.entries.push({ ...cell.entries[0], id, vm, lifetime });
  cell.updateListing();
  cell.settle();
}

const workersOf = (cell: Cell) => cell.runs("a").map(({ worker }) => worker);

it("roster: a crashed worker's run moves once its VM has another worker", () => {
  const { cell } = createCellWithCrash();
  addWorker(cell, "w1", "m0", 6);
  expect(workersOf(cell)).to.deep.equal(["w1"]);
});

it("roster: a worker on another VM proves no end of a silent worker", () => {
  const { cell, crashed } = createCellWithCrash();
  addWorker(cell, "w1", "m1", 6);
  expect(crashed.runs.size).to.equal(1);
});

it("roster: a listed worker that never answered proves no end of another", () => {
  const { cell, crashed } = createCellWithCrash();
  cell.entries.push({ ...cell.entries[0], id: "w1", lifetime: 6 });
  cell.updateListing();
  cell.settle();
  expect(crashed.runs.size).to.equal(1);
});

// The clock of the VM stepped back, so the later worker has the earlier start.
it("roster: start times do not decide which worker of a VM is alive", () => {
  const { cell } = createCellWithCrash();
  addWorker(cell, "w1", "m0", 2);
  expect(workersOf(cell)).to.deep.equal(["w1"]);
  cell.scheduler.plan();
  expect(cell.scheduler.state.workers.get("w1")!.hasEnded).to.equal(false);
});

it("roster: a run is lost when another worker answers at its address", () => {
  const { cell, crashed } = createCellWithCrash();
  cell.scheduler.recordReplacement(crashed);
  expect(crashed.runs.size).to.equal(0);
  cell.settle();
  expect(crashed.runs.size).to.equal(0);
});

it("roster: a new lead moves the run of a worker that was replaced", () => {
  const { cell } = createCellWithCrash();
  const next = createCell({ workers: 0 });
  next.scheduler.restore(cell.book.find("a")!, next.clock.now() + 10_300);
  next.entries.push({ ...cell.entries[0], id: "w1", lifetime: 6 });
  next.fleet.set("w1", { ...createFakeWorker("w1"), lifetime: 6 });
  next.updateListing();
  next.settle();
  expect(next.fleet.get("w1")!.started.map(({ number }) => number)).to.deep
    .equal([2]);
});

it("planner: nothing is placed on a worker that does not answer", () => {
  const cell = createCell({ workers: 1 });
  cell.scheduler.recordNoAnswer(cell.scheduler.state.workers.get("w0")!);
  cell.submit(job("a"));
  cell.scheduler.plan();
  expect(cell.scheduler.takeBatch()).to.equal(undefined);
  cell.settle();
  expect(workersOf(cell)).to.deep.equal(["w0"]);
});

it("planner: nothing is placed over the capacity of a worker that shrank", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a", { steps: [step({ accelerators: 4 })] }));
  cell.settle();
  const resize = (accelerators: number) => {
    const { capacity } = cell.entries[0];
    cell.entries[0] = {
      ...cell.entries[0],
      capacity: { ...capacity, accelerators },
    };
    cell.updateListing();
  };
  resize(3);
  cell.submit(job("b"));
  cell.settle();
  expect(cell.runs("b")).to.deep.equal([]);
  resize(5);
  cell.settle();
  expect(cell.runs("b")).to.have.length(1);
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1]);
});
