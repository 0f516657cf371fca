import {
  createIsolation,
  type Isolate,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import { createQuarantine, createRunTimeEstimator } from "@rattanhill/core";
import {
  type ActiveJob,
  addJob,
  type CellState,
  createCellState,
  deleteJobIfFinished,
  describeRun,
  isOver,
  type Run,
  RunPhase,
  taskNameOf,
  type WorkerState,
} from "./cell_state.ts";
import { completeJobIfDone, failJob, setJobOutcome } from "./job_outcomes.ts";
import {
  type AdviceAnswer,
  type AdviceQuestion,
  recordAdvice,
} from "./advice.ts";
import type { ReclaimOutcome } from "./capacity_reclaim.ts";
import { createCrashBlame } from "./crash_blame.ts";
import { recordRefusal } from "./departed_workers.ts";
import { createRecordBatches, type RecordBatch } from "./record_batch.ts";
import { failedAttemptsOf, isOutOfAttempts } from "./failed_attempts.ts";
import type { StoredJob } from "./job_book.ts";
import type { JobSpec, RunEnd } from "./job_types.ts";
import type { CellLoad } from "./cell_load.ts";
import { workerFactorOf } from "./durations.ts";
import { createPlanner } from "./planner.ts";
import { PLANNING_POLICY, type PlanningPolicy } from "./planning_policy.ts";
import { parseProgressKey, type ProgressRecord } from "./progress_parts.ts";
import { restoreProgress } from "./restored_progress.ts";
import { progressKeysOf } from "./stored_progress.ts";
import { keepUncompacted } from "./occurrence_compaction.ts";
import { applyStartAnswer, startStoredRuns } from "./run_starts.ts";
import type { Rules } from "./rules.ts";
import { applyReport, type WorkerReport } from "./run_ends.ts";
import { createRunObservations, speedKeyOf } from "./run_observations.ts";
import type { RoomWaitEvent } from "./room_waits.ts";
import { createRunStatistics } from "./run_statistics.ts";
import { createSpeedChangeLog } from "./speed_change_log.ts";
import type { DiscardReason } from "./stop_reasons.ts";
import { findIncompleteGangs } from "./stuck_runs.ts";
import type { StartAnswer, WorkerCommand } from "./worker_commands.ts";
import {
  createWorkerRoster,
  type RemovedWorkers,
  type WorkerListing,
} from "./worker_roster.ts";
import { createWorkerSpeeds, type SpeedClass } from "./worker_speeds.ts";
import {
  createZoneEvacuation,
  type ZoneEvacuation,
} from "./zone_evacuation.ts";

/**
 * Decides where and when the tasks of a cell run. It does no I/O itself: the
 * lead of the cell calls it for each event, stores its batches and sends its
 * commands to the workers.
 */
export interface Scheduler {
  /** State of the cell, for worker connections and state dumps. */
  readonly state: CellState;
  /** Zones in which no runs may be started, for updates and start commands. */
  readonly evacuation: ZoneEvacuation;
  /** Replaces the rules that the operators configured. */
  setRules(rules: Rules): void;
  /**
   * Restores a job and its progress from the store after a change of lead. Its
   * stored runs are assumed to exist until a report proves otherwise or
   * `leasesEndBy` has passed. A job whose progress cannot be restored is not
   * added.
   *
   * @throws RangeError when the progress names a step that the job does not have
   */
  restore(job: StoredJob, leasesEndBy: Milliseconds): void;
  /** Deletes stored progress by its keys, since its job no longer exists. */
  removeProgress(keys: Iterable<string>): void;
  /** Adds a new job; a job that is already known is ignored. */
  submit(spec: JobSpec): void;
  /** Cancels a job and stops its runs. */
  cancel(job: string): void;
  /** Applies the platform's current list of workers. */
  updateWorkers(listing: WorkerListing): void;
  /** Applies what is known of workers that the list no longer contains. */
  updateRemovedWorkers(removed: RemovedWorkers): void;
  /**
   * Applies a worker's report. A higher lifetime means that the worker has
   * restarted and lost its runs.
   */
  applyWorkerReport(
    worker: WorkerState,
    lifetime: number,
    report: WorkerReport,
  ): void;
  /** @returns the learned duration factor of a worker; 1 when it is usual */
  speedOf(worker: WorkerState): number;
  /** See {@link Planner.isUsed}. */
  isUsed(worker: WorkerState): boolean;
  /**
   * Records that a poll of a worker failed or got no answer.
   *
   * @param worker the worker
   * @param options whether no process listens at its address
   */
  recordNoAnswer(worker: WorkerState, options?: { isRefused: boolean }): void;
  /**
   * Records that another worker answers at the address of a worker, whose
   * process has therefore ended.
   */
  recordReplacement(worker: WorkerState): void;
  /**
   * Records that the connection ended on which a start command had just been
   * sent.
   */
  recordInterruptedStart(run: Run): void;
  /** Applies the answer to a start command. */
  handleStartAnswer(run: Run, answer: StartAnswer, reason?: string): void;
  /**
   * Records that a worker acknowledged a stop command; `run` is undefined when
   * this lead does not know the run.
   */
  handleStopAnswer(run: Run | undefined): void;
  /**
   * Applies the advice of a queue's policy; `answer` is undefined when the
   * policy did not answer.
   */
  handleAdvice(
    question: AdviceQuestion,
    answer: AdviceAnswer | undefined,
  ): void;
  /**
   * Runs a planning pass. Stop commands are sent at once; start commands wait
   * until their placement is stored.
   */
  plan(): void;
  /**
   * @returns the changes that are not confirmed to be stored; undefined when
   * there are none. An earlier batch that is not confirmed by then counts as not
   * stored.
   */
  takeBatch(): RecordBatch | undefined;
  /** @returns the load of the cell; see {@link CellLoad} */
  load(): CellLoad;
  /**
   * Confirms that the last batch is stored: sends its start commands, makes its
   * run ends ready for acknowledgement and deletes jobs that are finished.
   */
  handleBatchStored(batch: RecordBatch): void;
  /**
   * Fails the jobs of which the store rejects the progress for good: without a
   * record, their tasks could run twice. The batch counts as not stored.
   *
   * @param keys keys of the progress that was rejected
   */
  handleUnstorable(keys: readonly string[]): void;
  /**
   * Keeps the progress of the finished occurrences of jobs, since the store
   * rejects the record that would replace it. The batch counts as not stored.
   *
   * @param jobs IDs of the jobs
   */
  handleUnstorableOccurrences(jobs: readonly string[]): void;
}

/** Options of {@link createScheduler}. */
export interface SchedulerOptions {
  now(): Milliseconds;
  wallTime(): Milliseconds;
  /** Sends a command to a worker. */
  sendCommand(command: WorkerCommand): void;
  /** See {@link ZoneEvacuationOptions.isCurrent}; always by default. */
  areRequestsCurrent?(): boolean;
  /** Asks the policy of a queue which workers may run a step. */
  askAdvice?(question: AdviceQuestion): void;
  /** Called for each reported end of a run that this scheduler does not know. */
  onUnknownRunEnd?(end: RunEnd): void;
  /** Called for each worker whose learned speed changes its class. */
  onSpeedChange?(speed: SpeedClass): void;
  /** Called for decisions on preemption. */
  onReclaim?(outcome: ReclaimOutcome): void;
  /** Called as waits beside free capacity reach bounds and end. */
  onRoomWait?(event: RoomWaitEvent): void;
  /**
   * Called when a run ends without success, with its discarded work in core
   * milliseconds.
   */
  onDiscardedWork?(reason: DiscardReason, coreMs: number): void;
  /** @returns whether the store takes a record of this size; always by default */
  fits?(record: ProgressRecord): boolean;
  /** Planning parameters that override the defaults. */
  policy?: Partial<PlanningPolicy>;
  /**
   * Keeps the failure of one job, step or worker from the others; one that only
   * logs is the default.
   */
  isolate?: Isolate;
  log: Logger;
}

/**
 * Creates the scheduler of a cell, with no jobs and no workers yet.
 *
 * @param options clocks, callbacks and planning parameters
 * @returns the scheduler
 */
export function createScheduler(options: SchedulerOptions): Scheduler {
  const { now, wallTime, sendCommand, log } = options;
  const isolate = options.isolate ?? createIsolation({ clock: { now }, log });
  const state = createCellState();
  const batches = createRecordBatches(state, {
    wallTime,
    fits: options.fits ?? (() => true),
  });
  const quarantine = createQuarantine();
  const runTimes = createRunTimeEstimator();
  const logSpeedChange = createSpeedChangeLog({ now, log });
  const speeds = createWorkerSpeeds({
    now,
    scale: options.policy?.workerSpeeds ?? PLANNING_POLICY.workerSpeeds,
    onClassChange: (change) => {
      logSpeedChange(change);
      options.onSpeedChange?.(change.speed);
    },
  });
  const crashBlame = createCrashBlame({ state, now, stop, log });
  const evacuation = createZoneEvacuation({
    now,
    isCurrent: options.areRequestsCurrent ?? (() => true),
    log,
  });
  const roster = createWorkerRoster({
    state,
    now,
    stop,
    onCrash: crashBlame.recordCrash,
    isolate,
    log,
  });
  const planner = createPlanner({
    state,
    quarantine,
    crashBlame,
    evacuation,
    runTimes,
    speeds,
    now,
    wallTime,
    stop,
    askAdvice: (question) => options.askAdvice?.(question),
    onReclaim: (outcome) => options.onReclaim?.(outcome),
    onRoomWait: (event) => options.onRoomWait?.(event),
    policy: options.policy,
    isolate,
    log,
  });

  const { slowdownOf } = planner;
  const observations = createRunObservations({ speeds, now, slowdownOf });
  const handleRunEnd = createRunStatistics({
    quarantine,
    runTimes,
    observations,
    now,
    slowdownOf,
    workerFactorOf: (run) => workerFactorOf(run, speeds),
    onDiscardedWork: (reason, coreMs) =>
      options.onDiscardedWork?.(reason, coreMs),
    log,
  });

  /** Stops a run once; later reasons are ignored. */
  function stop(run: Run, reason: string): void {
    if (run.phase === RunPhase.stopping || run.stopReason !== undefined) return;
    run.stopReason = reason;
    log.info({ ...describeRun(run), reason }, "stopping run");
    // No start command was sent yet, so no stop command is needed. The run is
    // released once its batch is stored.
    if (run.phase === RunPhase.storing) return;
    run.phase = RunPhase.stopping;
    const { worker, number } = run;
    sendCommand({ kind: "stop", worker, task: taskNameOf(run), number, run });
  }

  /** Fails a job if one of its tasks has failed as often as its queue allows. */
  function checkAttempts(job: ActiveJob): void {
    const attemptLimit = planner.attemptLimitOf(job.spec);
    if (isOver(job) || !isOutOfAttempts(job, attemptLimit)) return;
    const failedAttempts = [...job.steps.values()].map(failedAttemptsOf);
    log.info(
      { job: job.spec.id, failedAttempts, attemptLimit },
      "job failed: attempt limit of its queue reached",
    );
    failJob(state, job, stop);
  }

  return {
    state,
    evacuation,
    setRules: (rules) => {
      planner.setRules(rules);
      for (const job of state.jobs.values()) {
        isolate(
          { operation: "job.attempts", item: job.spec.id },
          () => checkAttempts(job),
        );
      }
    },
    restore: (storedJob, leasesEndBy) => {
      const { spec, steps, isCancelled, outcome } = storedJob;
      const waitingSince = now() - Math.max(0, wallTime() - spec.submittedAt);
      const hasRuns = [...steps.values()].some(({ runs }) => runs.length > 0);
      if (outcome !== undefined && !hasRuns) {
        return removeProgress(progressKeysOf(steps));
      }
      const job = addJob(state, spec, waitingSince);
      job.outcome = outcome;
      job.hasStarted = storedJob.hasStarted;
      try {
        restoreProgress(job, storedJob, {
          state,
          restoreRun: (step, run) => roster.restoreRun(step, run, leasesEndBy),
        });
      } catch (error) {
        // Without all of its progress, tasks of the job would run again.
        state.jobs.delete(spec.id);
        throw error;
      }
      // The stops of the earlier lead may have been lost with it.
      if (outcome !== undefined) stopRuns(job, "its job has ended");
      else if (isCancelled) cancel(spec.id);
      completeJobIfDone(state, job);
      checkAttempts(job);
      crashBlame.judgeRestored(job);
    },
    removeProgress,
    submit: (spec) => {
      if (state.jobs.has(spec.id)) return;
      const delay = Math.max(0, wallTime() - spec.submittedAt);
      addJob(state, spec, now() - delay);
      log.info(
        { job: spec.id, queue: spec.queue, delay },
        "job added to the scheduler",
      );
    },
    cancel,
    updateWorkers: (listing) => roster.applyListing(listing),
    updateRemovedWorkers: roster.applyRemoved,
    applyWorkerReport: (worker, lifetime, report) => {
      const { askedAt } = report;
      const isCurrent = roster.updateLifetime(worker, lifetime, askedAt);
      // The process gave this answer before its end.
      if (!isCurrent || worker.hasEnded) {
        log.info({ worker: worker.id, lifetime }, "late report ignored");
        return;
      }
      worker.hasAnswered = true;
      worker.reportedAt = now();
      worker.lastAnsweredPollAt = Math.max(worker.lastAnsweredPollAt, askedAt);
      worker.silentSince = undefined;
      recordRefusal(worker, undefined);
      applyReport(worker, report, {
        state,
        now: now(),
        lifetime,
        checkAttempts,
        onProgress: observations.recordProgress,
        onRunEnd: handleRunEnd,
        onUnknownRunEnd: (end) => options.onUnknownRunEnd?.(end),
        stop,
        stopUnknown: (target, { task, number }) => {
          log.warn(
            { worker: target.id, ...task, run: number },
            "worker reports an unknown run; stopping it",
          );
          sendCommand({ kind: "stop", worker: target, task, number });
        },
        log,
      });
    },
    speedOf: (worker) => speeds.factorOf(speedKeyOf(worker)),
    isUsed: planner.isUsed,
    recordNoAnswer: (worker, { isRefused } = { isRefused: false }) => {
      worker.silentSince ??= now();
      recordRefusal(worker, isRefused ? now() : undefined);
    },
    recordReplacement: (worker) =>
      roster.recordProcessEnd(worker, "another worker answers at its address"),
    recordInterruptedStart: (run) => {
      run.interruptedAt ??= now();
    },
    handleStartAnswer: (run, answer, reason) => {
      applyStartAnswer(run, { answer, reason }, {
        state,
        now: now(),
        stop,
        onStarted: observations.recordStart,
        log,
      });
    },
    handleStopAnswer: (run) => {
      if (run !== undefined) run.absenceProvableFrom = now();
    },
    handleAdvice: (question, answer) => recordAdvice(question, answer, now()),
    plan: () => {
      roster.releaseLostRuns();
      crashBlame.judgeCrashes();
      for (const run of findIncompleteGangs(state)) {
        stop(run, "a member of the gang was lost");
      }
      planner.plan();
    },
    load: () => planner.load(),
    takeBatch: batches.take,
    handleBatchStored: (batch) => {
      if (!batches.confirm(batch)) return;
      const { starting } = batch;
      startStoredRuns(starting, { ...options, state, evacuation, stop });
      for (const job of batch.outcomes) {
        log.info(
          { job: job.spec.id, outcome: job.outcome },
          "job outcome stored",
        );
        deleteJobIfFinished(state, job);
      }
    },
    handleUnstorableOccurrences: (ids) => {
      for (const id of ids) keepUncompacted(state, id, log);
    },
    handleUnstorable: (keys) => {
      for (const key of keys) {
        const { step: name } = parseProgressKey(key);
        const job = state.jobs.get(name.slice(0, name.indexOf(".")));
        const step = job?.steps.get(name);
        if (job === undefined || step === undefined) continue;
        step.isUnstorable = true;
        log.error(
          { job: job.spec.id, progress: key },
          "job failed: the store rejects its progress",
        );
        if (!isOver(job)) failJob(state, job, stop);
      }
    },
  };

  function removeProgress(keys: Iterable<string>): void {
    for (const key of keys) state.removedSteps.add(key);
  }

  function cancel(id: string): void {
    const job = state.jobs.get(id);
    if (job === undefined || isOver(job)) return;
    job.isCancelled = true;
    stopRuns(job, "job cancelled");
    setJobOutcome(state, job, "cancelled");
  }

  /** Stops all runs of a job. */
  function stopRuns(job: ActiveJob, reason: string): void {
    for (const step of job.steps.values()) {
      for (const run of [...step.runs.values()]) stop(run, reason);
    }
  }
}
