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
import { countFitting, groupByRack, isEligible } from "./placement.ts";

/** Workers, free capacity and preemptible runs for a preemption. */
export interface PreemptionView {
  candidates: readonly WorkerState[];
  /**
   * @returns the capacity of a worker that is free, or will be once all pending
   * stops are complete
   */
  freeOn(worker: WorkerState): Resources;
  /** @returns whether a run may be preempted for this step */
  isVictim(run: Run): boolean;
  /**
   * @returns the cost of stopping runs beside others that are already chosen;
   * of runs that belong to gangs, including the other members
   */
  costOf(runs: readonly Run[], chosen: ReadonlySet<Run>): number;
}

/**
 * Time that a preempted checkpointing task loses by its stop, its wait for a
 * worker and the load of its checkpoint. Deployments specify 100 to 600 ms for
 * the load.
 */
export const CHECKPOINT_RESTART_MS: Milliseconds = 300;

// Number of processor cores that one accelerator counts as when lost work is
// compared. Users price lost work by this ratio.
export const CORES_PER_ACCELERATOR = 8;

/**
 * Chooses runs to preempt so that tasks of an urgent step fit, greedily by
 * least cost. The capacity of runs that are already being stopped counts
 * as free.
 *
 * @param step the urgent step
 * @param count number of its tasks without a run
 * @param view workers and preemptible runs
 * @returns the runs to stop; empty when the tasks fit after the pending stops,
 * or when they would not fit even without all preemptible runs
 */
export function chooseVictims(
  step: StepState,
  count: number,
  view: PreemptionView,
): Run[] {
  const workers = view.candidates.filter((worker) =>
    isEligible(step, worker) && !step.avoidedWorkers.has(worker.id)
  );
  if (!step.spec.needsOneRack) {
    return chooseVictimsOn(step, count, workers, view) ?? [];
  }
  let best: Run[] | undefined;
  let leastCost = Infinity;
  for (const members of groupByRack(workers).values()) {
    const victims = chooseVictimsOn(step, count, members, view);
    if (victims === undefined) continue;
    const cost = view.costOf(victims, new Set());
    if (cost >= leastCost) continue;
    best = victims;
    leastCost = cost;
  }
  return best ?? chooseVictimsOn(step, count, workers, view) ?? [];
}

/**
 * @returns the work that is lost when the runs are stopped, in core
 * milliseconds
 */
export function lostWorkOf(runs: Iterable<Run>, now: Milliseconds): number {
  let lostWork = 0;
  for (const run of runs) {
    const { spec } = run.step;
    // A checkpointing task saves its work when it is stopped.
    const lostMs = spec.isCheckpointing
      ? CHECKPOINT_RESTART_MS
      : now - run.placedAt;
    lostWork += workOf(spec, lostMs);
  }
  return lostWork;
}

/**
 * @returns the work that one task of the step does in this time, in core
 * milliseconds
 */
export function workOf(spec: StepSpec, durationMs: Milliseconds): number {
  const cores = spec.milliCores / 1000 +
    CORES_PER_ACCELERATOR * spec.accelerators;
  return cores * durationMs;
}

/** Runs of one worker whose stop makes room for one more task. */
interface VictimOffer {
  runs: Run[];
  cost: number;
}

/**
 * Chooses victims on the given workers.
 *
 * @returns the runs to stop; undefined when the tasks would not fit even
 * without all preemptible runs
 */
function chooseVictimsOn(
  step: StepState,
  count: number,
  workers: readonly WorkerState[],
  view: PreemptionView,
): Run[] | undefined {
  const needs = needsOf(step.spec);
  const limit = step.spec.maximumPerWorker ?? Infinity;
  const victims = new Set<Run>();
  const slotsByWorker = new Map<WorkerState, number>();
  const slotsOn = (worker: WorkerState): number =>
    Math.min(
      limit,
      countFitting(needs, freeWithoutRuns(worker, victims, view)),
    );
  let totalSlots = 0;
  for (const worker of workers) {
    const slots = slotsOn(worker);
    slotsByWorker.set(worker, slots);
    totalSlots += slots;
  }
  /** Cheapest victims by worker; chosen anew once some of its runs are chosen. */
  const offers = new Map<WorkerState, VictimOffer | undefined>();
  while (totalSlots < count) {
    let best: VictimOffer | undefined;
    for (const worker of workers) {
      if (!offers.has(worker)) {
        const runs = chooseCheapestVictimsOn(worker, needs, victims, view);
        offers.set(
          worker,
          runs && { runs, cost: view.costOf(runs, victims) },
        );
      }
      const offer = offers.get(worker);
      if (offer === undefined) continue;
      if (best === undefined || offer.cost < best.cost) best = offer;
    }
    if (best === undefined) return undefined;
    for (const run of best.runs) {
      for (const member of stoppedWith(run)) {
        victims.add(member);
        offers.delete(member.worker);
      }
    }
    totalSlots = 0;
    for (const worker of workers) {
      const slots = slotsOn(worker);
      slotsByWorker.set(worker, slots);
      totalSlots += slots;
    }
  }
  return [...victims];
}

/**
 * Chooses victims on one worker, by least cost first, until one more task
 * fits on it.
 *
 * @returns the runs to stop; undefined when no further task would fit even
 * without all preemptible runs
 */
function chooseCheapestVictimsOn(
  worker: WorkerState,
  needs: Resources,
  alreadyChosen: ReadonlySet<Run>,
  view: PreemptionView,
): Run[] | undefined {
  const slotsBefore = countFitting(
    needs,
    freeWithoutRuns(worker, alreadyChosen, view),
  );
  const candidateRuns = [...worker.runs]
    .filter((run) => !alreadyChosen.has(run) && view.isVictim(run))
    .map((run) => ({ run, cost: view.costOf([run], alreadyChosen) }))
    .sort((a, b) => a.cost - b.cost);
  const stoppedRuns = new Set(alreadyChosen);
  const victims: Run[] = [];
  for (const { run } of candidateRuns) {
    stoppedRuns.add(run);
    victims.push(run);
    if (
      countFitting(needs, freeWithoutRuns(worker, stoppedRuns, view)) >
        slotsBefore
    ) {
      return victims;
    }
  }
  return undefined;
}

/**
 * @returns the runs that end when a run is stopped: a gang cannot continue
 * without one of its members
 */
export function stoppedWith(run: Run): readonly Run[] {
  const { step } = run;
  return step.spec.isGang ? [...step.runs.values()] : [run];
}

/** @returns the free capacity of a worker once the given runs have ended */
function freeWithoutRuns(
  worker: WorkerState,
  runs: ReadonlySet<Run>,
  view: PreemptionView,
): Resources {
  const free = { ...view.freeOn(worker) };
  for (const run of worker.runs) {
    if (!runs.has(run)) continue;
    addResources(free, needsOf(run.step.spec));
  }
  return free;
}
