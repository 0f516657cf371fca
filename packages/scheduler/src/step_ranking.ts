import type { Milliseconds } from "@rattanhill/shared";
import type { ActiveJob, StepState } from "./cell_state.ts";
import { isStepDoneAt } from "./job_steps.ts";
import { dueAt } from "./job_types.ts";
import type { QueueRules } from "./rules.ts";

/** A runnable step with unfinished tasks that have no run. */
export interface WaitingStep {
  step: StepState;
  /** Indices of the tasks without a run. */
  tasks: readonly number[];
  rules: QueueRules;
  /** Expected duration of a task. */
  expectedMs: Milliseconds;
  /**
   * Time since the occurrence was due, or since the submission of a job without
   * repetition.
   */
  waitedMs: Milliseconds;
  rank: Rank;
}

/**
 * Position of a step in the planning order. Ranks are compared field by field;
 * the lowest goes first.
 */
export interface Rank {
  /** A value of {@link Tier}. */
  tier: number;
  /** Priority of the step's queue; 0 is urgent. */
  priority: number;
  /**
   * Slack: milliseconds that the job may still be delayed without exceeding the
   * bound of its tier. In the last tier, the negated wait.
   */
  sortKey: number;
}

/** Tiers of the planning order, first to last. */
export const Tier = {
  /** Urgent and covered by the guarantee of its account. */
  guaranteed: 0,
  /** Urgent, and can still meet its completion objective. */
  urgent: 1,
  /** Urgent, and misses its objective, but its result can still be useful. */
  urgentLate: 2,
  /** Not urgent, and can still meet its objective. */
  inTime: 3,
  /** Not urgent, and misses its objective, but its result can be useful. */
  late: 4,
  /** Too late to be useful; still run because the job was accepted. */
  overdue: 5,
} as const;

/**
 * The result of a job is useless if the job takes longer than this multiple of
 * its completion objective.
 */
export const USEFUL_OBJECTIVE_FACTOR = 3;

/** Expected duration of the steps of one occurrence of a job. */
export interface JobDuration {
  /** Of all steps. */
  totalMs: Milliseconds;
  /** Of the unfinished steps. */
  remainingMs: Milliseconds;
}

/**
 * Ranks a waiting step by its {@link Tier}, then by the priority of its queue.
 * Among equals, the step with the least slack goes first; in the last tier, the
 * one with the longest wait.
 *
 * @param waiting the step with the rules of its queue and its wait
 * @param jobDuration expected duration of the job
 * @param isGuaranteed whether the guarantee of its account covers the job
 * @returns its position in the planning order
 */
export function rankStep(
  waiting: Omit<WaitingStep, "rank">,
  jobDuration: JobDuration,
  isGuaranteed: boolean,
): Rank {
  const { rules, waitedMs } = waiting;
  const objectiveMs = rules.stretch * jobDuration.totalMs + rules.targetMs;
  const slack = objectiveMs - waitedMs - jobDuration.remainingMs;
  const { priority } = rules;
  const lateSlack = USEFUL_OBJECTIVE_FACTOR * objectiveMs - waitedMs -
    jobDuration.remainingMs;
  const isUrgent = priority === 0;
  const rankIn = (tier: number, sortKey: number) => ({
    tier,
    priority,
    sortKey,
  });
  if (isGuaranteed) return rankIn(Tier.guaranteed, slack);
  if (slack >= 0) return rankIn(isUrgent ? Tier.urgent : Tier.inTime, slack);
  if (lateSlack >= 0) {
    return rankIn(isUrgent ? Tier.urgentLate : Tier.late, lateSlack);
  }
  return rankIn(Tier.overdue, -waitedMs);
}

/** Compares waiting steps by rank, for sorting in planning order. */
export function compareRanks(a: WaitingStep, b: WaitingStep): number {
  return a.rank.tier - b.rank.tier || a.rank.priority - b.rank.priority ||
    a.rank.sortKey - b.rank.sortKey;
}

/**
 * Finds the steps of the open occurrences of a job that may run now and have
 * tasks without a run.
 *
 * @param job the job
 * @param stepAt returns a step of an occurrence whose turn has come
 * @param wallTime current wall time
 * @returns the steps, each with the tasks to place
 */
export function findRunnableSteps(
  job: ActiveJob,
  stepAt: (occurrence: number, index: number) => StepState,
  wallTime: Milliseconds,
): { step: StepState; tasks: number[] }[] {
  const runnable: { step: StepState; tasks: number[] }[] = [];
  const { spec } = job;
  for (const occurrence of job.occurrences.open) {
    // The wall clock may have stepped back since it was opened.
    if (spec.repetition !== undefined && dueAt(spec, occurrence) > wallTime) {
      continue;
    }
    for (let index = 0; index < spec.steps.length; index++) {
      if (isStepDoneAt(job, occurrence, index)) continue;
      const isReady = spec.steps[index].after.every((predecessor) =>
        isStepDoneAt(job, occurrence, predecessor)
      );
      if (!isReady) continue;
      const step = stepAt(occurrence, index);
      const tasks = tasksWithoutRun(step);
      if (tasks.length > 0) runnable.push({ step, tasks });
    }
  }
  return runnable;
}

/**
 * Lists the tasks of a step to place. A gang starts as a whole, so it has none
 * until all runs of its previous attempt are released.
 */
function tasksWithoutRun(step: StepState): number[] {
  if (step.spec.isGang && step.runs.size > 0) return [];
  const tasks: number[] = [];
  for (let index = 0; index < step.spec.taskCount; index++) {
    if (!step.done.has(index) && !step.runs.has(index)) tasks.push(index);
  }
  return tasks;
}
