import type { Isolate, Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  addResources,
  isOver,
  RunPhase,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import {
  BUSY_UTILIZATION,
  hasFreeSlots,
  hasRuns,
  MINIMUM_ROOM_FACTOR,
  startSizeOf,
} from "./free_room.ts";
import { capacityKeyOf } from "./placement_shape.ts";
import { CORES_PER_ACCELERATOR } from "./preemption.ts";
import type { WaitingStep } from "./step_ranking.ts";

/**
 * Finds the steps of jobs that have had nothing running for too long beside free
 * capacity. Capacity may be set aside for other work only until then.
 */
export interface IdleJobs {
  /**
   * Called at the end of each planning pass.
   *
   * @param waitingSteps the steps that waited when the pass began
   * @returns the steps, of those that still wait, that have waited too long, in
   * the same order
   */
  findOverdue(waitingSteps: readonly WaitingStep[]): WaitingStep[];
}

/** Options of {@link createIdleJobs}. */
export interface IdleJobsOptions {
  now(): Milliseconds;
  /** Longest time for which a job may be idle beside free capacity. */
  limitMs: Milliseconds;
  /** @returns the workers of the step's service that may get new runs */
  usableWorkersOf(waiting: WaitingStep): readonly WorkerState[];
  /** Keeps the failure of one step from the others. */
  isolate: Isolate;
}

/** A wait beside free capacity. */
interface Wait {
  /** Monotonic time of the look that found it first. */
  since: Milliseconds;
  /** Monotonic time of the last look at which there was free capacity. */
  lastFreeAt: Milliseconds;
}

// Passes follow each other within milliseconds under load, and a look examines
// all idle jobs.
const LOOK_INTERVAL_MS: Milliseconds = 100;
// A wait goes on if there is too little free capacity for a shorter time than
// this, as between the end of a run and the start of another.
const BUSY_GRACE_MS: Milliseconds = 300;

/**
 * Creates the search for idle jobs.
 *
 * @param options a clock, the limit, the usable workers and the isolation of
 * steps
 * @returns the search, which has seen no passes
 */
export function createIdleJobs(
  { now, limitMs, usableWorkersOf, isolate }: IdleJobsOptions,
): IdleJobs {
  /**
   * Waits by job. Since all tasks of a long-running step should run, it has a
   * wait of its own.
   */
  let waits = new Map<ActiveJob | StepState, Wait>();
  let lastLookAt = -Infinity;

  return {
    findOverdue: (waitingSteps) => {
      if (now() - lastLookAt < LOOK_INTERVAL_MS) return [];
      lastLookAt = now();
      const earlierWaits = waits;
      waits = new Map();
      const rooms = new Map<string, ServiceRoom>();
      /** Returns the step with its unplaced tasks if it has waited too long. */
      const findIfOverdue = (waiting: WaitingStep): WaitingStep | undefined => {
        const { step, rules: { service } } = waiting;
        const isLongRunning = step.spec.isLongRunning === true;
        if (!isLongRunning && hasRuns(step.job)) return undefined;
        const tasks = waiting.tasks.filter((task) => !step.runs.has(task));
        if (tasks.length === 0) return undefined;
        const room = rooms.get(service) ??
          measureRoom(usableWorkersOf(waiting));
        rooms.set(service, room);
        const isFree = isRoomFree(step, tasks.length, room);
        const waiter = isLongRunning ? step : step.job;
        const wait = waits.get(waiter) ?? earlierWaits.get(waiter) ??
          { since: now(), lastFreeAt: -Infinity };
        if (isFree) wait.lastFreeAt = now();
        if (now() - wait.lastFreeAt > BUSY_GRACE_MS) return undefined;
        waits.set(waiter, wait);
        const isOverdue = isFree && now() - wait.since >= limitMs;
        return isOverdue ? { ...waiting, tasks } : undefined;
      };
      const overdue = waitingSteps.map((waiting) =>
        isolate(
          { operation: "step.idle", item: waiting.step.key },
          () => findIfOverdue(waiting),
        )
      ).filter((waiting) => waiting !== undefined);
      for (const [waiter, wait] of earlierWaits) {
        if (waits.has(waiter) || !isStarting(waiter)) continue;
        waits.set(waiter, { ...wait, lastFreeAt: now() });
      }
      return overdue;
    },
  };
}

/**
 * Returns whether a job has runs, of which no worker has confirmed the start. A
 * wait goes on until then, since a worker may refuse.
 */
function isStarting(waiter: ActiveJob | StepState): boolean {
  if (!("steps" in waiter) || isOver(waiter) || !hasRuns(waiter)) return false;
  return [...waiter.steps.values()].every(({ runs }) =>
    [...runs.values()].every(({ phase }) => phase !== RunPhase.running)
  );
}

/** Returns whether there is ample room for tasks of a step. */
function isRoomFree(
  step: StepState,
  taskCount: number,
  { workers, isBusy, known }: ServiceRoom,
): boolean {
  const { isLongRunning, maximumPerWorker } = step.spec;
  if (isLongRunning !== true && isBusy(step)) return false;
  const needed = MINIMUM_ROOM_FACTOR * startSizeOf(step, taskCount);
  const key = step.runs.size === 0
    ? `${capacityKeyOf(step)}/${maximumPerWorker}/${needed}`
    : step.key;
  const isFree = known.get(key) ?? hasFreeSlots(step, workers, needed);
  known.set(key, isFree);
  return isFree;
}

/** The usable workers of a service and how much of them is in use. */
interface ServiceRoom {
  workers: readonly WorkerState[];
  /** Whether tasks fit, by their needs and number. */
  known: Map<string, boolean>;
  /** @returns whether half of the capacity for steps of this kind is in use */
  isBusy(step: StepState): boolean;
}

/**
 * Measures how much of the capacity is in use. Accelerators count as several
 * cores, and not at all for steps without them.
 */
function measureRoom(workers: readonly WorkerState[]): ServiceRoom {
  const total = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
  const used = { ...total };
  for (const worker of workers) {
    addResources(total, worker.capacity);
    addResources(used, worker.used);
  }
  const isBusyBy = (milliCoresPerAccelerator: number): boolean => {
    const sum = ({ milliCores, accelerators }: typeof total) =>
      milliCores + milliCoresPerAccelerator * accelerators;
    return sum(used) >= BUSY_UTILIZATION * sum(total);
  };
  const isBusyInAll = isBusyBy(1_000 * CORES_PER_ACCELERATOR);
  const isBusyInCores = isBusyBy(0);
  return {
    workers,
    known: new Map(),
    isBusy: ({ spec }) => spec.accelerators > 0 ? isBusyInAll : isBusyInCores,
  };
}
