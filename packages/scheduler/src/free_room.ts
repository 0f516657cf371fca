import type { Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  addResources,
  isEntryCurrent,
  needsOf,
  type Resources,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { countFitting, fits } from "./placement.ts";
import type { WaitingStep } from "./step_ranking.ts";

/** What {@link isUsable} needs besides the worker. */
export interface UsableWorkerView {
  /** Monotonic time. */
  now: Milliseconds;
  /** @returns whether the worker gets no new runs because of an evacuation */
  isClosed(worker: WorkerState): boolean;
}

/** Free capacity of a service, in relation to the needs of a waiting step. */
export interface FreeRoom {
  /** Number of tasks of the step that fit into the free capacity. */
  slots: number;
  /**
   * How often the tasks without a run fit as a whole, for a gang, or one of them
   * for other steps; a fraction if below once.
   */
  factor: number;
  /** Share of the service's capacity that is in use, 0 to 1. */
  utilization: number;
}

/**
 * A job is expected to start if its gang, or one of its tasks, fits this often;
 * with less room, other jobs may compete for it.
 */
export const MINIMUM_ROOM_FACTOR = 2;

/** A service with at least this share of its capacity in use counts as busy. */
export const BUSY_UTILIZATION = 0.5;

/**
 * @returns whether a worker may get new runs now: it is listed with its current
 * entry, answers, neither drains nor is closed, and did not just refuse a start
 */
export function isUsable(
  worker: WorkerState,
  { now, isClosed }: UsableWorkerView,
): boolean {
  return worker.isListed && isEntryCurrent(worker) && !worker.hasEnded &&
    worker.hasAnswered && worker.silentSince === undefined &&
    !worker.isDraining && !isClosed(worker) && worker.noPlacementBefore <= now;
}

/**
 * Counts the tasks of a step that fit into free capacity. By default, that is
 * the capacity that no run uses: holds, reservations, claims, avoided and
 * suspected workers and racks are ignored.
 *
 * @param step the step
 * @param workers usable workers of the step's service
 * @param freeOn returns the free capacity of a worker
 * @returns the number of further tasks that fit
 */
export function freeSlotsOf(
  step: StepState,
  workers: readonly WorkerState[],
  freeOn: (worker: WorkerState) => Resources = freeCapacityOf,
): number {
  const slotsOn = createSlotCounter(step, freeOn);
  return workers.reduce((slots, worker) => slots + slotsOn(worker), 0);
}

/**
 * Checks whether a number of tasks of a step fit into the capacity that no run
 * uses. Looks at no more workers than needed.
 *
 * @param step the step
 * @param workers usable workers of the step's service
 * @param count number of tasks
 * @returns whether {@link freeSlotsOf} is at least the number
 */
export function hasFreeSlots(
  step: StepState,
  workers: readonly WorkerState[],
  count: number,
): boolean {
  const slotsOn = createSlotCounter(step, freeCapacityOf);
  let slots = 0;
  for (const worker of workers) {
    slots += slotsOn(worker);
    if (slots >= count) return true;
  }
  return false;
}

/** Creates a function that returns how many tasks of a step fit on a worker. */
function createSlotCounter(
  step: StepState,
  freeOn: (worker: WorkerState) => Resources,
): (worker: WorkerState) => number {
  const needs = needsOf(step.spec);
  const { requiredLabel, maximumPerWorker: limit = Infinity } = step.spec;
  const ownRunCounts = new Map<WorkerState, number>();
  for (const { worker } of step.runs.values()) {
    ownRunCounts.set(worker, (ownRunCounts.get(worker) ?? 0) + 1);
  }
  return (worker) => {
    const isEligible = requiredLabel === undefined ||
      worker.labels.includes(requiredLabel);
    const free = freeOn(worker);
    // Most workers of a full service have no room for a single task.
    if (!isEligible || !fits(needs, free)) return 0;
    const remainingLimit = limit - (ownRunCounts.get(worker) ?? 0);
    return Math.max(0, Math.min(countFitting(needs, free), remainingLimit));
  };
}

/**
 * Computes the share of the capacity of workers that their runs use. It is that
 * of the resource with the largest share, since workers are full as soon as one
 * resource is used up. Resources that no worker has are ignored.
 *
 * @param workers usable workers of one service
 * @returns the share, 0 to 1; 1 without workers, since none has free capacity
 */
export function utilizationOf(workers: readonly WorkerState[]): number {
  const total = { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
  const used = { ...total };
  for (const worker of workers) {
    addResources(total, worker.capacity);
    addResources(used, worker.used);
  }
  const shareOf = (name: keyof Resources) =>
    total[name] > 0 ? used[name] / total[name] : 0;
  if (workers.length === 0) return 1;
  return Math.max(
    shareOf("accelerators"),
    shareOf("milliCores"),
    shareOf("memoryMegabytes"),
  );
}

/**
 * Measures the free capacity for the waiting tasks of a step.
 *
 * @param waiting the step
 * @param workers usable workers of its service
 * @returns the free capacity
 */
export function freeRoomOf(
  { step, tasks }: Pick<WaitingStep, "step" | "tasks">,
  workers: readonly WorkerState[],
): FreeRoom {
  const slots = freeSlotsOf(step, workers);
  return {
    slots,
    factor: slots / startSizeOf(step, tasks.length),
    utilization: utilizationOf(workers),
  };
}

/**
 * @param step a step
 * @param taskCount number of its tasks without a run
 * @returns the smallest number of these tasks that can start
 */
export function startSizeOf({ spec }: StepState, taskCount: number): number {
  return spec.isGang ? taskCount : 1;
}

/**
 * @returns whether the capacity is ample: the gang, or one of the waiting tasks,
 * fits at least {@link MINIMUM_ROOM_FACTOR} times, and the service is not busy
 */
export function isAmple({ factor, utilization }: FreeRoom): boolean {
  return factor >= MINIMUM_ROOM_FACTOR && utilization < BUSY_UTILIZATION;
}

/** @returns whether a task of any step of the job has a run */
export function hasRuns({ runCount }: ActiveJob): boolean {
  return runCount > 0;
}

/**
 * Decides whether a runnable step waits beside free capacity: its job has no run
 * at all, it has waited, and {@link isAmple} holds for its unplaced tasks.
 *
 * @param waiting the step
 * @param workers usable workers of its service
 * @returns whether it does
 */
export function waitsBesideFreeRoom(
  waiting: Pick<WaitingStep, "step" | "tasks" | "waitedMs">,
  workers: readonly WorkerState[],
): boolean {
  return waiting.waitedMs > 0 && waiting.tasks.length > 0 &&
    !hasRuns(waiting.step.job) && isAmple(freeRoomOf(waiting, workers));
}

/** @returns the capacity of a worker that no run uses */
export function freeCapacityOf({ capacity, used }: WorkerState): Resources {
  const free = { ...capacity };
  addResources(free, used, -1);
  return free;
}
