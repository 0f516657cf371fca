import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { Quarantine, RunTimeEstimator } from "@rattanhill/core";
import { type AdviceQuestion, nextQuestion, ticketFor } from "./advice.ts";
import {
  type CellState,
  needsOf,
  reserve,
  type Resources,
  type Run,
  RunPhase,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { createDurations } from "./durations.ts";
import { Group, type WaitingStep } from "./order_of_work.ts";
import { type Assignment, type PlacementView, placeStep } from "./placement.ts";
import { PLANNING_POLICY, type PlanningPolicy } from "./planning_policy.ts";
import { chooseVictims, wasteOf, workOf } from "./preemption.ts";
import { reserveSoonest } from "./reservation.ts";
import { createRoom } from "./room.ts";
import { NO_RULES, type QueueRules, type Rules, rulesOf } from "./rules.ts";
import { findStuckRuns } from "./stuck_runs.ts";
import { collectWaiting } from "./waiting_work.ts";

/** Places waiting work. */
export interface Planner {
  setRules(rules: Rules): void;
  rulesOf(queue: string): QueueRules | undefined;
  /** Factor by which the placement slows a run. */
  slownessOf(run: Run): number;
  plan(): void;
  /** @returns how full the workers are and what still waits after the last plan */
  load(): CellLoad;
}

/** How full a cell is. */
export interface CellLoad {
  workers: number;
  /** Shares of the listed workers' capacity that are occupied. */
  accelerators: number;
  cores: number;
  memory: number;
  /** Tasks without room, by queue. */
  waiting: Record<string, number>;
}

/** Options of {@link createPlanner}. */
export interface PlannerOptions {
  state: CellState;
  quarantine: Quarantine;
  runTimes: RunTimeEstimator;
  now(): Milliseconds;
  wallTime(): Milliseconds;
  stop(run: Run, reason: string): void;
  askAdvice(question: AdviceQuestion): void;
  /** Weights that differ from {@link PLANNING_POLICY}. */
  policy?: Partial<PlanningPolicy>;
  log: Logger;
}

/** Left of the bound on guaranteed work when it no longer insists on one rack. */
const LAST_RESORT_MS: Milliseconds = 500;
/** Score added for a worker that failed something lately. */
const FAILURE_PENALTY = 10; // above any score of room
/** A draining worker must stay this much longer than the task needs. */
const DRAIN_MARGIN_MS: Milliseconds = 300;

/**
 * Creates the planner of a cell.
 *
 * @param options the cell's state, what was learned, and clocks
 * @returns the planner
 */
export function createPlanner(options: PlannerOptions): Planner {
  const { state, quarantine, runTimes, now, wallTime, stop, log } = options;
  const policy = { ...PLANNING_POLICY, ...options.policy };
  let rules = NO_RULES;
  let waiting: WaitingStep[] = [];

  const isOpen = (worker: WorkerState): boolean =>
    worker.isListed && worker.hasAnswered && !worker.isDraining &&
    worker.closedUntil <= now();
  const penaltyOf = (worker: WorkerState): number =>
    quarantine.isEligible(worker.id, now()) ? 0 : FAILURE_PENALTY;
  const room = createRoom({
    now,
    isOpen,
    stopMs: () => rules.deployment.stopMs,
  });
  const durations = createDurations({
    runTimes,
    now,
    deployment: () => rules.deployment,
  });

  const place = (waiting: WaitingStep): void => {
    const { step, tasks, rules: queue, expectedMs } = waiting;
    const service = [...state.workers.values()].filter((worker) =>
      worker.isListed && worker.service === queue.service
    );
    const open = room.unreserved(service.filter(isOpen), step, expectedMs);
    const candidates = queue.needsAdvice ? adviseOn(step, open) : open;
    const view = {
      candidates,
      service,
      penaltyOf,
      freeOn: room.free,
      mayUseAnyRack: waiting.waitedMs > rackPatience(waiting),
    };
    const assignment = room.withClaim(step, (claimed) => {
      const own = claimed.size === 0 ? new Map() : placeStep(step, tasks, {
        ...view,
        candidates: candidates.filter((worker) => claimed.has(worker)),
        mayUseAnyRack: true,
      });
      const found = own.size === tasks.length
        ? own
        : placeStep(step, tasks, view);
      if (found.size > 0) startRuns(step, found);
      if (found.size === tasks.length) room.settle(step);
      return found;
    });
    const rest = tasks.filter((task) => !assignment.has(task));
    if (rest.length > 0) makeRoom(waiting, rest, view);
  };

  /** Sees to it that tasks without a worker get one. */
  const makeRoom = (
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): void => {
    const { step, rules: queue } = waiting;
    if (room.hasClaim(step)) return;
    const isUrgent = queue.priority === 0;
    if (isUrgent && reclaim(waiting, tasks, view)) return;
    const isReserved = step.spec.isGang &&
      room.reservationCount() < policy.maximumReservations;
    if (!isUrgent && !isReserved) return;
    const reservation = reserveSoonest(step, tasks.length, {
      candidates: view.candidates,
      remainingOf: durations.remaining,
      freeOn: room.free,
    });
    if (reservation === undefined) return;
    if (isUrgent) room.keep(reservation.slots, step);
    else room.reserve(step, reservation);
  };

  /** Asks for advice where it is missing. @returns workers for which there is a ticket */
  const adviseOn = (
    step: StepState,
    workers: readonly WorkerState[],
  ): WorkerState[] => {
    const question = nextQuestion(step, workers, now());
    if (question !== undefined) options.askAdvice(question);
    return workers.filter((worker) =>
      ticketFor(step, worker, now()) !== undefined
    );
  };

  /** How long a step waits for one rack, or for the rack of its data. */
  const rackPatience = ({ rank, expectedMs }: WaitingStep): Milliseconds => {
    const { remoteFactor, reclaimMs } = rules.deployment;
    return rank.group === Group.guaranteed
      ? reclaimMs - LAST_RESORT_MS
      : policy.rackPatience * (remoteFactor - 1) * expectedMs;
  };

  /** Work that may be thrown away for urgent tasks, in core milliseconds. */
  const maximumWaste = (waiting: WaitingStep, count: number): number => {
    const { step, waitedMs, expectedMs, rank: { group } } = waiting;
    const { reclaimMs, stopMs } = rules.deployment;
    const dueMs = reclaimMs - stopMs - policy.reclaimMarginMs;
    if (group === Group.guaranteed && waitedMs > dueMs) return Infinity;
    if (group === Group.overdue || waitedMs < policy.cheapReclaimMs) return 0;
    return policy.cheapShare * count * workOf(step.spec, expectedMs);
  };

  /** Stops work of lower priority for urgent tasks and keeps the room for them. */
  const reclaim = (
    waiting: WaitingStep,
    tasks: readonly number[],
    view: PlacementView,
  ): boolean => {
    const { step, rules: queue } = waiting;
    const limit = maximumWaste(waiting, tasks.length);
    if (limit === 0) return false;
    const later = { ...view, freeOn: room.freeAfterStops };
    let assignment = placeStep(step, tasks, later);
    if (assignment.size < tasks.length) {
      const victims = chooseVictims(step, tasks.length, {
        candidates: view.candidates,
        freeOn: room.freeAfterStops,
        now: now(),
        isVictim: ({ stopReason, step: { job } }) =>
          stopReason === undefined &&
          rulesOf(rules, job.spec).priority > queue.priority,
      });
      const waste = wasteOf(victims, now());
      if (victims.length === 0 || waste > limit) return false;
      for (const run of victims) {
        stop(run, `capacity reclaimed for ${step.key}`);
      }
      assignment = placeStep(step, tasks, { ...later, mayUseAnyRack: true });
    }
    if (assignment.size === 0) return false;
    room.claim(step, assignment);
    return true;
  };

  const startRuns = (step: StepState, assignment: Assignment): void => {
    const number = step.highestRun + 1;
    step.highestRun = number;
    const placedAt = now();
    for (const [index, worker] of assignment) {
      reserve({
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
        waitedMs: Math.round(placedAt - step.job.since),
      },
      "tasks placed",
    );
  };

  /** Moves work off workers that leave before it can end. */
  const evacuate = (): void => {
    for (const worker of state.workers.values()) {
      if (!worker.isDraining || worker.drainingSince === undefined) continue;
      const left = worker.drainingSince + worker.remainingMs - now();
      for (const run of worker.runs) {
        if (run.phase !== RunPhase.running) continue;
        if (!run.step.spec.isCheckpointing || run.step.spec.isGang) continue;
        const isTooLong = durations.remaining(run) > left + DRAIN_MARGIN_MS;
        if (isTooLong) stop(run, "its worker leaves");
      }
    }
  };

  return {
    // Jobs of a queue that was removed keep its last rules.
    setRules: (next) => {
      rules = { ...next, queues: new Map([...rules.queues, ...next.queues]) };
    },
    rulesOf: (queue) => rules.queues.get(queue),
    slownessOf: durations.slowness,
    load: () => {
      const listed = [...state.workers.values()].filter(({ isListed }) =>
        isListed
      );
      const share = (name: keyof Resources): number => {
        const total = listed.reduce((sum, w) => sum + w.capacity[name], 0);
        const used = listed.reduce((sum, w) => sum + w.used[name], 0);
        return total === 0 ? 0 : Math.round(1000 * used / total) / 1000;
      };
      const counts: Record<string, number> = {};
      for (const { step, rules: { name } } of waiting) {
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
      room.begin();
      evacuate();
      for (const run of findStuckRuns(state)) {
        const { worker, step } = run;
        quarantine.recordTaskEnd({
          worker: worker.id,
          class: step.job.spec.queue,
          request: step.key,
          hasFailed: true,
        }, now());
        step.avoided.add(worker.id);
        stop(run, "it makes no progress");
      }
      const failedShapes = new Set<string>();
      waiting = collectWaiting(state, {
        rules,
        durations,
        now: now(),
        wallTime: wallTime(),
      });
      for (const entry of waiting) {
        const shape = shapeOf(entry);
        if (shape !== undefined && failedShapes.has(shape)) continue;
        const before = entry.step.runs.size;
        place(entry);
        const isPlaced = entry.step.runs.size >= before + entry.tasks.length;
        if (shape !== undefined && !isPlaced) failedShapes.add(shape);
      }
    },
  };
}

/** Steps with the same shape find room, or none, alike; undefined when a step is special. */
function shapeOf({ step, rank }: WaitingStep): string | undefined {
  const { spec } = step;
  const isSpecial = spec.isGang || spec.dataRack !== undefined ||
    spec.maximumPerWorker !== undefined || step.avoided.size > 0 ||
    rank.group === Group.guaranteed;
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
