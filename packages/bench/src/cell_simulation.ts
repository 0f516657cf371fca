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

/** Results that a cell delivered to its callers. */
export interface CellResult {
  jobs: number;
  /** Value of the delivered results; late ones count less. */
  earned: number;
  /** Value of all jobs that were not cancelled, if each had been in time. */
  owed: number;
  /** Value that no scheduler can exceed, see {@link boundValue}. */
  bound: number;
  /** Earned share of the owed value, by kind of job. */
  byKind: Record<string, number>;
  /** Mean of the earned share over the two worst windows of arrival time. */
  worstWindows: number;
  /** Core seconds of discarded work; an accelerator counts as 8 cores. */
  wasted: number;
  /** Share of the accelerators' time in use while jobs arrived. */
  utilization: number;
}

/**
 * Duration of a write to the store, as in the benchmark of the scheduler's
 * users.
 */
const STORE_WRITE_MS: Milliseconds = 8;
/**
 * Delay of a command to a worker and of the report of a run's end, in the same
 * benchmark.
 */
const NETWORK_DELAY_MS: Milliseconds = 2;
/**
 * Delay of a job from its entry to the lead, and of its outcome back: two
 * writes to the store.
 */
const ENTRY_DELAY_MS: Milliseconds = 15;
/** Time in which the lead collects changes before it plans. */
const PLANNING_DELAY_MS: Milliseconds = 4;
/** Interval at which the lead plans without changes. */
const TICK_MS: Milliseconds = 100;
/** Interval of worker reports: the longest wait of the lead's long poll. */
const REPORT_INTERVAL_MS: Milliseconds = 2_000;
/** Length of the windows in which the scheduler's users sum up results. */
const WINDOW_MS: Milliseconds = 2_000;
/** A result later than this many objectives has no value for the users. */
const LATE_LIMIT_OBJECTIVES = 3;
/** Time after the last arrival; enough for all work to end. */
const TAIL_MS: Milliseconds = 120_000;
/**
 * Part of a job's value that does not depend on its size; the users let the
 * rest grow with the job's work.
 */
const BASE_VALUE_SHARE = 0.3;
/** The users' limit on a job's value, as a multiple of the mean job's. */
const MAXIMUM_VALUE_SHARE = 4;

/**
 * Runs a load through a cell's scheduler, with simulated time, workers and
 * network.
 *
 * @param load jobs and workers
 * @param options source of random numbers and overrides of the policy
 * @returns results that callers received
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
  const schedule = (delay: Milliseconds, action: () => void) =>
    events.add(now() + delay, action);
  let wasted = 0;
  let isPlanningScheduled = false;
  let isStoring = false;

  const scheduler = createScheduler({
    now,
    wallTime: now,
    sendCommand: (command) =>
      schedule(NETWORK_DELAY_MS, () => executeCommand(command)),
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
  scheduler.updateWorkers({
    entries: createWorkerEntries(load),
    left: new Set(),
  });
  const workers = new Map(
    [...scheduler.state.workers.values()].map((state) => [
      state,
      createSimulatedWorker({
        schedule,
        now,
        random,
        stopMs: load.stopMs,
        workOf: (run) => {
          const { job, index, spec } = run.step;
          const work = byId.get(job.spec.id)!.workMs[index];
          return spec.isGang ? Math.max(...work) : work[run.index];
        },
        slowdownOf: (run) => slowdownOf(run, load),
        failureShare: (run) =>
          byId.get(run.step.job.spec.id)!.kind.failureShare,
        onEnd: (run, runEnd, lostMs) => {
          wasted += workOf(run.step.spec, lostMs) / 1_000;
          schedule(NETWORK_DELAY_MS, () => reportWorker(state));
          if (runEnd !== "done" && run.step.spec.isGang) breakGang(run);
        },
      }),
    ]),
  );

  const reportWorker = (state: WorkerState): void => {
    const answer = workers.get(state)!.report(state.lastStoredEnd);
    state.leasesEndBy = Infinity; // simulated workers never lose contact
    scheduler.applyWorkerReport(state, 1, { askedAt: now(), ...answer });
    schedulePlanning();
  };
  const breakGang = (run: Run): void => {
    for (const worker of workers.values()) {
      worker.breakGang(run.step, run.number);
    }
  };
  const executeCommand = (command: WorkerCommand): void => {
    if (command.kind === "stop") {
      workers.get(command.worker)!.stop(command.task, command.number);
      return scheduler.handleStopAnswer(command.run);
    }
    const { run } = command;
    workers.get(run.worker)!.start(run);
    scheduler.handleStartAnswer(run, "started");
    if (!run.step.spec.isGang) return;
    const isComplete = [...workers.values()].reduce(
      (sum, worker) => sum + worker.countMembers(run.step, run.number),
      0,
    ) === run.step.spec.taskCount;
    if (!isComplete) return;
    for (const worker of workers.values()) {
      worker.startGang(run.step, run.number);
    }
  };
  const schedulePlanning = (): void => {
    if (isPlanningScheduled) return;
    isPlanningScheduled = true;
    schedule(PLANNING_DELAY_MS, () => {
      isPlanningScheduled = false;
      scheduler.plan();
      storeNextBatch();
    });
  };
  const storeNextBatch = (): void => {
    if (isStoring) return;
    const batch = scheduler.takeBatch();
    if (batch === undefined) return;
    isStoring = true;
    schedule(STORE_WRITE_MS, () => {
      isStoring = false;
      scheduler.handleBatchStored(batch);
      for (const { spec, outcome } of batch.outcomes) {
        if (outcome === "cancelled") continue;
        endedAt.set(spec.id, now() + ENTRY_DELAY_MS);
      }
      storeNextBatch();
    });
  };

  let used = 0; // sum of utilization over time, in milliseconds
  const tick = (): void => {
    schedulePlanning();
    if (now() < load.lengthMs) used += scheduler.load().accelerators * TICK_MS;
    schedule(TICK_MS, tick);
  };
  for (const state of workers.keys()) {
    const poll = (): void => {
      reportWorker(state);
      schedule(REPORT_INTERVAL_MS, poll);
    };
    poll();
  }
  for (const { spec, arrivesAt, cancelledAt } of jobs) {
    events.add(arrivesAt + ENTRY_DELAY_MS, () => {
      scheduler.submit({ ...spec, submittedAt: now() });
      schedulePlanning();
    });
    if (cancelledAt === undefined) continue;
    events.add(cancelledAt + 2 * ENTRY_DELAY_MS, () => {
      scheduler.cancel(spec.id);
      schedulePlanning();
    });
  }
  tick();
  while (events.nextTime() < load.lengthMs + TAIL_MS) {
    clock.advance(Math.max(0, events.nextTime() - now()));
    events.runNext();
  }
  return summarize(load, { jobs, endedAt, wasted, used });
}

function createWorkerEntries(load: CellLoadCase): WorkerEntry[] {
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

/** @returns the factor by which a run slows down for its gang's placement */
function slowdownOf({ step, worker }: Run, load: CellLoadCase): number {
  if (!step.spec.needsOneRack) return 1;
  const isSplit = [...step.runs.values()].some((run) =>
    run.worker.rack !== worker.rack
  );
  return isSplit ? load.remoteFactor : 1;
}

function summarize(
  load: CellLoadCase,
  recorded: {
    jobs: readonly DrawnJob[];
    endedAt: ReadonlyMap<string, Milliseconds>;
    wasted: number;
    used: number;
  },
): CellResult {
  const owedJobs = recorded.jobs.filter((job) => job.cancelledAt === undefined);
  const sums = new Map<string, { earned: number; owed: number }>();
  const add = (name: string, earned: number, owed: number): void => {
    const sum = sums.get(name) ?? { earned: 0, owed: 0 };
    sums.set(name, sum);
    sum.earned += earned;
    sum.owed += owed;
  };
  const valued: ValuedJob[] = [];
  for (const kind of load.kinds) {
    const jobsOfKind = owedJobs.filter((job) => job.kind === kind);
    const mean = jobsOfKind.reduce((sum, job) => sum + coreWorkMs(job), 0) /
      jobsOfKind.length;
    for (const job of jobsOfKind) {
      const share = Math.min(
        MAXIMUM_VALUE_SHARE,
        BASE_VALUE_SHARE + (1 - BASE_VALUE_SHARE) * coreWorkMs(job) / mean,
      );
      const owed = kind.value * share;
      valued.push({
        job,
        value: owed,
        lateValue: kind.lateValue * share,
        objectiveMs: objectiveMsOf(job),
      });
      const earned = share *
        earnedValueOf(job, recorded.endedAt.get(job.spec.id));
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
    wasted: recorded.wasted,
    utilization: recorded.used / load.lengthMs,
  };
}

/** @returns the work of a job in core milliseconds */
function coreWorkMs({ spec, workMs }: DrawnJob): number {
  return spec.steps.reduce(
    (sum, step, index) =>
      sum + workOf(step, workMs[index].reduce((all, work) => all + work, 0)),
    0,
  );
}

/** @returns the longest time from arrival to completion that is in time */
function objectiveMsOf({ kind: { rules }, workMs }: DrawnJob): Milliseconds {
  const chainMs = workMs.reduce((sum, work) => sum + Math.max(...work), 0);
  return rules.stretch * chainMs + rules.targetMs;
}

function earnedValueOf(
  job: DrawnJob,
  endedAt: Milliseconds | undefined,
): number {
  if (endedAt === undefined) return 0;
  const { value, lateValue } = job.kind;
  const objective = objectiveMsOf(job);
  const took = endedAt - job.arrivesAt;
  if (took <= objective) return value;
  return took <= LATE_LIMIT_OBJECTIVES * objective ? lateValue : 0;
}
