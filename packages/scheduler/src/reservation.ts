import type { Milliseconds } from "@rattanhill/shared";
import {
  addResources,
  needsOf,
  type Resources,
  type Run,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { byRack, countFitting, suits } from "./placement.ts";

/** Workers that are kept for a step until all of its tasks fit. */
export interface Reservation {
  /** Tasks by worker. */
  slots: Map<WorkerState, number>;
  /** Expected time until the last of them is free. */
  startsInMs: Milliseconds;
}

/** What a reservation may use. */
export interface ReservationView {
  candidates: readonly WorkerState[];
  /** Capacity that is free on a worker for this step. */
  freeOn(worker: WorkerState): Resources;
  /** Expected time until a run ends. */
  remainingOf(run: Run): Milliseconds;
}

/**
 * Chooses the workers on which tasks of a step will have room soonest.
 *
 * @param step the step
 * @param count its tasks without a worker
 * @param view workers and their runs
 * @returns the workers; undefined when there can never be room
 */
export function reserveSoonest(
  step: StepState,
  count: number,
  view: ReservationView,
): Reservation | undefined {
  const workers = view.candidates.filter((worker) =>
    suits(step, worker) && !step.avoided.has(worker.id)
  );
  const groups = step.spec.needsOneRack
    ? [...byRack(workers).values()]
    : [workers];
  let best: Reservation | undefined;
  for (const members of groups) {
    const found = soonestOf(step, count, members, view);
    if (found === undefined) continue;
    if (best === undefined || found.startsInMs < best.startsInMs) best = found;
  }
  if (best === undefined && groups.length > 1) {
    return soonestOf(step, count, workers, view);
  }
  return best;
}

function soonestOf(
  step: StepState,
  count: number,
  workers: readonly WorkerState[],
  view: ReservationView,
): Reservation | undefined {
  const openings = workers.flatMap((worker) =>
    openingsOf(step, worker, view).map((inMs) => ({ worker, inMs }))
  );
  if (openings.length < count) return undefined;
  openings.sort((a, b) => a.inMs - b.inMs);
  const slots = new Map<WorkerState, number>();
  for (const { worker } of openings.slice(0, count)) {
    slots.set(worker, (slots.get(worker) ?? 0) + 1);
  }
  return { slots, startsInMs: openings[count - 1].inMs };
}

/** Times at which a worker has room for one more task of the step. */
function openingsOf(
  step: StepState,
  worker: WorkerState,
  view: ReservationView,
): Milliseconds[] {
  const needs = needsOf(step.spec);
  const limit = step.spec.maximumPerWorker ?? Infinity;
  const free = { ...view.freeOn(worker) };
  const openings: Milliseconds[] = [];
  const note = (inMs: Milliseconds): void => {
    const slots = Math.min(limit, countFitting(needs, free));
    while (openings.length < slots) openings.push(inMs);
  };
  note(0);
  const ends = [...worker.runs]
    .map((run) => ({ run, inMs: view.remainingOf(run) }))
    .sort((a, b) => a.inMs - b.inMs);
  for (const { run, inMs } of ends) {
    addResources(free, needsOf(run.step.spec));
    note(inMs);
  }
  return openings;
}
