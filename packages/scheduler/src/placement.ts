import {
  needsOf,
  type Resources,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";

/** What a placement may use. */
export interface PlacementView {
  /** Workers of the step's service that may get new work. */
  candidates: readonly WorkerState[];
  /** Every worker of the service, to tell what could ever fit. */
  service: readonly WorkerState[];
  /** Capacity that is free on a worker for this step. */
  freeOn(worker: WorkerState): Resources;
  /** Added to a worker's score; workers that are likely to fail come last. */
  penaltyOf(worker: WorkerState): number;
  /** Whether the step may be spread over racks, or away from its data. */
  mayUseAnyRack: boolean;
}

/** A worker for each task. */
export type Assignment = Map<number, WorkerState>;

/**
 * Finds workers for tasks of a step. A gang gets all or none; other tasks get
 * as many as there is room for.
 *
 * @param step the step
 * @param tasks indices that need a worker
 * @param view workers and what is free on them
 * @returns the workers; empty when nothing can be placed now
 */
export function placeStep(
  step: StepState,
  tasks: readonly number[],
  view: PlacementView,
): Assignment {
  const { spec } = step;
  const fitting = view.candidates.filter((worker) => suits(step, worker));
  if (spec.isGang && spec.needsOneRack) {
    return placeOnOneRack(step, tasks, fitting, view);
  }
  if (spec.dataRack !== undefined) {
    return placeNearData(step, tasks, fitting, view);
  }
  return placeAnywhere(step, tasks, fitting, view);
}

/** @returns whether a worker may ever run tasks of the step */
export function suits(step: StepState, worker: WorkerState): boolean {
  const { spec } = step;
  if (
    spec.requiredLabel !== undefined &&
    !worker.labels.includes(spec.requiredLabel)
  ) return false;
  return fits(needsOf(spec), worker.capacity);
}

/** @returns whether the needs fit into what is free */
export function fits(needs: Resources, free: Resources): boolean {
  return needs.milliCores <= free.milliCores &&
    needs.memoryMegabytes <= free.memoryMegabytes &&
    needs.accelerators <= free.accelerators;
}

/** @returns how many tasks with these needs fit into what is free */
export function countFitting(needs: Resources, free: Resources): number {
  const times = (need: number, room: number) =>
    need > 0 ? Math.floor(room / need) : Infinity;
  return Math.max(
    0,
    Math.min(
      times(needs.milliCores, free.milliCores),
      times(needs.memoryMegabytes, free.memoryMegabytes),
      times(needs.accelerators, free.accelerators),
    ),
  );
}

/** @returns workers by rack */
export function byRack(
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

/** Largest number of the step's tasks that one worker may run. */
function limitPerWorker(step: StepState): number {
  return step.spec.maximumPerWorker ?? Infinity;
}

function placeAnywhere(
  step: StepState,
  tasks: readonly number[],
  workers: readonly WorkerState[],
  view: PlacementView,
): Assignment {
  const needs = needsOf(step.spec);
  const limit = limitPerWorker(step);
  const own = new Map<WorkerState, number>();
  for (const run of step.runs.values()) {
    own.set(run.worker, (own.get(run.worker) ?? 0) + 1);
  }
  const rooms = workers
    .filter((worker) => !step.avoided.has(worker.id))
    .map((worker) => {
      const free = view.freeOn(worker);
      const slots = Math.min(
        countFitting(needs, free),
        limit - (own.get(worker) ?? 0),
      );
      const score = view.penaltyOf(worker) + emptiness(worker, free);
      return { worker, slots, score };
    })
    .filter(({ slots }) => slots > 0)
    .sort((a, b) => a.score - b.score);
  const assignment: Assignment = new Map();
  let next = 0;
  for (const { worker, slots } of rooms) {
    for (let used = 0; used < slots && next < tasks.length; used++) {
      assignment.set(tasks[next++], worker);
    }
    if (next === tasks.length) return assignment;
  }
  if (step.spec.isGang) assignment.clear();
  return assignment;
}

/** The rack that is filled best by the gang. */
function placeOnOneRack(
  step: StepState,
  tasks: readonly number[],
  workers: readonly WorkerState[],
  view: PlacementView,
): Assignment {
  let best: Assignment = new Map();
  let bestScore = Infinity;
  for (const [rack, members] of byRack(workers)) {
    const assignment = placeAnywhere(step, tasks, members, view);
    if (assignment.size < tasks.length) continue;
    const score = rackScore(members, view) +
      Math.max(...[...assignment.values()].map(view.penaltyOf)) +
      (step.spec.dataRack !== undefined && step.spec.dataRack !== rack ? 5 : 0);
    if (score >= bestScore) continue;
    best = assignment;
    bestScore = score;
  }
  if (best.size > 0) return best;
  const couldFit = [...byRack(view.service)].some(([, members]) =>
    roomWhenEmpty(step, members) >= tasks.length
  );
  if (couldFit && !view.mayUseAnyRack) return best;
  return placeAnywhere(step, tasks, workers, view);
}

function placeNearData(
  step: StepState,
  tasks: readonly number[],
  workers: readonly WorkerState[],
  view: PlacementView,
): Assignment {
  const { dataRack } = step.spec;
  const near = workers.filter(({ rack }) => rack === dataRack);
  const assignment = placeAnywhere(step, tasks, near, view);
  if (assignment.size === tasks.length) return assignment;
  const nearCapacity = view.service.some((worker) =>
    worker.rack === dataRack && suits(step, worker)
  );
  if (nearCapacity && !view.mayUseAnyRack) return assignment;
  if (step.spec.isGang) return placeAnywhere(step, tasks, workers, view);
  const rest = tasks.filter((task) => !assignment.has(task));
  const far = workers.filter(({ rack }) => rack !== dataRack);
  for (const [task, worker] of placeAnywhere(step, rest, far, view)) {
    assignment.set(task, worker);
  }
  return assignment;
}

/** Number of the step's tasks that fit on empty workers. */
export function roomWhenEmpty(
  step: StepState,
  workers: readonly WorkerState[],
): number {
  const needs = needsOf(step.spec);
  return workers.reduce((room, worker) => {
    if (!suits(step, worker)) return room;
    const slots = countFitting(needs, worker.capacity);
    return room + Math.min(slots, limitPerWorker(step));
  }, 0);
}

/** 0 for a full worker to 3 for an empty one; small work fills broken workers first. */
function emptiness({ capacity }: WorkerState, free: Resources): number {
  const share = (room: number, total: number) => total > 0 ? room / total : 0;
  return share(free.accelerators, capacity.accelerators) +
    share(free.milliCores, capacity.milliCores) +
    share(free.memoryMegabytes, capacity.memoryMegabytes);
}

function rackScore(
  members: readonly WorkerState[],
  view: PlacementView,
): number {
  return members.reduce(
    (sum, worker) => sum + emptiness(worker, view.freeOn(worker)),
    0,
  );
}
