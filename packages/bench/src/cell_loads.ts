import type { Milliseconds } from "@rattanhill/shared";
import type { JobSpec, QueueRules, StepSpec } from "@rattanhill/scheduler";

/** Distribution of the jobs of one queue. */
export interface JobKind {
  rules: QueueRules;
  /** Mean arrival rate in jobs per second. */
  rate: number;
  /** Value of a job of mean size that completes in time. */
  value: number;
  /** Value of a job of mean size that completes late. */
  lateValue: number;
  /** Number of steps of a job; at most two, also if `maximum` is larger. */
  steps: { mean: number; maximum: number };
  /**
   * Number of tasks of a step. It is log-normal, with `spread` as the standard
   * deviation of the logarithm.
   */
  width: { mean: number; spread: number; maximum: number };
  /** Mean work of the tasks of a step; log-normal like `width`. */
  workMs: { mean: number; spread: number; maximum: number };
  /** Largest relative deviation of a task's work from the mean of its step. */
  workDeviation: number;
  /** Largest relative error of the estimated work of a step's tasks. */
  estimateError: number;
  /** Thousandths of a processor core that a task needs. */
  milliCores: number;
  /** Memory that a task needs. */
  memoryMegabytes: number;
  /** Numbers of accelerators that a task may need, with equal probability. */
  accelerators: readonly number[];
  /** Share of steps that are gangs. */
  gangShare: number;
  /** Share of gangs that need one rack. */
  oneRackShare: number;
  /** Share of steps that save checkpoints. */
  checkpointShare: number;
  /** Share of jobs that are cancelled. */
  cancelShare: number;
  /** Share of runs that fail. */
  failureShare: number;
}

/** Arriving jobs and workers of a simulated cell. */
export interface CellLoadCase {
  name: string;
  workers: number;
  workersPerRack: number;
  /** Capacity of each worker. */
  capacity: {
    milliCores: number;
    memoryMegabytes: number;
    accelerators: number;
  };
  kinds: readonly JobKind[];
  /** Period in which jobs arrive. */
  lengthMs: Milliseconds;
  /** Period in which urgent jobs arrive at `factor` times their usual rate. */
  burst: { factor: number; fromMs: Milliseconds; lengthMs: Milliseconds };
  /** Accelerators guaranteed to the urgent jobs of each account. */
  guarantees: readonly number[];
  /** Longest time that a worker takes to stop a task. */
  stopMs: Milliseconds;
  /** Longest allowed wait until guaranteed work starts. */
  reclaimMs: Milliseconds;
  /** Factor by which a gang that needs one rack slows down across racks. */
  remoteFactor: number;
  /**
   * Duration factors of the fastest and the slowest workers; the others are
   * spread evenly between them. Undefined when all workers are alike.
   */
  workerFactors?: { fastest: number; slowest: number };
  /** Share of tasks that take `factor` times as long. */
  stragglers?: { share: number; factor: number };
}

/**
 * A job that was drawn from a load, with its cancellation and actual work,
 * which the scheduler does not know in advance.
 */
export interface DrawnJob {
  spec: JobSpec;
  kind: JobKind;
  arrivesAt: Milliseconds;
  cancelledAt?: Milliseconds;
  /** Actual work of each task on a worker of factor 1, by step. */
  workMs: Milliseconds[][];
}

// Relative amplitude of the oscillation of the arrival rate, as in the
// platform's data sheets.
const RATE_AMPLITUDE = 0.15;
// Period of the oscillation of the arrival rate, as in the platform's data
// sheets.
const RATE_PERIOD_MS: Milliseconds = 11_000;
// Longest time from the arrival of a job to its cancellation, about as long as
// a batch task runs.
const MAXIMUM_CANCEL_DELAY_MS: Milliseconds = 6_000;

const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/**
 * Draws the jobs of a load. Arrivals are a Poisson process with a varying rate,
 * which is drawn by thinning: candidates arrive at the peak rate, and each is
 * accepted with a probability equal to the ratio of the current rate to the
 * peak rate.
 *
 * @param load kinds of jobs and their rates
 * @param random source of uniform numbers from 0 to 1
 * @returns the jobs in order of arrival
 */
export function drawJobs(
  load: CellLoadCase,
  random: () => number,
): DrawnJob[] {
  const jobs: DrawnJob[] = [];
  for (const kind of load.kinds) {
    const isUrgent = kind.rules.priority === 0;
    const { factor, fromMs, lengthMs } = load.burst;
    const peakRate = kind.rate * (1 + RATE_AMPLITUDE) * Math.max(1, factor);
    for (let at = 0;;) {
      at -= Math.log(1 - random()) / peakRate * 1_000;
      if (at > load.lengthMs) break;
      const isInBurst = isUrgent && at >= fromMs && at < fromMs + lengthMs;
      const oscillation = 1 +
        RATE_AMPLITUDE * Math.sin(2 * Math.PI * at / RATE_PERIOD_MS);
      const rate = kind.rate * oscillation * (isInBurst ? factor : 1);
      if (random() * peakRate < rate) {
        jobs.push(drawJob(kind, load, { at, serial: jobs.length, random }));
      }
    }
  }
  return jobs.sort((a, b) => a.arrivesAt - b.arrivesAt);
}

function drawJob(
  kind: JobKind,
  load: CellLoadCase,
  { at, serial, random }: { at: number; serial: number; random: () => number },
): DrawnJob {
  const { rules, steps, width, workMs } = kind;
  const extraStepCount = random() < steps.mean - 1 ? 1 : 0;
  const stepCount = Math.min(Math.floor(steps.maximum), 1 + extraStepCount);
  const work: number[][] = [];
  const specs: StepSpec[] = [];
  for (let index = 0; index < stepCount; index++) {
    const taskCount = Math.max(1, Math.round(drawLogNormal(width, random)));
    const accelerators =
      kind.accelerators[Math.floor(random() * kind.accelerators.length)];
    const meanWorkMs = drawLogNormal(workMs, random);
    const isGang = random() < kind.gangShare;
    const estimateFactor = 1 + kind.estimateError * (2 * random() - 1);
    work.push(
      Array.from(
        { length: taskCount },
        () =>
          meanWorkMs * (1 + kind.workDeviation * (2 * random() - 1)) *
          drawStragglerFactor(load, random),
      ),
    );
    specs.push({
      taskCount,
      accelerators,
      milliCores: kind.milliCores,
      memoryMegabytes: kind.memoryMegabytes,
      estimateMs: Math.round(meanWorkMs * estimateFactor),
      after: index === 0 ? [] : [index - 1],
      isGang,
      needsOneRack: isGang && random() < kind.oneRackShare,
      isCheckpointing: random() < kind.checkpointShare,
    });
  }
  const account = Math.floor(random() * load.guarantees.length);
  const isCancelled = random() < kind.cancelShare;
  return {
    kind,
    arrivesAt: at,
    cancelledAt: isCancelled
      ? at + random() * MAXIMUM_CANCEL_DELAY_MS
      : undefined,
    workMs: work,
    spec: {
      id: `${rules.name}-${serial}`,
      queue: rules.name,
      account: `account-${account}`,
      payload: "",
      steps: specs,
      submittedAt: at,
      service: rules.service,
    },
  };
}

/** Draws no number for a load without stragglers, whose jobs stay the same. */
function drawStragglerFactor(
  { stragglers }: CellLoadCase,
  random: () => number,
): number {
  if (stragglers === undefined) return 1;
  return random() < stragglers.share ? stragglers.factor : 1;
}

/**
 * Computes the duration factor of a worker. The factors are spread over the
 * workers by multiples of the golden ratio, so that neighbours differ.
 *
 * @param load the load
 * @param index number of the worker, from 0
 * @returns the factor
 */
export function workerFactorOf(load: CellLoadCase, index: number): number {
  if (load.workerFactors === undefined) return 1;
  const { fastest, slowest } = load.workerFactors;
  const share = (index * GOLDEN_RATIO) % 1;
  return fastest * (slowest / fastest) ** share;
}

/** Draws a log-normal number by the Box-Muller transform. */
function drawLogNormal(
  { mean, spread, maximum }: { mean: number; spread: number; maximum: number },
  random: () => number,
): number {
  const standardNormal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  // Subtracting half the variance of the logarithm makes `mean` the mean of the
  // numbers before they are limited.
  return Math.min(
    maximum,
    mean * Math.exp(spread * standardNormal - spread ** 2 / 2),
  );
}

const SERVICE = "executors";

// Heaviest standard load of the first site, without its faults.
const WIDE_BATCHES: CellLoadCase = {
  name: "wide-batches",
  workers: 33,
  workersPerRack: 8,
  capacity: { milliCores: 32_000, memoryMegabytes: 65_536, accelerators: 8 },
  lengthMs: 41_000,
  burst: { factor: 2, fromMs: 6_800, lengthMs: 6_000 },
  guarantees: [40, 40, 41, 41],
  stopMs: 900,
  reclaimMs: 3_400,
  remoteFactor: 3,
  kinds: [
    {
      rules: {
        name: "suggest",
        service: SERVICE,
        priority: 1,
        maximumAttempts: 4,
        stretch: 3,
        targetMs: 1_000,
      },
      rate: 0.63,
      value: 3,
      lateValue: 0.3,
      steps: { mean: 1, maximum: 2 },
      width: { mean: 5, spread: 0.8, maximum: 30 },
      workMs: { mean: 6_800, spread: 0.3, maximum: 11_000 },
      workDeviation: 0.15,
      estimateError: 0.5,
      milliCores: 13_000,
      memoryMegabytes: 26_000,
      accelerators: [1, 2, 4, 8, 8],
      gangShare: 1,
      oneRackShare: 0.6,
      checkpointShare: 0.45,
      cancelShare: 0.05,
      failureShare: 0.02,
    },
    {
      rules: {
        name: "draft",
        service: SERVICE,
        priority: 0,
        maximumAttempts: 4,
        stretch: 1.5,
        targetMs: 250,
      },
      rate: 1.53,
      value: 4,
      lateValue: 0.8,
      steps: { mean: 1, maximum: 1 },
      width: { mean: 3.4, spread: 0.8, maximum: 21 },
      workMs: { mean: 2_500, spread: 0.5, maximum: 8_000 },
      workDeviation: 0.15,
      estimateError: 0.5,
      milliCores: 3_700,
      memoryMegabytes: 7_600,
      accelerators: [1, 2, 4, 8, 8],
      gangShare: 1,
      oneRackShare: 0.8,
      checkpointShare: 0,
      cancelShare: 0,
      failureShare: 0.005,
    },
    {
      rules: {
        name: "score",
        service: SERVICE,
        priority: 2,
        maximumAttempts: 4,
        stretch: 3,
        targetMs: 3_000,
      },
      rate: 0.47,
      value: 1,
      lateValue: 0.1,
      steps: { mean: 1.3, maximum: 3 },
      width: { mean: 16, spread: 0.8, maximum: 94 },
      workMs: { mean: 7_600, spread: 0.3, maximum: 11_000 },
      workDeviation: 0.3,
      estimateError: 0.9,
      milliCores: 2_800,
      memoryMegabytes: 4_100,
      accelerators: [1],
      gangShare: 0,
      oneRackShare: 0,
      checkpointShare: 0.45,
      cancelShare: 0.15,
      failureShare: 0.05,
    },
  ],
};

const [SUGGEST, DRAFT, SCORE] = WIDE_BATCHES.kinds;

// Heaviest standard load of the second site, without its faults.
const LARGE_WORKERS: CellLoadCase = {
  ...WIDE_BATCHES,
  name: "large-workers",
  capacity: { milliCores: 128_000, memoryMegabytes: 524_288, accelerators: 8 },
  burst: { factor: 2.3, fromMs: 5_100, lengthMs: 6_000 },
  stopMs: 400,
  reclaimMs: 2_900,
  kinds: [
    {
      ...SUGGEST,
      rate: 0.66,
      lateValue: 0.9,
      width: { mean: 4, spread: 0.8, maximum: 24 },
      workMs: { mean: 8_500, spread: 0.3, maximum: 11_000 },
      workDeviation: 0.3,
      estimateError: 0.9,
      milliCores: 52_000,
      memoryMegabytes: 210_000,
    },
    {
      ...DRAFT,
      rules: { ...DRAFT.rules, maximumAttempts: 2 },
      rate: 1.85,
      width: { mean: 3, spread: 0.8, maximum: 18 },
      estimateError: 0.9,
      milliCores: 15_000,
      memoryMegabytes: 79_000,
      failureShare: 0.05,
    },
    {
      ...SCORE,
      rules: { ...SCORE.rules, maximumAttempts: 3 },
      rate: 0.82,
      lateValue: 0.3,
      width: { mean: 12, spread: 0.8, maximum: 72 },
      workMs: { mean: 6_100, spread: 0.3, maximum: 11_000 },
      workDeviation: 0.15,
      estimateError: 0.2,
      milliCores: 11_000,
      memoryMegabytes: 33_000,
      failureShare: 0.005,
    },
  ],
};

// Workers of unequal speed that are busy for less than half of the time, with
// urgent gangs that are late if they get a slow worker.
const UNEQUAL_WORKERS: CellLoadCase = {
  ...WIDE_BATCHES,
  name: "unequal-workers",
  workers: 64,
  workerFactors: { fastest: 0.6, slowest: 2.2 },
  stragglers: { share: 0.03, factor: 7 },
  kinds: [
    { ...SUGGEST, rate: 0.4 },
    { ...DRAFT, estimateError: 0.9, workDeviation: 0.3 },
    { ...SCORE, rate: 0.3 },
  ],
};

// Few free workers, wide batch work and bursts of small urgent gangs: a quarter
// of the sites that the plan of work on heavy load describes, without their
// faults.
const SCARCE_BURSTS: CellLoadCase = {
  ...WIDE_BATCHES,
  name: "scarce-bursts",
  workers: 62,
  capacity: { milliCores: 64_000, memoryMegabytes: 262_144, accelerators: 8 },
  burst: { factor: 3, fromMs: 6_000, lengthMs: 8_000 },
  guarantees: [48, 32, 16, 8, 8, 8, 8, 8, 8, 8],
  stopMs: 600,
  reclaimMs: 3_000,
  kinds: [
    {
      ...SUGGEST,
      rate: 0.39,
      lateValue: 1.2,
      width: { mean: 13, spread: 0.5, maximum: 48 },
      workMs: { mean: 6_300, spread: 0.3, maximum: 11_000 },
      workDeviation: 0.2,
      milliCores: 8_000,
      memoryMegabytes: 26_000,
    },
    {
      ...DRAFT,
      rate: 1.16,
      width: { mean: 5, spread: 0.6, maximum: 21 },
      workMs: { mean: 2_300, spread: 0.4, maximum: 8_000 },
      workDeviation: 0.2,
    },
    {
      ...SCORE,
      rate: 0.3,
      lateValue: 0.4,
      width: { mean: 39, spread: 0.6, maximum: 120 },
      workMs: { mean: 7_100, spread: 0.3, maximum: 11_000 },
    },
  ],
};

/** Loads of the bench, modelled on the platform's published data sheets. */
export const CELL_LOADS: readonly CellLoadCase[] = [
  WIDE_BATCHES,
  LARGE_WORKERS,
  UNEQUAL_WORKERS,
  SCARCE_BURSTS,
];
