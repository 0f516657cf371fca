import type { Isolate, Logger, Milliseconds } from "@rattanhill/shared";
import type { Quarantine, RunTimeEstimator } from "@rattanhill/core";
import { type AdviceQuestion, isRefused } from "./advice.ts";
import { type CandidateView, createAdvisedWorkers } from "./advised_workers.ts";
import {
  type CellState,
  type Run,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import type { CrashBlame } from "./crash_blame.ts";
import { type CellLoad, computeLoad } from "./cell_load.ts";
import { COLD_PENALTY, isCold, placeOnWarmFirst } from "./cold_workers.ts";
import { createDurationEstimator } from "./durations.ts";
import { evacuateIfDraining } from "./draining.ts";
import { isUsable } from "./free_room.ts";
import type { WaitingStep } from "./step_ranking.ts";
import { canAvoidWorkers, type PlacementView, placeStep } from "./placement.ts";
import { placeInOrder, withinStartLimit } from "./placement_pass.ts";
import { PLANNING_POLICY, type PlanningPolicy } from "./planning_policy.ts";
import { createCapacityLedger } from "./capacity_ledger.ts";
import {
  createCapacityReclaim,
  type ReclaimOutcome,
} from "./capacity_reclaim.ts";
import { createIdleJobs } from "./idle_jobs.ts";
import type { JobSpec } from "./job_types.ts";
import { NO_RULES, type Rules, rulesOf } from "./rules.ts";
import { rackWaitLimitMs } from "./rack_wait.ts";
import { createPassLimits } from "./pass_limits.ts";
import { createRuns } from "./run_creation.ts";
import { createSpeedPreference } from "./speed_preference.ts";
import { createRoomWaits, type RoomWaitEvent } from "./room_waits.ts";
import { findStuckRuns } from "./stuck_runs.ts";
import { withoutSuspects } from "./suspect_workers.ts";
import { findWaitCauses, WaitCause } from "./wait_causes.ts";
import { collectWaitingSteps } from "./waiting_work.ts";
import type { WorkerSpeeds } from "./worker_speeds.ts";
import type { ZoneEvacuation } from "./zone_evacuation.ts";

/** Assigns waiting tasks to workers, one planning pass at a time. */
export interface Planner {
  /** Replaces the rules that the operators configured. */
  setRules(rules: Rules): void;
  /** @returns the number of failed attempts of a task at which a job fails */
  attemptLimitOf(spec: JobSpec): number;
  /**
   * @returns whether a queue or a job uses the service of a worker, or the
   * worker has runs
   */
  isUsed(worker: WorkerState): boolean;
  /** @returns the factor by which a run is slowed by its placement */
  slowdownOf(run: Run): number;
  /**
   * Runs a planning pass: stops runs that are stuck or would outlast their
   * draining workers, then places waiting tasks, with preemption if necessary.
   */
  plan(): void;
  /**
   * @returns the current utilization of the workers, and the number of tasks
   * that the last pass could not place
   */
  load(): CellLoad;
}

/** Options of {@link createPlanner}. */
export interface PlannerOptions {
  state: CellState;
  quarantine: Quarantine;
  crashBlame: CrashBlame;
  evacuation: ZoneEvacuation;
  runTimes: RunTimeEstimator;
  speeds: WorkerSpeeds;
  now(): Milliseconds;
  wallTime(): Milliseconds;
  /** Stops a run. Its capacity is free once the worker reports its end. */
  stop(run: Run, reason: string): void;
  /** Asks the policy of a queue which workers may run a step. */
  askAdvice(question: AdviceQuestion): void;
  /** Called for decisions on preemption; see {@link CapacityReclaimOptions}. */
  onReclaim(outcome: ReclaimOutcome): void;
  /** Called as waits beside free capacity reach bounds and end. */
  onRoomWait(event: RoomWaitEvent): void;
  /** Parameters that override those of {@link PLANNING_POLICY}. */
  policy?: Partial<PlanningPolicy>;
  /** Keeps the failure of one job, step or worker from the others. */
  isolate: Isolate;
  log: Logger;
}

// Penalty on the placement score of a worker that is quarantined for recent
// failures. It is above any score that a worker gets for its free capacity.
const FAILURE_PENALTY = 10;
// Penalty on the placement score of a worker that is withheld for other work, for
// a step that may use it. It is above any score for free capacity, at most 3.
const WITHHELD_PENALTY = 4;
// A waiting step avoids a worker on which it failed for this long. A faulty
// worker mostly recovers within that time, and a lasting task may be missing for
// little longer.
const AVOIDANCE_MS: Milliseconds = 5_000;
// Number of overdue steps that a pass tries beyond its time.
const MAXIMUM_OVERDUE_PER_PASS = 64;
/**
 * Creates the planner of a cell.
 *
 * @param options the cell's state, learned run times, quarantine, clocks and
 * callbacks
 * @returns the planner
 */
export function createPlanner(options: PlannerOptions): Planner {
  const { state, quarantine, crashBlame, evacuation } = options;
  const { runTimes, speeds } = options;
  const { now, wallTime, stop, isolate, log } = options;
  const policy = { ...PLANNING_POLICY, ...options.policy };
  let rules = NO_RULES;
  /** Services of all queues. */
  let services = new Set<string>();
  let waitingSteps: WaitingStep[] = [];

  /** Returns whether a worker may get new runs now. */
  const isOpen = (worker: WorkerState): boolean =>
    isUsable(worker, { now: now(), isClosed: evacuation.isClosed });
  const penaltyOf = (step: StepState, worker: WorkerState): number =>
    (quarantine.isEligible(worker.id, now()) ? 0 : FAILURE_PENALTY) +
    (isCold(worker, now()) ? COLD_PENALTY : 0) +
    crashBlame.penaltyOf(step, worker);
  const ledger = createCapacityLedger({
    now,
    isOpen,
    stopMs: () => rules.deployment.stopMs,
  });
  const limits = createPassLimits({ state, now });
  const advisedWorkers = createAdvisedWorkers({
    now,
    askAdvice: options.askAdvice,
  });
  const durations = createDurationEstimator({
    runTimes,
    speeds,
    now,
    deployment: () => rules.deployment,
  });
  const capacityReclaim = createCapacityReclaim({
    state,
    ledger,
    durations,
    policy,
    now,
    wallTime,
    rules: () => rules,
    stop,
    onReclaim: options.onReclaim,
    isolate,
    log,
  });

  const roomWaits = createRoomWaits({
    state,
    now,
    isUsable: isOpen,
    serviceOf: ({ spec }) => rulesOf(rules, spec).service,
    onEvent: options.onRoomWait,
    log,
  });

  /** Keeps a failure of {@link roomWaits} from the planning pass. */
  const observeWaits = (observe: () => void): void => {
    isolate({ operation: "waits.observe", item: "planning pass" }, observe);
  };

  /** Returns the workers of a step's service that are not evacuated. */
  const serviceWorkersOf = ({ rules: { service } }: WaitingStep) =>
    [...state.workers.values()].filter((worker) =>
      worker.isListed && worker.service === service &&
      !evacuation.isEvacuated(worker)
    );

  const usableWorkersOf = (waiting: WaitingStep) =>
    serviceWorkersOf(waiting).filter(isOpen);
  const idleJobs = createIdleJobs({
    now,
    limitMs: policy.idleLimitMs,
    usableWorkersOf,
    isolate,
  });

  /**
   * Places the waiting tasks of a step, and secures capacity for those that
   * cannot be placed now.
   */
  const placeTasks = (waiting: WaitingStep): void => {
    const { step, tasks, rules: queueRules, expectedMs } = waiting;
    const serviceWorkers = serviceWorkersOf(waiting);
    for (const [worker, at] of step.avoidedWorkers) {
      if (now() - at >= AVOIDANCE_MS) step.avoidedWorkers.delete(worker);
    }
    const mayBeUsed = (worker: WorkerState) =>
      worker.hasAnswered && !worker.isDraining && !isRefused(step, worker);
    if (
      step.avoidedWorkers.size > 0 &&
      !canAvoidWorkers(step, serviceWorkers.filter(mayBeUsed))
    ) {
      useAvoidedWorkers(step);
    }
    const usableWorkers = serviceWorkers.filter(isOpen);
    const soundWorkers = withoutSuspects(step, usableWorkers, {
      quarantine,
      now: now(),
      taskCount: tasks.length,
    });
    const openWorkers = ledger.unreservedWorkers(
      soundWorkers,
      step,
      expectedMs,
    );
    const candidates = candidatesOf(waiting, {
      workers: openWorkers,
      freeOn: ledger.freeOn,
    });
    const view = {
      candidates,
      serviceWorkers,
      penaltyOf: (worker: WorkerState) => penaltyOf(step, worker),
      speed: createSpeedPreference(speeds, queueRules.priority === 0),
      freeOn: ledger.freeOn,
      mayUseAnyRack: waiting.waitedMs >
        rackWaitLimitMs(waiting, { deployment: rules.deployment, policy }),
    };
    const offered = withinStartLimit(waiting, limits);
    const unplacedTasks = placeInView(offered, view, { isOverdue: false });
    if (unplacedTasks.length > 0) {
      const findCauses = () =>
        ledger.withClaimReleased(
          step,
          () =>
            findWaitCauses(step, unplacedTasks, {
              usable: usableWorkers,
              sound: soundWorkers,
              unreserved: openWorkers,
              advised: candidates,
              view,
              withholdings: ledger.withholdingsFrom(step, expectedMs),
            }),
        );
      observeWaits(() => roomWaits.recordUnplaced(waiting, findCauses));
      capacityReclaim.secureCapacity(waiting, unplacedTasks, view);
    }
  };

  const useAvoidedWorkers = (step: StepState): void => {
    log.info(
      { step: step.key, avoided: step.avoidedWorkers.size },
      "step may use the workers again on which it failed",
    );
    step.avoidedWorkers.clear();
  };

  const candidatesOf = (
    { step, rules: { needsAdvice } }: WaitingStep,
    view: CandidateView,
  ): readonly WorkerState[] =>
    needsAdvice ? advisedWorkers.select(step, view) : view.workers;

  /**
   * Places tasks of a step, on the capacity that it claimed if they fit there.
   *
   * @returns the tasks that could not be placed
   */
  const placeInView = (
    { step, tasks }: WaitingStep,
    view: PlacementView,
    { isOverdue }: { isOverdue: boolean },
  ): number[] => {
    const assignment = ledger.withClaimReleased(step, (claimed) => {
      const assignmentOnClaim = claimed.size === 0
        ? new Map()
        : placeStep(step, tasks, {
          ...view,
          candidates: view.candidates.filter((worker) => claimed.has(worker)),
          mayUseAnyRack: true,
        });
      const chosenAssignment = assignmentOnClaim.size === tasks.length
        ? assignmentOnClaim
        : placeOnWarmFirst(step, tasks, view, now());
      if (chosenAssignment.size > 0) {
        createRuns(step, chosenAssignment, {
          state,
          rules,
          speeds,
          now: now(),
          isOverdue,
          log,
        });
      }
      if (chosenAssignment.size === tasks.length) ledger.dropClaim(step);
      return chosenAssignment;
    });
    return tasks.filter((task) => !assignment.has(task));
  };

  /**
   * Places a step on any workers that may get new runs. Only protected capacity
   * is withheld from it. Workers that are withheld for others or likely to fail
   * are used last, and those on which the step failed only if there is no room
   * for it elsewhere.
   */
  const placeOverdue = (waiting: WaitingStep): void => {
    const { step, rules: queueRules } = waiting;
    const freeOn = ledger.freeBesideProtected;
    const view = {
      candidates: candidatesOf(waiting, {
        workers: usableWorkersOf(waiting),
        freeOn,
      }),
      serviceWorkers: serviceWorkersOf(waiting),
      penaltyOf: (worker: WorkerState) =>
        penaltyOf(step, worker) +
        (ledger.isWithheld(worker) ? WITHHELD_PENALTY : 0),
      speed: createSpeedPreference(speeds, queueRules.priority === 0),
      freeOn,
      mayUseAnyRack: true,
    };
    const offered = withinStartLimit(waiting, limits);
    const placeNow = () => {
      const unplacedTasks = placeInView(offered, view, { isOverdue: true });
      limits.recordPlaced(offered.tasks.length - unplacedTasks.length);
      return unplacedTasks;
    };
    const unplacedTasks = placeNow();
    const mayUseAvoided = step.avoidedWorkers.size > 0 &&
      step.spec.isLongRunning !== true &&
      unplacedTasks.length === offered.tasks.length;
    if (!mayUseAvoided) return;
    useAvoidedWorkers(step);
    placeNow();
  };

  /** Stops runs that are stuck or would outlast their draining workers. */
  const stopUnfitRuns = (): void => {
    for (const worker of state.workers.values()) {
      isolate(
        { operation: "worker.evacuate", item: worker.id },
        () =>
          evacuateIfDraining(worker, {
            now: now(),
            remainingOf: durations.remainingTime,
            stop,
          }),
      );
    }
    for (const run of findStuckRuns(state)) {
      const { worker, step } = run;
      quarantine.recordTaskEnd({
        worker: worker.id,
        class: step.job.spec.queue,
        request: step.key,
        hasFailed: true,
      }, now());
      step.avoidedWorkers.set(worker.id, now());
      stop(run, "no progress although its worker answers");
    }
  };

  return {
    // Jobs of a removed queue still follow its last rules.
    setRules: (next) => {
      rules = { ...next, queues: new Map([...rules.queues, ...next.queues]) };
      services = new Set([...rules.queues.values()].map((one) => one.service));
    },
    isUsed: ({ service, runs }) =>
      runs.size > 0 || services.has(service) ||
      [...state.jobs.values()].some(({ spec }) =>
        rulesOf(rules, spec).service === service
      ),
    attemptLimitOf: (spec) => rulesOf(rules, spec).maximumAttempts,
    slowdownOf: durations.slowdownFactor,
    load: () => computeLoad(state, waitingSteps),
    plan: () => {
      evacuation.review(state.workers.values());
      ledger.beginPass();
      durations.beginPass();
      capacityReclaim.beginPass();
      crashBlame.beginPass();
      stopUnfitRuns();
      observeWaits(roomWaits.beginPass);
      waitingSteps = collectWaitingSteps(state, {
        rules,
        durations,
        isHeld: crashBlame.isHeld,
        now: now(),
        wallTime: wallTime(),
        isolate,
      });
      advisedWorkers.beginPass(waitingSteps);
      if (!evacuation.isCurrent()) {
        const cause = WaitCause.requestsNotCurrent;
        return observeWaits(() => roomWaits.endPass(waitingSteps, cause));
      }
      limits.beginPass();
      placeInOrder(waitingSteps, {
        limits,
        place: placeTasks,
        onSkipped: roomWaits.recordSkipped,
        onNotReached: roomWaits.recordNotReached,
        isolate,
      });
      const overdue = idleJobs.findOverdue(waitingSteps);
      for (const waiting of overdue.slice(0, MAXIMUM_OVERDUE_PER_PASS)) {
        if (limits.remainingStarts() === 0) break;
        isolate(
          { operation: "step.place", item: waiting.step.key },
          () => placeOverdue(waiting),
        );
      }
      observeWaits(() => roomWaits.endPass(waitingSteps));
    },
  };
}
