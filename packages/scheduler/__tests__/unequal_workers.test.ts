import { expect } from "chai";
import { speedKeyOf } from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

type Cell = ReturnType<typeof createCell>;

const ROUND_MS = 100;

/**
 * Plays the work on the workers: runs advance by their worker's factor, the
 * members of a gang together with their slowest one.
 */
function playRounds(
  cell: Cell,
  factors: Readonly<Record<string, number>>,
  rounds: number,
): void {
  for (let round = 0; round < rounds; round++) {
    cell.settle();
    cell.clock.advance(ROUND_MS - 10);
    for (const [id, worker] of cell.fleet) {
      for (const run of [...worker.running.values()]) {
        const spec = cell.scheduler.state.jobs.get(run.task.job)?.spec;
        const workMs = Number(spec?.payload);
        const points = 100 * ROUND_MS / workMs / factors[id];
        run.percent = Math.min(100, run.percent + points);
      }
    }
    endFinished(cell);
  }
}

/** Ends runs at 100 percent; those of a gang once all members are there. */
function endFinished(cell: Cell): void {
  const runs = [...cell.fleet.values()].flatMap((worker) =>
    [...worker.running.values()].map((run) => ({ worker, run }))
  );
  for (const { worker, run } of runs) {
    const { job: id, step: index } = run.task;
    const isGang = cell.scheduler.state.jobs.get(id)?.spec.steps[index].isGang;
    const isDone = isGang
      ? runs.every((other) =>
        other.run.task.job !== id || other.run.percent >= 100
      )
      : run.percent >= 100;
    if (isDone) worker.end(run.task, "done");
  }
}

const FACTORS = {
  w0: 1.4,
  w1: 1,
  w2: 1.4,
  w3: 0.6,
  w4: 1,
  w5: 0.6,
  w6: 0.6,
  w7: 0.6,
};

/** Runs batch work on all workers, from which their speeds are learned. */
function learn(cell: Cell, jobs = 6): void {
  for (let index = 0; index < jobs; index++) {
    cell.submit(job(`learn${index}`, {
      queue: "batch",
      payload: "1000",
      steps: [step({ taskCount: 8, maximumPerWorker: 1 })],
    }));
    playRounds(cell, FACTORS, 15);
  }
}

const workersOf = (cell: Cell, id: string) =>
  cell.runs(id).map(({ worker }) => worker).sort();

const GANG = step({
  taskCount: 2,
  accelerators: 8,
  isGang: true,
  needsOneRack: true,
});

// Load: unequal workers. Guards against an urgent gang that waits for its
// slowest member although a fast rack is free.
it("unequal workers: an urgent gang gets the rack of the fastest", () => {
  const cell = createCell({ workers: 8 });
  learn(cell);
  cell.submit(job("gang", { queue: "urgent", steps: [GANG] }));
  cell.settle();
  expect(workersOf(cell, "gang")).to.deep.equal(["w6", "w7"]);
});

it("unequal workers: work with slack leaves the fast workers free", () => {
  const cell = createCell({ workers: 8 });
  learn(cell);
  cell.submit(job("slack", {
    queue: "batch",
    steps: [step({ taskCount: 2, accelerators: 8 })],
  }));
  cell.settle();
  expect(workersOf(cell, "slack")).to.deep.equal(["w0", "w2"]);
});

// Guards against durations that mix the speed of the worker into the learned
// run times, or leave it out of the remaining time.
it("unequal workers: speeds are learned from runs and their progress", () => {
  const cell = createCell({ workers: 8 });
  learn(cell);
  for (const worker of cell.scheduler.state.workers.values()) {
    const factor = FACTORS[worker.id as keyof typeof FACTORS];
    expect(cell.scheduler.speedOf(worker)).to.be.within(
      factor / 1.3,
      factor * 1.3,
      worker.id,
    );
  }
});

// Guards against workers that stay unknown for ever, because the known ones are
// preferred.
it("unequal workers: unknown workers are used when room is scarce", () => {
  const cell = createCell({ workers: 4 });
  const factors = { w0: 0.6, w1: 0.6, w2: 1, w3: 1 };
  for (let index = 0; index < 4; index++) {
    for (const id of ["a", "b"]) {
      cell.submit(job(`${id}${index}`, {
        queue: "urgent",
        payload: "1000",
        steps: [step({ taskCount: 16, accelerators: 2 })],
      }));
    }
    playRounds(cell, factors, 30);
  }
  for (const { id, started } of cell.fleet.values()) {
    expect(started.length, id).to.be.above(0);
  }
});

// Failure: the lead is lost with what it has learned. Guards against a new lead
// that keeps placing gangs on slow workers.
it("unequal workers: a new lead learns the speeds again", () => {
  const cell = createCell({ workers: 8 });
  learn(cell);
  const next = createCell({ workers: 8 });
  for (const worker of next.scheduler.state.workers.values()) {
    expect(next.scheduler.speedOf(worker)).to.equal(1);
  }
  learn(next, 3);
  next.submit(job("gang", { queue: "urgent", steps: [GANG] }));
  next.settle();
  expect(workersOf(next, "gang")).to.deep.equal(["w6", "w7"]);
});

/**
 * Plays a load of urgent gangs beside batch work on unequal workers.
 *
 * @returns the number of gangs of 20 that end within 1.5 times their work plus
 * 250 ms
 */
function playGangs(workerSpeeds: number): number {
  const cell = createCell({ workers: 16, policy: { workerSpeeds } });
  const shares = [2, 1, 0.6, 0.7, 1.8, 0.6, 1, 1];
  const factors = Object.fromEntries(
    [...cell.fleet.keys()].map((id, index) => [id, shares[index % 8]]),
  );
  let inTime = 0;
  for (let index = 0; index < 20; index++) {
    const id = `gang${index}`;
    cell.submit(job(`batch${index}`, {
      queue: "batch",
      payload: "1000",
      steps: [step({ taskCount: 32 })],
    }));
    cell.submit(job(id, { queue: "urgent", payload: "1000", steps: [GANG] }));
    const submittedAt = cell.clock.now();
    let endedAt = Infinity;
    for (let round = 0; round < 25; round++) {
      playRounds(cell, factors, 1);
      if (cell.scheduler.state.jobs.has(id)) continue;
      endedAt = Math.min(endedAt, cell.clock.now());
    }
    if (endedAt - submittedAt <= 1_750) inTime += 1;
  }
  return inTime;
}

// Load: unequal workers with room for each gang on a fast rack. Compares what
// callers get with and without the learned speeds.
it("unequal workers: urgent gangs end in time", () => {
  expect(playGangs(1)).to.be.at.least(17);
  expect(playGangs(0)).to.be.at.most(10);
});

// Load: equal workers, tasks of 30% deviation. Guards against noise of the
// estimates that spreads small tasks over workers which gangs need whole.
it("unequal workers: on equal workers, small tasks stay packed", () => {
  const cell = createCell({ workers: 8 });
  const equal = Object.fromEntries([...cell.fleet.keys()].map((id) => [id, 1]));
  for (let index = 0; index < 10; index++) {
    const noisy = Object.fromEntries(
      Object.keys(equal).map((id, worker) => [
        id,
        0.7 + 0.6 * ((7 * index + 5 * worker + index * worker) % 11) / 10,
      ]),
    );
    cell.submit(job(`learn${index}`, {
      queue: "batch",
      payload: "1000",
      steps: [step({ taskCount: 8, maximumPerWorker: 1 })],
    }));
    playRounds(cell, noisy, 15);
  }
  for (const queue of ["urgent", "batch"]) {
    for (let index = 0; index < 8; index++) {
      cell.submit(job(`${queue}${index}`, { queue }));
      cell.settle();
    }
  }
  const used = [...cell.fleet.values()].filter(({ running }) =>
    running.size > 0
  );
  expect(used).to.have.length(2);
});

// Failure: the lead is lost while runs are in progress. Guards against a new
// lead that counts their earlier progress as its own time, or learns nothing
// from them.
it("unequal workers: a new lead learns from the runs that it restores", () => {
  const cell = createCell({ workers: 8 });
  cell.submit(job("a", {
    queue: "batch",
    payload: "3000",
    steps: [step({ taskCount: 8, maximumPerWorker: 1, estimateMs: 3_000 })],
  }));
  playRounds(cell, FACTORS, 5);
  const next = createCell({ workers: 8 });
  next.scheduler.restore(cell.book.find("a")!, next.clock.now() + 10_000);
  for (const [id, worker] of cell.fleet) {
    next.fleet.get(id)!.running = worker.running;
  }
  playRounds(next, FACTORS, 12);
  const speedOf = (id: string) =>
    next.scheduler.speedOf(next.scheduler.state.workers.get(id)!);
  for (const id of ["w0", "w2"]) expect(speedOf(id), id).to.be.above(1.1);
  for (const id of ["w3", "w5", "w6", "w7"]) {
    expect(speedOf(id), id).to.be.below(0.9);
  }
});

// Guards against a worker that is unknown again after each restart.
it("unequal workers: a factor stays with the VM of a worker", () => {
  expect(speedKeyOf({ id: "w0+", vm: "w0" })).to.equal("w0");
  expect(speedKeyOf({ id: "w0", vm: undefined })).to.equal("w0");
});
