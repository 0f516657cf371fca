import { expect } from "chai";
import { createCell, job } from "./cell_fixture.ts";

const TASK = { job: "a", occurrence: 0, step: 0, index: 0 };

/** Creates a cell whose only worker restarts while it runs job `a`. */
function createCellWithRestart() {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  const worker = cell.scheduler.state.workers.get("w0")!;
  const [run] = worker.runs;
  const askedAt = cell.clock.now();
  cell.clock.advance(1);
  cell.fleet.get("w0")!.crash();
  cell.pollWorkers();
  return { cell, worker, run, askedAt };
}

it("scheduler: a late report of an earlier lifetime handles no ends", () => {
  const { cell, worker, askedAt } = createCellWithRestart();
  const task = { ...TASK, job: "other" };
  cell.scheduler.applyWorkerReport(worker, 1, {
    askedAt,
    running: [],
    ended: [{ position: 40, task, number: 1, end: "done", checkpoint: "" }],
  });
  expect(worker.lastHandledEnd).to.equal(0);
});

it("scheduler: a late report of an earlier lifetime proves no absence", () => {
  const { cell, worker, run, askedAt } = createCellWithRestart();
  const { number } = run;
  cell.scheduler.applyWorkerReport(worker, 1, {
    askedAt,
    running: [{ task: TASK, number, checkpoint: "", percent: 10 }],
    ended: [],
  });
  cell.clock.advance(1);
  cell.pollWorkers();
  expect(worker.runs.has(run)).to.equal(true);
});

// The clock of the VM stepped back while the worker restarted.
it("scheduler: a worker may restart with an earlier start time", () => {
  const cell = createCell({ workers: 1 });
  cell.entries[0] = { ...cell.entries[0], lifetime: 5 };
  cell.fleet.get("w0")!.lifetime = 5;
  cell.updateListing();
  cell.submit(job("a"));
  cell.settle();
  cell.fleet.get("w0")!.crash();
  cell.fleet.get("w0")!.lifetime = 3;
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([2]);
});

it("scheduler: ends stored for an earlier lifetime acknowledge none of the next", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(job("a"));
  cell.settle();
  cell.end("a", "done");
  cell.pollWorkers();
  const batch = cell.scheduler.takeBatch()!;
  cell.clock.advance(1);
  cell.fleet.get("w0")!.crash();
  cell.pollWorkers();
  cell.scheduler.handleBatchStored(batch);
  expect(cell.scheduler.state.workers.get("w0")!.lastStoredEnd).to.equal(0);
});

it("roster: an entry of a superseded lifetime does not bring it back", () => {
  const cell = createCell({ workers: 1 });
  cell.entries[0] = { ...cell.entries[0], lifetime: 5 };
  cell.fleet.get("w0")!.lifetime = 5;
  cell.updateListing();
  cell.settle();
  // Restarts under its id after its clock stepped back; a list that was read
  // late still has its earlier entry.
  cell.fleet.get("w0")!.crash();
  cell.fleet.get("w0")!.lifetime = 3;
  cell.settle();
  cell.submit(job("a"));
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1]);
  cell.entries[0] = { ...cell.entries[0], lifetime: 5 };
  cell.updateListing();
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1]);
});

// Its process has seen the higher token, and would reject every call.
it("roster: the fencing token of a worker that is found again does not fall", () => {
  const cell = createCell({ workers: 1 });
  const { workers } = cell.scheduler.state;
  expect(workers.get("w0")!.tokenOffset).to.equal(0);
  cell.fleet.get("w0")!.crash();
  cell.settle();
  expect(workers.get("w0")!.tokenOffset).to.equal(1);
  const [entry] = cell.entries.splice(0);
  cell.updateListing();
  expect(workers.has("w0")).to.equal(false);
  cell.entries.push(entry);
  cell.updateListing();
  expect(workers.get("w0")!.tokenOffset).to.equal(1);
});

// Guards against a worker whose reports are ignored for good: it has restarted
// twice while its clock stepped back, and the entry of the first time is late.
it("roster: a late entry of a lifetime that is over does not replace the current one", () => {
  const cell = createCell({ workers: 1 });
  const worker = cell.fleet.get("w0")!;
  cell.entries[0] = { ...cell.entries[0], lifetime: 5 };
  worker.lifetime = 5;
  cell.updateListing();
  cell.settle();
  worker.crash();
  worker.lifetime = 3;
  cell.clock.advance(1);
  cell.pollWorkers();
  cell.entries[0] = { ...cell.entries[0], lifetime: 4 };
  cell.updateListing();
  cell.settle();
  cell.submit(job("a"));
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([1]);
});
