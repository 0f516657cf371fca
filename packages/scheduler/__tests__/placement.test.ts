import { expect } from "chai";
import { createCell, job, step } from "./cell_fixture.ts";

const racksOf = (cell: ReturnType<typeof createCell>, id: string) =>
  new Set(
    cell.runs(id).map(({ worker }) =>
      cell.entries.find((entry) => entry.id === worker)!.rack
    ),
  );

it("placement: small work fills broken workers first", () => {
  const cell = createCell({ workers: 4 });
  for (let index = 0; index < 8; index++) cell.submit(job(`a${index}`));
  cell.settle();
  const used = [...cell.fleet.values()].filter(({ running }) =>
    running.size > 0
  );
  expect(used).to.have.length(1);
});

it("placement: a gang that wants one rack gets one", () => {
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

it("placement: a gang wider than any rack is spread", () => {
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

it("placement: tasks go to the rack of their data", () => {
  const cell = createCell({ workers: 6 });
  cell.submit(
    job("a", { steps: [step({ taskCount: 16, dataRack: "r1" })] }),
  );
  cell.settle();
  expect([...racksOf(cell, "a")]).to.deep.equal(["r1"]);
});

it("placement: a worker gets no more tasks of a step than it allows", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(
    job("a", { steps: [step({ taskCount: 6, maximumPerWorker: 1 })] }),
  );
  cell.settle();
  expect(cell.runs("a")).to.have.length(4);
});

it("placement: a required label is kept to", () => {
  const cell = createCell({ workers: 4 });
  cell.submit(job("a", { steps: [step({ requiredLabel: "r1" })] }));
  cell.submit(job("b", { steps: [step({ requiredLabel: "x" })] }));
  cell.settle();
  expect([...racksOf(cell, "a")]).to.deep.equal(["r1"]);
  expect(cell.runs("b")).to.deep.equal([]);
});
