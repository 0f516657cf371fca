import type { Milliseconds } from "@rattanhill/shared";

/** How fast a worker is, as far as the observations show with confidence. */
export const SpeedClass = {
  fast: "fast",
  usual: "usual",
  slow: "slow",
} as const;

/** One of the values of {@link SpeedClass}. */
export type SpeedClass = typeof SpeedClass[keyof typeof SpeedClass];

/** The duration of a run or of a part of it, relative to its estimate. */
export interface SpeedObservation {
  /** Key of the worker; see {@link WorkerSpeeds}. */
  worker: string;
  /** Queue of the run's job. */
  queue: string;
  /** Identity of the run's step, whose size is estimated alongside. */
  step: object;
  /** Identity of the run; all its observations together have a bounded effect. */
  run: object;
  /** Natural logarithm of the actual duration over the declared estimate. */
  logRatio: number;
  /** Standard deviation of the logarithm that the run itself causes. */
  deviation: number;
}

/** Estimate of one worker's speed, for operators. */
export interface WorkerSpeed {
  worker: string;
  /** Duration factor: 1 usual, 1.6 slow, 0.6 fast. */
  factor: number;
  /** Standard deviation of the factor's logarithm. */
  deviation: number;
  speed: SpeedClass;
}

/**
 * Learns the duration factor of each worker from the durations of runs. Workers
 * are named by a key that outlasts their processes.
 *
 * The logarithm of a duration over its estimate is modelled as the sum of a
 * term of the queue, a term of the step, a term of the worker and noise. Each
 * observation adjusts the three terms in proportion to their variances, as a
 * Kalman filter with uncorrelated terms does.
 */
export interface WorkerSpeeds {
  /** Adjusts the terms by an observation; one that is not finite is ignored. */
  recordRun(observation: SpeedObservation): void;
  /** @returns the duration factor of a worker; 1 for an unknown one */
  factorOf(worker: string): number;
  /**
   * @returns the logarithm of the factor, reduced by a dead band: 0 while the
   * difference from the usual speed is small
   */
  certainLogFactorOf(worker: string): number;
  /** @returns the estimates of all workers with observations */
  dump(): WorkerSpeed[];
}

/** Options of {@link createWorkerSpeeds}. */
export interface WorkerSpeedsOptions {
  now(): Milliseconds;
  /** Scale of the learned logarithms in all results; 0 turns the part off. */
  scale?: number;
  /** Called when the class of a worker changes. */
  onClassChange?(change: WorkerSpeed): void;
}

/** One of the terms of the model. */
interface Term {
  mean: number;
  variance: number;
  updatedAt: Milliseconds;
}

interface WorkerTerm extends Term {
  speed: SpeedClass;
  /** Run of the last clipped observation, and the sign of its innovation. */
  surprise?: { run: object; sign: number };
  /** Cached results of the look-ups. */
  known?: { factor: number; certainLog: number; until: Milliseconds };
}

/** Variance of a term before its first observation, and its time constant. */
interface Prior {
  variance: number;
  /** Time in which an estimate without observations fades to 1/e. */
  fadeMs: Milliseconds;
}

// Workers of one deployment differ by factors of about 0.57 to 1.36. An
// estimate fades within minutes, so that a worker that is avoided as slow gets
// work again.
const WORKER_PRIOR: Prior = { variance: 0.35 ** 2, fadeMs: 300_000 };
// Declared estimates are off by 20% to 90%.
const QUEUE_PRIOR: Prior = { variance: 0.7 ** 2, fadeMs: 600_000 };
const STEP_PRIOR: Prior = { variance: 0.4 ** 2, fadeMs: Infinity };
// Innovations beyond this multiple of their standard deviation are clipped to
// it, since some tasks take several times as long on any worker.
const CLIP_DEVIATIONS = 2;
/**
 * Largest change of the logarithm of a worker's factor by the observations of
 * one run, which corresponds to a factor of 1.42.
 */
export const MAXIMUM_RUN_SHIFT = 0.35;
// Logarithms of the factor at which a worker becomes slow or fast, and at which
// it becomes usual again.
const CLASS_ENTRY = Math.log(1.25);
const CLASS_EXIT = Math.log(1.12);
// Standard deviations by which an estimate has to differ from the usual speed.
const CLASS_DEVIATIONS = 2;
// Time without observations after which a worker is dropped; its estimate has
// faded to less than 5% by then.
const WORKER_TTL_MS: Milliseconds = 900_000;
const SWEEP_INTERVAL_MS: Milliseconds = 60_000;
// Time for which the results of look-ups are kept, since placement reads those
// of all workers for each step. An estimate fades by 0.3% in this time.
const LOOK_UP_TTL_MS: Milliseconds = 1_000;
// Bound the memory. Observations of further workers are ignored; further
// queues have a term for each observation only.
const MAXIMUM_WORKERS = 10_000;
const MAXIMUM_QUEUES = 1_000;

/**
 * Creates an estimator without observations.
 *
 * @param options a clock, the scale and what to call on a change of class
 * @returns the estimator, which keeps its estimates in memory only
 */
export function createWorkerSpeeds(options: WorkerSpeedsOptions): WorkerSpeeds {
  const { now, scale = 1 } = options;
  const workers = new Map<string, WorkerTerm>();
  const queues = new Map<string, Term>();
  const steps = new WeakMap<object, Term>();
  /** Sum of the shifts of the worker's term by each run. */
  const runShifts = new WeakMap<object, number>();
  let sweptAt = now();

  const createTerm = ({ variance }: Prior): Term => ({
    mean: 0,
    variance,
    updatedAt: now(),
  });
  const queueTermOf = (queue: string): Term => {
    const known = queues.get(queue);
    if (known !== undefined) return faded(known, QUEUE_PRIOR, now());
    const term = createTerm(QUEUE_PRIOR);
    if (queues.size < MAXIMUM_QUEUES) queues.set(queue, term);
    return term;
  };
  const stepTermOf = (step: object): Term => {
    const term = steps.get(step) ?? createTerm(STEP_PRIOR);
    steps.set(step, term);
    return term;
  };
  const sweep = (): void => {
    if (now() - sweptAt < SWEEP_INTERVAL_MS) return;
    sweptAt = now();
    for (const [worker, { updatedAt }] of workers) {
      if (now() - updatedAt >= WORKER_TTL_MS) workers.delete(worker);
    }
  };
  /** Returns the worker's term as of now, without changing it. */
  const currentOf = (worker: string): Term | undefined => {
    const term = workers.get(worker);
    return term && faded({ ...term }, WORKER_PRIOR, now());
  };
  /** Returns the factors of a worker, computed at most once in their TTL. */
  const lookUp = (worker: string): WorkerTerm["known"] => {
    const term = workers.get(worker);
    if (term === undefined) return undefined;
    if (term.known === undefined || now() >= term.known.until) {
      const { mean, variance } = faded({ ...term }, WORKER_PRIOR, now());
      term.known = {
        factor: Math.exp(scale * mean),
        certainLog: scale * mean * mean ** 2 / (mean ** 2 + variance),
        until: now() + LOOK_UP_TTL_MS,
      };
    }
    return term.known;
  };
  const describe = (worker: string, speed: SpeedClass): WorkerSpeed => {
    const { mean, variance } = currentOf(worker)!;
    return {
      worker,
      factor: Math.exp(scale * mean),
      deviation: Math.sqrt(variance),
      speed,
    };
  };

  return {
    recordRun: (observation) => {
      const { worker, queue, step, run, logRatio, deviation } = observation;
      if (!Number.isFinite(logRatio) || !(deviation > 0)) return;
      sweep();
      const known = workers.get(worker);
      if (known === undefined && workers.size >= MAXIMUM_WORKERS) return;
      const shiftBefore = runShifts.get(run) ?? 0;
      if (Math.abs(shiftBefore) >= MAXIMUM_RUN_SHIFT) return;
      const workerTerm: WorkerTerm = known ??
        { ...createTerm(WORKER_PRIOR), speed: SpeedClass.usual };
      workers.set(worker, workerTerm);
      faded(workerTerm, WORKER_PRIOR, now());
      const terms = [queueTermOf(queue), stepTermOf(step), workerTerm];

      const innovation = logRatio -
        terms.reduce((sum, { mean }) => sum + mean, 0);
      const varianceOf = () =>
        terms.reduce((sum, { variance }) => sum + variance, deviation ** 2);
      const isSurprise = Math.abs(innovation) >
        CLIP_DEVIATIONS * Math.sqrt(varianceOf());
      if (isRepeatedSurprise(workerTerm, run, innovation, isSurprise)) {
        // Two runs in a row contradict the estimate, so the worker itself has
        // probably changed. The small variance would make it take dozens of runs.
        workerTerm.variance = WORKER_PRIOR.variance;
      }
      const variance = varianceOf();
      const limit = CLIP_DEVIATIONS * Math.sqrt(variance);
      const clipped = bounded(innovation, limit);
      for (const term of terms) {
        const gain = term.variance / variance;
        const shift = term === workerTerm
          ? bounded(shiftBefore + gain * clipped, MAXIMUM_RUN_SHIFT) -
            shiftBefore
          : gain * clipped;
        if (term === workerTerm) runShifts.set(run, shiftBefore + shift);
        term.mean += shift;
        term.variance *= 1 - gain;
      }
      workerTerm.known = undefined;
      const speed = classOf(workerTerm);
      if (speed === workerTerm.speed) return;
      workerTerm.speed = speed;
      options.onClassChange?.(describe(worker, speed));
    },
    factorOf: (worker) => lookUp(worker)?.factor ?? 1,
    certainLogFactorOf: (worker) => lookUp(worker)?.certainLog ?? 0,
    dump: () =>
      [...workers].map(([worker, { speed }]) => describe(worker, speed)),
  };
}

/**
 * Ages a term in place: its mean fades and its variance returns to that of the
 * prior.
 */
function faded(term: Term, prior: Prior, at: Milliseconds): Term {
  const share = Math.exp(-Math.max(0, at - term.updatedAt) / prior.fadeMs);
  term.mean *= share;
  term.variance = share ** 2 * term.variance +
    (1 - share ** 2) * prior.variance;
  term.updatedAt = at;
  return term;
}

/**
 * Returns whether an observation and the one before it, of another run, were
 * both clipped in the same direction; notes the observation.
 */
function isRepeatedSurprise(
  term: WorkerTerm,
  run: object,
  innovation: number,
  isSurprise: boolean,
): boolean {
  const { surprise } = term;
  if (!isSurprise) {
    if (surprise?.run !== run) term.surprise = undefined;
    return false;
  }
  const sign = Math.sign(innovation);
  term.surprise = { run, sign };
  return surprise !== undefined && surprise.run !== run &&
    surprise.sign === sign;
}

/**
 * Returns the class of a worker, with hysteresis. An estimate that may be noise
 * does not change the class from usual.
 */
function classOf({ mean, variance, speed }: WorkerTerm): SpeedClass {
  const entry = Math.max(CLASS_ENTRY, CLASS_DEVIATIONS * Math.sqrt(variance));
  if (mean > entry) return SpeedClass.slow;
  if (mean < -entry) return SpeedClass.fast;
  const isStill = speed === SpeedClass.slow
    ? mean > CLASS_EXIT
    : mean < -CLASS_EXIT;
  return isStill ? speed : SpeedClass.usual;
}

/** @returns the value, limited to the range from -limit to limit */
function bounded(value: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, value));
}
