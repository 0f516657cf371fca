import type { Milliseconds } from "@rattanhill/shared";
import {
  addResources,
  needsOf,
  type Resources,
  type Run,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { countFitting, groupByRack, isEligible } from "./placement.ts";

/** Workers on which a step is expected to start once all its tasks fit. */
export interface Reservation {
  /** Number of tasks by worker. */
  slots: Map<WorkerState, number>;
  /** Expected time until there is capacity for all of the tasks. */
  startsInMs: Milliseconds;
}

/** Workers, free capacity and expected run ends for a reservation. */
export interface ReservationView {
  candidates: readonly WorkerState[];
  /** @returns the capacity of a worker that is free for this step */
  freeOn(worker: WorkerState): Resources;
  /** @returns the expected time until a run ends */
  remainingOf(run: Run): Milliseconds;
}

/**
 * Finds the workers on which tasks of a step are expected to fit earliest, from
 * the expected ends of the current runs.
 *
 * @param step the step
 * @param count number of its tasks without a run
 * @param view workers, their free capacity and remaining run times
 * @returns the reservation; undefined when the tasks would not fit even if the
 * workers were empty
 */
export function findEarliestReservation(
  step: StepState,
  count: number,
  view: ReservationView,
): Reservation | undefined {
  const workers = view.candidates.filter((worker) =>
    isEligible(step, worker) && !step.avoidedWorkers.has(worker.id)
  );
  const groups = step.spec.needsOneRack
    ? [...groupByRack(workers).values()]
    : [workers];
  let best: Reservation | undefined;
  for (const members of groups) {
    const found = findEarliestOnWorkers(step, count, members, view);
    if (found === undefined) continue;
    if (best === undefined || found.startsInMs < best.startsInMs) best = found;
  }
  if (best === undefined && groups.length > 1) {
    return findEarliestOnWorkers(step, count, workers, view);
  }
  return best;
}

/** Finds the earliest reservation on the given workers. */
function findEarliestOnWorkers(
  step: StepState,
  count: number,
  workers: readonly WorkerState[],
  view: ReservationView,
): Reservation | undefined {
  const openings = workers.flatMap((worker) =>
    slotOpeningsOf(step, worker, view).map((inMs) => ({ worker, inMs }))
  );
  if (openings.length < count) return undefined;
  openings.sort((a, b) => a.inMs - b.inMs);
  const slots = new Map<WorkerState, number>();
  for (const { worker } of openings.slice(0, count)) {
    slots.set(worker, (slots.get(worker) ?? 0) + 1);
  }
  return { slots, startsInMs: openings[count - 1].inMs };
}

/**
 * Lists the times from now at which a worker gets capacity for one more task of
 * the step, in ascending order.
 */
function slotOpeningsOf(
  step: StepState,
  worker: WorkerState,
  view: ReservationView,
): Milliseconds[] {
  const needs = needsOf(step.spec);
  const limit = step.spec.maximumPerWorker ?? Infinity;
  const free = { ...view.freeOn(worker) };
  const openings: Milliseconds[] = [];
  const addOpenings = (inMs: Milliseconds): void => {
    const slots = Math.min(limit, countFitting(needs, free));
    while (openings.length < slots) openings.push(inMs);
  };
  addOpenings(0);
  const ends = [...worker.runs]
    .map((run) => ({ run, inMs: view.remainingOf(run) }))
    .sort((a, b) => a.inMs - b.inMs);
  for (const { run, inMs } of ends) {
    addResources(free, needsOf(run.step.spec));
    addOpenings(inMs);
  }
  return openings;
}
