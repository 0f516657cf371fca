import type { Logger, Milliseconds } from "@rattanhill/shared";
import { createQuarantine, createRunTimeEstimator } from "@rattanhill/core";
import {
  addJob,
  type CellState,
  createCellState,
  endJob,
  forgetWhenWoundUp,
  isOver,
  recordOf,
  release,
  type Run,
  RunPhase,
  settleJob,
  stepOf,
  taskOf,
  type WorkerState,
} from "./cell_state.ts";
import {
  type AdviceAnswer,
  type AdviceQuestion,
  noteAdvice,
} from "./advice.ts";
import type { BookedJob } from "./job_book.ts";
import type { JobSpec, RunEnd, TaskName } from "./job_types.ts";
import { type CellLoad, createPlanner } from "./planner.ts";
import type { PlanningPolicy } from "./planning_policy.ts";
import type { CellRecord } from "./records.ts";
import type { Rules } from "./rules.ts";
import { applyReport, type WorkerReport } from "./run_ends.ts";
import { createWorkerRoster, type WorkerListing } from "./worker_roster.ts";

/** Something that a worker is to be told. */
export type Order =
  | { kind: "start"; run: Run }
  | {
    kind: "stop";
    worker: WorkerState;
    task: TaskName;
    number: number;
    run?: Run;
  };

/** Records to store, and what may happen once they are stored. */
export interface Batch {
  records: CellRecord[];
  /** Runs whose starts are part of the batch. */
  starting: Run[];
  /** Number of the last end of each worker that the batch reflects. */
  ends: Map<WorkerState, number>;
  /** Jobs whose outcome is part of the batch. */
  outcomes: ReturnType<typeof addJob>[];
}

/** Answer of a worker to a start. */
export type StartAnswer =
  | "started"
  /** The worker did nothing and will not. */
  | "refused"
  /** Like `refused`; the worker is not well. */
  | "unhealthy"
  /** The order may have arrived or may arrive later. */
  | "uncertain";

/** Decides where and when the tasks of a cell run. */
export interface Scheduler {
  /** Everything that is known, for links to workers and state dumps. */
  readonly state: CellState;
  setRules(rules: Rules): void;
  /** Takes over a job with its stored progress. */
  restore(job: BookedJob, leasesEndBy: Milliseconds): void;
  submit(spec: JobSpec): void;
  cancel(job: string): void;
  /** Takes in the platform's list of workers. */
  list(listing: WorkerListing): void;
  /** Takes in a worker's answer; a new lifetime makes it a new worker. */
  report(worker: WorkerState, lifetime: number, report: WorkerReport): void;
  /** Notes that a worker gave no answer. */
  silent(worker: WorkerState): void;
  startAnswered(run: Run, answer: StartAnswer, reason?: string): void;
  stopAnswered(run: Run | undefined): void;
  /** Takes in what a queue's policy said; undefined when it gave no answer. */
  advised(question: AdviceQuestion, answer: AdviceAnswer | undefined): void;
  /** Places what can be placed; orders to stop are given at once. */
  plan(): void;
  /** @returns what has changed since the last batch, if anything has */
  takeBatch(): Batch | undefined;
  /** @returns how full the workers are and what waits */
  load(): CellLoad;
  /** Gives the orders that had to wait for a batch to be stored. */
  stored(batch: Batch): void;
}

/** Options of {@link createScheduler}. */
export interface SchedulerOptions {
  now(): Milliseconds;
  wallTime(): Milliseconds;
  order(order: Order): void;
  /** Asks the policy of a queue which workers may run a step. */
  askAdvice?(question: AdviceQuestion): void;
  /** Weights of planning that differ from the usual ones. */
  policy?: Partial<PlanningPolicy>;
  log: Logger;
}

/** Time for which a worker gets nothing new after it refused a start. */
const CLOSED_AFTER_REFUSAL_MS: Milliseconds = 500; // long enough for a report to correct the room
/** The same after a start that had no answer, or an answer that says it is not well. */
const CLOSED_AFTER_SILENCE_MS: Milliseconds = 2_000; // silent workers rarely recover sooner

/**
 * Creates the scheduler of a cell without jobs and workers.
 *
 * @param options clocks and receivers
 * @returns the scheduler
 */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const { now, wallTime, order, log } = options;
  const state = createCellState();
  const quarantine = createQuarantine();
  const runTimes = createRunTimeEstimator();
  const roster = createWorkerRoster({ state, now, stop, log });
  const planner = createPlanner({
    state,
    quarantine,
    runTimes,
    now,
    wallTime,
    stop,
    askAdvice: (question) => options.askAdvice?.(question),
    policy: options.policy,
    log,
  });

  function stop(run: Run, reason: string): void {
    if (run.phase === RunPhase.stopping || run.stopReason !== undefined) return;
    run.stopReason = reason;
    log.info({ ...describeRun(run), reason }, "run to be stopped");
    // A start that is being stored is withdrawn when the store has answered.
    if (run.phase === RunPhase.storing) return;
    run.phase = RunPhase.stopping;
    const { worker, number } = run;
    order({ kind: "stop", worker, task: taskOf(run), number, run });
  }

  function ended(run: Run, end: RunEnd): void {
    const { step, worker } = run;
    const { spec } = step.job;
    const ranMs = Math.round(now() - run.placedAt);
    const { percent, stopReason } = run;
    log.info(
      { ...describeRun(run), end, ranMs, percent, stopReason },
      "run ended",
    );
    const declared = {
      account: spec.account,
      class: spec.queue,
      expectedMs: step.spec.estimateMs,
    };
    if (end === "done") {
      const factor = planner.slownessOf(run);
      if (factor === 1) runTimes.recordRun(declared, ranMs);
    }
    if (end !== "done" && end !== "failed") return;
    const task = {
      worker: worker.id,
      class: spec.queue,
      request: spec.id,
      hasFailed: end === "failed",
    };
    if (quarantine.recordTaskEnd(task, now())) {
      const isOpen = quarantine.isEligible(worker.id, now());
      log.warn({ worker: worker.id, isOpen }, "quarantine changed");
    }
  }

  return {
    state,
    setRules: (rules) => planner.setRules(rules),
    restore: (booked, leasesEndBy) => {
      const { spec, steps, isCancelled, outcome } = booked;
      const since = now() - Math.max(0, wallTime() - spec.submittedAt);
      const hasRuns = [...steps.values()].some(({ runs }) => runs.length > 0);
      if (outcome !== undefined && !hasRuns) return;
      const job = addJob(state, spec, since);
      job.outcome = outcome;
      for (const [key, record] of steps) {
        const [, occurrence, index] = key.split(".").map(Number);
        const step = stepOf(job, occurrence, index);
        step.highestRun = record.highestRun;
        step.done = new Set(record.done);
        step.failures = new Map(record.failures);
        step.checkpoints = new Map(record.checkpoints);
        for (const [task, number, workerId] of record.runs) {
          roster.restoreRun(step, task, number, workerId, leasesEndBy);
        }
      }
      if (isCancelled) cancel(spec.id);
      settleJob(state, job);
    },
    submit: (spec) => {
      if (state.jobs.has(spec.id)) return;
      const delay = Math.max(0, wallTime() - spec.submittedAt);
      addJob(state, spec, now() - delay);
      log.info({ job: spec.id, queue: spec.queue, delay }, "job taken up");
    },
    cancel,
    list: (listing) => roster.list(listing),
    report: (worker, lifetime, report) => {
      roster.noteLifetime(worker, lifetime);
      worker.hasAnswered = true;
      worker.reportedAt = now();
      worker.silentSince = undefined;
      applyReport(worker, report, {
        state,
        now: now(),
        attemptsOf: (queue) =>
          planner.rulesOf(queue)?.maximumAttempts ?? Infinity,
        ended,
        stop,
        stopUnknown: (target, { task, number }) => {
          log.warn({ worker: target.id, ...task, run: number }, "unknown run");
          order({ kind: "stop", worker: target, task, number });
        },
        log,
      });
    },
    silent: (worker) => {
      worker.silentSince ??= now();
    },
    startAnswered: (run, answer, reason) => {
      if (!run.worker.runs.has(run)) return;
      if (answer === "started") {
        run.provableFrom ??= now();
        if (run.phase === RunPhase.ordered) run.phase = RunPhase.running;
        return;
      }
      log.warn(
        { ...describeRun(run), answer, reason },
        "start not carried out",
      );
      const { step, worker } = run;
      if (answer === "uncertain") {
        worker.closedUntil = now() + CLOSED_AFTER_SILENCE_MS;
        // The next report tells whether the worker has it.
        run.uncertainSince = now();
        return;
      }
      worker.closedUntil = now() +
        (answer === "unhealthy"
          ? CLOSED_AFTER_SILENCE_MS
          : CLOSED_AFTER_REFUSAL_MS);
      release(state, run);
      if (reason === "noTicket") step.advice?.tickets.delete(worker.id);
      if (!step.spec.isGang) return;
      for (const member of [...step.runs.values()]) {
        stop(member, "a member of the gang was not started");
      }
    },
    stopAnswered: (run) => {
      if (run !== undefined) run.provableFrom = now();
    },
    advised: (question, answer) => noteAdvice(question, answer, now()),
    plan: () => {
      roster.expire();
      planner.plan();
    },
    load: () => planner.load(),
    takeBatch: () => {
      const ends = new Map<WorkerState, number>();
      for (const worker of state.workers.values()) {
        if (worker.handledEnd > worker.storedEnd) {
          ends.set(worker, worker.handledEnd);
        }
      }
      const records: CellRecord[] = [];
      const starting: Run[] = [];
      for (const step of state.unsavedSteps) {
        records.push({
          kind: "progress",
          step: step.key,
          progress: recordOf(step),
        });
        for (const run of step.runs.values()) {
          if (run.phase === RunPhase.storing) starting.push(run);
        }
      }
      const outcomes = [...state.unsavedOutcomes];
      for (const job of outcomes) {
        const { id } = job.spec;
        const outcome = job.outcome!;
        records.push({ kind: "outcome", job: id, outcome, at: wallTime() });
      }
      state.unsavedSteps.clear();
      state.unsavedOutcomes.clear();
      if (records.length > 0) return { records, starting, ends, outcomes };
      // Ends without an effect on any step need no record.
      for (const [worker, end] of ends) worker.storedEnd = end;
      return undefined;
    },
    stored: ({ starting, ends, outcomes }) => {
      for (const [worker, end] of ends) {
        worker.storedEnd = Math.max(worker.storedEnd, end);
      }
      for (const run of starting) {
        if (run.phase !== RunPhase.storing) continue;
        if (run.stopReason !== undefined || !run.worker.isListed) {
          release(state, run);
          continue;
        }
        run.phase = RunPhase.ordered;
        order({ kind: "start", run });
      }
      for (const job of outcomes) {
        log.info(
          { job: job.spec.id, outcome: job.outcome },
          "outcome stored",
        );
        forgetWhenWoundUp(state, job);
      }
    },
  };

  function cancel(id: string): void {
    const job = state.jobs.get(id);
    if (job === undefined || isOver(job)) return;
    job.isCancelled = true;
    for (const step of job.steps.values()) {
      for (const run of [...step.runs.values()]) stop(run, "job cancelled");
    }
    endJob(state, job, "cancelled");
  }
}

/** @returns the fields that name a run in log lines */
export function describeRun(run: Run) {
  const { step, index, number, worker, phase } = run;
  return {
    job: step.job.spec.id,
    step: step.key,
    task: index,
    run: number,
    worker: worker.id,
    phase,
  };
}
