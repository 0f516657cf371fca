import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";

type Cell = ReturnType<typeof createCell>;

/** Returns the scheduler of the next lead, on the same workers and store. */
function takeOver(cell: Cell, workers: number): Cell {
  const next = createCell({ workers });
  for (const [id, worker] of cell.fleet) next.fleet.set(id, worker);
  for (const stored of cell.book.jobs()) {
    next.book.apply({ kind: "submission", spec: stored.spec });
    for (const [key, progress] of stored.steps) {
      next.book.apply({ kind: "progress", step: key, progress });
    }
    next.scheduler.restore(stored, next.clock.now() + 10_300);
  }
  return next;
}

it("attempts: a gang that failed once counts once after a change of lead", () => {
  const cell = createCell({ workers: 12 });
  const gang = step({ taskCount: 3, accelerators: 8, isGang: true });
  cell.submit(job("a", { steps: [gang] }));
  cell.settle();
  const [first, second, third] = cell.runs("a");
  cell.fleet.get(first.worker)!.end(first.task, "failed");
  cell.pollWorker(first.worker);
  cell.storeBatch();
  const next = takeOver(cell, 12);
  next.fleet.get(second.worker)!.end(second.task, "failed");
  next.fleet.get(third.worker)!.end(third.task, "broken");
  next.settle();
  next.end("a", "failed");
  next.settle();
  expect(next.book.stateOf("a")).to.equal("running");
  expect(next.runs("a").map(({ number }) => number)).to.deep.equal([3, 3, 3]);
});
