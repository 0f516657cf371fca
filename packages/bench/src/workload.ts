import type { Milliseconds } from "@rattanhill/shared";
import type { Adjacency, Shape } from "@rattanhill/core";

/** A job of the simulated load. */
export interface SimulatedJob {
  id: string;
  account: string;
  class: string;
  shape: Shape;
  arrivesAt: Milliseconds;
  /** Actual run time. */
  runMs: Milliseconds;
  /** Run time that the caller declared. */
  declaredMs: Milliseconds;
  /** Time at which the caller cancels the job, if it does. */
  cancelAt?: Milliseconds;
}

/** A class of requests, its distribution of run times and its load. */
export interface LoadClass {
  name: string;
  /** Accounts that submit requests of the class, each equally often. */
  accounts: readonly string[];
  /** Priority in the queue; higher values are served first. */
  priority: number;
  /** Whether a request may run more than once. */
  repeatable: boolean;
  /** Whether a running task may be stopped to free capacity. */
  preemptible: boolean;
  /** Maximum time in the queue, after which the request is refused. */
  waitMs: Milliseconds;
  shape: Shape;
  /** Share of the load's accelerator time that the class needs. */
  share: number;
  meanRunMs: Milliseconds;
  /** Whether a person waits for the answer. */
  isInteractive?: boolean;
}

/** A fleet with its accounts, guarantees and classes. */
export interface Deployment {
  name: string;
  /** Name of the availability zone. */
  zone: string;
  /** Number of accelerators of each worker. */
  sizes: readonly number[];
  workersPerRack: number;
  accounts: readonly {
    name: string;
    /** Weight of the account's share of the capacity beyond guarantees. */
    weight: number;
    /** Number of accelerators that are guaranteed to the account. */
    guarantee: number;
    /** Adjacency of the guaranteed accelerators. */
    adjacent: Adjacency;
  }[];
  classes: readonly LoadClass[];
}

/** Load and faults of a case. */
export interface LoadCase {
  name: string;
  /** Offered load as a share of the fleet's capacity. */
  offeredLoad: number;
  /**
   * Periodic bursts of the class with the smallest or the largest jobs. The
   * jobs of a burst together need `size` times the accelerators of the fleet.
   */
  bursts?: { class: "small" | "large"; size: number };
  /**
   * Largest factor between declared and actual run times, in either direction;
   * 1 by default.
   */
  declarationError?: number;
  /**
   * Share of jobs that are cancelled. All of them are cancelled at the same
   * simulated time, or on arrival if they arrive later.
   */
  cancelShare?: number;
  /** Whether one worker starts to fail every task right after its start. */
  blackHole?: boolean;
  /** Whether the workers of one rack are lost. */
  rackLost?: boolean;
  /** Share of jobs that fit no worker. */
  neverFits?: number;
  /** Whether an idle account claims its guarantee on a busy fleet. */
  claim?: boolean;
}

/** Period of simulated time in which jobs arrive. */
export const HORIZON_MS: Milliseconds = 15 * 60_000;
/** Period of simulated time after the arrivals in which jobs may still end. */
export const TAIL_MS: Milliseconds = 10 * 60_000;

const BURST_INTERVAL_MS: Milliseconds = 150_000;
// Simulated time at which jobs are cancelled that have arrived by then.
const CANCEL_TIME_MS: Milliseconds = 450_000;

/**
 * Generates the jobs of a case at random: Poisson arrivals, bursts and claims.
 *
 * @param deployment fleet and classes
 * @param load load of the case
 * @param random source of uniform numbers from 0 to 1
 * @returns jobs in order of arrival
 */
export function generateJobs(
  deployment: Deployment,
  load: LoadCase,
  random: () => number,
): SimulatedJob[] {
  const jobs: SimulatedJob[] = [];
  const accelerators = deployment.sizes.reduce((sum, size) => sum + size, 0);
  const addJob = (
    loadClass: LoadClass,
    arrivesAt: Milliseconds,
    account?: string,
  ) =>
    jobs.push(
      createJob(loadClass, { arrivesAt, account, load, random }, jobs.length),
    );

  for (const loadClass of deployment.classes) {
    const size = loadClass.shape.parts * loadClass.shape.accelerators;
    const rate = load.offeredLoad * loadClass.share * accelerators /
      (size * loadClass.meanRunMs);
    for (let at = drawExponential(1 / rate, random); at < HORIZON_MS;) {
      addJob(loadClass, at);
      at += drawExponential(1 / rate, random);
    }
  }
  for (const burst of load.bursts ? [load.bursts] : []) {
    const loadClass = pickClass(deployment, burst.class);
    const size = loadClass.shape.parts * loadClass.shape.accelerators;
    const count = Math.ceil(burst.size * accelerators / size);
    for (let at = BURST_INTERVAL_MS; at < HORIZON_MS; at += BURST_INTERVAL_MS) {
      for (let index = 0; index < count; index++) addJob(loadClass, at + index);
    }
  }
  if (load.claim) addClaims(deployment, addJob);
  return jobs.sort((a, b) => a.arrivesAt - b.arrivesAt);
}

/** Times at which the claimant claims its whole guarantee. */
export const CLAIM_TIMES_MS: readonly Milliseconds[] = [
  300_000,
  500_000,
  700_000,
];

function addClaims(
  { accounts, classes }: Deployment,
  addJob: (loadClass: LoadClass, at: Milliseconds, account: string) => void,
): void {
  const claimant = accounts.find(({ name }) => name === CLAIMANT)!;
  const loadClass = classes.find(({ name }) => name === "claim") ??
    createClaimClass(claimant.guarantee);
  for (const at of CLAIM_TIMES_MS) addJob(loadClass, at, CLAIMANT);
}

/** Account that is idle except for its claims. */
export const CLAIMANT = "claimant";

/**
 * Creates the class of the jobs that claim a whole guarantee.
 *
 * @param accelerators number of accelerators that are guaranteed
 * @returns a class of gang jobs, each of which uses the whole guarantee
 */
export function createClaimClass(accelerators: number): LoadClass {
  return {
    name: "claim",
    accounts: [CLAIMANT],
    priority: 60,
    repeatable: true,
    preemptible: false,
    waitMs: 60_000,
    shape: { parts: accelerators / 2, accelerators: 2, adjacent: "rack" },
    share: 0,
    meanRunMs: 60_000,
  };
}

function createJob(
  loadClass: LoadClass,
  { arrivesAt, account, load, random }: {
    arrivesAt: Milliseconds;
    account?: string;
    load: LoadCase;
    random(): number;
  },
  serial: number,
): SimulatedJob {
  const runMs = Math.max(20, drawGamma(loadClass.meanRunMs, random));
  const largestErrorFactor = load.declarationError ?? 1;
  // The factor is log-uniform, and lies between the reciprocal of the largest
  // factor and the largest factor.
  const errorFactor = Math.exp(
    (random() * 2 - 1) * Math.log(largestErrorFactor),
  );
  const isOversized = random() < (load.neverFits ?? 0);
  // No worker has 1,000 accelerators.
  const shape = isOversized
    ? { ...loadClass.shape, accelerators: 1_000 }
    : loadClass.shape;
  const isCancelled = random() < (load.cancelShare ?? 0);
  const cancelAt = isCancelled
    ? Math.max(arrivesAt, CANCEL_TIME_MS)
    : undefined;
  const index = Math.floor(random() * loadClass.accounts.length);
  return {
    id: `job-${serial}`,
    account: account ?? loadClass.accounts[index],
    class: loadClass.name,
    shape,
    arrivesAt,
    runMs,
    declaredMs: Math.max(10, runMs * errorFactor),
    cancelAt,
  };
}

function pickClass(
  { classes }: Deployment,
  size: "small" | "large",
): LoadClass {
  const bySize = [...classes].filter(({ share }) => share > 0).sort((a, b) =>
    a.shape.parts * a.shape.accelerators - b.shape.parts * b.shape.accelerators
  );
  return size === "small" ? bySize[0] : bySize[bySize.length - 1];
}

// Shape parameter of the gamma distribution of run times. A shape above 1 makes
// them vary less than the exponential times between arrivals.
const GAMMA_SHAPE = 4;

/** Draws a gamma-distributed number as a sum of exponential ones. */
function drawGamma(mean: number, random: () => number): number {
  let total = 0;
  for (let part = 0; part < GAMMA_SHAPE; part++) {
    total += drawExponential(mean / GAMMA_SHAPE, random);
  }
  return total;
}

/** Draws an exponentially distributed number by inversion. */
function drawExponential(mean: number, random: () => number): number {
  return -Math.log(1 - random()) * mean;
}
