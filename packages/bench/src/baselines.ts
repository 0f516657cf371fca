import type { Milliseconds } from "@rattanhill/shared";
import type { LeaseDescriptor, Shape } from "@rattanhill/core";
import type {
  Scheduler,
  SchedulerFactory,
  SchedulerHost,
} from "./simulation.ts";
import type { Deployment, SimulatedJob } from "./workload.ts";

/** A running job of a baseline. */
interface RunningJob {
  /** Time at which the job ends if it runs as long as declared. */
  declaredEndAt: Milliseconds;
  parts: { worker: string; accelerators: number }[];
}

/** Free accelerators by worker. */
type FreeMap = Map<string, number>;

/** Runs a scheduling pass over the queue of a baseline. */
type QueuePolicy = (context: BaselineContext, now: Milliseconds) => void;

interface BaselineContext {
  deployment: Deployment;
  /** Waiting jobs in order of submission. */
  queue: SimulatedJob[];
  /** Running jobs by identifier. */
  running: Map<string, RunningJob>;
  /** Free accelerators of the workers that are not known to be lost. */
  free: FreeMap;
  /** Names of the workers of each rack. */
  racks: readonly (readonly string[])[];
  /** Workers of each account by rack; set by {@link fixedPartitions} only. */
  partitions?: Map<string, string[][]>;
  /**
   * Starts a job and removes it from the queue. If one of the workers is lost,
   * the job stays in the queue and the worker is not used any more.
   */
  start(job: SimulatedJob, workers: readonly string[], now: Milliseconds): void;
}

/**
 * Goes through the queue in order of submission and starts each job on the
 * first workers that it fits. Like all baselines, it never preempts.
 */
export const firstComeFirstFit: SchedulerFactory = createBaseline(
  (context, now) => {
    // Free capacity only shrinks within a pass, so a shape that did not fit
    // does not fit later in the same pass.
    const unfitShapes = new Set<string>();
    for (const job of [...context.queue]) {
      const shapeKey = JSON.stringify(job.shape);
      if (unfitShapes.has(shapeKey)) continue;
      const workers = firstFit(job.shape, context.racks, context.free);
      if (workers === undefined) unfitShapes.add(shapeKey);
      else context.start(job, workers, now);
    }
  },
);

/**
 * Divides the workers among the accounts, and starts the jobs of each account
 * by first come, first fit on its own workers.
 */
export const fixedPartitions: SchedulerFactory = createBaseline(
  (context, now) => {
    const partitions = context.partitions ??= computePartitions(context);
    const unfitShapes = new Set<string>();
    for (const job of [...context.queue]) {
      const shapeKey = job.account + JSON.stringify(job.shape);
      if (unfitShapes.has(shapeKey)) continue;
      const ownRacks = partitions.get(job.account) ?? [];
      const workers = firstFit(job.shape, ownRacks, context.free);
      if (workers === undefined) unfitShapes.add(shapeKey);
      else context.start(job, workers, now);
    }
  },
);

// Number of jobs at the front of the queue that a pass of the backfill baseline
// considers.
const BACKFILL_DEPTH = 100;

/**
 * EASY backfill with declared run times: reserves capacity for the first job
 * that does not fit, and starts later jobs only if they do not delay it.
 */
export const backfillDeclared: SchedulerFactory = createBaseline(
  (context, now) => {
    let reservation: { startAt: Milliseconds; reserved: FreeMap } | undefined;
    const unfitShapes = new Set<string>();
    for (const job of context.queue.slice(0, BACKFILL_DEPTH)) {
      if (reservation === undefined) {
        const workers = firstFit(job.shape, context.racks, context.free);
        if (workers !== undefined) context.start(job, workers, now);
        else reservation = reserveCapacity(job, context, now);
        continue;
      }
      const endsInTime = now + job.declaredMs <= reservation.startAt;
      const shapeKey = `${endsInTime}${JSON.stringify(job.shape)}`;
      if (unfitShapes.has(shapeKey)) continue;
      const usable = endsInTime
        ? context.free
        : subtractReserved(context.free, reservation.reserved);
      const backfillWorkers = firstFit(job.shape, context.racks, usable);
      if (backfillWorkers === undefined) unfitShapes.add(shapeKey);
      else context.start(job, backfillWorkers, now);
    }
  },
);

function createBaseline(runPolicy: QueuePolicy): SchedulerFactory {
  return (deployment, host): Scheduler => {
    const context = createContext(deployment, host);
    const removeFromQueue = (id: string): void => {
      const index = context.queue.findIndex((job) => job.id === id);
      if (index >= 0) context.queue.splice(index, 1);
    };
    let hasChanged = false;
    return {
      submit: (job) => {
        context.queue.push(job);
        hasChanged = true;
      },
      cancel: removeFromQueue,
      updateWorker: (worker) => {
        const { report, isAlive } = host.fleet.worker(worker);
        if (!isAlive || !context.free.has(worker)) return;
        const used = report.leases.reduce(
          (sum, lease) => sum + lease.accelerators,
          0,
        );
        context.free.set(worker, report.accelerators - used);
        hasChanged = true;
      },
      removeWorker: (worker) => context.free.delete(worker),
      recordTaskEnd: ({ request }) => void context.running.delete(request),
      runPass: (now) => {
        if (!hasChanged) return;
        hasChanged = false;
        runPolicy(context, now);
      },
    };
  };
}

function createContext(
  deployment: Deployment,
  host: SchedulerHost,
): BaselineContext {
  const racks = new Map<string, string[]>();
  const free: FreeMap = new Map();
  for (const { report } of host.fleet.workers) {
    racks.set(report.rack, [...racks.get(report.rack) ?? [], report.worker]);
    free.set(report.worker, report.accelerators);
  }
  let leaseCount = 0;
  const context: BaselineContext = {
    deployment,
    queue: [],
    running: new Map(),
    free,
    racks: [...racks.values()],
    start: (job, workers, now) => {
      const lostWorker = workers.find((worker) =>
        !host.fleet.worker(worker).isAlive
      );
      if (lostWorker !== undefined) {
        free.delete(lostWorker);
        return;
      }
      context.queue.splice(context.queue.indexOf(job), 1);
      const accelerators = job.shape.accelerators;
      context.running.set(job.id, {
        declaredEndAt: now + job.declaredMs,
        parts: workers.map((worker) => ({ worker, accelerators })),
      });
      host.start(
        job,
        workers.map((worker, part) => ({
          worker,
          descriptor: createDescriptor(job, part, `lease-${++leaseCount}`),
        })),
      );
    },
  };
  return context;
}

function firstFit(
  shape: Shape,
  racks: readonly (readonly string[])[],
  free: FreeMap,
): string[] | undefined {
  if (shape.adjacent !== "rack") return fillInOrder(shape, racks.flat(), free);
  for (const rack of racks) {
    const workers = fillInOrder(shape, rack, free);
    if (workers !== undefined) return workers;
  }
  return undefined;
}

function fillInOrder(
  { parts, accelerators }: Shape,
  workers: readonly string[],
  free: FreeMap,
): string[] | undefined {
  const chosen: string[] = [];
  for (const worker of workers) {
    let remaining = free.get(worker) ?? 0;
    while (remaining >= accelerators && chosen.length < parts) {
      chosen.push(worker);
      remaining -= accelerators;
    }
    if (chosen.length === parts) return chosen;
  }
  return undefined;
}

/**
 * Finds the earliest start of the first job that does not fit, provided that
 * running jobs end as declared.
 *
 * @returns the start (the shadow time) and the capacity reserved for the job
 */
function reserveCapacity(
  job: SimulatedJob,
  { running, free, racks }: BaselineContext,
  now: Milliseconds,
): { startAt: Milliseconds; reserved: FreeMap } {
  const freeLater = new Map(free);
  const jobsByEnd = [...running.values()].sort((a, b) =>
    a.declaredEndAt - b.declaredEndAt
  );
  for (const { declaredEndAt, parts } of jobsByEnd) {
    for (const { worker, accelerators } of parts) {
      if (!freeLater.has(worker)) continue;
      freeLater.set(worker, (freeLater.get(worker) ?? 0) + accelerators);
    }
    const workers = firstFit(job.shape, racks, freeLater);
    if (workers === undefined) continue;
    const reserved: FreeMap = new Map();
    for (const worker of workers) {
      reserved.set(
        worker,
        (reserved.get(worker) ?? 0) + job.shape.accelerators,
      );
    }
    return { startAt: Math.max(now, declaredEndAt), reserved };
  }
  return { startAt: Infinity, reserved: new Map() };
}

function subtractReserved(free: FreeMap, reserved: FreeMap): FreeMap {
  return new Map(
    [...free].map(([worker, remaining]) =>
      [worker, Math.max(0, remaining - (reserved.get(worker) ?? 0))] as const
    ),
  );
}

/**
 * Divides consecutive workers among the accounts, in proportion to weights that
 * result from their guarantees and their shares of the load.
 *
 * @returns the workers of each account by rack
 */
function computePartitions(
  { deployment, racks }: BaselineContext,
): Map<string, string[][]> {
  const weights = deployment.accounts.map(({ name, guarantee }) => ({
    name,
    weight: guarantee +
      loadShareOf(deployment, name) * LOAD_WEIGHT_ACCELERATORS,
  }));
  const totalWeight = weights.reduce((sum, { weight }) => sum + weight, 0);
  const workers = racks.flat();
  const partitions = new Map<string, string[][]>();
  let nextIndex = 0;
  // Fraction of a worker that was rounded off for the previous accounts.
  let carriedOver = 0;
  for (const { name, weight } of weights) {
    carriedOver += weight / totalWeight * workers.length;
    const count = Math.max(
      nextIndex < workers.length ? 1 : 0,
      Math.round(carriedOver),
    );
    carriedOver -= count;
    const ownWorkers = new Set(workers.slice(nextIndex, nextIndex + count));
    nextIndex += count;
    partitions.set(
      name,
      racks.map((rack) => rack.filter((worker) => ownWorkers.has(worker))),
    );
  }
  return partitions;
}

// Number of guaranteed accelerators that have the same weight as the whole load
// when the workers are divided among the accounts.
const LOAD_WEIGHT_ACCELERATORS = 200;

/** @returns the share of the load's accelerator time that an account needs */
function loadShareOf({ classes }: Deployment, account: string): number {
  return classes.reduce(
    (sum, { accounts, share }) =>
      sum + (accounts.includes(account) ? share / accounts.length : 0),
    0,
  );
}

function createDescriptor(
  job: SimulatedJob,
  part: number,
  lease: string,
): LeaseDescriptor {
  return {
    lease,
    request: job.id,
    key: job.id,
    account: job.account,
    class: job.class,
    attempt: 1,
    part,
    parts: job.shape.parts,
    accelerators: job.shape.accelerators,
    owner: "owner",
    priority: 0,
    repeatable: true,
    preemptible: false,
    expectedMs: job.declaredMs,
  };
}
