import {
  createManualClock,
  type Isolate,
  noIsolation,
  silentLogger,
} from "@rattanhill/shared";
import {
  type AdviceQuestion,
  type CellRecord,
  createJobBook,
  createScheduler,
  type DiscardReason,
  type JobSpec,
  type PlanningPolicy,
  type ProgressRecord,
  type QueueRules,
  type ReclaimOutcome,
  type RoomWaitEvent,
  type Rules,
  type RunEnd,
  type StepSpec,
  taskNameOf,
  type WorkerCommand,
  type WorkerEntry,
} from "../src/mod.ts";
import { createFakeWorker, type FakeWorker } from "./fake_worker.ts";

/** @returns a step of one small task, with the given changes */
export function step(changes: Partial<StepSpec> = {}): StepSpec {
  return {
    taskCount: 1,
    milliCores: 1000,
    memoryMegabytes: 100,
    accelerators: 1,
    estimateMs: 1000,
    after: [],
    ...changes,
  };
}

/** @returns a job with one small step, with the given changes */
export function job(id: string, changes: Partial<JobSpec> = {}): JobSpec {
  return {
    id,
    queue: "normal",
    account: "routes",
    payload: "payload",
    steps: [step()],
    submittedAt: 0,
    service: "planner",
    ...changes,
  };
}

/** @returns the rules of a queue with this priority and 3 attempts */
export function queueRules(name: string, priority: number): QueueRules {
  return {
    name,
    service: "planner",
    priority,
    maximumAttempts: 3,
    stretch: 2,
    targetMs: 500,
  };
}

/** Rules of the cell unless a test changes them. */
export const RULES: Rules = {
  queues: new Map([
    ["urgent", queueRules("urgent", 0)],
    ["normal", queueRules("normal", 1)],
    ["batch", queueRules("batch", 2)],
  ]),
  guarantees: new Map([["routes", 16]]),
  deployment: { remoteFactor: 3, reclaimMs: 3000, stopMs: 500 },
};
const WORKERS_PER_RACK = 2;
const CAPACITY = {
  milliCores: 32_000,
  memoryMegabytes: 64_000,
  accelerators: 8,
};

/**
 * Creates a scheduler with fake workers on a manual clock. The workers execute
 * commands at once.
 *
 * @param options number of workers, of which each rack has 2, and changes of the
 * rules and of the planning parameters, and what keeps the failure of an item
 * from the others; none by default;
 * the zone of each worker by its index, whether the operators' requests are
 * known well enough to start runs, and which records the store takes
 * @returns the scheduler, its workers, the kinds of records, the questions, the
 * commands, the log lines, the warnings, the preemption decisions and the waits
 * beside free capacity that it produced, and functions to operate the cell
 */
export function createCell(
  {
    workers = 2,
    rules = {},
    policy,
    isolate = noIsolation,
    zoneOf = () => "z",
    areRequestsCurrent,
    fits,
  }: {
    workers?: number;
    rules?: Partial<Rules>;
    policy?: Partial<PlanningPolicy>;
    isolate?: Isolate;
    zoneOf?(index: number): string;
    areRequestsCurrent?(): boolean;
    fits?(record: ProgressRecord): boolean;
  } = {},
) {
  const clock = createManualClock(100_000);
  const fleet = new Map<string, FakeWorker>();
  const entries: WorkerEntry[] = [];
  const commands: WorkerCommand[] = [];
  const records: string[] = [];
  const questions: AdviceQuestion[] = [];
  const warnings: string[] = [];
  const lines: { event: string; fields: Record<string, unknown> }[] = [];
  const reclaims: ReclaimOutcome[] = [];
  const roomWaits: RoomWaitEvent[] = [];
  const discarded: { reason: DiscardReason; coreMs: number }[] = [];
  const book = createJobBook();
  const TERM = 1;
  for (let index = 0; index < workers; index++) {
    const id = `w${index}`;
    fleet.set(id, createFakeWorker(id));
    entries.push({
      id,
      lifetime: 1,
      service: "planner",
      address: id,
      zone: zoneOf(index),
      labels: ["a", rackOf(index)],
      rack: rackOf(index),
      capacity: CAPACITY,
      isDraining: false,
      remainingMs: 0,
    });
  }
  const scheduler = createScheduler({
    now: clock.now,
    wallTime: clock.wallTime,
    sendCommand: (command) => commands.push(command),
    askAdvice: (question) => questions.push(question),
    onReclaim: (outcome) => reclaims.push(outcome),
    onRoomWait: (event) => roomWaits.push(event),
    onDiscardedWork: (reason, coreMs) => discarded.push({ reason, coreMs }),
    policy,
    isolate,
    areRequestsCurrent,
    fits,
    log: {
      ...silentLogger,
      info: (fields, event) => lines.push({ event, fields }),
      warn: (fields, event) => {
        warnings.push(event);
        lines.push({ event, fields });
      },
    },
  });
  scheduler.setRules({ ...RULES, ...rules });

  const updateListing = (left: string[] = []) =>
    scheduler.updateWorkers({ entries, left: new Set(left) });
  /** Renews the lease of a worker and applies its report. */
  const pollWorker = (id: string) => {
    const known = scheduler.state.workers.get(id)!;
    const worker = fleet.get(id)!;
    const leaseUntil = clock.now() + 10_000;
    const answer = worker.hold(
      TERM,
      known.lastStoredEnd,
      leaseUntil,
      clock.now(),
    );
    known.leasesEndBy = leaseUntil + 500;
    if (answer === undefined) return;
    scheduler.applyWorkerReport(known, worker.lifetime, {
      askedAt: clock.now(),
      ...answer,
    });
  };
  const pollWorkers = () => [...fleet.keys()].forEach(pollWorker);
  /** Stores the next batch, which adds its start commands to `commands`. */
  const storeBatch = (
    onStored: (records: readonly CellRecord[]) => void = () => {},
  ) => {
    const batch = scheduler.takeBatch();
    if (batch === undefined) return;
    onStored(batch.records);
    for (const record of batch.records) {
      records.push(record.kind);
      book.apply(record);
    }
    scheduler.handleBatchStored(batch);
  };
  /** Executes a command on its worker and passes on the worker's answer. */
  const executeCommand = (command: WorkerCommand) => {
    if (command.kind === "stop") {
      fleet.get(command.worker.id)!.stop(TERM, command.task, command.number);
      return scheduler.handleStopAnswer(command.run);
    }
    const { run } = command;
    const answer = fleet.get(run.worker.id)!.start(
      TERM,
      {
        task: taskNameOf(run),
        number: run.number,
        checkpoint: run.checkpoint,
        percent: 0,
      },
      clock.now() + 10_000,
      clock.now(),
    );
    run.worker.leasesEndBy = clock.now() + 10_500;
    scheduler.handleStartAnswer(
      run,
      answer === "started" ? "started" : "refused",
    );
  };
  const executeCommands = () => {
    for (const command of commands.splice(0)) executeCommand(command);
  };
  /** Renews the entries of workers that have restarted under their id. */
  const renewEntries = () => {
    entries.forEach((entry, index) => {
      const lifetime = fleet.get(entry.id)?.lifetime ?? entry.lifetime;
      if (lifetime === entry.lifetime) return;
      entries[index] = { ...entry, lifetime };
      updateListing();
    });
  };
  /**
   * Polls, plans, stores and executes commands for 10 rounds, after which
   * nothing changes any more. Restarted workers renew their entries after the
   * first round.
   */
  const settle = () => {
    for (let round = 0; round < 10; round++) {
      if (round === 1) renewEntries();
      clock.advance(1);
      pollWorkers();
      scheduler.plan();
      storeBatch();
      executeCommands();
    }
  };
  /** Returns the runs of a job that workers are executing. */
  const runs = (jobId: string) =>
    [...fleet.values()].flatMap((worker) =>
      [...worker.running.values()]
        .filter(({ task }) => task.job === jobId)
        .map((run) => ({ worker: worker.id, ...run }))
    );
  /** Ends every run of a job on its worker. */
  const end = (jobId: string, runEnd: RunEnd, checkpoint?: string) => {
    for (const { worker, task } of runs(jobId)) {
      fleet.get(worker)!.end(task, runEnd, checkpoint);
    }
  };
  const submit = (spec: JobSpec) => {
    const submitted = { ...spec, submittedAt: clock.wallTime() };
    book.apply({ kind: "submission", spec: submitted });
    scheduler.submit(submitted);
  };
  updateListing();
  pollWorkers();

  return {
    scheduler,
    clock,
    fleet,
    entries,
    commands,
    records,
    questions,
    warnings,
    lines,
    reclaims,
    roomWaits,
    discarded,
    book,
    updateListing,
    pollWorkers,
    pollWorker,
    storeBatch,
    executeCommands,
    settle,
    runs,
    end,
    submit,
  };
}

function rackOf(index: number): string {
  return `r${Math.floor(index / WORKERS_PER_RACK)}`;
}
