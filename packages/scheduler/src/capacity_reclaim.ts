import type { Isolate, Logger, Milliseconds } from "@rattanhill/shared";
import type { ActiveJob, CellState, Run, StepState } from "./cell_state.ts";
import type { CapacityLedger } from "./capacity_ledger.ts";
import type { DurationEstimator } from "./durations.ts";
import { createJobProspects } from "./job_prospects.ts";
import {
  type Assignment,
  type PlacementView,
  placeStep,
  slotsWhenEmpty,
} from "./placement.ts";
import type { PlanningPolicy } from "./planning_policy.ts";
import { chooseVictims } from "./preemption.ts";
import { findEarliestReservation, type Reservation } from "./reservation.ts";
import { type Rules, rulesOf } from "./rules.ts";
import { stopBenefit, StopOutcome } from "./stop_benefit.ts";
import { RECLAIM_REASON } from "./stop_reasons.ts";
import { Tier, type WaitingStep } from "./step_ranking.ts";
import { createVictimCosts } from "./victim_costs.ts";

/** Secures capacity for steps that cannot be placed now. */
export interface CapacityReclaim {
  /** Starts a planning pass. */
  beginPass(): void;
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

/** Results of decisions on preemption. */
export const ReclaimOutcome = {
  ...StopOutcome,
  /** Stopped at any cost, for guaranteed work close to its start deadline. */
  guaranteed: "guaranteed",
} as const;

/** One of the values of {@link ReclaimOutcome}. */
export type ReclaimOutcome = typeof ReclaimOutcome[keyof typeof ReclaimOutcome];

/** Options of {@link createCapacityReclaim}. */
export interface CapacityReclaimOptions {
  state: CellState;
  ledger: CapacityLedger;
  durations: DurationEstimator;
  policy: PlanningPolicy;
  now(): Milliseconds;
  wallTime(): Milliseconds;
  rules(): Rules;
  /** Stops a run. Its capacity is free once the worker reports its end. */
  stop(run: Run, reason: string): void;
  /**
   * Called for each decision to stop runs, and once per step and outcome for
   * decisions against it.
   */
  onReclaim(outcome: ReclaimOutcome): void;
  /** Keeps the failure of one job from the others. */
  isolate: Isolate;
  log: Logger;
}

// Time from the end of a stopped run to the start of the urgent task: a report,
// a planning pass, a store write and a start command.
const START_OVERHEAD_MS: Milliseconds = 50;
// Time between two considerations of preemption for a step. Passes follow each
// other within a few milliseconds under load, and each consideration looks at
// all runs.
const WEIGHING_INTERVAL_MS: Milliseconds = 50;
// Pause before the third time that runs are stopped for one step; it doubles
// with each further time up to the maximum. The capacity of earlier stops is lost
// when the workers do not answer, and more stops are then lost likewise.
const REPEATED_STOP_PAUSE_MS: Milliseconds = 1_000;
const MAXIMUM_STOP_PAUSE_MS: Milliseconds = 8_000;
// Number of jobs that a log line names.
const MAXIMUM_LOGGED_JOBS = 8;

/**
 * Creates the component that secures capacity by preemption and reservation.
 * The numbers of stops by job are kept in memory only; a new lead starts with
 * none.
 *
 * @param options the cell, capacity, estimates, rules and how to stop a run
 * @returns the component
 */
export function createCapacityReclaim(
  options: CapacityReclaimOptions,
): CapacityReclaim {
  const { ledger, durations, policy, now, rules, stop, log } = options;
  const prospects = createJobProspects(options);
  const stopCounts = new WeakMap<ActiveJob, number>();
  const stopCountOf = (job: ActiveJob): number => stopCounts.get(job) ?? 0;
  /** Monotonic time at which preemption for a step was last considered. */
  const lastWeighedAt = new WeakMap<StepState, Milliseconds>();
  /** How often runs were stopped for a step, and when they may be again. */
  const stopsFor = new WeakMap<
    StepState,
    { count: number; nextAt: Milliseconds }
  >();
  /** Outcomes without a stop that were logged, by step. */
  const loggedOutcomes = new WeakMap<StepState, Set<ReclaimOutcome>>();

  /** Returns whether the step must start at any cost to keep its guarantee. */
  const isGuaranteeDue = ({ waitedMs, rank: { tier } }: WaitingStep) => {
    const { reclaimMs, stopMs } = rules().deployment;
    const reclaimAfterMs = reclaimMs - stopMs - policy.reclaimMarginMs;
    return tier === Tier.guaranteed && waitedMs > reclaimAfterMs;
  };

  /**
   * Returns whether capacity set aside for the step is protected: it has a
   * guarantee and can still start by its deadline.
   */
  const isProtected = ({ waitedMs, rank: { tier } }: WaitingStep): boolean =>
    tier === Tier.guaranteed && waitedMs <= rules().deployment.reclaimMs;

  const findReservation = (
    { step }: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): Reservation | undefined =>
    findEarliestReservation(step, tasks.length, {
      candidates: view.candidates,
      remainingOf: durations.remainingTime,
      freeOn: ledger.freeOn,
    });

  const recordDecision = (
    step: StepState,
    outcome: ReclaimOutcome,
    victims: readonly Run[],
    fields: { lostWork?: number; atStake?: number; cost?: number },
  ): void => {
    if (victims.length === 0 || outcome === ReclaimOutcome.tooCostly) {
      const logged = loggedOutcomes.get(step) ?? new Set();
      if (logged.has(outcome)) return;
      loggedOutcomes.set(step, logged.add(outcome));
    }
    options.onReclaim(outcome);
    const jobs = [...new Set(victims.map((run) => run.step.job.spec.id))];
    log.info(
      {
        step: step.key,
        outcome,
        victims: victims.length,
        victimJobs: jobs.slice(0, MAXIMUM_LOGGED_JOBS),
        victimJobCount: jobs.length,
        lostCoreMs: Math.round(fields.lostWork ?? 0),
        atStake: roundToThousandths(fields.atStake ?? 0),
        cost: roundToThousandths(fields.cost ?? 0),
      },
      "preemption decided",
    );
  };

  /**
   * Decides whether runs are stopped for an urgent step, and stops them.
   *
   * @returns whether runs were stopped
   */
  const stopVictims = (
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): boolean => {
    const { step, rules: queueRules, expectedMs } = waiting;
    const { stopMs, remoteFactor } = rules().deployment;
    const isDue = isGuaranteeDue(waiting);
    const question = {
      urgent: prospects.prospectsOf(step),
      startAfterStopMs: stopMs + START_OVERHEAD_MS,
      // A guarantee does not depend on the estimates of other work.
      startWithoutStopMs: isDue ? Infinity : policy.waitUncertainty *
        (findReservation(waiting, tasks, view)?.startsInMs ?? Infinity),
      valuePerWork: prospects.valuePerWorkOf(step.job.spec),
      victims: [],
    };
    const urgentEndsInMs = question.startAfterStopMs + expectedMs;
    const { outcome, atStake } = stopBenefit(question, policy);
    if (!isDue && outcome !== StopOutcome.noVictims) {
      recordDecision(step, outcome, [], { atStake });
      return false;
    }
    const costs = createVictimCosts({
      prospects,
      durations,
      policy,
      now: now(),
      stopMs,
      freeInMs: urgentEndsInMs,
      valuePerWork: question.valuePerWork,
      stopCountOf,
      isolate: options.isolate,
    });
    const isPreemptible = ({ stopReason, step: { job } }: Run): boolean =>
      stopReason === undefined &&
      rulesOf(rules(), job.spec).priority > queueRules.priority;
    // A run that ends before its stop would be complete frees its capacity
    // without a loss.
    const isWorthStopping = (run: Run): boolean =>
      stopCountOf(run.step.job) < policy.maximumJobStops &&
      (run.step.spec.isLongRunning === true ||
        durations.remainingTime(run) > stopMs);
    const victims = chooseVictims(step, tasks.length, {
      candidates: view.candidates,
      freeOn: ledger.freeAfterStops,
      isVictim: isDue
        ? isPreemptible
        : (run) => isPreemptible(run) && isWorthStopping(run),
      costOf: costs.costOf,
    });
    // Across racks, the step would take `remoteFactor` times as long.
    const isSplit = step.spec.needsOneRack === true &&
      new Set(victims.map(({ worker }) => worker.rack)).size > 1 &&
      !fitsOneRack(step, tasks.length, view);
    const benefit = stopBenefit({
      ...question,
      startAfterStopMs: question.startAfterStopMs +
        (isSplit ? (remoteFactor - 1) * expectedMs : 0),
      victims: costs.victimJobsOf(victims),
    }, policy);
    const isWorthwhile = benefit.outcome === StopOutcome.worthwhile;
    if (victims.length === 0 || !(isDue || isWorthwhile)) {
      recordDecision(step, benefit.outcome, victims, benefit);
      return false;
    }
    recordDecision(
      step,
      isDue ? ReclaimOutcome.guaranteed : benefit.outcome,
      victims,
      benefit,
    );
    for (const job of new Set(victims.map((run) => run.step.job))) {
      stopCounts.set(job, stopCountOf(job) + 1);
    }
    for (const run of victims) stop(run, `${RECLAIM_REASON} ${step.key}`);
    recordStopsFor(step);
    return true;
  };

  /** Sets the time before which no further runs are stopped for the step. */
  const recordStopsFor = (step: StepState): void => {
    const count = (stopsFor.get(step)?.count ?? 0) + 1;
    const pauseMs = count === 1 ? 0 : Math.min(
      REPEATED_STOP_PAUSE_MS * 2 ** (count - 2),
      MAXIMUM_STOP_PAUSE_MS,
    );
    stopsFor.set(step, { count, nextAt: now() + pauseMs });
  };

  /** Claims the capacity of an assignment for a step. */
  const claim = (waiting: WaitingStep, assignment: Assignment): boolean => {
    if (assignment.size === 0) return false;
    ledger.claim(waiting.step, assignment, {
      isProtected: isProtected(waiting),
    });
    return true;
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
    const { step, waitedMs, rank: { tier } } = waiting;
    const isDue = isGuaranteeDue(waiting);
    const mayReclaim = isDue ||
      (tier !== Tier.overdue && waitedMs >= policy.cheapReclaimMs);
    if (!mayReclaim) return false;
    const weighedAt = lastWeighedAt.get(step) ?? -Infinity;
    if (!isDue && now() - weighedAt < WEIGHING_INTERVAL_MS) return false;
    lastWeighedAt.set(step, now());
    const viewAfterStops = { ...view, freeOn: ledger.freeAfterStops };
    const assignment = placeStep(step, tasks, viewAfterStops);
    if (assignment.size === tasks.length) return claim(waiting, assignment);
    if (now() < (stopsFor.get(step)?.nextAt ?? 0)) return false;
    if (!stopVictims(waiting, tasks, view)) return false;
    return claim(
      waiting,
      placeStep(step, tasks, { ...viewAfterStops, mayUseAnyRack: true }),
    );
  };

  return {
    beginPass: prospects.beginPass,
    secureCapacity: (waiting, tasks, view) => {
      const { step, rules: queueRules } = waiting;
      if (ledger.hasClaim(step)) return;
      const isUrgent = queueRules.priority === 0;
      const mayReserve = step.spec.isGang &&
        ledger.reservationCount() < policy.maximumReservations;
      if (!isUrgent && !mayReserve) return;
      if (isUrgent && reclaimCapacity(waiting, tasks, view)) return;
      const reservation = findReservation(waiting, tasks, view);
      if (reservation === undefined) return;
      if (isUrgent) {
        ledger.hold(step, reservation.slots, {
          isProtected: isProtected(waiting),
        });
      } else ledger.reserve(step, reservation);
    },
  };
}

/** @returns whether the tasks would fit on one rack of empty workers */
function fitsOneRack(
  step: StepState,
  count: number,
  { candidates }: PlacementView,
): boolean {
  const racks = new Set(candidates.map(({ rack }) => rack));
  return [...racks].some((rack) =>
    slotsWhenEmpty(
      step,
      candidates.filter((worker) => worker.rack === rack),
    ) >= count
  );
}

function roundToThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
