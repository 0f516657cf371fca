import type { Milliseconds } from "@rattanhill/shared";
import type { Run } from "./cell_state.ts";
import type { CapacityLedger } from "./capacity_ledger.ts";
import type { DurationEstimator } from "./durations.ts";
import { type PlacementView, placeStep } from "./placement.ts";
import type { PlanningPolicy } from "./planning_policy.ts";
import { chooseVictims, lostWorkOf, workOf } from "./preemption.ts";
import { findEarliestReservation } from "./reservation.ts";
import { type Rules, rulesOf } from "./rules.ts";
import { Tier, type WaitingStep } from "./step_ranking.ts";

/** Secures capacity for steps that cannot be placed now. */
export interface CapacityReclaim {
  /**
   * Secures capacity for tasks that could not be placed. Urgent tasks preempt
   * runs of lower priority, or else hold the capacity that becomes free
   * earliest. A gang that is not urgent gets a reservation, so that smaller
   * steps do not starve it.
   */
  secureCapacity(
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): void;
}

/** Options of {@link createCapacityReclaim}. */
export interface CapacityReclaimOptions {
  ledger: CapacityLedger;
  durations: DurationEstimator;
  policy: PlanningPolicy;
  now(): Milliseconds;
  rules(): Rules;
  /** Stops a run. Its capacity is free once the worker reports its end. */
  stop(run: Run, reason: string): void;
}

/**
 * Creates the component that secures capacity by preemption and reservation.
 *
 * @param options capacity, estimates, rules and how to stop a run
 * @returns the component
 */
export function createCapacityReclaim(
  options: CapacityReclaimOptions,
): CapacityReclaim {
  const { ledger, durations, policy, now, rules, stop } = options;

  /**
   * Computes the largest loss of work, in core milliseconds, that preemption
   * for a step may cause. The loss is unlimited for guaranteed work close to
   * its start deadline, and 0 for work that is overdue or has waited for less
   * than `cheapReclaimMs`.
   */
  const maximumLostWork = (waiting: WaitingStep, count: number): number => {
    const { step, waitedMs, expectedMs, rank: { tier } } = waiting;
    const { reclaimMs, stopMs } = rules().deployment;
    const reclaimAfterMs = reclaimMs - stopMs - policy.reclaimMarginMs;
    if (tier === Tier.guaranteed && waitedMs > reclaimAfterMs) return Infinity;
    if (tier === Tier.overdue || waitedMs < policy.cheapReclaimMs) return 0;
    return policy.cheapShare * count * workOf(step.spec, expectedMs);
  };

  /**
   * Preempts runs of lower priority for urgent tasks and claims the capacity
   * for them.
   *
   * @returns whether capacity was claimed
   */
  const reclaimCapacity = (
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): boolean => {
    const { step, rules: queueRules } = waiting;
    const lostWorkLimit = maximumLostWork(waiting, tasks.length);
    if (lostWorkLimit === 0) return false;
    const viewAfterStops = { ...view, freeOn: ledger.freeAfterStops };
    let assignment = placeStep(step, tasks, viewAfterStops);
    if (assignment.size < tasks.length) {
      const victims = chooseVictims(step, tasks.length, {
        candidates: view.candidates,
        freeOn: ledger.freeAfterStops,
        now: now(),
        isVictim: ({ stopReason, step: { job } }) =>
          stopReason === undefined &&
          rulesOf(rules(), job.spec).priority > queueRules.priority,
      });
      const lostWork = lostWorkOf(victims, now());
      if (victims.length === 0 || lostWork > lostWorkLimit) return false;
      for (const run of victims) {
        stop(run, `capacity reclaimed for ${step.key}`);
      }
      assignment = placeStep(step, tasks, {
        ...viewAfterStops,
        mayUseAnyRack: true,
      });
    }
    if (assignment.size === 0) return false;
    ledger.claim(step, assignment);
    return true;
  };

  const secureCapacity = (
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): void => {
    const { step, rules: queueRules } = waiting;
    if (ledger.hasClaim(step)) return;
    const isUrgent = queueRules.priority === 0;
    if (isUrgent && reclaimCapacity(waiting, tasks, view)) return;
    const mayReserve = step.spec.isGang &&
      ledger.reservationCount() < policy.maximumReservations;
    if (!isUrgent && !mayReserve) return;
    const reservation = findEarliestReservation(step, tasks.length, {
      candidates: view.candidates,
      remainingOf: durations.remainingTime,
      freeOn: ledger.freeOn,
    });
    if (reservation === undefined) return;
    if (isUrgent) ledger.hold(reservation.slots, step);
    else ledger.reserve(step, reservation);
  };

  return { secureCapacity };
}
