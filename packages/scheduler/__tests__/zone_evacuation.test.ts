import { expect } from "chai";
import { createManualClock, silentLogger } from "@rattanhill/shared";
import { createZoneEvacuation, type WorkerState } from "../src/mod.ts";
import { createCell, job, step } from "./cell_fixture.ts";

/** Two racks, of two workers each, in every zone: a, then b, then c. */
const zoneOf = (index: number) => "abc"[Math.floor(index / 4)];

/** @returns a step whose tasks each occupy a whole worker, for 60 s */
const wholeWorkerStep = (taskCount: number, changes = {}) =>
  step({ taskCount, accelerators: 8, estimateMs: 60_000, ...changes });

function createZones(workers: number, options = {}) {
  const cell = createCell({ workers, zoneOf, ...options });
  const evacuate = (...zones: string[]) =>
    cell.scheduler.evacuation.setZones(new Set(zones));
  const zoneOfWorker = (id: string) => zoneOf(Number(id.slice(1)));
  /** Returns the zones of the runs of a job, one for each run. */
  const zonesOf = (id: string) =>
    cell.runs(id).map(({ worker }) => zoneOfWorker(worker)).sort();
  /** Returns the zones to which starts were sent that are not executed yet. */
  const startZones = () =>
    cell.commands.flatMap((command) =>
      command.kind === "start" ? [command.run.worker.zone] : []
    );
  return { ...cell, evacuate, zonesOf, startZones };
}

// Load: every worker is busy and more work waits than the cell can hold.
it("evacuation: under full load, running work goes on and none is added", () => {
  const cell = createZones(8);
  cell.submit(job("first", { steps: [wholeWorkerStep(8)] }));
  cell.settle();
  const before = cell.runs("first").length;
  cell.submit(job("second", { steps: [wholeWorkerStep(8)] }));
  cell.evacuate("a");
  cell.settle();
  expect([before, cell.runs("first").length]).to.deep.equal([8, 8]);
  cell.end("first", "done");
  cell.settle();
  expect(cell.zonesOf("second")).to.deep.equal(["b", "b", "b", "b"]);
});

it("evacuation: with two zones at once, all work goes to the third", () => {
  const cell = createZones(12);
  cell.evacuate("a", "c");
  cell.submit(job("many", { steps: [wholeWorkerStep(12)] }));
  cell.settle();
  expect(cell.zonesOf("many")).to.deep.equal(["b", "b", "b", "b"]);
});

it("evacuation: with all zones evacuated, nothing starts until one returns", () => {
  const cell = createZones(8);
  cell.evacuate("a", "b");
  cell.submit(job("urgent", { queue: "urgent" }));
  cell.settle();
  expect(cell.runs("urgent")).to.deep.equal([]);
  const lines = cell.warnings.filter((event) => event.includes("all zones"));
  expect(lines).to.have.length(1);
  cell.evacuate("a");
  cell.clock.advance(3_000);
  cell.settle();
  expect(cell.zonesOf("urgent")).to.deep.equal(["b"]);
});

it("evacuation: an unknown zone is told of once and closes nothing", () => {
  const cell = createZones(4);
  cell.evacuate("nowhere");
  cell.submit(job("job"));
  cell.settle();
  expect(cell.runs("job")).to.have.length(1);
  expect(cell.warnings).to.deep.equal(["evacuated zone has no workers"]);
});

// Guards against the whole returned zone being filled by one planning pass.
it("evacuation: the workers of a zone reopen one after the other", () => {
  const clock = createManualClock(1_000);
  const evacuation = createZoneEvacuation({
    now: clock.now,
    isCurrent: () => true,
    log: silentLogger,
  });
  const workers = Array.from(
    { length: 80 },
    (_, index) => ({ id: `w${index}`, zone: "a" }) as WorkerState,
  );
  const countOpen = () =>
    workers.filter((worker) => !evacuation.isClosed(worker)).length;
  evacuation.setZones(new Set(["a"]));
  expect(countOpen()).to.equal(0);
  evacuation.setZones(new Set());
  const counts = [countOpen()];
  for (let passed = 0; passed < 6; passed++) {
    clock.advance(500);
    counts.push(countOpen());
  }
  expect([counts[0], counts[6]]).to.deep.equal([0, 80]);
  for (let index = 1; index < counts.length; index++) {
    const added = counts[index] - counts[index - 1];
    expect(added).to.be.within(5, 25);
  }
});

// A run that is placed on a worker which may not be started yet would be
// released and placed again in each pass.
it("evacuation: nothing is placed on a worker before it reopens", () => {
  const cell = createZones(8);
  cell.evacuate("a");
  cell.evacuate();
  cell.submit(job("many", { steps: [wholeWorkerStep(8)] }));
  cell.scheduler.plan();
  const placedZones = () =>
    [...cell.scheduler.state.workers.values()].flatMap(({ runs, zone }) =>
      [...runs].map(() => zone)
    ).sort();
  expect(placedZones()).to.deep.equal(["b", "b", "b", "b"]);
  cell.clock.advance(3_000);
  cell.scheduler.plan();
  expect(placedZones().slice(0, 4)).to.deep.equal(["a", "a", "a", "a"]);
});

it("evacuation: a second request closes the workers that have reopened", () => {
  const cell = createZones(8);
  cell.evacuate("a");
  cell.evacuate();
  cell.clock.advance(2_900);
  cell.evacuate("a");
  cell.clock.advance(10_000);
  cell.submit(job("many", { steps: [wholeWorkerStep(8)] }));
  cell.settle();
  expect(cell.zonesOf("many")).to.deep.equal(["b", "b", "b", "b"]);
});

it("evacuation: a run that is placed but not sent is released", () => {
  const cell = createZones(8);
  cell.submit(job("many", { steps: [wholeWorkerStep(8)] }));
  cell.scheduler.plan();
  cell.evacuate("a");
  cell.storeBatch();
  expect(cell.startZones()).to.deep.equal(["b", "b", "b", "b"]);
  cell.settle();
  expect(cell.zonesOf("many")).to.deep.equal(["b", "b", "b", "b"]);
});

it("evacuation: a placed gang is released as a whole, and starts elsewhere", () => {
  const cell = createZones(8);
  const gang = wholeWorkerStep(4, { isGang: true });
  cell.submit(job("gang", { steps: [gang] }));
  cell.scheduler.plan();
  const [placed] = cell.scheduler.state.jobs.get("gang")!.steps.values();
  const zones = [...placed.runs.values()].map(({ worker }) => worker.zone);
  cell.evacuate(zones[0]);
  cell.storeBatch();
  expect([zones.length, cell.startZones()]).to.deep.equal([4, []]);
  cell.settle();
  expect(cell.runs("gang")).to.have.length(4);
  expect(cell.zonesOf("gang")).to.not.include(zones[0]);
});

// Guards against urgent work that waits for the capacity it reclaimed in a zone
// which is then evacuated.
it("evacuation: a claim in the zone is dropped and made elsewhere", () => {
  const cell = createZones(8);
  cell.submit(job("batch", { queue: "batch", steps: [wholeWorkerStep(8)] }));
  cell.settle();
  cell.submit(job("urgent", { queue: "urgent", steps: [wholeWorkerStep(1)] }));
  cell.clock.advance(2_000);
  cell.scheduler.plan();
  const stopZones = () =>
    cell.commands.flatMap((command) =>
      command.kind === "stop" ? [command.worker.zone] : []
    );
  const [claimed] = stopZones();
  cell.evacuate(claimed);
  cell.scheduler.plan();
  const other = claimed === "a" ? "b" : "a";
  expect(stopZones()).to.deep.equal([claimed, other]);
  cell.settle();
  expect(cell.zonesOf("urgent")).to.deep.equal([other]);
});

// Only the racks of zone a are large enough for the gang as a whole.
it("evacuation: a gang does not wait for a rack in the zone", () => {
  const cell = createZones(8);
  for (const entry of cell.entries) {
    if (entry.zone !== "b") continue;
    entry.capacity = { ...entry.capacity, accelerators: 4 };
  }
  cell.updateListing();
  cell.evacuate("a");
  const gang = step({
    taskCount: 4,
    accelerators: 4,
    estimateMs: 60_000,
    isGang: true,
    needsOneRack: true,
  });
  cell.submit(job("gang", { queue: "urgent", steps: [gang] }));
  cell.settle();
  expect(cell.zonesOf("gang")).to.deep.equal(["b", "b", "b", "b"]);
});

it("evacuation: tasks do not wait for their data's rack in the zone", () => {
  const cell = createZones(8);
  cell.evacuate("a");
  const near = step({ dataRack: "r0", estimateMs: 60_000 });
  cell.submit(job("near", { steps: [near] }));
  cell.settle();
  expect(cell.zonesOf("near")).to.deep.equal(["b"]);
});

// Without the exclusion, the gang would reserve the zone's workers, on which it
// cannot start, and no others.
it("evacuation: a reservation uses none of the zone's workers", () => {
  const cell = createZones(8);
  cell.submit(job("busy", { steps: [wholeWorkerStep(4)] }));
  cell.evacuate("a");
  cell.settle();
  expect(cell.zonesOf("busy")).to.deep.equal(["b", "b", "b", "b"]);
  const gang = wholeWorkerStep(4, { isGang: true });
  cell.submit(job("gang", { steps: [gang] }));
  cell.submit(job("late", { queue: "batch", steps: [wholeWorkerStep(4)] }));
  cell.settle();
  cell.end("busy", "done");
  cell.settle();
  expect(cell.zonesOf("gang")).to.deep.equal(["b", "b", "b", "b"]);
  expect(cell.runs("late")).to.deep.equal([]);
});

it("evacuation: the policy of a queue is not asked about the zone's workers", () => {
  const urgent = {
    name: "urgent",
    service: "planner",
    priority: 0,
    maximumAttempts: 3,
    stretch: 2,
    targetMs: 500,
    needsAdvice: true,
  };
  const cell = createZones(8, {
    rules: { queues: new Map([["urgent", urgent]]) },
  });
  cell.evacuate("a");
  cell.submit(job("advised", { queue: "urgent" }));
  cell.settle();
  const asked = cell.questions.flatMap(({ workers }) => workers);
  expect(asked.length).to.be.greaterThan(0);
  expect(asked.filter((id) => id < "w4")).to.deep.equal([]);
});

// The view of the operators' topic ages while the store is slow or silent.
it("evacuation: with an old view, nothing is placed, sent or stopped", () => {
  let isCurrent = true;
  const cell = createZones(8, { areRequestsCurrent: () => isCurrent });
  cell.submit(job("batch", { queue: "batch", steps: [wholeWorkerStep(8)] }));
  cell.settle();
  cell.submit(job("urgent", { queue: "urgent", steps: [wholeWorkerStep(1)] }));
  cell.clock.advance(2_500);
  isCurrent = false;
  cell.settle();
  expect(cell.runs("batch")).to.have.length(8);
  isCurrent = true;
  cell.settle();
  expect(cell.runs("urgent")).to.have.length(1);
});

it("evacuation: a run stored while the view became old is not sent", () => {
  let isCurrent = true;
  const cell = createZones(8, { areRequestsCurrent: () => isCurrent });
  cell.submit(job("job"));
  cell.scheduler.plan();
  isCurrent = false;
  cell.storeBatch();
  expect(cell.startZones()).to.deep.equal([]);
  isCurrent = true;
  cell.settle();
  expect(cell.runs("job")).to.have.length(1);
});

// An unanswered start may have been carried out, so its task must not start
// elsewhere before the worker has rejected it.
it("evacuation: an uncertain start in the zone is withdrawn first", () => {
  const cell = createZones(8);
  cell.submit(job("job"));
  cell.scheduler.plan();
  cell.storeBatch();
  const [command] = cell.commands.splice(0);
  if (command.kind !== "start") throw new Error("expected a start");
  const { run } = command;
  cell.evacuate(run.worker.zone);
  cell.scheduler.handleStartAnswer(run, "uncertain");
  cell.scheduler.plan();
  cell.storeBatch();
  expect(cell.commands).to.deep.equal([]);
  cell.clock.advance(1);
  cell.pollWorker(run.worker.id);
  expect(cell.commands.map(({ kind }) => kind)).to.deep.equal(["stop"]);
  cell.settle();
  expect(cell.runs("job").map(({ number }) => number)).to.deep.equal([2]);
  expect(cell.zonesOf("job")).to.not.include(run.worker.zone);
});
