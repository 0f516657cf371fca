import { build, type Histogram } from "hdr-histogram-js";
import { createManualClock, type Milliseconds } from "@rattanhill/shared";
import type { LeaseDescriptor } from "@rattanhill/core";
import { createFleet, type Fleet } from "./fleet.ts";
import { createEventQueue } from "./event_queue.ts";
import {
  CLAIMANT,
  type Deployment,
  generateJobs,
  HORIZON_MS,
  type LoadCase,
  type SimulatedJob,
  TAIL_MS,
} from "./workload.ts";

/** A scheduler under test: the project's own placer or a baseline. */
export interface Scheduler {
  submit(job: SimulatedJob, now: Milliseconds): void;
  cancel(id: string, now: Milliseconds): void;
  /** Called when the leases of a worker have changed. */
  updateWorker(worker: string, now: Milliseconds): void;
  /** Called when a task has completed or failed. */
  recordTaskEnd(
    lease: LeaseDescriptor,
    worker: string,
    end: { ranMs: Milliseconds; hasFailed: boolean },
    now: Milliseconds,
  ): void;
  /** Called when the loss of a worker has been detected. */
  removeWorker(worker: string, now: Milliseconds): void;
  /** Runs a scheduling pass over the queue. */
  runPass(now: Milliseconds): void;
}

/** Operations on the simulated fleet that a scheduler may call. */
export interface SchedulerHost {
  fleet: Fleet;
  /** Starts all parts of a job at the same time. */
  start(job: SimulatedJob, leases: readonly StartedLease[]): void;
  /** Stops the jobs that hold these leases after they saved a checkpoint. */
  preempt(leases: readonly string[]): void;
  /** Refuses a job; its caller retries after the given time. */
  refuse(job: SimulatedJob, retryAfterMs: Milliseconds): void;
  random(): number;
}

/** A lease of a started job and the name of its worker. */
export interface StartedLease {
  descriptor: LeaseDescriptor;
  worker: string;
}

/** Creates the scheduler under test. */
export type SchedulerFactory = (
  deployment: Deployment,
  host: SchedulerHost,
) => Scheduler;

/** Results of one case under one scheduler. */
export interface CaseResult {
  deployment: string;
  case: string;
  /** Name of the scheduler. */
  policy: string;
  /**
   * Percentiles of the time from arrival to completion by class, in
   * milliseconds.
   */
  completion: Record<string, { p50: number; p95: number; p99: number }>;
  /** Mean of the fragmentation ratio, sampled while jobs arrive. */
  fragmentationMean: number;
  /** Maximum of the fragmentation ratio, sampled while jobs arrive. */
  fragmentationWorst: number;
  /** Longest wait of a gang job for its first start, in milliseconds. */
  largestGangWaitMs: number;
  /**
   * Longest wait of a job that claims a guarantee, in milliseconds, less the
   * time in which preempted tasks save a checkpoint.
   */
  reclaimMs: number;
  /** Accelerator-seconds of work lost when workers were lost. */
  lostWorkSeconds: number;
  /** Number of times that the scheduler chose a running job to be stopped. */
  preemptions: number;
  /** Number of refusals, including those of jobs that fit no worker. */
  refusals: number;
  /**
   * Mean absolute difference, in milliseconds, between the retry delay that a
   * refused job was advised and the time from its latest refusal to its start.
   */
  retryAfterErrorMs: number;
  /** Number of jobs that had not completed when the simulation ended. */
  unfinished: number;
  /**
   * 99th percentile, in microseconds, of the duration of a scheduling pass
   * after an event, divided by the number of its placements if there are any.
   */
  decisionP99Us: number;
  /**
   * 99th percentile, in microseconds, of the duration of a scheduling pass
   * after an event.
   */
  passP99Us: number;
  /** Number of jobs without those that were cancelled or fit no worker. */
  jobs: number;
}

/** Time that a preempted task takes to save a checkpoint. */
export const CHECKPOINT_SAVE_MS: Milliseconds = 500;

// Interval of the scheduling passes that run without an event.
const PASS_INTERVAL_MS: Milliseconds = 250;
// Interval at which the fragmentation is measured.
const SAMPLE_INTERVAL_MS: Milliseconds = 1_000;
// Simulated time at which the faults of a case occur.
const FAULT_TIME_MS: Milliseconds = 300_000;
// Time from the start of a task on a black-hole worker to its failure.
const TASK_FAILURE_MS: Milliseconds = 50;
// Delay after which a job that was stopped or failed is submitted again.
const RESUBMIT_DELAY_MS: Milliseconds = 5;
// Time from the loss of a worker until the scheduler is notified of it.
const LOSS_DETECTION_MS: Milliseconds = 3_000;

/** A job in the simulation, from its arrival on. */
interface JobState {
  job: SimulatedJob;
  /** Leases of the current run; empty while the job is not running. */
  leases: StartedLease[];
  /** Run time that each part still needed when the current run started. */
  remainingMs: Milliseconds;
  /** Time of the latest start. */
  startedAt: Milliseconds;
  /** Time of the arrival or the latest stop; not used in the results. */
  waitingSince: Milliseconds;
  firstStartAt?: Milliseconds;
  /** Time of the completion; undefined if the job did not complete. */
  endedAt?: Milliseconds;
  /** Whether the job completed, was cancelled or fits no worker. */
  hasEnded: boolean;
  /** Time of the latest refusal; undefined once the job has started since. */
  refusedAt?: Milliseconds;
  /** Retry delay that the scheduler advised with the latest refusal. */
  retryAfterMs: Milliseconds;
}

/**
 * Simulates one case under one scheduler, in simulated time.
 *
 * @param deployment fleet, accounts and classes
 * @param load load and faults of the case
 * @param options name and factory of the scheduler, source of random numbers
 * with its seed, and the measure of fragmentation
 * @returns the times and counts that the targets are compared with
 */
export function simulate(
  deployment: Deployment,
  load: LoadCase,
  options: {
    policy: string;
    factory: SchedulerFactory;
    createRandom(seed: number): () => number;
    seed: number;
    measureFragmentation(fleet: Fleet): { ratio: number };
  },
): CaseResult {
  const random = options.createRandom(options.seed);
  const clock = createManualClock();
  const fleet = createFleet(
    deployment.zone,
    deployment.sizes,
    deployment.workersPerRack,
  );
  const events = createEventQueue();
  const statesByJob = new Map<string, JobState>();
  const statesByLease = new Map<string, JobState>();
  const timesPerPlacement = createHistogram();
  const passTimes = createHistogram();
  let placements = 0;
  const fragmentation: number[] = [];
  const retryDelayErrorsMs: number[] = [];
  let lostAcceleratorMs = 0;
  let preemptions = 0;
  let refusals = 0;

  const now = () => clock.now();
  const runAt = (time: Milliseconds, action: () => void) =>
    events.add(Math.max(time, now()), action);

  const releaseLeases = (state: JobState): void => {
    for (const { descriptor, worker } of state.leases) {
      statesByLease.delete(descriptor.lease);
      if (fleet.end(descriptor.lease) !== undefined) {
        scheduler.updateWorker(worker, now());
      }
    }
    state.leases = [];
  };

  const finishJob = (state: JobState): void => {
    state.hasEnded = true;
    state.endedAt = now();
    releaseLeases(state);
  };

  const resubmit = (state: JobState): void => {
    state.waitingSince = now();
    runAt(now() + RESUBMIT_DELAY_MS, () => {
      if (!state.hasEnded) scheduler.submit(state.job, now());
    });
  };

  const completeJob = (
    state: JobState,
    leases: readonly StartedLease[],
  ): void => {
    // A job that was stopped in the meantime holds other leases or none.
    if (state.hasEnded || state.leases !== leases) return;
    for (const { descriptor, worker } of leases) {
      const ranMs = now() - state.startedAt;
      const ended = { ranMs, hasFailed: false };
      scheduler.recordTaskEnd(descriptor, worker, ended, now());
    }
    finishJob(state);
  };

  const failJob = (state: JobState, leases: readonly StartedLease[]): void => {
    if (state.hasEnded || state.leases !== leases) return;
    for (const { descriptor, worker } of leases) {
      if (!fleet.worker(worker).isBlackHole) continue;
      const ended = { ranMs: TASK_FAILURE_MS, hasFailed: true };
      scheduler.recordTaskEnd(descriptor, worker, ended, now());
    }
    releaseLeases(state);
    resubmit(state);
  };

  /**
   * Stops a job and submits it again. Unless `keepsProgress` is set, the work
   * since its latest start is lost.
   */
  const stopJob = (state: JobState, keepsProgress: boolean): void => {
    const ranMs = now() - state.startedAt;
    if (keepsProgress) state.remainingMs -= ranMs;
    else lostAcceleratorMs += ranMs * countAccelerators(state.job);
    releaseLeases(state);
    resubmit(state);
  };

  const host: SchedulerHost = {
    fleet,
    random,
    start: (job, leases) => {
      const state = statesByJob.get(job.id)!;
      placements += 1;
      state.leases = [...leases];
      const started = state.leases;
      for (const { descriptor, worker } of leases) {
        fleet.start(descriptor, worker, now());
        statesByLease.set(descriptor.lease, state);
        scheduler.updateWorker(worker, now());
      }
      state.startedAt = now();
      state.firstStartAt ??= now();
      recordRetryDelayError(state);
      const fails = leases.some(({ worker }) =>
        fleet.worker(worker).isBlackHole
      );
      if (fails) runAt(now() + TASK_FAILURE_MS, () => failJob(state, started));
      else runAt(now() + state.remainingMs, () => completeJob(state, started));
    },
    preempt: (leases) => {
      const victims = new Set(
        leases.map((lease) => statesByLease.get(lease))
          .filter((state) => state !== undefined),
      );
      for (const state of victims) {
        preemptions += 1;
        const stopped = state.leases;
        runAt(now() + CHECKPOINT_SAVE_MS, () => {
          if (state.leases === stopped && !state.hasEnded) stopJob(state, true);
        });
      }
    },
    refuse: (job, retryAfterMs) => {
      refusals += 1;
      const state = statesByJob.get(job.id)!;
      state.refusedAt = now();
      state.retryAfterMs = retryAfterMs;
      runAt(now() + retryAfterMs, () => {
        if (!state.hasEnded) scheduler.submit(job, now());
      });
    },
  };

  const recordRetryDelayError = (state: JobState): void => {
    if (state.refusedAt === undefined) return;
    const waitedMs = now() - state.refusedAt;
    retryDelayErrorsMs.push(Math.abs(waitedMs - state.retryAfterMs));
    state.refusedAt = undefined;
  };

  const scheduler = options.factory(deployment, host);
  for (const worker of fleet.workers) {
    scheduler.updateWorker(worker.report.worker, 0);
  }
  const jobs = generateJobs(deployment, load, random);
  for (const job of jobs) {
    runAt(job.arrivesAt, () => {
      statesByJob.set(job.id, {
        job,
        leases: [],
        remainingMs: job.runMs,
        startedAt: 0,
        waitingSince: now(),
        hasEnded: false,
        retryAfterMs: 0,
      });
      // Schedulers do not receive jobs that fit no worker, so that such a job
      // counts as refused under each of them.
      if (isOversized(job, deployment)) {
        refusals += 1;
        statesByJob.get(job.id)!.hasEnded = true;
        return;
      }
      scheduler.submit(job, now());
    });
    if (job.cancelAt === undefined) continue;
    runAt(job.cancelAt, () => {
      const state = statesByJob.get(job.id);
      if (state === undefined || state.hasEnded) return;
      scheduler.cancel(job.id, now());
      state.hasEnded = true;
      releaseLeases(state);
    });
  }
  scheduleFaults();

  const endAt = HORIZON_MS + TAIL_MS;
  let nextSampleAt = SAMPLE_INTERVAL_MS;
  let nextPassAt = 0;
  while (events.nextTime() <= endAt) {
    const time = events.nextTime();
    while (nextPassAt < time && nextPassAt <= endAt) {
      clock.advance(Math.max(0, nextPassAt - now()));
      scheduler.runPass(now());
      nextPassAt += PASS_INTERVAL_MS;
      // Nothing changes between two events. If they are more than 40 intervals
      // apart, only the first pass and the last four passes are run.
      if (nextPassAt < time - PASS_INTERVAL_MS * 40) {
        nextPassAt = time - PASS_INTERVAL_MS * 4;
      }
    }
    clock.advance(Math.max(0, time - now()));
    while (nextSampleAt <= now() && nextSampleAt <= HORIZON_MS) {
      fragmentation.push(options.measureFragmentation(fleet).ratio);
      nextSampleAt += SAMPLE_INTERVAL_MS;
    }
    events.runNext();
    while (events.nextTime() <= now()) events.runNext();
    measurePass();
  }
  return summarize();

  function measurePass(): void {
    placements = 0;
    const before = performance.now();
    scheduler.runPass(now());
    const elapsedUs = (performance.now() - before) * 1_000;
    passTimes.recordValue(Math.max(1, elapsedUs));
    const perPlacementUs = elapsedUs / Math.max(1, placements);
    timesPerPlacement.recordValue(Math.max(1, perPlacementUs));
  }

  function scheduleFaults(): void {
    const [firstWorker] = fleet.workers;
    if (load.blackHole) {
      runAt(FAULT_TIME_MS, () => firstWorker.isBlackHole = true);
    }
    if (!load.rackLost) return;
    runAt(FAULT_TIME_MS, () => {
      for (const { report } of fleet.workers) {
        if (report.rack !== firstWorker.report.rack) continue;
        const lostLeases = fleet.kill(report.worker);
        runAt(now() + LOSS_DETECTION_MS, () => {
          scheduler.removeWorker(report.worker, now());
          for (const lease of lostLeases) {
            const state = statesByLease.get(lease);
            if (state !== undefined && !state.hasEnded) stopJob(state, false);
          }
        });
      }
    });
  }

  function summarize(): CaseResult {
    const completion: CaseResult["completion"] = {};
    for (const { name } of deployment.classes) {
      const histogram = createHistogram();
      for (const state of statesByJob.values()) {
        const { job } = state;
        if (job.class !== name || isExcluded(state, deployment)) continue;
        const endedAt = state.endedAt ?? endAt;
        histogram.recordValue(Math.max(1, Math.round(endedAt - job.arrivesAt)));
      }
      if (histogram.totalCount === 0) continue;
      completion[name] = {
        p50: histogram.getValueAtPercentile(50),
        p95: histogram.getValueAtPercentile(95),
        p99: histogram.getValueAtPercentile(99),
      };
    }
    const countedJobs = [...statesByJob.values()].filter((state) =>
      !isExcluded(state, deployment)
    );
    const gangs = countedJobs.filter(({ job }) => job.shape.parts > 1);
    const claimJobs = countedJobs.filter(({ job }) => job.account === CLAIMANT);
    const waitMsOf = ({ job, firstStartAt }: JobState) =>
      (firstStartAt ?? endAt) - job.arrivesAt;
    return {
      deployment: deployment.name,
      case: load.name,
      policy: options.policy,
      completion,
      fragmentationMean: mean(fragmentation),
      fragmentationWorst: Math.max(0, ...fragmentation),
      largestGangWaitMs: Math.max(0, ...gangs.map(waitMsOf)),
      reclaimMs: Math.max(
        0,
        ...claimJobs.map((state) =>
          Math.max(0, waitMsOf(state) - CHECKPOINT_SAVE_MS)
        ),
      ),
      lostWorkSeconds: lostAcceleratorMs / 1_000,
      preemptions,
      refusals,
      retryAfterErrorMs: mean(retryDelayErrorsMs),
      unfinished: countedJobs.filter(({ hasEnded }) => !hasEnded).length,
      decisionP99Us: timesPerPlacement.getValueAtPercentile(99),
      passP99Us: passTimes.getValueAtPercentile(99),
      jobs: countedJobs.length,
    };
  }
}

/**
 * Checks whether a job was cancelled or fits no worker. Such jobs are left out
 * of the times and numbers of jobs in the results.
 */
function isExcluded({ job }: JobState, deployment: Deployment): boolean {
  return job.cancelAt !== undefined || isOversized(job, deployment);
}

/** @returns whether a part needs more accelerators than any worker has */
function isOversized(job: SimulatedJob, { sizes }: Deployment): boolean {
  return job.shape.accelerators > Math.max(...sizes);
}

function countAccelerators({ shape }: SimulatedJob): number {
  return shape.parts * shape.accelerators;
}

function mean(values: readonly number[]): number {
  if (values.length === 0) return 0;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 1e9,
    numberOfSignificantValueDigits: 3,
  });
}
