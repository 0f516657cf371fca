import type { Logger, Milliseconds } from "@rattanhill/shared";
import type { Quarantine, RunTimeEstimator } from "@rattanhill/core";
import { describeRun, type Run, type StepState } from "./cell_state.ts";
import type { RunEnd } from "./job_types.ts";
import { lostWorkOf } from "./preemption.ts";
import type { RunObservations } from "./run_observations.ts";
import { type DiscardReason, discardReasonOf } from "./stop_reasons.ts";

/** Options of {@link createRunStatistics}. */
export interface RunStatisticsOptions {
  quarantine: Quarantine;
  runTimes: RunTimeEstimator;
  observations: Pick<RunObservations, "recordCompletion">;
  now(): Milliseconds;
  /** @returns the factor by which a run is slowed by its placement */
  slowdownOf(run: Run): number;
  /** @returns the factor by which a run is slowed by its workers */
  workerFactorOf(run: Run): number;
  /**
   * Called when a run ends without success, with its discarded work in core
   * milliseconds.
   */
  onDiscardedWork(reason: DiscardReason, coreMs: number): void;
  log: Logger;
}

/**
 * Creates the function that logs the end of a run, records its duration for
 * later estimates and updates the quarantine.
 *
 * @param options receivers of the records, a clock and factors of a run
 * @returns the function, to be called before the run is released
 */
export function createRunStatistics(
  options: RunStatisticsOptions,
): (run: Run, end: RunEnd) => void {
  const { quarantine, runTimes, observations, now, log } = options;
  // Factors of gangs by their runs' number, as of the first end of a member:
  // later, the slowest member may be released.
  const gangFactors = new WeakMap<
    Run["step"],
    { number: number; factor: number }
  >();
  const factorOf = (run: Run): number => {
    if (!run.step.spec.isGang) return options.workerFactorOf(run);
    const known = gangFactors.get(run.step);
    if (known?.number === run.number) return known.factor;
    const factor = options.workerFactorOf(run);
    gangFactors.set(run.step, { number: run.number, factor });
    return factor;
  };

  return (run, end) => {
    const { step, worker, percent, stopReason } = run;
    const { spec } = step.job;
    const ranMs = Math.round(now() - run.placedAt);
    const discardedCoreMs = end === "done"
      ? 0
      : Math.round(lostWorkOf([run], now()));
    log.info(
      { ...describeRun(run), end, ranMs, percent, stopReason, discardedCoreMs },
      "run ended",
    );
    if (end !== "done") {
      const reason = discardReasonOf(stopReason, end);
      options.onDiscardedWork(reason, discardedCoreMs);
    }
    const declared = {
      account: spec.account,
      class: spec.queue,
      expectedMs: step.spec.estimateMs,
    };
    if (end === "done") {
      // The duration of a run that was slowed by its placement would distort
      // the learned run times.
      if (options.slowdownOf(run) === 1) {
        runTimes.recordRun(declared, ranMs / factorOf(run));
      }
      observations.recordCompletion(run);
    }
    if (end !== "done" && end !== "failed") return;
    if (end === "failed" && failsByItself(step, worker.id)) return;
    const task = {
      worker: worker.id,
      class: spec.queue,
      request: spec.id,
      hasFailed: end === "failed",
    };
    if (quarantine.recordTaskEnd(task, now())) {
      const isOpen = quarantine.isEligible(worker.id, now());
      log.warn({ worker: worker.id, isOpen }, "worker quarantine changed");
    }
  };
}

// Number of other workers on which a step has just failed from which its
// failures are its own fault.
const WORKERS_OF_FAULTY_STEP = 2;

/** Returns whether a step failed on several workers other than this one. */
function failsByItself({ avoidedWorkers }: StepState, worker: string): boolean {
  const others = avoidedWorkers.size - (avoidedWorkers.has(worker) ? 1 : 0);
  return others >= WORKERS_OF_FAULTY_STEP;
}
