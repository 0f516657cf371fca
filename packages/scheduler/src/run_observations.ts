import type { Milliseconds } from "@rattanhill/shared";
import type { Run, WorkerState } from "./cell_state.ts";
import type { WorkerSpeeds } from "./worker_speeds.ts";

/** Turns the reports of runs into observations of worker speeds. */
export interface RunObservations {
  /** Records that a worker has confirmed the start of a run. */
  recordStart(run: Run): void;
  /** Observes the progress of a run that its worker has just reported. */
  recordProgress(run: Run): void;
  /** Observes the duration of a run that has just completed its work. */
  recordCompletion(run: Run): void;
}

/** Options of {@link createRunObservations}. */
export interface RunObservationsOptions {
  speeds: Pick<WorkerSpeeds, "recordRun">;
  now(): Milliseconds;
  /** @returns the factor by which a run is slowed by its placement */
  slowdownOf(run: Run): number;
}

/** Progress of a run at a time. */
interface Progress {
  percent: number;
  at: Milliseconds;
}

/** What is known about the timing of a run. */
interface RunTiming {
  /**
   * Time at which the run started without a checkpoint; undefined when it
   * resumed, or when its start was not seen by this lead.
   */
  freshSince?: Milliseconds;
  /** Progress from which the next interval is measured. */
  from?: Progress;
  /** Progress in the last report. */
  last?: Progress;
}

// Points of progress in an interval. Percents are whole numbers, so that an
// interval of 10 points is measured to about a tenth.
const INTERVAL_POINTS = 10;
// Shortest interval; below it, the delay of a report would distort the rate.
const MINIMUM_INTERVAL_MS: Milliseconds = 200;
// Standard deviations of the logarithm of a duration: of an interval, which the
// delay of reports distorts, and of a whole run.
const INTERVAL_DEVIATION = 0.35;
const RUN_DEVIATION = 0.25;
// Durations that differ from the declared estimate by more than this factor are
// leaps of the percent or of the clock. Estimates are off by less than 10, and
// some tasks take 7 times as long.
const MAXIMUM_RATIO = 70;
// Factor by which a rate between two reports may exceed that of the estimate.
const MAXIMUM_RATE = 20;

/** @returns the key by which the speed of a worker is learned: that of its VM */
export function speedKeyOf({ vm, id }: Pick<WorkerState, "vm" | "id">): string {
  return vm ?? id;
}

/**
 * Creates the source of observations. Its state is dropped with each run.
 *
 * @param options receiver of the observations, a clock and the slowdown of a run
 * @returns the source
 */
export function createRunObservations(
  { speeds, now, slowdownOf }: RunObservationsOptions,
): RunObservations {
  const timings = new WeakMap<Run, RunTiming>();
  const timingOf = (run: Run): RunTiming => {
    const timing = timings.get(run) ?? {};
    timings.set(run, timing);
    return timing;
  };

  const observe = (
    run: Run,
    durationMs: Milliseconds,
    deviation: number,
  ): void => {
    const { step, worker } = run;
    const expectedMs = step.spec.estimateMs * slowdownOf(run);
    const ratio = durationMs / Math.max(1, expectedMs);
    if (!(ratio > 1 / MAXIMUM_RATIO && ratio < MAXIMUM_RATIO)) return;
    speeds.recordRun({
      worker: speedKeyOf(worker),
      queue: step.job.spec.queue,
      step,
      run,
      logRatio: Math.log(ratio),
      deviation,
    });
  };

  /**
   * Returns the time at which a run that started without a checkpoint began to
   * work: that of its own start, or of the last start of its gang.
   */
  const workSinceOf = (run: Run): Milliseconds | undefined => {
    const members = run.step.spec.isGang ? [...run.step.runs.values()] : [run];
    const starts = members.map((member) => timingOf(member).freshSince);
    if (starts.includes(undefined)) return undefined;
    return Math.max(...starts as Milliseconds[]);
  };

  return {
    recordStart: (run) => {
      // The start of a run may be long past when its answer was uncertain, or
      // when a report has already shown progress.
      const isFresh = run.checkpoint === "" && run.percent === 0 &&
        run.uncertainSince === undefined;
      if (isFresh) timingOf(run).freshSince ??= now();
    },
    recordProgress: (run) => {
      const timing = timingOf(run);
      const { percent } = run;
      if (!isTimed(run) || !(percent > 0 && percent < 100)) {
        // The run has started its work again, or its reports are unreliable.
        if (!(percent >= (timing.last?.percent ?? 0))) {
          timing.freshSince = undefined;
        }
        timing.from = undefined;
        timing.last = undefined;
        return;
      }
      const progress = { percent, at: now() };
      const { last } = timing;
      timing.last = progress;
      if (last !== undefined && isImplausible(run, last, progress)) {
        timing.from = progress;
        timing.freshSince = undefined;
        return;
      }
      if (timing.from === undefined) {
        const since = last === undefined ? workSinceOf(run) : undefined;
        timing.from = since === undefined
          ? progress
          : { percent: 0, at: since };
      }
      const points = percent - timing.from.percent;
      const elapsedMs = progress.at - timing.from.at;
      if (points < INTERVAL_POINTS || elapsedMs < MINIMUM_INTERVAL_MS) return;
      timing.from = progress;
      observe(run, elapsedMs * 100 / points, INTERVAL_DEVIATION);
    },
    recordCompletion: (run) => {
      // All members of a gang end with its slowest one.
      if (run.step.spec.isGang || !isTimed(run)) return;
      const since = workSinceOf(run);
      if (since !== undefined) observe(run, now() - since, RUN_DEVIATION);
    },
  };
}

/**
 * Returns whether the progress of a run shows the speed of its worker. Runs
 * that are being stopped, long-running ones and fillers do not, nor does a gang
 * that is not complete.
 */
function isTimed({ step, number, stopReason }: Run): boolean {
  const { isLongRunning, isFiller, isGang, taskCount } = step.spec;
  if (isLongRunning || isFiller || stopReason !== undefined) return false;
  if (!isGang) return true;
  return step.runs.size === taskCount &&
    [...step.runs.values()].every((member) => member.number === number);
}

/**
 * Returns whether a percent falls, the clock goes backwards, or the percent
 * rises much faster than the estimate allows.
 */
function isImplausible({ step }: Run, last: Progress, next: Progress): boolean {
  const points = next.percent - last.percent;
  const elapsedMs = next.at - last.at;
  if (points < 0 || elapsedMs < 0) return true;
  return points >= INTERVAL_POINTS &&
    points * step.spec.estimateMs / 100 > MAXIMUM_RATE * elapsedMs;
}
