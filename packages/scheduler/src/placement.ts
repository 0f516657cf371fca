import {
  needsOf,
  type Resources,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import type { SpeedPreference } from "./speed_preference.ts";

/** Workers, free capacity and constraints for the placement of a step. */
export interface PlacementView {
  /** Workers of the step's service that may get new runs. */
  candidates: readonly WorkerState[];
  /**
   * All workers of the service, to determine whether tasks would fit on them if
   * they were empty.
   */
  serviceWorkers: readonly WorkerState[];
  /** @returns the capacity of a worker that is free for this step */
  freeOn(worker: WorkerState): Resources;
  /**
   * @returns the penalty to add to a worker's score, so that workers that are
   * likely to fail are used last; workers with lower scores are used first
   */
  penaltyOf(worker: WorkerState): number;
  /** Changes of scores by the learned speeds of workers. */
  speed: SpeedPreference;
  /**
   * Whether a step that needs one rack may span several, and a step with data
   * on a rack may run on others.
   */
  mayUseAnyRack: boolean;
}

/** Worker by task index. */
export type Assignment = Map<number, WorkerState>;

/**
 * Finds workers for tasks of a step. A gang is placed as a whole or not at all.
 * Of other steps, as many tasks as possible are placed.
 *
 * @param step the step
 * @param tasks indices of the tasks to place
 * @param view workers, free capacity and constraints
 * @returns the assignment; empty when nothing can be placed now
 */
export function placeStep(
  step: StepState,
  tasks: readonly number[],
  view: PlacementView,
): Assignment {
  const { spec } = step;
  const fitting = view.candidates.filter((worker) => isEligible(step, worker));
  if (spec.isGang && spec.needsOneRack) {
    return placeOnOneRack(step, tasks, fitting, view);
  }
  if (spec.dataRack !== undefined) {
    return placeNearData(step, tasks, fitting, view);
  }
  return placeAnywhere(step, tasks, fitting, view);
}

/** @returns whether the worker could run a task of the step if it were empty */
export function isEligible(step: StepState, worker: WorkerState): boolean {
  const { spec } = step;
  if (
    spec.requiredLabel !== undefined &&
    !worker.labels.includes(spec.requiredLabel)
  ) return false;
  return fits(needsOf(spec), worker.capacity);
}

/** @returns whether the needs fit into the free resources */
export function fits(needs: Resources, free: Resources): boolean {
  return needs.milliCores <= free.milliCores &&
    needs.memoryMegabytes <= free.memoryMegabytes &&
    needs.accelerators <= free.accelerators;
}

/** @returns how many tasks with these needs fit into the free resources */
export function countFitting(needs: Resources, free: Resources): number {
  const countByResource = (need: number, available: number) =>
    need > 0 ? Math.floor(available / need) : Infinity;
  return Math.max(
    0,
    Math.min(
      countByResource(needs.milliCores, free.milliCores),
      countByResource(needs.memoryMegabytes, free.memoryMegabytes),
      countByResource(needs.accelerators, free.accelerators),
    ),
  );
}

/** @returns the workers, grouped by rack */
export function groupByRack(
  workers: readonly WorkerState[],
): Map<string, WorkerState[]> {
  const racks = new Map<string, WorkerState[]>();
  for (const worker of workers) {
    const members = racks.get(worker.rack) ?? [];
    racks.set(worker.rack, members);
    members.push(worker);
  }
  return racks;
}

/** @returns the largest number of the step's tasks that one worker may run */
function limitPerWorker(step: StepState): number {
  return step.spec.maximumPerWorker ?? Infinity;
}

/**
 * Places tasks regardless of racks, on the workers with the lowest scores.
 */
function placeAnywhere(
  step: StepState,
  tasks: readonly number[],
  workers: readonly WorkerState[],
  view: PlacementView,
): Assignment {
  const needs = needsOf(step.spec);
  const limit = limitPerWorker(step);
  const ownRunCounts = new Map<WorkerState, number>();
  for (const run of step.runs.values()) {
    ownRunCounts.set(run.worker, (ownRunCounts.get(run.worker) ?? 0) + 1);
  }
  const scoredWorkers = workers
    .filter((worker) => !step.avoidedWorkers.has(worker.id))
    .map((worker) => {
      const free = view.freeOn(worker);
      const slots = Math.min(
        countFitting(needs, free),
        limit - (ownRunCounts.get(worker) ?? 0),
      );
      const score = view.penaltyOf(worker) + freeShareOf(worker, free) +
        view.speed.scoreOf(worker);
      return { worker, slots, score };
    })
    .filter(({ slots }) => slots > 0)
    .sort((a, b) => a.score - b.score);
  const assignment: Assignment = new Map();
  let nextIndex = 0;
  for (const { worker, slots } of scoredWorkers) {
    for (let used = 0; used < slots && nextIndex < tasks.length; used++) {
      assignment.set(tasks[nextIndex++], worker);
    }
    if (nextIndex === tasks.length) return assignment;
  }
  if (step.spec.isGang) assignment.clear();
  return assignment;
}

/**
 * Places a gang on the rack with the lowest score on which it fits as a whole:
 * one with little free capacity and, for an urgent gang, fast workers. It spans racks only if the view allows it, or if it would not fit on
 * any rack even if the workers were empty.
 */
function placeOnOneRack(
  step: StepState,
  tasks: readonly number[],
  workers: readonly WorkerState[],
  view: PlacementView,
): Assignment {
  let best: Assignment = new Map();
  let bestScore = Infinity;
  for (const [rack, members] of groupByRack(workers)) {
    const assignment = placeAnywhere(step, tasks, members, view);
    if (assignment.size < tasks.length) continue;
    // A rack other than that of the step's data is penalized by 5.
    const score = rackScore(members, view) +
      view.speed.gangScoreOf(assignment.values()) +
      Math.max(...[...assignment.values()].map(view.penaltyOf)) +
      (step.spec.dataRack !== undefined && step.spec.dataRack !== rack ? 5 : 0);
    if (score >= bestScore) continue;
    best = assignment;
    bestScore = score;
  }
  if (best.size > 0) return best;
  const fitsEmptyRack = [...groupByRack(view.serviceWorkers)].some((
    [, members],
  ) => slotsWhenEmpty(step, members) >= tasks.length);
  if (fitsEmptyRack && !view.mayUseAnyRack) return best;
  return placeAnywhere(step, tasks, workers, view);
}

/**
 * Places tasks on the rack of their data. They are placed on other racks only
 * if the view allows it, or if no worker of the data's rack could ever run
 * them.
 */
function placeNearData(
  step: StepState,
  tasks: readonly number[],
  workers: readonly WorkerState[],
  view: PlacementView,
): Assignment {
  const { dataRack } = step.spec;
  const nearWorkers = workers.filter(({ rack }) => rack === dataRack);
  const assignment = placeAnywhere(step, tasks, nearWorkers, view);
  if (assignment.size === tasks.length) return assignment;
  const canDataRackRunTasks = view.serviceWorkers.some((worker) =>
    worker.rack === dataRack && isEligible(step, worker)
  );
  if (canDataRackRunTasks && !view.mayUseAnyRack) return assignment;
  if (step.spec.isGang) return placeAnywhere(step, tasks, workers, view);
  const unplacedTasks = tasks.filter((task) => !assignment.has(task));
  const farWorkers = workers.filter(({ rack }) => rack !== dataRack);
  for (
    const [task, worker] of placeAnywhere(step, unplacedTasks, farWorkers, view)
  ) {
    assignment.set(task, worker);
  }
  return assignment;
}

/**
 * @returns how many of the step's tasks would fit on the workers if these were
 * empty
 */
export function slotsWhenEmpty(
  step: StepState,
  workers: readonly WorkerState[],
): number {
  const needs = needsOf(step.spec);
  return workers.reduce((slotCount, worker) => {
    if (!isEligible(step, worker)) return slotCount;
    const slots = countFitting(needs, worker.capacity);
    return slotCount + Math.min(slots, limitPerWorker(step));
  }, 0);
}

/**
 * @returns whether the step can do without the workers that it avoids: its gang,
 * or a single task, would fit on the others if these were empty
 */
export function canAvoidWorkers(
  step: StepState,
  workers: readonly WorkerState[],
): boolean {
  const { spec, avoidedWorkers } = step;
  const others = workers.filter(({ id }) => !avoidedWorkers.has(id));
  return slotsWhenEmpty(step, others) >= (spec.isGang ? spec.taskCount : 1);
}

/**
 * Adds up the free shares of the three resources, from 0 for a full worker to 3
 * for an empty one. Partly used workers score lower than empty ones, so small
 * tasks leave whole workers free.
 */
function freeShareOf({ capacity }: WorkerState, free: Resources): number {
  const share = (available: number, total: number) =>
    total > 0 ? available / total : 0;
  return share(free.accelerators, capacity.accelerators) +
    share(free.milliCores, capacity.milliCores) +
    share(free.memoryMegabytes, capacity.memoryMegabytes);
}

/** Adds up {@link freeShareOf} over the workers of a rack. */
function rackScore(
  members: readonly WorkerState[],
  view: PlacementView,
): number {
  return members.reduce(
    (sum, worker) => sum + freeShareOf(worker, view.freeOn(worker)),
    0,
  );
}
