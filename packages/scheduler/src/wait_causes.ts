import { isRefused } from "./advice.ts";
import type { Withholding } from "./capacity_ledger.ts";
import {
  type ActiveJob,
  needsOf,
  type Run,
  RunPhase,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { freeCapacityOf, freeSlotsOf } from "./free_room.ts";
import {
  fits,
  isEligible,
  type PlacementView,
  placeStep,
} from "./placement.ts";

/** What keeps a job from running although its tasks fit into free capacity. */
export const WaitCause = {
  /** The requests of the operators are not known well enough to start runs. */
  requestsNotCurrent: "requestsNotCurrent",
  /** Capacity is held for an urgent step. */
  held: "held",
  /** Workers are reserved for a gang. */
  reserved: "reserved",
  /** Capacity is claimed for a step for which runs were stopped. */
  claimed: "claimed",
  /** The step avoids workers on which it failed. */
  avoided: "avoided",
  /** Workers are suspected to fail whatever they start. */
  suspected: "suspected",
  /** The step waits for a single rack, or for the rack of its data. */
  rack: "rack",
  /** The queue's policy has not allowed workers yet, or its ticket expired. */
  adviceMissing: "adviceMissing",
  /** The queue's policy has refused workers. */
  adviceRefused: "adviceRefused",
  /** A step of the same shape could not be placed earlier in the pass. */
  shapeFailed: "shapeFailed",
  /**
   * The pass ended before it: enough start commands were under way, or its time
   * was over.
   */
  notReached: "notReached",
  /** The placement is not stored yet. */
  storing: "storing",
  /** The worker has not confirmed the start. */
  starting: "starting",
  /** The run is being stopped. */
  stopping: "stopping",
  /** The worker of the run does not answer or has ended. */
  silentWorker: "silentWorker",
  /** None of the above. */
  unknown: "unknown",
} as const;

/** One of the values of {@link WaitCause}. */
export type WaitCause = typeof WaitCause[keyof typeof WaitCause];

/** Why a step was not placed in a pass. */
export interface WaitCauses {
  causes: readonly WaitCause[];
  /** Steps for which capacity is withheld from it. */
  withheldFor: readonly StepState[];
  /** Number of its tasks that fit after each selection of workers. */
  slots?: Readonly<Record<string, number>>;
}

/** Workers that remain for a step after each selection in a planning pass. */
export interface PlacementStages {
  /** Usable workers of its service. */
  usable: readonly WorkerState[];
  /** Of these, the ones that are not suspected. */
  sound: readonly WorkerState[];
  /** Of these, the ones that are not reserved. */
  unreserved: readonly WorkerState[];
  /** Of these, the ones that the policy of its queue allows. */
  advised: readonly WorkerState[];
  view: PlacementView;
  /** What is withheld from the step for others. */
  withholdings: readonly Withholding[];
}

/**
 * Finds out why tasks of a step were not placed, from the selections of workers
 * that left less capacity for it.
 *
 * @param step the step
 * @param tasks indices of the tasks that were not placed
 * @param stages the workers after each selection
 * @returns the causes; {@link WaitCause.unknown} if no selection left less
 */
export function findWaitCauses(
  step: StepState,
  tasks: readonly number[],
  { usable, sound, unreserved, advised, view, withholdings }: PlacementStages,
): WaitCauses {
  const causes = new Set<WaitCause>();
  const withheldFor = new Set<StepState>();
  const needs = needsOf(step.spec);
  const hasRoom = (worker: WorkerState): boolean =>
    isEligible(step, worker) && fits(needs, freeCapacityOf(worker));
  const addWithholdings = (
    kinds: readonly Withholding["kind"][],
    workers: readonly WorkerState[],
  ): void => {
    for (const { kind, step: owner, slots } of withholdings) {
      if (!kinds.includes(kind)) continue;
      if (!workers.some((worker) => slots.has(worker) && hasRoom(worker))) {
        continue;
      }
      causes.add(WaitCause[kind]);
      withheldFor.add(owner);
    }
  };
  const unavoided = advised.filter(({ id }) => !step.avoidedWorkers.has(id));
  const slots = {
    usable: freeSlotsOf(step, usable),
    sound: freeSlotsOf(step, sound),
    unreserved: freeSlotsOf(step, unreserved),
    advised: freeSlotsOf(step, advised),
    unavoided: freeSlotsOf(step, unavoided),
    free: freeSlotsOf(step, unavoided, view.freeOn),
  };
  if (slots.sound < slots.usable) causes.add(WaitCause.suspected);
  if (slots.unreserved < slots.sound) addWithholdings(["reserved"], sound);
  if (slots.advised < slots.unreserved) {
    const isAnyRefused = unreserved.some((worker) =>
      isRefused(step, worker) && hasRoom(worker)
    );
    const isAnyMissing = unreserved.some((worker) =>
      !isRefused(step, worker) && !advised.includes(worker) && hasRoom(worker)
    );
    if (isAnyRefused) causes.add(WaitCause.adviceRefused);
    if (isAnyMissing) causes.add(WaitCause.adviceMissing);
  }
  if (slots.unavoided < slots.advised) causes.add(WaitCause.avoided);
  if (slots.free < slots.unavoided) {
    addWithholdings(["held", "claimed"], unavoided);
  }
  const waitsForRack = !view.mayUseAnyRack &&
    placeStep(step, tasks, { ...view, mayUseAnyRack: true }).size > 0;
  if (waitsForRack) causes.add(WaitCause.rack);
  if (causes.size === 0) causes.add(WaitCause.unknown);
  return { causes: [...causes].sort(), withheldFor: [...withheldFor], slots };
}

/**
 * Finds out why none of the runs of a job is at work.
 *
 * @param job a job
 * @returns the causes; none if a run is at work or the job has no run
 */
export function findRunCauses({ steps }: ActiveJob): WaitCause[] {
  const causes = new Set<WaitCause>();
  for (const { runs } of steps.values()) {
    for (const run of runs.values()) {
      const cause = causeOf(run);
      if (cause === undefined) return [];
      causes.add(cause);
    }
  }
  return [...causes].sort();
}

/** Returns why a run is not at work; undefined if it is. */
function causeOf({ phase, worker, stopReason }: Run): WaitCause | undefined {
  if (phase === RunPhase.storing) return WaitCause.storing;
  const isLost = worker.silentSince !== undefined || worker.hasEnded;
  if (isLost) return WaitCause.silentWorker;
  if (stopReason !== undefined) return WaitCause.stopping;
  return phase === RunPhase.ordered ? WaitCause.starting : undefined;
}
