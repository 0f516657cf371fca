import type { Isolate, Milliseconds } from "@rattanhill/shared";
import type { ActiveJob, Run, StepState } from "./cell_state.ts";
import type { DurationEstimator } from "./durations.ts";
import type { JobProspects } from "./job_prospects.ts";
import {
  CHECKPOINT_RESTART_MS,
  lostWorkOf,
  stoppedWith,
  workOf,
} from "./preemption.ts";
import {
  costOfVictim,
  type StopPolicy,
  type VictimJob,
} from "./stop_benefit.ts";

/** Prices the stop of runs for one urgent step. */
export interface VictimCosts {
  /**
   * @returns the cost of stopping runs, with the other members of their gangs,
   * beside runs that are already chosen
   */
  costOf(runs: readonly Run[], chosen: ReadonlySet<Run>): number;
  /** @returns the jobs of the runs, with what each of them loses */
  victimJobsOf(runs: readonly Run[]): VictimJob[];
}

/** What the stop of one run, or of one gang, costs its job. */
type Loss = Pick<VictimJob, "delayMs" | "lostWork">;

/** Options of {@link createVictimCosts}. */
export interface VictimCostsOptions {
  prospects: JobProspects;
  durations: DurationEstimator;
  policy: StopPolicy;
  now: Milliseconds;
  /** Longest time that a worker takes to stop a run. */
  stopMs: Milliseconds;
  /** Time until the urgent step ends and frees the capacity again. */
  freeInMs: Milliseconds;
  /** Value of one core millisecond of the urgent job's work. */
  valuePerWork: number;
  /** @returns the number of earlier decisions that stopped runs of the job */
  stopCountOf(job: ActiveJob): number;
  /** Keeps the failure of one job from the others. */
  isolate: Isolate;
}

/**
 * Creates the prices of victims for one urgent step.
 *
 * @param options estimates, prices and earlier stops
 * @returns the prices
 */
export function createVictimCosts(options: VictimCostsOptions): VictimCosts {
  const { prospects, durations, policy, now, valuePerWork } = options;

  /** Returns the time by which a stop postpones the end of a task. */
  const delayOf = (run: Run): Milliseconds => {
    const { spec, job } = run.step;
    const remainingMs = durations.remainingTime(run);
    const neededMs = spec.isCheckpointing
      ? remainingMs + CHECKPOINT_RESTART_MS
      : durations.expectedDuration(job.spec, spec.estimateMs);
    return Math.max(0, options.freeInMs + neededMs - remainingMs);
  };
  /** Returns the work that is lost, including that done while stopping. */
  const lostWorkOfStop = (run: Run): number =>
    lostWorkOf([run], now) +
    (run.step.spec.isCheckpointing ? 0 : workOf(run.step.spec, options.stopMs));
  let lastJobs = {
    runs: new Set<Run>() as ReadonlySet<Run>,
    size: 0,
    jobs: new Set<ActiveJob>(),
  };
  /** Returns the jobs of runs; of a set that only grows, computed once a size. */
  const jobsOf = (runs: ReadonlySet<Run>): ReadonlySet<ActiveJob> => {
    if (lastJobs.runs !== runs || lastJobs.size !== runs.size) {
      const jobs = new Set([...runs].map((run) => run.step.job));
      lastJobs = { runs, size: runs.size, jobs };
    }
    return lastJobs.jobs;
  };
  const lossesByUnit = new Map<Run | StepState, Loss>();
  /** Returns the loss of a run, or of a gang as a whole. */
  const lossOf = (unit: Run | StepState, run: Run): Loss => {
    const known = lossesByUnit.get(unit);
    if (known !== undefined) return known;
    const loss = { delayMs: 0, lostWork: 0 };
    for (const stopped of stoppedWith(run)) {
      const delayMs = options.isolate(
        { operation: "run.delay", item: run.step.key },
        () => delayOf(stopped),
      );
      loss.delayMs = Math.max(loss.delayMs, delayMs ?? 0);
      loss.lostWork += lostWorkOfStop(stopped);
    }
    lossesByUnit.set(unit, loss);
    return loss;
  };
  const victimJobsOf = (runs: Iterable<Run>): Map<ActiveJob, VictimJob> => {
    const jobs = new Map<ActiveJob, VictimJob>();
    const units = new Map<Run | StepState, Run>();
    for (const run of runs) {
      units.set(run.step.spec.isGang ? run.step : run, run);
    }
    for (const [unit, run] of units) {
      const { job } = run.step;
      const { delayMs, lostWork } = lossOf(unit, run);
      const victim = jobs.get(job) ?? {
        prospects: prospects.prospectsOf(run.step),
        delayMs: 0,
        lostWork: 0,
        stopCount: options.stopCountOf(job),
      };
      jobs.set(job, victim);
      victim.delayMs = Math.max(victim.delayMs, delayMs);
      victim.lostWork += lostWork;
    }
    return jobs;
  };

  return {
    costOf: (runs, chosen) => {
      const chosenJobs = jobsOf(chosen);
      let cost = 0;
      for (const [job, victim] of victimJobsOf(runs)) {
        // A job that is delayed anyway loses its value only once.
        const delayMs = chosenJobs.has(job) ? 0 : victim.delayMs;
        cost += costOfVictim({ ...victim, delayMs }, valuePerWork, policy);
      }
      return cost;
    },
    victimJobsOf: (runs) => [...victimJobsOf(runs).values()],
  };
}
