import { createManualClock } from "@rattanhill/shared";
import { expect } from "chai";
import {
  createWorkerSpeeds,
  MAXIMUM_RUN_SHIFT,
  type WorkerSpeed,
} from "../src/mod.ts";

/** Creates an estimator with a clock and a generator of uniform numbers. */
function createSpeeds(firstSeed = 1) {
  const clock = createManualClock();
  const changes: WorkerSpeed[] = [];
  const speeds = createWorkerSpeeds({
    now: clock.now,
    onClassChange: (change) => changes.push(change),
  });
  let seed = firstSeed * 7_919;
  const random = () => {
    seed = (seed * 48_271) % 2_147_483_647;
    return seed / 2_147_483_647;
  };
  /** Records a whole run; `size` is its duration at usual speed. */
  const run = (
    worker: string,
    factor: number,
    { step = {}, queue = "q", size = 1 } = {},
  ) => {
    clock.advance(500);
    const logRatio = Math.log(factor * size);
    const observation = { worker, queue, step, logRatio, deviation: 0.25 };
    speeds.recordRun({ ...observation, run: {} });
  };
  return { clock, speeds, changes, random, run };
}

/**
 * Records rounds in which every worker runs one task of a common step; the tasks
 * end in random order.
 */
function runSteps(
  { run, random }: ReturnType<typeof createSpeeds>,
  factors: Readonly<Record<string, number>>,
  { rounds = 20, heavyShare = 0 } = {},
) {
  for (let round = 0; round < rounds; round++) {
    const step = {};
    const stepSize = 0.5 + random();
    const order = Object.entries(factors)
      .map(([worker, factor]) => ({ worker, factor, at: random() }))
      .sort((a, b) => a.at - b.at);
    for (const { worker, factor } of order) {
      const isHeavy = random() < heavyShare;
      const size = stepSize * (0.8 + 0.4 * random()) * (isHeavy ? 7 : 1);
      run(worker, factor, { step, size });
    }
  }
}

const UNEQUAL = { a: 0.57, b: 0.8, c: 1, d: 1, e: 1.15, f: 1.36 };

// Load: unequal workers. Guards against factors that a gang could not be placed
// by.
it("worker speeds: unequal workers are told apart", () => {
  const cell = createSpeeds();
  runSteps(cell, UNEQUAL);
  for (const [worker, factor] of Object.entries(UNEQUAL)) {
    expect(cell.speeds.factorOf(worker)).to.be.within(
      factor / 1.25,
      factor * 1.25,
      worker,
    );
  }
  expect(cell.changes.map(({ worker, speed }) => `${worker} ${speed}`))
    .to.include("a fast").and.to.include("f slow");
});

// Load: heavy tails. Guards against workers that are blamed for tasks that take
// 7 times as long on any worker.
it("worker speeds: 3% of tasks that take 7 times as long change little", () => {
  const cell = createSpeeds();
  runSteps(cell, UNEQUAL, { rounds: 60, heavyShare: 0.03 });
  for (const [worker, factor] of Object.entries(UNEQUAL)) {
    expect(cell.speeds.factorOf(worker)).to.be.within(
      factor / 1.35,
      factor * 1.35,
      worker,
    );
  }
});

// Guards against one straggler that makes a worker look slow: its run reports
// its progress many times.
it("worker speeds: all observations of one run shift a factor little", () => {
  for (const rounds of [0, 20]) {
    const cell = createSpeeds();
    runSteps(cell, { a: 1, b: 1, c: 1 }, { rounds });
    const before = cell.speeds.factorOf("a");
    const observation = { worker: "a", queue: "q", step: {}, run: {} };
    for (let index = 0; index < 10; index++) {
      cell.speeds.recordRun({
        ...observation,
        logRatio: Math.log(7),
        deviation: 0.35,
      });
    }
    expect(cell.speeds.factorOf("a") / before).to.be.above(1).and
      .at.most(Math.exp(MAXIMUM_RUN_SHIFT) + 1e-9);
  }
});

// Guards against a step whose estimate is wrong as a whole: the workers on which
// its tasks run are not slow.
it("worker speeds: a step that is long as a whole blames no worker", () => {
  const cell = createSpeeds();
  const workers = ["a", "b", "c", "d", "e", "f"];
  runSteps(cell, Object.fromEntries(workers.map((worker) => [worker, 1])));
  const step = {};
  for (const worker of workers.slice(0, 5)) {
    cell.run(worker, 1, { step, size: 4 });
  }
  for (const worker of workers) {
    expect(cell.speeds.factorOf(worker)).to.be.within(0.8, 1.25, worker);
  }
});

// Bounds on the detection of a change, with tasks of 20% deviation and steps
// whose estimates are off by 50%: a worker that becomes 5 times slower has a
// factor above 2 within 8 runs. One that recovers has a factor below 1.25 within
// 15 runs, and the class `usual`, which requires 1.12, within 30.
it("worker speeds: a slow and a recovered worker are noticed", () => {
  for (let seed = 1; seed <= 50; seed++) {
    const cell = createSpeeds(seed);
    const workers = { a: 1, b: 1, c: 1, d: 1, e: 1, f: 1, g: 1, h: 1 };
    runSteps(cell, workers);
    runSteps(cell, { ...workers, a: 5 }, { rounds: 8 });
    expect(cell.speeds.factorOf("a")).to.be.above(2, `seed ${seed}`);
    runSteps(cell, { ...workers, a: 5 }, { rounds: 25 });
    expect(cell.speeds.factorOf("a")).to.be.above(3, `seed ${seed}`);
    runSteps(cell, workers, { rounds: 15 });
    expect(cell.speeds.factorOf("a")).to.be.below(1.25, `seed ${seed}`);
    runSteps(cell, workers, { rounds: 15 });
    const changes = cell.changes.filter(({ worker }) => worker === "a");
    expect(changes.map(({ speed }) => speed))
      .to.deep.equal(["slow", "usual"], `seed ${seed}`);
  }
});

// Guards against noise that overrides the packing of small tasks.
it("worker speeds: equal workers make no certain difference", () => {
  const cell = createSpeeds();
  const workers = Array.from({ length: 12 }, (_, index) => `w${index}`);
  runSteps(cell, Object.fromEntries(workers.map((worker) => [worker, 1])));
  for (const worker of workers) {
    const certain = cell.speeds.certainLogFactorOf(worker);
    expect(Math.abs(certain)).to.be.below(0.1);
  }
  expect(cell.changes).to.deep.equal([]);
});

// Guards against odd inputs that spoil an estimate.
it("worker speeds: observations that are not finite are ignored", () => {
  const { speeds } = createSpeeds();
  const observation = { worker: "a", queue: "q", step: {}, run: {} };
  for (const logRatio of [NaN, Infinity, -Infinity]) {
    speeds.recordRun({ ...observation, logRatio, deviation: 0.25 });
  }
  for (const deviation of [0, -1, NaN]) {
    speeds.recordRun({ ...observation, logRatio: 1, deviation });
  }
  expect(speeds.dump()).to.deep.equal([]);
  expect(speeds.factorOf("a")).to.equal(1);
  expect(speeds.certainLogFactorOf("a")).to.equal(0);
});

// Guards against memory that grows with every worker that ever existed, and
// against a slow worker that is never tried again.
it("worker speeds: estimates without observations fade and are dropped", () => {
  const cell = createSpeeds();
  runSteps(cell, { a: 3, b: 1, c: 1 });
  cell.clock.advance(600_000);
  expect(cell.speeds.factorOf("a")).to.be.below(1.25);
  cell.clock.advance(300_000);
  cell.run("d", 1);
  expect(cell.speeds.dump().map(({ worker }) => worker))
    .to.deep.equal(["d"]);
});

it("worker speeds: the scale 0 makes all workers usual", () => {
  const { now } = createManualClock();
  const speeds = createWorkerSpeeds({ now, scale: 0 });
  const observation = { worker: "a", queue: "q", step: {}, logRatio: 2 };
  for (let index = 0; index < 10; index++) {
    speeds.recordRun({ ...observation, run: {}, deviation: 0.25 });
  }
  expect(speeds.factorOf("a")).to.equal(1);
  expect(Math.abs(speeds.certainLogFactorOf("a"))).to.equal(0);
});
