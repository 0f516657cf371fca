import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { Quarantine, RunTimes } from "@rattanhill/core";
import {
  type CellState,
  isOver,
  isStepDone,
  needsOf,
  reserve,
  type Resources,
  type Run,
  RunPhase,
  stepOf,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { type AdviceQuestion, nextQuestion, ticketFor } from "./advice.ts";
import { dueAt, type JobSpec } from "./job_types.ts";
import {
  compareRanks,
  Group,
  type QueueRules,
  rankStep,
  runnableSteps,
  type WaitingStep,
} from "./order_of_work.ts";
import { type Assignment, type PlacementView, placeStep } from "./placement.ts";
import { chooseVictims, wasteOf, workOf } from "./preemption.ts";
import { type Reservation, reserveSoonest } from "./reservation.ts";
import { findStuckRuns } from "./stuck_runs.ts";

/** Rules of the operators that planning needs. */
export interface Rules {
  queues: ReadonlyMap<string, QueueRules>;
  /** Accelerators that belong to an account's urgent jobs, by account. */
  guarantees: ReadonlyMap<string, number>;
  deployment: Deployment;
}

/** What planning has to know of the deployment. */
export interface Deployment {
  /** Factor by which a wrong rack slows a task. */
  remoteFactor: number;
  /** Time within which guaranteed work must have begun. */
  reclaimMs: Milliseconds;
  /** Longest time that a worker takes to stop a task. */
  stopMs: Milliseconds;
}

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
  runTimes: RunTimes;
  now(): Milliseconds;
  wallTime(): Milliseconds;
  stop(run: Run, reason: string): void;
  askAdvice(question: AdviceQuestion): void;
  log: Logger;
}

/** Left of the bound on guaranteed work for two writes to the store, a start, and a slow VM. */
const RECLAIM_MARGIN_MS: Milliseconds = 900;
/** Left of that bound when guaranteed work no longer insists on one rack. */
const LAST_RESORT_MS: Milliseconds = 500;
/** Share of the extra time on a wrong rack that is waited for the right one. */
const RACK_PATIENCE = 0.5; // queues move meanwhile
/** Score added for a worker that failed something lately. */
const FAILURE_PENALTY = 10; // above any score of room
/** A draining worker must stay this much longer than the task needs. */
const DRAIN_MARGIN_MS: Milliseconds = 300;

/** Wait after which urgent work stops others cheaply; most room comes free by itself before. */
const CHEAP_RECLAIM_MS: Milliseconds = 150;
/** Largest share of its own work that urgent work may throw away of others. */
const CHEAP_SHARE = 0.25; // a late urgent job loses about a fifth of its value
/** More of them would leave too many workers idle. */
const MAXIMUM_RESERVATIONS = 2;
/** A claim that was not used after the stops and this time is given up. */
const CLAIM_MARGIN_MS: Milliseconds = 1_000;

/** Workers whose room was reclaimed for a step. */
interface Claim {
  workers: Map<WorkerState, number>;
  madeAt: Milliseconds;
}

/**
 * Creates the planner of a cell.
 *
 * @param options the cell's state, what was learned, and clocks
 * @returns the planner
 */
export function createPlanner(options: PlannerOptions): Planner {
  const { state, quarantine, runTimes, now, wallTime, stop, log } = options;
  let rules: Rules = {
    queues: new Map(),
    guarantees: new Map(),
    deployment: { remoteFactor: 1, reclaimMs: Infinity, stopMs: 0 },
  };
  /** Capacity that is kept in this pass for work that waits for stops. */
  let pledged = new Map<WorkerState, Resources>();
  /** Room that is kept in this pass for large work that is not urgent. */
  let reservations: (Reservation & { step: StepState })[] = [];
  /** Capacity that was reclaimed for a step, until the step is placed. */
  const claims = new Map<StepState, Claim>();
  let waiting: WaitingStep[] = [];

  const expectedOf = (spec: JobSpec, estimateMs: Milliseconds) =>
    runTimes.expect({
      account: spec.account,
      class: spec.queue,
      expectedMs: estimateMs,
    });

  const slownessOf = ({ step, worker }: Run): number => {
    const { spec } = step;
    const isFar = spec.dataRack !== undefined && spec.dataRack !== worker.rack;
    const isSplit = spec.needsOneRack &&
      [...step.runs.values()].some((run) => run.worker.rack !== worker.rack);
    return isFar || isSplit ? rules.deployment.remoteFactor : 1;
  };

  /** Expected time until a run ends. */
  const remainingOf = (run: Run): Milliseconds => {
    const { step, percent, percentAt, firstPercent, placedAt } = run;
    if (run.stopReason !== undefined) return rules.deployment.stopMs;
    if (firstPercent !== undefined && percent > firstPercent.percent) {
      const rate = (percent - firstPercent.percent) /
        (percentAt - firstPercent.at);
      return Math.max(0, (100 - percent) / rate - (now() - percentAt));
    }
    const expected = expectedOf(step.job.spec, step.spec.estimateMs) *
      slownessOf(run);
    return Math.max(0, expected - (now() - placedAt));
  };

  const freeOn = (worker: WorkerState, countsStopping: boolean): Resources => {
    const { capacity, used } = worker;
    const kept = pledged.get(worker);
    const free = {
      milliCores: capacity.milliCores - used.milliCores -
        (kept?.milliCores ?? 0),
      memoryMegabytes: capacity.memoryMegabytes - used.memoryMegabytes -
        (kept?.memoryMegabytes ?? 0),
      accelerators: capacity.accelerators - used.accelerators -
        (kept?.accelerators ?? 0),
    };
    if (!countsStopping) return free;
    for (const run of worker.runs) {
      if (run.stopReason === undefined) continue;
      const needs = needsOf(run.step.spec);
      free.milliCores += needs.milliCores;
      free.memoryMegabytes += needs.memoryMegabytes;
      free.accelerators += needs.accelerators;
    }
    return free;
  };

  const keepClaim = (
    step: StepState,
    { workers }: Claim,
    sign: 1 | -1,
  ): void => {
    for (const [worker, slots] of workers) {
      keep(worker, needsOf(step.spec), sign * slots);
    }
  };

  const keepClaims = (): void => {
    const limit = rules.deployment.stopMs + CLAIM_MARGIN_MS;
    for (const [step, claim] of claims) {
      const isUsable = !isOver(step.job) && now() - claim.madeAt < limit &&
        [...claim.workers.keys()].every(isCandidate);
      if (isUsable) keepClaim(step, claim, 1);
      else claims.delete(step);
    }
  };

  /** Keeps capacity of a worker from what comes later in this pass. */
  const keep = (worker: WorkerState, needs: Resources, times: number): void => {
    const kept = pledged.get(worker) ??
      { milliCores: 0, memoryMegabytes: 0, accelerators: 0 };
    kept.milliCores += times * needs.milliCores;
    kept.memoryMegabytes += times * needs.memoryMegabytes;
    kept.accelerators += times * needs.accelerators;
    pledged.set(worker, kept);
  };

  const penaltyOf = (worker: WorkerState): number =>
    quarantine.isOpen(worker.id, now()) ? 0 : FAILURE_PENALTY;

  const serviceOf = (spec: JobSpec): string =>
    rules.queues.get(spec.queue)?.service ?? spec.service;

  const isCandidate = (worker: WorkerState): boolean =>
    worker.isListed && worker.hasAnswered && !worker.isDraining &&
    worker.closedUntil <= now();

  const collect = (): WaitingStep[] => {
    const found: WaitingStep[] = [];
    const guaranteed = guaranteedJobs();
    for (const job of state.jobs.values()) {
      if (isOver(job)) continue;
      const queue = rules.queues.get(job.spec.queue) ??
        fallbackRules(job.spec);
      const stepAt = (occurrence: number, index: number) =>
        stepOf(job, occurrence, index);
      for (const { step, tasks } of runnableSteps(job, stepAt, wallTime())) {
        if (step.notBefore > now()) continue;
        const expectedMs = expectedOf(job.spec, step.spec.estimateMs);
        const remainingMs = job.spec.steps
          .filter((_, index) => !isStepDone(stepAt(step.occurrence, index)))
          .reduce(
            (sum, spec) => sum + expectedOf(job.spec, spec.estimateMs),
            0,
          );
        const waitedMs = job.spec.repetition === undefined
          ? now() - job.since
          : wallTime() - dueAt(job.spec, step.occurrence);
        const entry = { step, tasks, rules: queue, expectedMs, waitedMs };
        const rank = rankStep(entry, remainingMs, guaranteed.has(job.spec.id));
        found.push({ ...entry, rank });
      }
    }
    return found.sort(compareRanks);
  };

  /** Urgent jobs that their accounts' guarantees cover, oldest first. */
  const guaranteedJobs = (): Set<string> => {
    const covered = new Set<string>();
    const left = new Map(rules.guarantees);
    for (const { spec, outcome, isCancelled } of state.jobs.values()) {
      if (outcome !== undefined || isCancelled) continue;
      if (rules.queues.get(spec.queue)?.priority !== 0) continue;
      const needed = Math.max(
        ...spec.steps.map((step) => step.taskCount * step.accelerators),
      );
      const room = left.get(spec.account) ?? 0;
      if (needed > room) continue;
      left.set(spec.account, room - needed);
      covered.add(spec.id);
    }
    return covered;
  };

  const place = (waiting: WaitingStep): void => {
    const { step, tasks, rules: queue } = waiting;
    const name = serviceOf(step.job.spec);
    const service = [...state.workers.values()].filter((worker) =>
      worker.isListed && worker.service === name
    );
    let candidates = withoutReserved(service.filter(isCandidate), waiting);
    if (queue.needsAdvice) {
      const question = nextQuestion(step, candidates, now());
      if (question !== undefined) options.askAdvice(question);
      candidates = candidates.filter((worker) =>
        ticketFor(step, worker, now()) !== undefined
      );
    }
    const { remoteFactor, reclaimMs, stopMs } = rules.deployment;
    const isGuaranteed = waiting.rank.group === Group.guaranteed;
    const patience = isGuaranteed
      ? reclaimMs - LAST_RESORT_MS
      : RACK_PATIENCE * (remoteFactor - 1) * waiting.expectedMs;
    const view = {
      candidates,
      service,
      penaltyOf,
      mayUseAnyRack: waiting.waitedMs > patience,
    };
    const claim = claims.get(step);
    if (claim !== undefined) keepClaim(step, claim, -1);
    const free = { freeOn: (worker: WorkerState) => freeOn(worker, false) };
    let assignment: Assignment = new Map();
    if (claim !== undefined) {
      const claimed = candidates.filter((worker) => claim.workers.has(worker));
      assignment = placeStep(step, tasks, {
        ...view,
        ...free,
        candidates: claimed,
        mayUseAnyRack: true,
      });
    }
    if (assignment.size < tasks.length) {
      assignment = placeStep(step, tasks, { ...view, ...free });
    }
    if (assignment.size > 0) startRuns(step, assignment);
    if (assignment.size === tasks.length) claims.delete(step);
    else if (claim !== undefined) keepClaim(step, claim, 1);
    const rest = tasks.filter((task) => !assignment.has(task));
    if (rest.length === 0) return;
    if (queue.priority !== 0) {
      if (!step.spec.isGang || reservations.length >= MAXIMUM_RESERVATIONS) {
        return;
      }
      const reservation = findRoom(step, rest.length, candidates);
      if (reservation !== undefined) {
        reservations.push({ step, ...reservation });
      }
      return;
    }
    const isDue = waiting.waitedMs > reclaimMs - stopMs - RECLAIM_MARGIN_MS;
    if (claims.has(step)) return;
    const isReclaimed = reclaim(step, rest, queue.priority, {
      ...view,
      freeOn: (worker) => freeOn(worker, true),
      maximumWaste: isGuaranteed && isDue
        ? Infinity
        : cheapWaste(waiting, rest.length),
    });
    if (isReclaimed) return;
    const room = findRoom(step, rest.length, candidates);
    for (const [worker, slots] of room?.slots ?? []) {
      keep(worker, needsOf(step.spec), slots);
    }
  };

  /** Work that may be thrown away for urgent tasks before their bound requires it. */
  const cheapWaste = (waiting: WaitingStep, count: number): number => {
    const { step, waitedMs, expectedMs, rank } = waiting;
    if (rank.group === Group.overdue || waitedMs < CHEAP_RECLAIM_MS) return 0;
    return CHEAP_SHARE * count * workOf(step.spec, expectedMs);
  };

  /** Finds the workers that will have room for the step first. */
  const findRoom = (
    step: StepState,
    count: number,
    candidates: readonly WorkerState[],
  ): Reservation | undefined =>
    reserveSoonest(step, count, {
      candidates,
      remainingOf,
      freeOn: (worker) => freeOn(worker, false),
    });

  /** Workers that a task may use beside what is reserved for steps before it. */
  const withoutReserved = (
    workers: readonly WorkerState[],
    waiting: WaitingStep,
  ): readonly WorkerState[] => {
    const blocking = reservations.filter(({ step, startsInMs }) =>
      step !== waiting.step && waiting.expectedMs > startsInMs
    );
    if (blocking.length === 0) return workers;
    return workers.filter((worker) =>
      !blocking.some(({ slots }) => slots.has(worker))
    );
  };

  /** Stops work of lower priority for guaranteed tasks and keeps the room for them. */
  const reclaim = (
    step: StepState,
    tasks: readonly number[],
    priority: number,
    view: PlacementView & { maximumWaste: number },
  ): boolean => {
    if (view.maximumWaste === 0) return false;
    let assignment = placeStep(step, tasks, view);
    if (assignment.size < tasks.length) {
      const victims = chooseVictims(step, tasks.length, {
        candidates: view.candidates,
        freeOn: view.freeOn,
        now: now(),
        isVictim: (run) => {
          const queue = rules.queues.get(run.step.job.spec.queue);
          return run.stopReason === undefined &&
            (queue?.priority ?? 0) > priority;
        },
      });
      const waste = wasteOf(victims, now());
      if (victims.length === 0 || waste > view.maximumWaste) return false;
      for (const run of victims) {
        stop(run, `capacity reclaimed for ${step.key}`);
      }
      assignment = placeStep(step, tasks, { ...view, mayUseAnyRack: true });
    }
    const workers = new Map<WorkerState, number>();
    for (const worker of assignment.values()) {
      workers.set(worker, (workers.get(worker) ?? 0) + 1);
    }
    if (workers.size === 0) return false;
    const claim = { workers, madeAt: now() };
    claims.set(step, claim);
    keepClaim(step, claim, 1);
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
        const expected = expectedOf(
          run.step.job.spec,
          run.step.spec.estimateMs,
        );
        const rest = expected * (1 - run.percent / 100);
        if (rest > left + DRAIN_MARGIN_MS) stop(run, "its worker leaves");
      }
    }
  };

  return {
    // Jobs of a queue that was removed keep its last rules.
    setRules: (next) => {
      rules = { ...next, queues: new Map([...rules.queues, ...next.queues]) };
    },
    rulesOf: (queue) => rules.queues.get(queue),
    slownessOf,
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
      pledged = new Map();
      reservations = [];
      keepClaims();
      evacuate();
      for (const run of findStuckRuns(state)) {
        const { worker, step } = run;
        quarantine.note({
          worker: worker.id,
          class: step.job.spec.queue,
          request: step.key,
          hasFailed: true,
        }, now());
        step.avoided.add(worker.id);
        stop(run, "it makes no progress");
      }
      const failedShapes = new Set<string>();
      waiting = collect();
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

/** Used for jobs whose queue was removed. */
function fallbackRules(spec: JobSpec): QueueRules {
  return {
    name: spec.queue,
    service: spec.service,
    priority: 1,
    maximumAttempts: 1,
    stretch: 1,
    targetMs: 0,
  };
}
