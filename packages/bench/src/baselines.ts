import type { Milliseconds } from "@rattanhill/shared";
import type { LeaseDescriptor, Shape } from "@rattanhill/core";
import type {
  Scheduler,
  SchedulerFactory,
  SchedulerHost,
} from "./simulation.ts";
import type { Deployment, SimulatedJob } from "./workload.ts";

/** A running job of a baseline, with its end according to the declared time. */
interface RunningJob {
  declaredEndAt: Milliseconds;
  parts: { worker: string; accelerators: number }[];
}

/** Free accelerators by worker. */
type FreeMap = Map<string, number>;

/** Makes one scheduling pass over the queue of a baseline. */
type QueuePolicy = (context: BaselineContext, now: Milliseconds) => void;

interface BaselineContext {
  deployment: Deployment;
  queue: SimulatedJob[];
  running: Map<string, RunningJob>;
  /** Free accelerators of the workers that are not known to be lost. */
  free: FreeMap;
  racks: readonly (readonly string[])[];
  /** Workers of each account by rack; set by the policy of fixed partitions. */
  partitions?: Map<string, string[][]>;
  /** Starts a job and removes it from the queue. */
  start(job: SimulatedJob, workers: readonly string[], now: Milliseconds): void;
}

/**
 * Goes through the queue in order of arrival and starts each job on the first
 * workers that it fits; never preempts.
 */
export const firstComeFirstFit: SchedulerFactory = createBaseline(
  (context, now) => {
    // Free capacity only shrinks within a pass: what did not fit once cannot fit.
    const unfitShapes = new Set<string>();
    for (const job of [...context.queue]) {
      const shape = JSON.stringify(job.shape);
      if (unfitShapes.has(shape)) continue;
      const workers = firstFit(job.shape, context.racks, context.free);
      if (workers === undefined) unfitShapes.add(shape);
      else context.start(job, workers, now);
    }
  },
);

/** Divides the workers between accounts; first come, first fit in each part. */
export const fixedPartitions: SchedulerFactory = createBaseline(
  (context, now) => {
    const partitions = context.partitions ??= computePartitions(context);
    const unfitShapes = new Set<string>();
    for (const job of [...context.queue]) {
      const shape = job.account + JSON.stringify(job.shape);
      if (unfitShapes.has(shape)) continue;
      const own = partitions.get(job.account) ?? [];
      const workers = firstFit(job.shape, own, context.free);
      if (workers === undefined) unfitShapes.add(shape);
      else context.start(job, workers, now);
    }
  },
);

/** Number of jobs at the front of the queue that a pass considers. */
const BACKFILL_DEPTH = 100;

/**
 * EASY backfill with declared run times: reserves capacity for the first job
 * that does not fit, and starts later jobs that do not delay it.
 */
export const backfillDeclared: SchedulerFactory = createBaseline(
  (context, now) => {
    let shadow: { startAt: Milliseconds; reserved: FreeMap } | undefined;
    const unfitShapes = new Set<string>();
    for (const job of context.queue.slice(0, BACKFILL_DEPTH)) {
      if (shadow === undefined) {
        const workers = firstFit(job.shape, context.racks, context.free);
        if (workers !== undefined) context.start(job, workers, now);
        else shadow = reserveForHead(job, context, now);
        continue;
      }
      const endsInTime = now + job.declaredMs <= shadow.startAt;
      const kind = `${endsInTime}${JSON.stringify(job.shape)}`;
      if (unfitShapes.has(kind)) continue;
      const usable = endsInTime
        ? context.free
        : subtractReserved(context.free, shadow.reserved);
      const gapWorkers = firstFit(job.shape, context.racks, usable);
      if (gapWorkers === undefined) unfitShapes.add(kind);
      else context.start(job, gapWorkers, now);
    }
  },
);

function createBaseline(decideQueue: QueuePolicy): SchedulerFactory {
  return (deployment, host): Scheduler => {
    const context = createContext(deployment, host);
    const removeFromQueue = (id: string): void => {
      const index = context.queue.findIndex((job) => job.id === id);
      if (index >= 0) context.queue.splice(index, 1);
    };
    let isDirty = false;
    return {
      submit: (job) => {
        context.queue.push(job);
        isDirty = true;
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
        isDirty = true;
      },
      removeWorker: (worker) => context.free.delete(worker),
      recordTaskEnd: ({ request }) => void context.running.delete(request),
      decide: (now) => {
        if (!isDirty) return;
        isDirty = false;
        decideQueue(context, now);
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
  let leases = 0;
  const context: BaselineContext = {
    deployment,
    queue: [],
    running: new Map(),
    free,
    racks: [...racks.values()],
    start: (job, workers, now) => {
      const dead = workers.find((worker) => !host.fleet.worker(worker).isAlive);
      if (dead !== undefined) {
        free.delete(dead);
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
          descriptor: createDescriptor(job, part, `lease-${++leases}`),
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
 * Finds the earliest start of a job if running jobs end as declared.
 *
 * @returns the start (the shadow time) and the capacity reserved for the job
 */
function reserveForHead(
  job: SimulatedJob,
  { running, free, racks }: BaselineContext,
  now: Milliseconds,
): { startAt: Milliseconds; reserved: FreeMap } {
  const freeLater = new Map(free);
  const ends = [...running.values()].sort((a, b) =>
    a.declaredEndAt - b.declaredEndAt
  );
  for (const { declaredEndAt, parts } of ends) {
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
 * Divides consecutive workers between accounts, in proportion to their
 * guarantees and their share of the load.
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
  const total = weights.reduce((sum, { weight }) => sum + weight, 0);
  const workers = racks.flat();
  const partitions = new Map<string, string[][]>();
  let next = 0;
  let carriedOver = 0;
  for (const { name, weight } of weights) {
    carriedOver += weight / total * workers.length;
    const count = Math.max(
      next < workers.length ? 1 : 0,
      Math.round(carriedOver),
    );
    carriedOver -= count;
    const own = new Set(workers.slice(next, next + count));
    next += count;
    partitions.set(
      name,
      racks.map((rack) => rack.filter((worker) => own.has(worker))),
    );
  }
  return partitions;
}

/** Weight of the whole load beside the guarantees, in accelerators. */
const LOAD_WEIGHT_ACCELERATORS = 200;

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
