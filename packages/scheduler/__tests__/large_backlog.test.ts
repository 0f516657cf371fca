import { expect } from "chai";
import {
  createPassLimits,
  type JobSpec,
  MAXIMUM_STARTS_UNDER_WAY,
  PASS_TIME_MS,
  RunPhase,
  type StepState,
} from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

const SMALL = { milliCores: 10, memoryMegabytes: 1, accelerators: 0 };
// A lead has to renew its lease of 1.5 s in between.
const LEASE_MS = 1_350;

const countStarting = ({ scheduler }: ReturnType<typeof createCell>) =>
  [...scheduler.state.workers.values()].flatMap(({ runs }) => [...runs])
    .filter(({ phase }) =>
      phase === RunPhase.storing || phase === RunPhase.ordered
    ).length;

/** Returns a job of many steps, which counts how often they are looked at. */
function manyStepsJob(id: string, count: number) {
  let looks = 0;
  const spec: JobSpec = job(id, {
    steps: Array.from({ length: count }, () => ({
      ...step(SMALL),
      get estimateMs() {
        looks += 1;
        return 1_000;
      },
    })),
  });
  return { spec, looks: () => looks };
}

// A pass took the square of a job's steps, longer than the lead's lease, so that
// each lead lost it and nothing ran any more.
it("large backlog: a pass looks at each step of a job a few times", () => {
  const looksOf = (count: number): number => {
    const cell = createCell({ workers: 2 });
    const { spec, looks } = manyStepsJob("a", count);
    cell.submit(spec);
    cell.scheduler.plan();
    return looks() / count;
  };
  expect(looksOf(800)).to.be.at.most(2 * looksOf(50));
});

it("large backlog: a pass over six jobs of 2,000 steps is within the lease", () => {
  const cell = createCell({ workers: 8 });
  for (let index = 0; index < 6; index++) {
    cell.submit(manyStepsJob(`j${index}`, 2_000).spec);
  }
  const beganAt = performance.now();
  cell.scheduler.plan();
  expect(performance.now() - beganAt).to.be.below(LEASE_MS);
});

it("large backlog: jobs of many steps end within the lease", () => {
  const cell = createCell({ workers: 8 });
  cell.submit(manyStepsJob("a", 2_000).spec);
  for (let round = 0; round < 6; round++) cell.settle();
  expect(cell.runs("a")).to.have.length(2_000);
  cell.end("a", "done");
  cell.clock.advance(1);
  const beganAt = performance.now();
  cell.pollWorkers();
  expect(performance.now() - beganAt).to.be.below(LEASE_MS);
  cell.settle();
  expect(cell.book.stateOf("a")).to.equal("completed");
});

// Thousands of starts at once timed out before they were sent.
it("large backlog: a limited number of starts is under way", () => {
  const cell = createCell({ workers: 8 });
  for (let index = 0; index < 3; index++) {
    cell.submit(job(`j${index}`, {
      steps: [step({ ...SMALL, taskCount: 1_000 })],
    }));
  }
  for (let pass = 0; pass < 3; pass++) {
    cell.scheduler.plan();
    cell.storeBatch();
    expect(countStarting(cell)).to.equal(MAXIMUM_STARTS_UNDER_WAY);
  }
  expect(cell.commands).to.have.length(MAXIMUM_STARTS_UNDER_WAY);
  cell.settle();
  expect(cell.runs("j2")).to.have.length(1_000);
});

it("large backlog: an urgent job goes before the rest of it", () => {
  const cell = createCell({ workers: 8 });
  cell.submit(job("wide", { steps: [step({ ...SMALL, taskCount: 5_000 })] }));
  cell.scheduler.plan();
  cell.storeBatch();
  cell.submit(job("urgent", { queue: "urgent", steps: [step(SMALL)] }));
  cell.executeCommands();
  cell.scheduler.plan();
  cell.storeBatch();
  cell.executeCommands();
  expect(cell.runs("urgent")).to.have.length(1);
});

it("large backlog: a gang starts as a whole", () => {
  const count = MAXIMUM_STARTS_UNDER_WAY + 100;
  const cell = createCell({ workers: 8 });
  cell.submit(job("a", {
    steps: [step({ ...SMALL, taskCount: count, isGang: true })],
  }));
  cell.settle();
  expect(cell.runs("a")).to.have.length(count);
});

it("large backlog: a silent worker does not keep others from being used", () => {
  const cell = createCell({ workers: 2 });
  cell.submit(job("a", { steps: [step({ ...SMALL, taskCount: 600 })] }));
  cell.scheduler.plan();
  cell.storeBatch();
  const [{ worker }] = [...cell.scheduler.state.jobs.get("a")!.steps.values()]
    .flatMap(({ runs }) => [...runs.values()]);
  cell.scheduler.recordNoAnswer(worker);
  cell.scheduler.plan();
  expect(countStarting(cell)).to.equal(600);
});

it("large backlog: steps beyond the time of a pass are tried in a later one", () => {
  let now = 0;
  const limits = createPassLimits({
    state: { workers: new Map() },
    now: () => now,
  });
  const steps = Array.from(
    { length: 50 },
    (_, index) => ({ index }) as StepState,
  );
  const tried = new Set<StepState>();
  let passes = 0;
  while (tried.size < steps.length && passes < 20) {
    passes += 1;
    limits.beginPass();
    for (const each of steps) {
      if (limits.isOutOfTime()) break;
      if (!limits.mayTry(each)) continue;
      tried.add(each);
      now += PASS_TIME_MS / 10;
    }
  }
  expect(tried.size).to.equal(steps.length);
  expect(passes).to.be.at.most(10);
});
