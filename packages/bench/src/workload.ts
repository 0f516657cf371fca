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

/** A class of requests and its share of the load. */
export interface LoadClass {
  name: string;
  accounts: readonly string[];
  priority: number;
  repeatable: boolean;
  preemptible: boolean;
  waitMs: Milliseconds;
  shape: Shape;
  /** Share of the accelerator time that the load needs. */
  share: number;
  meanRunMs: Milliseconds;
  /** Whether a person waits for the answer. */
  isInteractive?: boolean;
}

/** A fleet with its accounts, guarantees and classes. */
export interface Deployment {
  name: string;
  zone: string;
  sizes: readonly number[];
  workersPerRack: number;
  accounts: readonly {
    name: string;
    weight: number;
    guarantee: number;
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
   * Periodic bursts of the class with the smallest or the largest jobs; `size`
   * is the burst's accelerators as a multiple of the fleet's.
   */
  bursts?: { class: "small" | "large"; size: number };
  /** Largest factor by which declared run times are wrong. */
  declarationError?: number;
  /** Share of jobs that are cancelled, at one time or on arrival if later. */
  cancelShare?: number;
  /** Whether one worker begins to fail every task at once. */
  blackHole?: boolean;
  /** Whether the workers of one rack are lost. */
  rackLost?: boolean;
  /** Share of jobs that fit no worker. */
  neverFits?: number;
  /** Whether an idle account claims its guarantee on a busy fleet. */
  claim?: boolean;
}

/** Simulated time in which jobs arrive. */
export const HORIZON_MS: Milliseconds = 15 * 60_000;
/** Simulated time after the arrivals in which jobs may still end. */
export const TAIL_MS: Milliseconds = 10 * 60_000;

const BURST_PERIOD_MS: Milliseconds = 150_000;
const CANCEL_AT_MS: Milliseconds = 450_000;

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
  const add = (kind: LoadClass, arrivesAt: Milliseconds, account?: string) =>
    jobs.push(
      createJob(kind, { arrivesAt, account, load, random }, jobs.length),
    );

  for (const kind of deployment.classes) {
    const size = kind.shape.parts * kind.shape.accelerators;
    const rate = load.offeredLoad * kind.share * accelerators /
      (size * kind.meanRunMs);
    for (let at = drawExponential(1 / rate, random); at < HORIZON_MS;) {
      add(kind, at);
      at += drawExponential(1 / rate, random);
    }
  }
  for (const burst of load.bursts ? [load.bursts] : []) {
    const kind = pickClass(deployment, burst.class);
    const size = kind.shape.parts * kind.shape.accelerators;
    const count = Math.ceil(burst.size * accelerators / size);
    for (let at = BURST_PERIOD_MS; at < HORIZON_MS; at += BURST_PERIOD_MS) {
      for (let index = 0; index < count; index++) add(kind, at + index);
    }
  }
  if (load.claim) addClaims(deployment, add);
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
  add: (kind: LoadClass, at: Milliseconds, account: string) => void,
): void {
  const owner = accounts.find(({ name }) => name === CLAIMANT)!;
  const kind = classes.find(({ name }) => name === "claim") ??
    createClaimClass(owner.guarantee);
  for (const at of CLAIM_TIMES_MS) add(kind, at, CLAIMANT);
}

/** Account that is idle except for its claims. */
export const CLAIMANT = "claimant";

/**
 * Creates the class of the jobs that claim a whole guarantee.
 *
 * @param accelerators the guarantee
 * @returns a class of gangs that use all of it
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
  kind: LoadClass,
  { arrivesAt, account, load, random }: {
    arrivesAt: Milliseconds;
    account?: string;
    load: LoadCase;
    random(): number;
  },
  serial: number,
): SimulatedJob {
  const runMs = Math.max(20, drawGamma(kind.meanRunMs, random));
  const error = load.declarationError ?? 1;
  // Log-uniform between 1/error and error.
  const factor = Math.exp((random() * 2 - 1) * Math.log(error));
  const isOversize = random() < (load.neverFits ?? 0);
  const shape = isOversize
    ? { ...kind.shape, accelerators: 1_000 }
    : kind.shape;
  const isCancelled = random() < (load.cancelShare ?? 0);
  const cancelAt = isCancelled ? Math.max(arrivesAt, CANCEL_AT_MS) : undefined;
  const index = Math.floor(random() * kind.accounts.length);
  return {
    id: `job-${serial}`,
    account: account ?? kind.accounts[index],
    class: kind.name,
    shape,
    arrivesAt,
    runMs,
    declaredMs: Math.max(10, runMs * factor),
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

/** Shape of the distribution of run times, which vary less than arrivals. */
const GAMMA_SHAPE = 4;

/** Draws a gamma-distributed number. */
function drawGamma(mean: number, random: () => number): number {
  let total = 0;
  for (let part = 0; part < GAMMA_SHAPE; part++) {
    total += drawExponential(mean / GAMMA_SHAPE, random);
  }
  return total;
}

/** Draws an exponentially distributed number. */
function drawExponential(mean: number, random: () => number): number {
  return -Math.log(1 - random()) * mean;
}
