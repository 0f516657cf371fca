import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";

/** @returns the racks on which a job runs */
const racksOf = (cell: ReturnType<typeof createCell>, id: string) =>
  new Set(
    cell.runs(id).map(({ worker }) =>
      cell.entries.find((entry) => entry.id === worker)!.rack
    ),
  );

it("placement: small tasks fill partly used workers first", () => {
  const cell = createCell({ workers: 4 });
  for (let index = 0; index < 8; index++) cell.submit(job(`a${index}`));
  cell.settle();
  const used = [...cell.fleet.values()].filter(({ running }) =>
    running.size > 0
  );
  expect(used).to.have.length(1);
});

it("placement: a gang that needs one rack is placed on one rack", () => {
  const cell = createCell({ workers: 6 });
  const gang = step({
    taskCount: 4,
    accelerators: 4,
    isGang: true,
    needsOneRack: true,
  });
  cell.submit(job("small"));
  cell.submit(job("a", { steps: [gang] }));
  cell.settle();
  expect(racksOf(cell, "a").size).to.equal(1);
});

it("placement: a gang larger than any rack spans racks", () => {
  const cell = createCell({ workers: 6 });
  const gang = step({
    taskCount: 5,
    accelerators: 8,
    isGang: true,
    needsOneRack: true,
  });
  cell.submit(job("a", { steps: [gang] }));
  cell.settle();
  expect(cell.runs("a")).to.have.length(5);
});

it("placement: tasks are placed on the rack of their data", () => {
  const cell = createCell({ workers: 6 });
  cell.submit(
    job("a", { steps: [step({ taskCount: 16, dataRack: "r1" })] }),
  );
  cell.settle();
  expect([...racksOf(cell, "a")]).to.deep.equal(["r1"]);
});

it("placement: a worker gets at most maximumPerWorker tasks of a step", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(
    job("a", { steps: [step({ taskCount: 6, maximumPerWorker: 1 })] }),
  );
  cell.settle();
  expect(cell.runs("a")).to.have.length(4);
});

it("placement: tasks run only on workers with the required label", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(job("a", { steps: [step({ requiredLabel: "r1" })] }));
  cell.submit(job("b", { steps: [step({ requiredLabel: "x" })] }));
  cell.settle();
  expect([...racksOf(cell, "a")]).to.deep.equal(["r1"]);
  expect(cell.runs("b")).to.deep.equal([]);
});

it("placement: a task that failed on every worker is tried again", () => {
  const cell = createCell({ workers: 2 });
  cell.submit(job("a"));
  for (let attempt = 1; attempt <= 2; attempt++) {
    cell.settle();
    cell.end("a", "failed");
  }
  cell.settle();
  expect(cell.runs("a").map(({ number }) => number)).to.deep.equal([3]);
});

it("placement: a gang that needs the worker on which it failed is tried again", () => {
  const cell = createCell({ workers: 2 });
  const gang = step({ taskCount: 2, accelerators: 8, isGang: true });
  cell.submit(job("g", { steps: [gang] }));
  cell.settle();
  const [{ worker, task }] = cell.runs("g");
  cell.fleet.get(worker)!.end(task, "failed");
  cell.settle();
  expect(cell.runs("g").map(({ number }) => number)).to.deep.equal([2, 2]);
});

// Guards against a step that waits for workers that are listed but will never
// run it, since it failed on the only one that can.
for (
  const [name, changes] of [
    ["that never answered", { id: "silent" }],
    ["that drains", { id: "w1", isDraining: true }],
  ] as const
) {
  it(`placement: a step does not avoid its last worker for one ${name}`, () => {
    const cell = createCell({ workers: 2 });
    cell.entries[1] = { ...cell.entries[1], ...changes };
    if (changes.id !== "w1") cell.fleet.delete("w1");
    cell.updateListing();
    cell.submit(job("a"));
    cell.settle();
    cell.end("a", "failed");
    cell.settle();
    expect(cell.runs("a").map(({ worker }) => worker)).to.deep.equal(["w0"]);
  });
}
