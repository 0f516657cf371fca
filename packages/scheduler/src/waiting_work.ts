import type { Isolate, Milliseconds } from "@rattanhill/shared";
import {
  type ActiveJob,
  type CellState,
  getOrCreateStep,
  isOver,
  type StepState,
} from "./cell_state.ts";
import type { DurationEstimator } from "./durations.ts";
import { isStepDoneAt } from "./job_steps.ts";
import { dueAt, type JobSpec } from "./job_types.ts";
import { openDueOccurrences } from "./occurrence_window.ts";
import {
  compareRanks,
  findRunnableSteps,
  type JobDuration,
  rankStep,
  type WaitingStep,
} from "./step_ranking.ts";
import { type Rules, rulesOf } from "./rules.ts";

/**
 * Collects the runnable steps that have tasks without a run. A job that cannot
 * be ranked is left out.
 *
 * @param state the cell
 * @param view rules, duration estimates, held tasks, clocks and the isolation of
 * jobs
 * @returns the steps in planning order
 */
export function collectWaitingSteps(
  state: CellState,
  view: {
    rules: Rules;
    durations: DurationEstimator;
    /** @returns whether a task must not be started now */
    isHeld(step: StepState, index: number): boolean;
    now: Milliseconds;
    wallTime: Milliseconds;
    isolate: Isolate;
  },
): WaitingStep[] {
  const { rules, durations, isHeld, now, wallTime, isolate } = view;
  const guaranteedJobs = findGuaranteedJobs(state, rules, isolate);
  /** Returns the tasks to place; a gang is placed as a whole. */
  const withoutHeld = (step: StepState, tasks: number[]): number[] => {
    const free = tasks.filter((task) => !isHeld(step, task));
    return step.spec.isGang && free.length < tasks.length ? [] : free;
  };
  const collectSteps = (job: ActiveJob): WaitingStep[] => {
    const { spec } = job;
    const stepAt = (occurrence: number, index: number) =>
      getOrCreateStep(job, occurrence, index);
    const measureJob = (occurrence: number): JobDuration => {
      const duration = { totalMs: 0, remainingMs: 0 };
      spec.steps.forEach(({ estimateMs }, index) => {
        const expectedMs = durations.expectedDuration(spec, estimateMs);
        duration.totalMs += expectedMs;
        if (!isStepDoneAt(job, occurrence, index)) {
          duration.remainingMs += expectedMs;
        }
      });
      return duration;
    };
    /** Measured once for all steps of an occurrence. */
    const jobDurations = new Map<number, JobDuration>();
    const runnable = findRunnableSteps(job, stepAt, wallTime)
      .map(({ step, tasks }) => ({ step, tasks: withoutHeld(step, tasks) }))
      .filter(({ tasks }) => tasks.length > 0);
    return runnable.map(({ step, tasks }) => {
      const { occurrence } = step;
      const jobDuration = jobDurations.get(occurrence) ??
        measureJob(occurrence);
      jobDurations.set(occurrence, jobDuration);
      const waiting = {
        step,
        tasks,
        rules: rulesOf(rules, spec),
        expectedMs: durations.expectedDuration(spec, step.spec.estimateMs),
        waitedMs: spec.repetition === undefined
          ? now - job.waitingSince
          : wallTime - dueAt(spec, occurrence),
      };
      const rank = rankStep(waiting, jobDuration, guaranteedJobs.has(spec.id));
      return { ...waiting, rank };
    });
  };
  const jobs = [...state.jobs.values()].filter((job) => !isOver(job));
  isolate(
    { operation: "occurrences.open", item: "planning pass" },
    () => openDueOccurrences(jobs, wallTime),
  );
  return jobs
    .flatMap((job) =>
      isolate(
        { operation: "job.rank", item: job.spec.id },
        () => collectSteps(job),
      ) ?? []
    )
    .sort(compareRanks);
}

/**
 * Finds the ids of the urgent jobs that the guarantees of their accounts cover.
 * Jobs that were added earlier are covered first.
 */
function findGuaranteedJobs(
  state: CellState,
  rules: Rules,
  isolate: Isolate,
): Set<string> {
  const coveredJobs = new Set<string>();
  const remainingGuarantees = new Map(rules.guarantees);
  for (const job of state.jobs.values()) {
    const { spec } = job;
    if (isOver(job) || rulesOf(rules, spec).priority !== 0) continue;
    const needed = isolate(
      { operation: "job.measure", item: spec.id },
      () => peakAcceleratorsOf(spec),
    );
    if (needed === undefined) continue;
    const available = remainingGuarantees.get(spec.account) ?? 0;
    if (needed > available) continue;
    remainingGuarantees.set(spec.account, available - needed);
    coveredJobs.add(spec.id);
  }
  return coveredJobs;
}

/** @returns the largest number of accelerators that a step of the job needs */
function peakAcceleratorsOf({ steps }: JobSpec): number {
  return Math.max(
    ...steps.map(({ taskCount, accelerators }) => taskCount * accelerators),
  );
}
