import {
  createManualClock,
  type Milliseconds,
  silentLogger,
} from "@rattanhill/shared";
import {
  createScheduler,
  type PlanningPolicy,
  type Run,
  type WorkerCommand,
  type WorkerEntry,
  type WorkerState,
  workOf,
} from "@rattanhill/scheduler";
import { boundValue, type ValuedJob } from "./capacity_bound.ts";
import { type CellLoadCase, drawJobs, type DrawnJob } from "./cell_loads.ts";
import { createEventQueue } from "./event_queue.ts";
import { createSimulatedWorker } from "./simulated_worker.ts";

/** What the callers of a cell got. */
export interface CellResult {
  jobs: number;
  /** Value of the results that were delivered, of all that was asked for. */
  earned: number;
  owed: number;
  /** Value that no scheduler can exceed, see {@link boundValue}. */
  bound: number;
  /** Share of the value that was earned, by kind of job. */
  byKind: Record<string, number>;
  /** The same for the two worst windows in time. */
  worstWindows: number;
  /** Core seconds of work that was thrown away; an accelerator counts as 8 cores. */
  wasted: number;
  /** Share of the accelerators' time that was used while jobs arrived. */
  utilization: number;
}

/** Duration of a write to the store. */
const STORE_MS: Milliseconds = 8; // measured on the users' bench
/** Time from an order or an end until the other side has it. */
const HOP_MS: Milliseconds = 2; // measured on the users' bench
/** Time between the arrivals at an entry and at the lead, and back at the end. */
const ENTRY_MS: Milliseconds = 15; // two writes to the store
const GATHER_MS: Milliseconds = 4; // as the lead's
const TICK_MS: Milliseconds = 100; // as the lead's
const REPORT_MS: Milliseconds = 2_000; // longest wait of a question to a worker
const WINDOW_MS: Milliseconds = 2_000; // the users' windows
const USEFUL_OBJECTIVES = 3; // the users' limit of late results
const TAIL_MS: Milliseconds = 120_000; // enough for all work to end
const WORTH_BASE = 0.3; // the users' worth of a job by its work
const MAXIMUM_WORTH = 4; // the users' bound, in mean jobs

/**
 * Plays a load against the scheduler of a cell, without a network.
 *
 * @param load jobs and workers
 * @param options seed and changes to the policy
 * @returns what callers got
 */
export function simulateCell(
  load: CellLoadCase,
  options: { random: () => number; policy?: Partial<PlanningPolicy> },
): CellResult {
  const { random } = options;
  const jobs = drawJobs(load, random);
  const byId = new Map(jobs.map((job) => [job.spec.id, job]));
  const endedAt = new Map<string, Milliseconds>();
  const clock = createManualClock();
  const events = createEventQueue();
  const now = () => clock.now();
  const after = (delay: Milliseconds, action: () => void) =>
    events.add(now() + delay, action);
  let wasted = 0;
  let isWoken = false;
  let isStoring = false;

  const scheduler = createScheduler({
    now,
    wallTime: now,
    sendCommand: (order) => after(HOP_MS, () => carryOut(order)),
    log: silentLogger,
    policy: options.policy,
  });
  scheduler.setRules({
    queues: new Map(load.kinds.map(({ rules }) => [rules.name, rules])),
    guarantees: new Map(
      load.guarantees.map((count, index) => [`account-${index}`, count]),
    ),
    deployment: load,
  });
  scheduler.updateWorkers({ entries: workersOf(load), left: new Set() });
  const workers = new Map(
    [...scheduler.state.workers.values()].map((state) => [
      state,
      createSimulatedWorker({
        after,
        now,
        random,
        stopMs: load.stopMs,
        workOf: (run) => {
          const { job, index, spec } = run.step;
          const work = byId.get(job.spec.id)!.workMs[index];
          return spec.isGang ? Math.max(...work) : work[run.index];
        },
        slownessOf: (run) => slownessOf(run, load),
        failureShare: (run) =>
          byId.get(run.step.job.spec.id)!.kind.failureShare,
        ended: (run, end, lostMs) => {
          wasted += workOf(run.step.spec, lostMs) / 1_000;
          after(HOP_MS, () => report(state));
          if (end !== "done" && run.step.spec.isGang) breakGang(run);
        },
      }),
    ]),
  );

  const report = (state: WorkerState): void => {
    const answer = workers.get(state)!.report(state.lastStoredEnd);
    state.leasesEndBy = Infinity; // workers of a simulation never fall silent
    scheduler.applyWorkerReport(state, 1, { askedAt: now(), ...answer });
    wake();
  };
  const breakGang = (run: Run): void => {
    for (const worker of workers.values()) {
      worker.breakGang(run.step, run.number);
    }
  };
  const carryOut = (order: WorkerCommand): void => {
    if (order.kind === "stop") {
      workers.get(order.worker)!.stop(order.task, order.number);
      return scheduler.handleStopAnswer(order.run);
    }
    const { run } = order;
    workers.get(run.worker)!.start(run);
    scheduler.handleStartAnswer(run, "started");
    if (!run.step.spec.isGang) return;
    const isComplete = [...workers.values()].reduce(
      (sum, worker) => sum + worker.countOf(run.step, run.number),
      0,
    ) === run.step.spec.taskCount;
    if (!isComplete) return;
    for (const worker of workers.values()) {
      worker.gangComplete(run.step, run.number);
    }
  };
  const wake = (): void => {
    if (isWoken) return;
    isWoken = true;
    after(GATHER_MS, () => {
      isWoken = false;
      scheduler.plan();
      store();
    });
  };
  const store = (): void => {
    if (isStoring) return;
    const batch = scheduler.takeBatch();
    if (batch === undefined) return;
    isStoring = true;
    after(STORE_MS, () => {
      isStoring = false;
      scheduler.handleBatchStored(batch);
      for (const { spec, outcome } of batch.outcomes) {
        if (outcome === "cancelled") continue;
        endedAt.set(spec.id, now() + ENTRY_MS);
      }
      store();
    });
  };

  let used = 0;
  const tick = (): void => {
    wake();
    if (now() < load.lengthMs) used += scheduler.load().accelerators * TICK_MS;
    after(TICK_MS, tick);
  };
  for (const state of workers.keys()) {
    const look = (): void => {
      report(state);
      after(REPORT_MS, look);
    };
    look();
  }
  for (const { spec, arrivesAt, cancelledAt } of jobs) {
    events.add(arrivesAt + ENTRY_MS, () => {
      scheduler.submit({ ...spec, submittedAt: now() });
      wake();
    });
    if (cancelledAt === undefined) continue;
    events.add(cancelledAt + 2 * ENTRY_MS, () => {
      scheduler.cancel(spec.id);
      wake();
    });
  }
  tick();
  while (events.nextTime() < load.lengthMs + TAIL_MS) {
    clock.advance(Math.max(0, events.nextTime() - now()));
    events.runNext();
  }
  return summarize(load, { jobs, endedAt, wasted, used });
}

function workersOf(load: CellLoadCase): WorkerEntry[] {
  return Array.from({ length: load.workers }, (_, index) => ({
    id: `worker-${index}`,
    lifetime: 1,
    service: load.kinds[0].rules.service,
    address: "",
    zone: "",
    labels: [],
    rack: `rack-${Math.floor(index / load.workersPerRack)}`,
    capacity: load.capacity,
    isDraining: false,
    remainingMs: 0,
  }));
}

/** @returns the factor by which its placement slows a run */
function slownessOf({ step, worker }: Run, load: CellLoadCase): number {
  if (!step.spec.needsOneRack) return 1;
  const isSplit = [...step.runs.values()].some((run) =>
    run.worker.rack !== worker.rack
  );
  return isSplit ? load.remoteFactor : 1;
}

function summarize(
  load: CellLoadCase,
  played: {
    jobs: readonly DrawnJob[];
    endedAt: ReadonlyMap<string, Milliseconds>;
    wasted: number;
    used: number;
  },
): CellResult {
  const owedJobs = played.jobs.filter((job) => job.cancelledAt === undefined);
  const sums = new Map<string, { earned: number; owed: number }>();
  const add = (name: string, earned: number, owed: number): void => {
    const sum = sums.get(name) ?? { earned: 0, owed: 0 };
    sums.set(name, sum);
    sum.earned += earned;
    sum.owed += owed;
  };
  const valued: ValuedJob[] = [];
  for (const kind of load.kinds) {
    const own = owedJobs.filter((job) => job.kind === kind);
    const mean = own.reduce((sum, job) => sum + sizeOf(job), 0) / own.length;
    for (const job of own) {
      const share = Math.min(
        MAXIMUM_WORTH,
        WORTH_BASE + (1 - WORTH_BASE) * sizeOf(job) / mean,
      );
      const owed = kind.worth * share;
      valued.push({
        job,
        worth: owed,
        lateWorth: kind.lateWorth * share,
        objectiveMs: objectiveOf(job),
      });
      const earned = share * valueOf(job, played.endedAt.get(job.spec.id));
      const window = Math.floor(job.arrivesAt / WINDOW_MS);
      for (const name of ["all", kind.rules.name, `window ${window}`]) {
        add(name, earned, owed);
      }
    }
  }
  const all = sums.get("all")!;
  const ratio = (name: string): number => {
    const { earned, owed } = sums.get(name) ?? { earned: 0, owed: 1 };
    return earned / owed;
  };
  const windows = [...sums.keys()].filter((name) => name.startsWith("window"))
    .map(ratio).sort((a, b) => a - b);
  return {
    jobs: owedJobs.length,
    earned: all.earned,
    owed: all.owed,
    bound: boundValue(load, valued),
    byKind: Object.fromEntries(
      load.kinds.map(({ rules: { name } }) => [name, ratio(name)]),
    ),
    worstWindows: (windows[0] + windows[1]) / 2,
    wasted: played.wasted,
    utilization: played.used / load.lengthMs,
  };
}

/** Work of a job in core milliseconds. */
function sizeOf({ spec, workMs }: DrawnJob): number {
  return spec.steps.reduce(
    (sum, step, index) =>
      sum + workOf(step, workMs[index].reduce((all, work) => all + work, 0)),
    0,
  );
}

function objectiveOf({ kind: { rules }, workMs }: DrawnJob): Milliseconds {
  const chainMs = workMs.reduce((sum, work) => sum + Math.max(...work), 0);
  return rules.stretch * chainMs + rules.targetMs;
}

function valueOf(job: DrawnJob, endedAt: Milliseconds | undefined): number {
  if (endedAt === undefined) return 0;
  const { worth, lateWorth } = job.kind;
  const objective = objectiveOf(job);
  const took = endedAt - job.arrivesAt;
  if (took <= objective) return worth;
  return took <= USEFUL_OBJECTIVES * objective ? lateWorth : 0;
}
