import type { Isolate, Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  isOver,
  type StepState,
} from "./cell_state.ts";
import type { DurationEstimator } from "./durations.ts";
import { findStep, isStepDoneAt } from "./job_steps.ts";
import { dueAt, type JobSpec } from "./job_types.ts";
import type { PlanningPolicy } from "./planning_policy.ts";
import { workOf } from "./preemption.ts";
import { type Rules, rulesOf } from "./rules.ts";
import type { Prospects } from "./stop_benefit.ts";
import { USEFUL_OBJECTIVE_FACTOR } from "./step_ranking.ts";

/** Estimates what jobs can still earn. */
export interface JobProspects {
  /** Drops the estimates of the last planning pass. */
  beginPass(): void;
  /** @returns the prospects of the job and occurrence of a step */
  prospectsOf(step: StepState): Prospects;
  /** @returns the relative value of one core millisecond of the job's work */
  valuePerWorkOf(spec: JobSpec): number;
}

/** Options of {@link createJobProspects}. */
export interface JobProspectsOptions {
  state: CellState;
  durations: DurationEstimator;
  policy: Pick<PlanningPolicy, "urgentValue" | "middleValue" | "lowValue">;
  rules(): Rules;
  now(): Milliseconds;
  wallTime(): Milliseconds;
  /** Keeps the failure of one job from the others. */
  isolate: Isolate;
}

/** Prospects of a job that has ended or cannot be estimated. */
const NO_PROSPECTS: Prospects = { value: 0, slackMs: 0, lateSlackMs: 0 };

/**
 * Creates the estimator of what jobs can still earn. A job of mean work is worth
 * the value of its queue's priority, and others in proportion to their work. The
 * mean is that of the queue's jobs in the cell, so it needs no history.
 *
 * @param options the cell, estimates, rules and clocks
 * @returns the estimator
 */
export function createJobProspects(
  options: JobProspectsOptions,
): JobProspects {
  const { state, durations, policy, rules, now, wallTime, isolate } = options;
  let meanWorkByQueue: Map<string, number> | undefined;
  let prospectsByOccurrence = new Map<string, Prospects>();

  const expectedOf = (spec: JobSpec, estimateMs: Milliseconds): Milliseconds =>
    durations.expectedDuration(spec, estimateMs);
  const jobWorkOf = (spec: JobSpec): number =>
    spec.steps.reduce(
      (sum, step) =>
        sum + step.taskCount * workOf(step, expectedOf(spec, step.estimateMs)),
      0,
    );
  const computeMeanWork = (): Map<string, number> => {
    const sums = new Map<string, { work: number; jobs: number }>();
    for (const job of state.jobs.values()) {
      if (isOver(job)) continue;
      const { queue, id } = job.spec;
      const work = isolate(
        { operation: "job.measure", item: id },
        () => jobWorkOf(job.spec),
      );
      if (work === undefined) continue;
      const sum = sums.get(queue) ?? { work: 0, jobs: 0 };
      sums.set(queue, sum);
      sum.work += work;
      sum.jobs += 1;
    }
    return new Map(
      [...sums].map(([queue, { work, jobs }]) => [queue, work / jobs]),
    );
  };
  const valueOfMeanJob = (priority: number): number => {
    if (priority === 0) return policy.urgentValue;
    return priority === 1 ? policy.middleValue : policy.lowValue;
  };
  const valuePerWorkOf = (spec: JobSpec): number => {
    meanWorkByQueue ??= computeMeanWork();
    const meanWork = meanWorkByQueue.get(spec.queue) ?? jobWorkOf(spec);
    if (meanWork <= 0) return 0;
    return valueOfMeanJob(rulesOf(rules(), spec).priority) / meanWork;
  };
  /** Returns the remaining time of a step that is not done. */
  const remainingOfStep = (step: StepState): Milliseconds => {
    const { spec, runs, done } = step;
    let remainingMs = runs.size + done.size < spec.taskCount
      ? expectedOf(step.job.spec, spec.estimateMs)
      : 0;
    for (const run of runs.values()) {
      remainingMs = Math.max(remainingMs, durations.remainingTime(run));
    }
    return remainingMs;
  };
  const computeProspects = (job: ActiveJob, occurrence: number): Prospects => {
    const { spec } = job;
    if (isOver(job)) return NO_PROSPECTS;
    const { stretch, targetMs } = rulesOf(rules(), spec);
    let totalMs = 0;
    let remainingMs = 0;
    spec.steps.forEach(({ estimateMs }, index) => {
      const expectedMs = expectedOf(spec, estimateMs);
      totalMs += expectedMs;
      if (isStepDoneAt(job, occurrence, index)) return;
      const step = findStep(job, occurrence, index);
      remainingMs += step === undefined ? expectedMs : remainingOfStep(step);
    });
    const waitedMs = spec.repetition === undefined
      ? now() - job.waitingSince
      : wallTime() - dueAt(spec, occurrence);
    const objectiveMs = stretch * totalMs + targetMs;
    const spentMs = waitedMs + remainingMs;
    return {
      value: jobWorkOf(spec) * valuePerWorkOf(spec),
      slackMs: objectiveMs - spentMs,
      lateSlackMs: USEFUL_OBJECTIVE_FACTOR * objectiveMs - spentMs,
    };
  };

  return {
    beginPass: () => {
      meanWorkByQueue = undefined;
      prospectsByOccurrence = new Map();
    },
    prospectsOf: ({ job, occurrence }) => {
      const key = `${job.spec.id}.${occurrence}`;
      const known = prospectsByOccurrence.get(key);
      if (known !== undefined) return known;
      const prospects = isolate(
        { operation: "job.prospects", item: job.spec.id },
        () => computeProspects(job, occurrence),
      ) ?? NO_PROSPECTS;
      prospectsByOccurrence.set(key, prospects);
      return prospects;
    },
    valuePerWorkOf,
  };
}
