import {
  createLineLimit,
  type Logger,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  isOver,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import {
  BUSY_UTILIZATION,
  freeSlotsOf,
  hasFreeSlots,
  hasRuns,
  MINIMUM_ROOM_FACTOR,
  startSizeOf,
  utilizationOf,
} from "./free_room.ts";
import { capacityKeyOf } from "./placement_shape.ts";
import type { WaitingStep } from "./step_ranking.ts";
import { findRunCauses, WaitCause, type WaitCauses } from "./wait_causes.ts";

/**
 * Finds jobs that wait beside free capacity, and what keeps them from running.
 * It looks at some of the planning passes only, and changes nothing.
 */
export interface RoomWaits {
  /** Starts a pass, before anything is placed in it. */
  beginPass(): void;
  /**
   * Records that tasks of a step could not be placed.
   *
   * @param waiting the step
   * @param findCauses finds out why; called only if the causes are needed
   */
  recordUnplaced(waiting: WaitingStep, findCauses: () => WaitCauses): void;
  /**
   * Records that a step was not tried, since `failed`, which has the same shape,
   * could not be placed earlier in the pass.
   */
  recordSkipped(waiting: WaitingStep, failed: StepState): void;
  /** Records that a step was not tried, since the pass reached its limits. */
  recordNotReached(waiting: WaitingStep): void;
  /**
   * Ends a pass, after all placements.
   *
   * @param waitingSteps the steps that waited when the pass began
   * @param cause set if nothing was placed in this pass, and why
   */
  endPass(waitingSteps: readonly WaitingStep[], cause?: WaitCause): void;
}

/**
 * A wait beside free capacity that has reached a bound, or ended after it had.
 */
export type RoomWaitEvent =
  | {
    kind: "reached";
    /** One of {@link ROOM_WAIT_BOUNDS_MS}. */
    boundMs: Milliseconds;
    causes: readonly WaitCause[];
  }
  | { kind: "ended"; waitedMs: Milliseconds };

/** Options of {@link createRoomWaits}. */
export interface RoomWaitsOptions {
  state: Pick<CellState, "jobs" | "workers">;
  now(): Milliseconds;
  /** @returns whether a worker may get new runs now */
  isUsable(worker: WorkerState): boolean;
  /** @returns the service whose workers run the steps of a job */
  serviceOf(job: ActiveJob): string;
  onEvent(event: RoomWaitEvent): void;
  log: Logger;
}

/** Waits that have lasted for longer than one of these are counted. */
export const ROOM_WAIT_BOUNDS_MS: readonly Milliseconds[] = [1_000, 3_000];

// Passes follow each other within milliseconds under load, and a look examines
// all jobs without a run.
const LOOK_INTERVAL_MS: Milliseconds = 100;
// A wait is logged once it has lasted for longer than this.
const LOGGED_WAIT_MS: Milliseconds = 1_000;
const MAXIMUM_LINES = 20;
const LINE_PERIOD_MS: Milliseconds = 10_000;
// Causes are found for at most this many steps in a look, since each search
// passes over the workers of the service several times. A step is searched again
// after the first interval, and after twice the last one from then on, so that
// no step keeps the others from being searched.
const MAXIMUM_SEARCHES = 8;
const FIRST_SEARCH_INTERVAL_MS: Milliseconds = 1_000;
const LAST_SEARCH_INTERVAL_MS: Milliseconds = 8_000;
// Number of steps that a log line names.
const MAXIMUM_LOGGED_STEPS = 8;

const UNKNOWN_CAUSES: WaitCauses = {
  causes: [WaitCause.unknown],
  withheldFor: [],
};

/** A job, or a long-running step, that waits beside free capacity. */
interface Wait {
  job: ActiveJob;
  step: StepState;
  /** Monotonic time at which a look first found it. */
  since: Milliseconds;
  /** Sets of causes that were logged, joined to texts. */
  loggedCauses: Set<string>;
  /** Number of bounds that it has reached. */
  reachedBounds: number;
}

/** What a look has found about a wait. */
interface Finding {
  job: ActiveJob;
  step: StepState;
  /** Number of tasks that wait. */
  tasks: number;
  workers: readonly WorkerState[];
  /** Undefined until they have been searched for. */
  causes?: WaitCauses;
}

/** The search for the causes of an unplaced step. */
interface Search {
  dueAt: Milliseconds;
  /** Time from the next search to the one after it. */
  intervalMs: Milliseconds;
  causes?: WaitCauses;
}

/** The usable workers of a service and how much of them is in use. */
interface ServiceRoom {
  workers: WorkerState[];
  utilization: number;
}

/**
 * Creates the search for waits beside free capacity.
 *
 * @param options the cell, a clock, and where results go
 * @returns the search, which has found nothing
 */
export function createRoomWaits(options: RoomWaitsOptions): RoomWaits {
  const { state, now, isUsable, serviceOf, onEvent, log } = options;
  const limit = { now, maximumLines: MAXIMUM_LINES, periodMs: LINE_PERIOD_MS };
  const waitLines = createLineLimit(limit);
  const endLines = createLineLimit(limit);
  /** Waits by job, or by step if it is long-running. */
  const waits = new Map<ActiveJob | StepState, Wait>();
  let lastLookAt = -Infinity;
  let isLooking = false;
  let services = new Map<string, ServiceRoom>();
  const searches = new WeakMap<StepState, Search>();
  /** Number of steps of which the causes were found in this look. */
  let searchCount = 0;

  const measureServices = (): void => {
    services = new Map();
    for (const worker of state.workers.values()) {
      if (!isUsable(worker)) continue;
      const service = services.get(worker.service);
      if (service !== undefined) service.workers.push(worker);
      else {
        services.set(worker.service, { workers: [worker], utilization: 0 });
      }
    }
    for (const service of services.values()) {
      service.utilization = utilizationOf(service.workers);
    }
  };
  /** Returns the workers of the job's service, unless it is busy. */
  const findRoom = (job: ActiveJob): ServiceRoom | undefined => {
    const service = services.get(serviceOf(job));
    return service !== undefined && service.utilization < BUSY_UTILIZATION
      ? service
      : undefined;
  };
  const searchOf = (step: StepState): Search => {
    let search = searches.get(step);
    if (search === undefined) {
      // A step that is placed within the logged wait needs no search.
      search = {
        dueAt: now() + LOGGED_WAIT_MS,
        intervalMs: FIRST_SEARCH_INTERVAL_MS,
      };
      searches.set(step, search);
    }
    return search;
  };
  const mayWait = ({ step, waitedMs }: WaitingStep): boolean =>
    waitedMs > 0 && (step.spec.isLongRunning || !hasRuns(step.job));

  /** Finds the waits of the steps that have tasks without a run. */
  const findUnplaced = (
    waitingSteps: readonly WaitingStep[],
    passCause: WaitCause | undefined,
  ): Map<ActiveJob | StepState, Finding> => {
    const found = new Map<ActiveJob | StepState, Finding>();
    const isAmpleByShape = new Map<string, boolean>();
    for (const waiting of waitingSteps) {
      const { step, step: { job, spec } } = waiting;
      const key = spec.isLongRunning ? step : job;
      if (found.has(key) || isOver(job) || !mayWait(waiting)) continue;
      const service = findRoom(job);
      if (service === undefined) continue;
      const tasks = waiting.tasks.filter((task) => !step.runs.has(task)).length;
      if (tasks === 0) continue;
      const shape = step.runs.size === 0
        ? `${capacityKeyOf(step)}/${spec.maximumPerWorker}/${tasks}`
        : step.key;
      const { workers } = service;
      const isAmple = isAmpleByShape.get(shape) ??
        hasFreeSlots(
          step,
          workers,
          MINIMUM_ROOM_FACTOR * startSizeOf(step, tasks),
        );
      isAmpleByShape.set(shape, isAmple);
      if (!isAmple) continue;
      const causes = passCause === undefined
        ? searches.get(step)?.causes
        : { causes: [passCause], withheldFor: [] };
      found.set(key, { job, step, tasks, workers, causes });
    }
    return found;
  };

  /** Adds the waits of jobs whose runs are not at work. */
  const addIdleRuns = (found: Map<ActiveJob | StepState, Finding>): void => {
    for (const job of state.jobs.values()) {
      if (found.has(job) || isOver(job)) continue;
      const causes = findRunCauses(job);
      if (causes.length === 0) continue;
      const service = findRoom(job);
      if (service === undefined) continue;
      const step = [...job.steps.values()].find(({ runs }) => runs.size > 0)!;
      const { workers } = service;
      const tasks = step.runs.size;
      const size = MINIMUM_ROOM_FACTOR * startSizeOf(step, tasks);
      if (!hasFreeSlots(step, workers, size)) continue;
      found.set(job, {
        job,
        step,
        tasks,
        workers,
        causes: { causes, withheldFor: [] },
      });
    }
  };

  const logWait = (
    wait: Wait,
    { job, step, tasks, workers }: Finding,
    { causes, ...rest }: WaitCauses,
  ): void => {
    const key = causes.join();
    if (wait.loggedCauses.has(key)) return;
    wait.loggedCauses.add(key);
    const omitted = waitLines.take();
    if (omitted === undefined) return;
    const withheldFor = rest.withheldFor.map((owner) => owner.key);
    const slots = freeSlotsOf(step, workers);
    log.warn(
      {
        job: job.spec.id,
        queue: job.spec.queue,
        step: step.key,
        waitedMs: Math.round(now() - wait.since),
        sinceSubmissionMs: Math.round(now() - job.waitingSince),
        tasks,
        isGang: step.spec.isGang === true,
        roomFactor: Number((slots / startSizeOf(step, tasks)).toFixed(2)),
        utilization: Number(utilizationOf(workers).toFixed(3)),
        workers: workers.length,
        causes,
        withheldFor: withheldFor.slice(0, MAXIMUM_LOGGED_STEPS),
        withheldForCount: withheldFor.length,
        slots: rest.slots,
        omitted,
      },
      "job waits beside free capacity",
    );
  };

  /** Counts the bounds that a wait has reached. */
  const countBounds = (wait: Wait, { causes }: WaitCauses): void => {
    while (now() - wait.since > ROOM_WAIT_BOUNDS_MS[wait.reachedBounds]) {
      const boundMs = ROOM_WAIT_BOUNDS_MS[wait.reachedBounds];
      wait.reachedBounds += 1;
      onEvent({ kind: "reached", boundMs, causes });
    }
  };

  const update = (key: ActiveJob | StepState, finding: Finding): void => {
    const { job, step, causes } = finding;
    let wait = waits.get(key);
    if (wait === undefined) {
      wait = {
        job,
        step,
        since: now(),
        loggedCauses: new Set(),
        reachedBounds: 0,
      };
      waits.set(key, wait);
    }
    // A later look finds causes that this one had no time to search for.
    if (causes === undefined) return;
    countBounds(wait, causes);
    if (now() - wait.since > LOGGED_WAIT_MS) logWait(wait, finding, causes);
  };

  const end = (key: ActiveJob | StepState, wait: Wait): void => {
    waits.delete(key);
    searches.delete(wait.step);
    countBounds(wait, UNKNOWN_CAUSES);
    // Most starts are stored and confirmed within a few looks.
    if (wait.reachedBounds === 0) return;
    const waitedMs = now() - wait.since;
    onEvent({ kind: "ended", waitedMs });
    const omitted = endLines.take();
    if (omitted === undefined) return;
    const { job, step } = wait;
    const hasEnded = isOver(job) || !state.jobs.has(job.spec.id);
    const outcome = hasEnded
      ? "jobEnded"
      : hasRuns(job)
      ? "running"
      : "roomTaken";
    log.info(
      {
        job: job.spec.id,
        step: step.key,
        waitedMs: Math.round(waitedMs),
        outcome,
        causes: [...wait.loggedCauses],
        omitted,
      },
      "wait beside free capacity ended",
    );
  };

  return {
    beginPass: () => {
      isLooking = now() - lastLookAt >= LOOK_INTERVAL_MS;
      if (!isLooking) return;
      lastLookAt = now();
      searchCount = 0;
      measureServices();
    },
    recordUnplaced: (waiting, findCauses) => {
      if (!isLooking) return;
      const { step } = waiting;
      // A service that was busy when the pass began is busy at its end. A step
      // of a job that runs may have the shape of others that wait.
      if (findRoom(step.job) === undefined) return;
      const search = searchOf(step);
      if (now() < search.dueAt || searchCount >= MAXIMUM_SEARCHES) return;
      searchCount += 1;
      search.dueAt = now() + search.intervalMs;
      search.intervalMs = Math.min(
        2 * search.intervalMs,
        LAST_SEARCH_INTERVAL_MS,
      );
      search.causes = findCauses();
    },
    recordSkipped: ({ step }, failed) => {
      if (!isLooking) return;
      const found = searches.get(failed)?.causes;
      if (found === undefined) return;
      const causes = new Set(found.causes).add(WaitCause.shapeFailed);
      searchOf(step).causes = { ...found, causes: [...causes] };
    },
    recordNotReached: ({ step }) => {
      if (!isLooking) return;
      searchOf(step).causes = {
        causes: [WaitCause.notReached],
        withheldFor: [],
      };
    },
    endPass: (waitingSteps, cause) => {
      if (!isLooking) return;
      isLooking = false;
      if (waitingSteps.length > 0) measureServices();
      const found = findUnplaced(waitingSteps, cause);
      addIdleRuns(found);
      for (const [key, finding] of found) update(key, finding);
      for (const [key, wait] of waits) {
        if (!found.has(key)) end(key, wait);
      }
    },
  };
}
