import type { Milliseconds } from "@rattanhill/shared";
import type { StepSpec } from "./job_types.ts";
import {
  addResources,
  needsOf,
  type Resources,
  type Run,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { byRack, countFitting, suits } from "./placement.ts";

/** What a preemption may use. */
export interface PreemptionView {
  candidates: readonly WorkerState[];
  /** Capacity that is free or becomes free by stops that were ordered. */
  freeOn(worker: WorkerState): Resources;
  /** Whether a run may be stopped for this step. */
  isVictim(run: Run): boolean;
  now: Milliseconds;
}

/** What a stop costs a task that keeps checkpoints: to stop, to wait and to load it. */
const RESTORE_MS: Milliseconds = 300; // the deployments name 100 to 600 ms for loading

/** Cores that an accelerator counts for when thrown-away work is weighed. */
const CORES_PER_ACCELERATOR = 8; // the users' price of thrown-away work

/**
 * Chooses runs to stop so that tasks of an urgent step fit, with the least
 * work thrown away. Capacity of runs that are being stopped counts as free.
 *
 * @param step the urgent step
 * @param count tasks that need a worker
 * @param view workers and possible victims
 * @returns runs to stop; empty when stopping ones suffice or nothing helps
 */
export function chooseVictims(
  step: StepState,
  count: number,
  view: PreemptionView,
): Run[] {
  const workers = view.candidates.filter((worker) =>
    suits(step, worker) && !step.avoided.has(worker.id)
  );
  if (!step.spec.needsOneRack) return choose(step, count, workers, view) ?? [];
  let best: Run[] | undefined;
  let bestWaste = Infinity;
  for (const members of byRack(workers).values()) {
    const victims = choose(step, count, members, view);
    if (victims === undefined) continue;
    const waste = wasteOf(victims, view.now);
    if (waste >= bestWaste) continue;
    best = victims;
    bestWaste = waste;
  }
  return best ?? choose(step, count, workers, view) ?? [];
}

/** Work of runs that would be lost, in core milliseconds. */
export function wasteOf(runs: Iterable<Run>, now: Milliseconds): number {
  let waste = 0;
  for (const run of runs) {
    const { spec } = run.step;
    // A stop saves the work of a task that keeps checkpoints.
    const lostMs = spec.isCheckpointing ? RESTORE_MS : now - run.placedAt;
    waste += workOf(spec, lostMs);
  }
  return waste;
}

/** @returns the work of one task over a time, in core milliseconds */
export function workOf(spec: StepSpec, durationMs: Milliseconds): number {
  const cores = spec.milliCores / 1000 +
    CORES_PER_ACCELERATOR * spec.accelerators;
  return cores * durationMs;
}

function choose(
  step: StepState,
  count: number,
  workers: readonly WorkerState[],
  view: PreemptionView,
): Run[] | undefined {
  const needs = needsOf(step.spec);
  const limit = step.spec.maximumPerWorker ?? Infinity;
  const taken = new Set<Run>();
  const room = new Map<WorkerState, number>();
  const roomOn = (worker: WorkerState): number =>
    Math.min(limit, countFitting(needs, freeWithout(worker, taken, view)));
  let total = 0;
  for (const worker of workers) {
    const slots = roomOn(worker);
    room.set(worker, slots);
    total += slots;
  }
  while (total < count) {
    let best: { worker: WorkerState; runs: Run[]; cost: number } | undefined;
    for (const worker of workers) {
      const runs = cheapestOn(worker, needs, taken, view);
      if (runs === undefined) continue;
      const cost = wasteOf(runs, view.now);
      if (best === undefined || cost < best.cost) best = { worker, runs, cost };
    }
    if (best === undefined) return undefined;
    for (const run of best.runs) {
      // A gang does not go on without one of its members.
      const group = run.step.spec.isGang ? run.step.runs.values() : [run];
      for (const member of group) taken.add(member);
    }
    total = 0;
    for (const worker of workers) {
      const slots = roomOn(worker);
      room.set(worker, slots);
      total += slots;
    }
  }
  return [...taken];
}

/** Cheapest runs of a worker whose end makes room for one more task. */
function cheapestOn(
  worker: WorkerState,
  needs: Resources,
  taken: ReadonlySet<Run>,
  view: PreemptionView,
): Run[] | undefined {
  const before = countFitting(needs, freeWithout(worker, taken, view));
  const victims = [...worker.runs]
    .filter((run) => !taken.has(run) && view.isVictim(run))
    .map((run) => ({ run, cost: costOf(run, view.now) }))
    .sort((a, b) => a.cost - b.cost);
  const chosen = new Set(taken);
  const own: Run[] = [];
  for (const { run } of victims) {
    chosen.add(run);
    own.push(run);
    if (countFitting(needs, freeWithout(worker, chosen, view)) > before) {
      return own;
    }
  }
  return undefined;
}

function costOf(run: Run, now: Milliseconds): number {
  const { step } = run;
  return wasteOf(step.spec.isGang ? step.runs.values() : [run], now);
}

function freeWithout(
  worker: WorkerState,
  taken: ReadonlySet<Run>,
  view: PreemptionView,
): Resources {
  const free = { ...view.freeOn(worker) };
  for (const run of worker.runs) {
    if (!taken.has(run)) continue;
    addResources(free, needsOf(run.step.spec));
  }
  return free;
}
