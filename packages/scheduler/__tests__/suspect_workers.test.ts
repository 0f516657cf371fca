// Guards against a worker that fails whatever it starts: it is free again at
// once, so it attracted most of the work that waited under full load.
import { expect } from "chai";
import { createQuarantine } from "@rattanhill/core";
import { withoutSuspects } from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

type Cell = ReturnType<typeof createCell>;

/** Ends all runs of a worker without success. */
function failAllOn(cell: Cell, worker: string): void {
  const fake = cell.fleet.get(worker)!;
  for (const { task } of [...fake.running.values()]) fake.end(task, "failed");
}

it("suspect workers: a worker that fails everything gets little work under full load", () => {
  const cell = createCell({ workers: 10 });
  for (let index = 0; index < 60; index++) {
    cell.submit(job(`job-${index}`, {
      steps: [step({ taskCount: 4, accelerators: 2 })],
    }));
  }
  for (let round = 0; round < 20; round++) {
    cell.clock.advance(100);
    cell.settle();
    failAllOn(cell, "w0");
  }
  cell.settle();
  const startedCount = cell.fleet.get("w0")!.started.length;
  expect(startedCount).to.be.greaterThan(0);
  expect(startedCount).to.be.at.most(12);
});

it("suspect workers: a worker that recovers gets work again", () => {
  const quarantine = createQuarantine();
  const cell = createCell({ workers: 4 });
  const workers = [...cell.scheduler.state.workers.values()];
  cell.submit(job("a", { steps: [step({ taskCount: 1 })] }));
  cell.settle();
  const [target] = [...cell.scheduler.state.jobs.get("a")!.steps.values()];
  const select = (now: number) =>
    withoutSuspects(target, workers, { quarantine, now, taskCount: 1 });
  const fail = (request: string, now: number) =>
    quarantine.recordTaskEnd(
      { worker: "w0", class: "normal", request, hasFailed: true },
      now,
    );
  fail("job-1", 1_000);
  expect(select(1_000)).to.have.length(4);
  fail("job-2", 1_000);
  expect(select(1_000).map(({ id }) => id)).to.not.include("w0");
  expect(select(4_100)).to.have.length(4);
});

it("suspect workers: they are used when the others have too little room", () => {
  const quarantine = createQuarantine();
  const cell = createCell({ workers: 2 });
  const workers = [...cell.scheduler.state.workers.values()];
  cell.submit(job("a", { steps: [step({ taskCount: 1, accelerators: 8 })] }));
  cell.settle();
  const [target] = [...cell.scheduler.state.jobs.get("a")!.steps.values()];
  for (const request of ["job-1", "job-2"]) {
    quarantine.recordTaskEnd(
      { worker: "w0", class: "normal", request, hasFailed: true },
      1_000,
    );
  }
  const selected = withoutSuspects(target, workers, {
    quarantine,
    now: 1_000,
    taskCount: 1,
  });
  expect(selected).to.have.length(2);
});
