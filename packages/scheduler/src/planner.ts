import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { Quarantine, RunTimeEstimator } from "@rattanhill/core";
import { type AdviceQuestion, chooseQuestion, ticketFor } from "./advice.ts";
import {
  type CellState,
  needsOf,
  occupyCapacity,
  type Resources,
  type Run,
  RunPhase,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { createDurations } from "./durations.ts";
import { Tier, type WaitingStep } from "./step_ranking.ts";
import { type Assignment, type PlacementView, placeStep } from "./placement.ts";
import { PLANNING_POLICY, type PlanningPolicy } from "./planning_policy.ts";
import { chooseVictims, lostWorkOf, workOf } from "./preemption.ts";
import { findSoonestReservation } from "./reservation.ts";
import { createCapacityLedger } from "./capacity_ledger.ts";
import { NO_RULES, type QueueRules, type Rules, rulesOf } from "./rules.ts";
import { findStuckRuns } from "./stuck_runs.ts";
import { collectWaitingSteps } from "./waiting_work.ts";

/** Assigns waiting tasks to workers, one planning pass at a time. */
export interface Planner {
  /** Replaces the operators' rules. */
  setRules(rules: Rules): void;
  /** @returns the rules of a queue; undefined when it was never configured */
  findQueueRules(queue: string): QueueRules | undefined;
  /** @returns the factor by which a run is slowed by its placement */
  slowdownOf(run: Run): number;
  /** Runs a planning pass: moves, preempts and places runs. */
  plan(): void;
  /**
   * @returns utilization of the workers and tasks left waiting by the last pass
   */
  load(): CellLoad;
}

/** Utilization of a cell. */
export interface CellLoad {
  workers: number;
  /** Occupied share of the accelerators of all listed workers, 0 to 1. */
  accelerators: number;
  /** The same for processor cores. */
  cores: number;
  /** The same for memory. */
  memory: number;
  /** Number of tasks without a worker, by queue. */
  waiting: Record<string, number>;
}

/** Options of {@link createPlanner}. */
export interface PlannerOptions {
  state: CellState;
  quarantine: Quarantine;
  runTimes: RunTimeEstimator;
  now(): Milliseconds;
  wallTime(): Milliseconds;
  /** Stops a run; its capacity is free once the worker confirms. */
  stop(run: Run, reason: string): void;
  /** Asks the policy of a queue which workers may run a step. */
  askAdvice(question: AdviceQuestion): void;
  /** Weights that override those of {@link PLANNING_POLICY}. */
  policy?: Partial<PlanningPolicy>;
  log: Logger;
}

/**
 * Guaranteed work drops its rack constraint this long before its start bound.
 */
const RACK_FALLBACK_MARGIN_MS: Milliseconds = 500;
/** Added to the placement score of a worker quarantined for recent failures. */
const FAILURE_PENALTY = 10; // above any free-capacity score of a worker
/**
 * Time by which a task's remaining time may exceed the stay of its draining
 * worker before its run is stopped.
 */
const DRAIN_MARGIN_MS: Milliseconds = 300;

/**
 * Creates the planner of a cell.
 *
 * @param options the cell's state, learned run times, quarantine and clocks
 * @returns the planner
 */
export function createPlanner(options: PlannerOptions): Planner {
  const { state, quarantine, runTimes, now, wallTime, stop, log } = options;
  const policy = { ...PLANNING_POLICY, ...options.policy };
  let rules = NO_RULES;
  let waitingSteps: WaitingStep[] = [];

  /** Whether a worker may get new runs now. */
  const isOpen = (worker: WorkerState): boolean =>
    worker.isListed && worker.hasAnswered && !worker.isDraining &&
    worker.noPlacementBefore <= now();
  const penaltyOf = (worker: WorkerState): number =>
    quarantine.isEligible(worker.id, now()) ? 0 : FAILURE_PENALTY;
  const ledger = createCapacityLedger({
    now,
    isOpen,
    stopMs: () => rules.deployment.stopMs,
  });
  const durations = createDurations({
    runTimes,
    now,
    deployment: () => rules.deployment,
  });

  /** Places the tasks of a step, and secures capacity for those left over. */
  const placeTasks = (waiting: WaitingStep): void => {
    const { step, tasks, rules: queueRules, expectedMs } = waiting;
    const serviceWorkers = [...state.workers.values()].filter((worker) =>
      worker.isListed && worker.service === queueRules.service
    );
    const openWorkers = ledger.unreservedWorkers(
      serviceWorkers.filter(isOpen),
      step,
      expectedMs,
    );
    const candidates = queueRules.needsAdvice
      ? filterByAdvice(step, openWorkers)
      : openWorkers;
    const view = {
      candidates,
      serviceWorkers,
      penaltyOf,
      freeOn: ledger.freeOn,
      mayUseAnyRack: waiting.waitedMs > rackWaitLimitMs(waiting),
    };
    const assignment = ledger.withClaimReleased(step, (claimed) => {
      const onClaimed = claimed.size === 0
        ? new Map()
        : placeStep(step, tasks, {
          ...view,
          candidates: candidates.filter((worker) => claimed.has(worker)),
          mayUseAnyRack: true,
        });
      const found = onClaimed.size === tasks.length
        ? onClaimed
        : placeStep(step, tasks, view);
      if (found.size > 0) startRuns(step, found);
      if (found.size === tasks.length) ledger.dropClaim(step);
      return found;
    });
    const rest = tasks.filter((task) => !assignment.has(task));
    if (rest.length > 0) secureCapacity(waiting, rest, view);
  };

  /**
   * Secures capacity for tasks that could not be placed: urgent tasks preempt
   * runs of lower priority, or else hold the capacity that is free soonest;
   * a gang gets a reservation, so that smaller steps do not starve it.
   */
  const secureCapacity = (
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): void => {
    const { step, rules: queueRules } = waiting;
    if (ledger.hasClaim(step)) return;
    const isUrgent = queueRules.priority === 0;
    if (isUrgent && reclaimCapacity(waiting, tasks, view)) return;
    const isReserved = step.spec.isGang &&
      ledger.reservationCount() < policy.maximumReservations;
    if (!isUrgent && !isReserved) return;
    const reservation = findSoonestReservation(step, tasks.length, {
      candidates: view.candidates,
      remainingOf: durations.remainingTime,
      freeOn: ledger.freeOn,
    });
    if (reservation === undefined) return;
    if (isUrgent) ledger.hold(reservation.slots, step);
    else ledger.reserve(step, reservation);
  };

  /**
   * Asks the policy of the queue for advice where it is missing.
   *
   * @returns the workers for which the step holds a valid ticket
   */
  const filterByAdvice = (
    step: StepState,
    workers: readonly WorkerState[],
  ): WorkerState[] => {
    const question = chooseQuestion(step, workers, now());
    if (question !== undefined) options.askAdvice(question);
    return workers.filter((worker) =>
      ticketFor(step, worker, now()) !== undefined
    );
  };

  /**
   * Longest time that a step waits for a single rack, or for the rack of its
   * data.
   */
  const rackWaitLimitMs = ({ rank, expectedMs }: WaitingStep): Milliseconds => {
    const { remoteFactor, reclaimMs } = rules.deployment;
    return rank.tier === Tier.guaranteed
      ? reclaimMs - RACK_FALLBACK_MARGIN_MS
      : policy.rackPatience * (remoteFactor - 1) * expectedMs;
  };

  /**
   * Largest loss of work, in core milliseconds, that preemption for a step may
   * cause: unlimited for guaranteed work close to its start bound.
   */
  const maximumLostWork = (waiting: WaitingStep, count: number): number => {
    const { step, waitedMs, expectedMs, rank: { tier } } = waiting;
    const { reclaimMs, stopMs } = rules.deployment;
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
    const limit = maximumLostWork(waiting, tasks.length);
    if (limit === 0) return false;
    const viewAfterStops = { ...view, freeOn: ledger.freeAfterStops };
    let assignment = placeStep(step, tasks, viewAfterStops);
    if (assignment.size < tasks.length) {
      const victims = chooseVictims(step, tasks.length, {
        candidates: view.candidates,
        freeOn: ledger.freeAfterStops,
        now: now(),
        isVictim: ({ stopReason, step: { job } }) =>
          stopReason === undefined &&
          rulesOf(rules, job.spec).priority > queueRules.priority,
      });
      const lostWork = lostWorkOf(victims, now());
      if (victims.length === 0 || lostWork > limit) return false;
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

  /** Occupies capacity for new runs; they start once they are stored. */
  const startRuns = (step: StepState, assignment: Assignment): void => {
    const number = step.highestRun + 1;
    step.highestRun = number;
    const placedAt = now();
    for (const [index, worker] of assignment) {
      occupyCapacity({
        step,
        index,
        number,
        worker,
        phase: RunPhase.storing,
        placedAt,
        percent: 0,
        percentAt: placedAt,
        checkpoint: step.checkpoints.get(step.spec.isGang ? 0 : index) ?? "",
      });
    }
    state.unsavedSteps.add(step);
    const workers = [...new Set([...assignment.values()].map(({ id }) => id))];
    log.info(
      {
        job: step.job.spec.id,
        step: step.key,
        run: number,
        tasks: assignment.size,
        of: step.spec.taskCount,
        accelerators: step.spec.accelerators,
        milliCores: step.spec.milliCores,
        workers,
        waitedMs: Math.round(placedAt - step.job.waitingSince),
      },
      "tasks placed",
    );
  };

  /**
   * Stops checkpointing runs that would not end before their draining worker
   * leaves, except those of gangs.
   */
  const evacuateDrainingWorkers = (): void => {
    for (const worker of state.workers.values()) {
      if (!worker.isDraining || worker.drainingSince === undefined) continue;
      const remainingStayMs = worker.drainingSince + worker.remainingMs - now();
      for (const run of worker.runs) {
        if (run.phase !== RunPhase.running) continue;
        if (!run.step.spec.isCheckpointing || run.step.spec.isGang) continue;
        const isTooLong =
          durations.remainingTime(run) > remainingStayMs + DRAIN_MARGIN_MS;
        if (isTooLong) stop(run, "its draining worker leaves too soon");
      }
    }
  };

  return {
    // Jobs of a removed queue still follow its last rules.
    setRules: (next) => {
      rules = { ...next, queues: new Map([...rules.queues, ...next.queues]) };
    },
    findQueueRules: (queue) => rules.queues.get(queue),
    slowdownOf: durations.slowdownFactor,
    load: () => {
      const listed = [...state.workers.values()].filter(({ isListed }) =>
        isListed
      );
      const share = (name: keyof Resources): number => {
        const total = listed.reduce(
          (sum, worker) => sum + worker.capacity[name],
          0,
        );
        const used = listed.reduce((sum, worker) => sum + worker.used[name], 0);
        return total === 0 ? 0 : Math.round(1000 * used / total) / 1000;
      };
      const counts: Record<string, number> = {};
      for (const { step, rules: { name } } of waitingSteps) {
        const left = step.spec.taskCount - step.done.size - step.runs.size;
        if (left > 0) counts[name] = (counts[name] ?? 0) + left;
      }
      return {
        workers: listed.length,
        accelerators: share("accelerators"),
        cores: share("milliCores"),
        memory: share("memoryMegabytes"),
        waiting: counts,
      };
    },
    plan: () => {
      ledger.beginPass();
      evacuateDrainingWorkers();
      for (const run of findStuckRuns(state)) {
        const { worker, step } = run;
        quarantine.recordTaskEnd({
          worker: worker.id,
          class: step.job.spec.queue,
          request: step.key,
          hasFailed: true,
        }, now());
        step.avoidedWorkers.add(worker.id);
        stop(run, "no progress although its worker answers");
      }
      const failedShapes = new Set<string>();
      waitingSteps = collectWaitingSteps(state, {
        rules,
        durations,
        now: now(),
        wallTime: wallTime(),
      });
      for (const entry of waitingSteps) {
        const shape = placementShapeOf(entry);
        if (shape !== undefined && failedShapes.has(shape)) continue;
        const before = entry.step.runs.size;
        placeTasks(entry);
        const isPlaced = entry.step.runs.size >= before + entry.tasks.length;
        if (shape !== undefined && !isPlaced) failedShapes.add(shape);
      }
    },
  };
}

/**
 * Steps of the same shape fit on the same workers, so a pass skips a step when
 * one of its shape was not placed in full.
 *
 * @returns the shape; undefined when constraints or a guarantee set the step
 * apart
 */
function placementShapeOf({ step, rank }: WaitingStep): string | undefined {
  const { spec } = step;
  const isSpecial = spec.isGang || spec.dataRack !== undefined ||
    spec.maximumPerWorker !== undefined || step.avoidedWorkers.size > 0 ||
    rank.tier === Tier.guaranteed;
  if (isSpecial) return undefined;
  const { milliCores, memoryMegabytes, accelerators } = needsOf(spec);
  return [
    milliCores,
    memoryMegabytes,
    accelerators,
    spec.requiredLabel,
    step.job.spec.service,
  ].join("/");
}
