// Guards against one job, step or worker whose handling throws and that keeps
// all others from being planned.
import { expect } from "chai";
import {
  createIsolation,
  createManualClock,
  silentLogger,
} from "@rattanhill/shared";
import { createCell, job, step } from "./cell_fixture.ts";

const createIsolatedCell = ({ workers = 2 } = {}) =>
  createCell({
    workers,
    isolate: createIsolation({
      clock: createManualClock(),
      log: silentLogger,
    }),
  });
/** A job that no caller can submit, but that may have been stored before. */
const UNPLANNABLE = job("bad", { steps: [step({ after: [7] })] });

it("faulty items: a job that cannot be planned stops no other", () => {
  const cell = createIsolatedCell();
  cell.submit(UNPLANNABLE);
  cell.submit(job("good"));
  cell.settle();
  expect(cell.runs("good")).to.have.length(1);
  cell.end("good", "done");
  cell.settle();
  expect(cell.book.stateOf("good")).to.equal("completed");
  expect(cell.book.stateOf("bad")).to.equal("queued");
});

it("faulty items: a guaranteed job without steps stops no other", () => {
  const cell = createIsolatedCell();
  cell.submit(
    job("bad", { queue: "urgent", steps: undefined as unknown as [] }),
  );
  cell.submit(job("good", { queue: "urgent" }));
  cell.settle();
  expect(cell.runs("good")).to.have.length(1);
});

it("faulty items: an entry that cannot be applied stops no other", () => {
  const cell = createIsolatedCell({ workers: 3 });
  const good = cell.entries[2];
  cell.entries[1] = { ...cell.entries[1] };
  Object.defineProperty(cell.entries[1], "labels", {
    get: () => {
      throw new RangeError("Maximum call stack size exceeded");
    },
  });
  cell.entries[2] = { ...good, address: "moved" };
  cell.updateListing();
  expect(cell.scheduler.state.workers.get(good.id)!.address).to.equal("moved");
  cell.submit(job("good"));
  cell.settle();
  expect(cell.runs("good")).to.have.length(1);
});

it("faulty items: a step that cannot be placed stops no other", () => {
  const cell = createIsolatedCell();
  const bad = job("bad");
  cell.submit(bad);
  Object.defineProperty(bad.steps[0], "milliCores", {
    get: () => {
      throw new TypeError("broken");
    },
  });
  cell.submit(job("good"));
  cell.settle();
  expect(cell.runs("good")).to.have.length(1);
});

// Guards against a job that is run anew, since its progress could not be read.
it("faulty items: a job that cannot be restored is not started", () => {
  const cell = createIsolatedCell();
  cell.submit(job("a"));
  cell.settle();
  const stored = cell.book.find("a")!;
  const next = createIsolatedCell();
  const steps = new Map([...stored.steps, [
    "a.0.5",
    stored.steps.get("a.0.0")!,
  ]]);
  expect(() => next.scheduler.restore({ ...stored, steps }, 200_000)).to.throw(
    "step a.0.5: the job has 1 steps",
  );
  next.clock.advance(20_000);
  next.settle();
  expect(next.runs("a")).to.deep.equal([]);
});
