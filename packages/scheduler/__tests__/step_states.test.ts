import { expect } from "chai";
import { createCell } from "./cell_fixture.ts";
import { chain, idsOf, measureHeap, readBook } from "./heap_fixture.ts";

const STEPS = 2_000;
const JOBS = 10;
const TIMEOUT_MS = 30_000;

// Each step of an accepted job took 1.7 KB of a lead, so that some 55 large jobs
// filled its heap, and that of each next lead.
it("step states: a step whose turn has not come takes little of a lead", () => {
  const cell = createCell();
  const { bytes } = measureHeap(() => {
    const book = readBook(idsOf(JOBS).map((id) => chain(id, STEPS)));
    for (const { spec } of book.jobs()) cell.scheduler.submit(spec);
    cell.scheduler.plan();
    return book;
  });
  expect(bytes / JOBS / STEPS).to.be.below(400);
}).timeout(TIMEOUT_MS);

it("step states: only the steps whose turn has come have a state", () => {
  const cell = createCell();
  cell.submit(chain("a", 5));
  cell.settle();
  expect([...cell.scheduler.state.jobs.get("a")!.steps.keys()]).to.deep.equal([
    "a.0.0",
  ]);
});

it("step states: a step is dropped once its end is stored", () => {
  const cell = createCell();
  cell.submit(chain("a", 5));
  cell.settle();
  cell.end("a", "done");
  cell.settle();
  const { steps } = cell.scheduler.state.jobs.get("a")!;
  expect([...steps.keys()]).to.deep.equal(["a.0.1"]);
  expect(cell.book.find("a")!.steps.get("a.0.0")!.done).to.deep.equal([0]);
});

it("step states: a restored step that is done has no state", () => {
  const cell = createCell();
  cell.submit(chain("a", 3));
  cell.settle();
  cell.end("a", "done");
  cell.settle();
  const next = createCell();
  next.scheduler.restore(cell.book.find("a")!, next.clock.now() + 10_000);
  next.scheduler.plan();
  const { steps } = next.scheduler.state.jobs.get("a")!;
  expect([...steps.keys()]).to.deep.equal(["a.0.1"]);
});

it("step states: a late end of a dropped step changes nothing", () => {
  const cell = createCell({ workers: 1 });
  cell.submit(chain("a", 2));
  cell.settle();
  cell.end("a", "done");
  cell.settle();
  const worker = cell.scheduler.state.workers.get("w0")!;
  cell.scheduler.applyWorkerReport(worker, 1, {
    askedAt: cell.clock.now(),
    running: [],
    hasMoreEnds: true,
    ended: [1, 2, 3].map((number) => ({
      position: worker.lastHandledEnd + number,
      task: { job: "a", occurrence: 0, step: 0, index: 0 },
      number,
      end: "failed",
      checkpoint: "",
    })),
  });
  cell.settle();
  const known = cell.scheduler.state.jobs.get("a")!;
  expect(known.outcome).to.equal(undefined);
  expect([...known.steps.keys()]).to.deep.equal(["a.0.1"]);
  expect(cell.runs("a").map(({ task }) => task.step)).to.deep.equal([1]);
});

it("step states: the progress of dropped steps is deleted with the job", () => {
  const cell = createCell();
  cell.submit(chain("a", 3));
  for (let index = 0; index < 3; index++) {
    cell.settle();
    cell.end("a", "done");
  }
  const removed: string[] = [];
  for (let round = 0; round < 5; round++) {
    cell.pollWorkers();
    cell.scheduler.plan();
    cell.storeBatch((records) => {
      for (const record of records) {
        if (record.kind === "progressRemoval") removed.push(record.step);
      }
    });
  }
  expect(removed.sort()).to.deep.equal(["a.0.0", "a.0.1", "a.0.2"]);
});
