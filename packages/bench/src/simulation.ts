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
  /** Called when a worker is found to be lost. */
  removeWorker(worker: string, now: Milliseconds): void;
  /** Runs a scheduling pass over the queue. */
  decide(now: Milliseconds): void;
}

/** Operations of a scheduler on the simulated fleet. */
export interface SchedulerHost {
  fleet: Fleet;
  /** Starts all parts of a job at once. */
  start(job: SimulatedJob, leases: readonly StartedLease[]): void;
  /** Stops the jobs of these leases after saving their progress. */
  preempt(leases: readonly string[]): void;
  /** Refuses a job; its caller retries after the given time. */
  refuse(job: SimulatedJob, retryAfterMs: Milliseconds): void;
  random(): number;
}

/** A lease of a started job. */
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
  policy: string;
  /** Percentiles of the completion time by class, in milliseconds. */
  completion: Record<string, { p50: number; p95: number; p99: number }>;
  fragmentationMean: number;
  fragmentationWorst: number;
  /** Longest wait of a gang job for its first start, in milliseconds. */
  largestGangWaitMs: number;
  /**
   * Longest wait of a job that claims a guarantee, in milliseconds, without the
   * checkpoint of the preempted tasks.
   */
  reclaimMs: number;
  /** Accelerator-seconds of work lost with workers. */
  lostWorkSeconds: number;
  preemptions: number;
  refusals: number;
  /**
   * Mean absolute difference between the advised retry delay of a refused job
   * and the time until it started.
   */
  retryAfterErrorMs: number;
  unfinished: number;
  /**
   * 99th percentile, in microseconds, of the time of a pass divided by its
   * placements, or of a pass without placements.
   */
  decisionP99Us: number;
  /** 99th percentile of the time of a pass over the queue, in microseconds. */
  passP99Us: number;
  jobs: number;
}

/** Time that a preempted task takes to save a checkpoint. */
export const CHECKPOINT_SAVE_MS: Milliseconds = 500;

const DECIDE_INTERVAL_MS: Milliseconds = 250;
const SAMPLE_INTERVAL_MS: Milliseconds = 1_000;
/** Simulated time at which the faults of a case occur. */
const FAULT_TIME_MS: Milliseconds = 300_000;
/** Time after which a task on a black-hole worker fails. */
const FAILURE_MS: Milliseconds = 50;
/** Delay after which a job that was stopped or failed is submitted again. */
const RESUBMIT_DELAY_MS: Milliseconds = 5;
/** Time until a lost worker is noticed. */
const LOSS_DETECTION_MS: Milliseconds = 3_000;

interface JobState {
  job: SimulatedJob;
  leases: StartedLease[];
  /** Run time that each part still needs. */
  remainingMs: Milliseconds;
  startedAt: Milliseconds;
  /** Time of the latest arrival or stop; read nowhere. */
  waitsSince: Milliseconds;
  firstStartAt?: Milliseconds;
  endedAt?: Milliseconds;
  /** Whether the job has completed, or was cancelled or too large. */
  hasEnded: boolean;
  refusedAt?: Milliseconds;
  /** Retry delay that the scheduler advised with the latest refusal. */
  retryAfterMs: Milliseconds;
}

/**
 * Simulates one case under one scheduler, in simulated time.
 *
 * @param deployment fleet, accounts and classes
 * @param load load and faults of the case
 * @param options scheduler, its name, source of random numbers and measure of
 * fragmentation
 * @returns the results of the case
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
  const states = new Map<string, JobState>();
  const stateByLease = new Map<string, JobState>();
  const decisionTimes = createHistogram();
  const passTimes = createHistogram();
  let placements = 0;
  const fragmentation: number[] = [];
  const retryErrorsMs: number[] = [];
  let lostAcceleratorMs = 0;
  let preemptions = 0;
  let refusals = 0;

  const now = () => clock.now();
  const runAt = (time: Milliseconds, action: () => void) =>
    events.add(Math.max(time, now()), action);

  const releaseLeases = (state: JobState): void => {
    for (const { descriptor, worker } of state.leases) {
      stateByLease.delete(descriptor.lease);
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
    state.waitsSince = now();
    runAt(now() + RESUBMIT_DELAY_MS, () => {
      if (!state.hasEnded) scheduler.submit(state.job, now());
    });
  };

  const completeJob = (
    state: JobState,
    leases: readonly StartedLease[],
  ): void => {
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
      const ended = { ranMs: FAILURE_MS, hasFailed: true };
      scheduler.recordTaskEnd(descriptor, worker, ended, now());
    }
    releaseLeases(state);
    resubmit(state);
  };

  /** Stops and resubmits a job; without a checkpoint, its work is lost. */
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
      const state = states.get(job.id)!;
      placements += 1;
      state.leases = [...leases];
      const started = state.leases;
      for (const { descriptor, worker } of leases) {
        fleet.start(descriptor, worker, now());
        stateByLease.set(descriptor.lease, state);
        scheduler.updateWorker(worker, now());
      }
      state.startedAt = now();
      state.firstStartAt ??= now();
      recordRetryError(state);
      const isFailing = leases.some(({ worker }) =>
        fleet.worker(worker).isBlackHole
      );
      if (isFailing) runAt(now() + FAILURE_MS, () => failJob(state, started));
      else runAt(now() + state.remainingMs, () => completeJob(state, started));
    },
    preempt: (leases) => {
      const victims = new Set(
        leases.map((lease) => stateByLease.get(lease))
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
      const state = states.get(job.id)!;
      state.refusedAt = now();
      state.retryAfterMs = retryAfterMs;
      runAt(now() + retryAfterMs, () => {
        if (!state.hasEnded) scheduler.submit(job, now());
      });
    },
  };

  const recordRetryError = (state: JobState): void => {
    if (state.refusedAt === undefined) return;
    const waited = now() - state.refusedAt;
    retryErrorsMs.push(Math.abs(waited - state.retryAfterMs));
    state.refusedAt = undefined;
  };

  const scheduler = options.factory(deployment, host);
  for (const worker of fleet.workers) {
    scheduler.updateWorker(worker.report.worker, 0);
  }
  const jobs = generateJobs(deployment, load, random);
  for (const job of jobs) {
    runAt(job.arrivesAt, () => {
      states.set(job.id, {
        job,
        leases: [],
        remainingMs: job.runMs,
        startedAt: 0,
        waitsSince: now(),
        hasEnded: false,
        retryAfterMs: 0,
      });
      // A job that fits no worker counts as refused under every scheduler.
      if (isOversize(job, deployment)) {
        refusals += 1;
        states.get(job.id)!.hasEnded = true;
        return;
      }
      scheduler.submit(job, now());
    });
    if (job.cancelAt === undefined) continue;
    runAt(job.cancelAt, () => {
      const state = states.get(job.id);
      if (state === undefined || state.hasEnded) return;
      scheduler.cancel(job.id, now());
      state.hasEnded = true;
      releaseLeases(state);
    });
  }
  scheduleFaults();

  const endAt = HORIZON_MS + TAIL_MS;
  let nextSample = SAMPLE_INTERVAL_MS;
  let nextDecision = 0;
  while (events.nextTime() <= endAt) {
    const time = events.nextTime();
    while (nextDecision < time && nextDecision <= endAt) {
      clock.advance(Math.max(0, nextDecision - now()));
      scheduler.decide(now());
      nextDecision += DECIDE_INTERVAL_MS;
      // Nothing changes before the next event, so in a gap of more than 40
      // intervals only the first pass and the last four run.
      if (nextDecision < time - DECIDE_INTERVAL_MS * 40) {
        nextDecision = time - DECIDE_INTERVAL_MS * 4;
      }
    }
    clock.advance(Math.max(0, time - now()));
    while (nextSample <= now() && nextSample <= HORIZON_MS) {
      fragmentation.push(options.measureFragmentation(fleet).ratio);
      nextSample += SAMPLE_INTERVAL_MS;
    }
    events.runNext();
    while (events.nextTime() <= now()) events.runNext();
    measureDecision();
  }
  return summarize();

  function measureDecision(): void {
    placements = 0;
    const before = performance.now();
    scheduler.decide(now());
    const elapsedUs = (performance.now() - before) * 1_000;
    passTimes.recordValue(Math.max(1, elapsedUs));
    const each = elapsedUs / Math.max(1, placements);
    decisionTimes.recordValue(Math.max(1, each));
  }

  function scheduleFaults(): void {
    const [first] = fleet.workers;
    if (load.blackHole) {
      runAt(FAULT_TIME_MS, () => first.isBlackHole = true);
    }
    if (!load.rackLost) return;
    runAt(FAULT_TIME_MS, () => {
      for (const { report } of fleet.workers) {
        if (report.rack !== first.report.rack) continue;
        const lost = fleet.kill(report.worker);
        runAt(now() + LOSS_DETECTION_MS, () => {
          scheduler.removeWorker(report.worker, now());
          for (const lease of lost) {
            const state = stateByLease.get(lease);
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
      for (const state of states.values()) {
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
    const counted = [...states.values()].filter((state) =>
      !isExcluded(state, deployment)
    );
    const gangs = counted.filter(({ job }) => job.shape.parts > 1);
    const claimJobs = counted.filter(({ job }) => job.account === CLAIMANT);
    const waitOf = ({ job, firstStartAt }: JobState) =>
      (firstStartAt ?? endAt) - job.arrivesAt;
    return {
      deployment: deployment.name,
      case: load.name,
      policy: options.policy,
      completion,
      fragmentationMean: mean(fragmentation),
      fragmentationWorst: Math.max(0, ...fragmentation),
      largestGangWaitMs: Math.max(0, ...gangs.map(waitOf)),
      reclaimMs: Math.max(
        0,
        ...claimJobs.map((state) =>
          Math.max(0, waitOf(state) - CHECKPOINT_SAVE_MS)
        ),
      ),
      lostWorkSeconds: lostAcceleratorMs / 1_000,
      preemptions,
      refusals,
      retryAfterErrorMs: mean(retryErrorsMs),
      unfinished: counted.filter(({ hasEnded }) => !hasEnded).length,
      decisionP99Us: decisionTimes.getValueAtPercentile(99),
      passP99Us: passTimes.getValueAtPercentile(99),
      jobs: counted.length,
    };
  }
}

/** @returns whether a job counts in no figure: cancelled or too large */
function isExcluded({ job }: JobState, deployment: Deployment): boolean {
  return job.cancelAt !== undefined || isOversize(job, deployment);
}

/** @returns whether a part needs more accelerators than any worker has */
function isOversize(job: SimulatedJob, { sizes }: Deployment): boolean {
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
