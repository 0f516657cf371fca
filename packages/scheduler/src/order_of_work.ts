import type { Milliseconds } from "@rattanhill/shared";
import { type ActiveJob, isStepDone, type StepState } from "./cell_state.ts";
import { dueAt } from "./job_types.ts";
import type { QueueRules } from "./rules.ts";

/** A step that waits for workers. */
export interface WaitingStep {
  step: StepState;
  /** Tasks without a run. */
  tasks: readonly number[];
  rules: QueueRules;
  /** Expected duration of a task. */
  expectedMs: Milliseconds;
  /** Time since its occurrence could first start. */
  waitedMs: Milliseconds;
  rank: Rank;
}

/** Place in the order of work; compared field by field, smaller goes first. */
export interface Rank {
  /** One of {@link Group}. */
  group: number;
  /** The operators' priority of the queue. */
  priority: number;
  key: number;
}

/** Groups of the order of work. */
export const Group = {
  guaranteed: 0,
  /** Urgent and still able to meet its objective. */
  urgent: 1,
  /** Urgent, late, but still of use. */
  urgentLate: 2,
  /** Can still meet its objective. */
  inTime: 3,
  /** Late, but still of use. */
  late: 4,
  /** Too late to be of use; done because it was promised. */
  overdue: 5,
} as const;

/** A result after this many times the objective is of no use any more. */
const USEFUL_OBJECTIVES = 3;

/**
 * Ranks a waiting step. Work that can meet its objective goes before work
 * that cannot, and the one that runs out of time first goes first.
 *
 * @param waiting the step with its expected duration and wait
 * @param chain expected duration of the job's steps, and of those that are not done
 * @param isGuaranteed whether its account's guarantee covers it
 * @returns its place
 */
export function rankStep(
  waiting: Omit<WaitingStep, "rank">,
  chain: { totalMs: Milliseconds; remainingMs: Milliseconds },
  isGuaranteed: boolean,
): Rank {
  const { rules, waitedMs } = waiting;
  const objective = rules.stretch * chain.totalMs + rules.targetMs;
  const slack = objective - waitedMs - chain.remainingMs;
  const { priority } = rules;
  const lateSlack = USEFUL_OBJECTIVES * objective - waitedMs -
    chain.remainingMs;
  const isUrgent = priority === 0;
  const place = (group: number, key: number) => ({ group, priority, key });
  if (isGuaranteed) return place(Group.guaranteed, slack);
  if (slack >= 0) return place(isUrgent ? Group.urgent : Group.inTime, slack);
  if (lateSlack >= 0) {
    return place(isUrgent ? Group.urgentLate : Group.late, lateSlack);
  }
  return place(Group.overdue, -waitedMs);
}

/** Orders waiting steps. */
export function compareRanks(a: WaitingStep, b: WaitingStep): number {
  return a.rank.group - b.rank.group || a.rank.priority - b.rank.priority ||
    a.rank.key - b.rank.key;
}

/**
 * Finds the steps of a job that may run now and have tasks without a run.
 *
 * @param job the job
 * @param stepAt gives a step of an occurrence
 * @param wallTime time of day
 * @returns the steps with the tasks to place
 */
export function runnableSteps(
  job: ActiveJob,
  stepAt: (occurrence: number, index: number) => StepState,
  wallTime: Milliseconds,
): { step: StepState; tasks: number[] }[] {
  const runnable: { step: StepState; tasks: number[] }[] = [];
  const { spec } = job;
  const count = spec.repetition?.count ?? 1;
  for (let occurrence = 0; occurrence < count; occurrence++) {
    if (job.finished.has(occurrence)) continue;
    if (spec.repetition !== undefined && dueAt(spec, occurrence) > wallTime) {
      break;
    }
    for (let index = 0; index < spec.steps.length; index++) {
      const step = stepAt(occurrence, index);
      if (isStepDone(step)) continue;
      const isReady = step.spec.after.every((before) =>
        isStepDone(stepAt(occurrence, before))
      );
      if (!isReady) continue;
      const tasks = missingTasks(step);
      if (tasks.length > 0) runnable.push({ step, tasks });
    }
  }
  return runnable;
}

/** A gang starts as a whole, once nothing of an earlier run is left. */
function missingTasks(step: StepState): number[] {
  if (step.spec.isGang && step.runs.size > 0) return [];
  const tasks: number[] = [];
  for (let index = 0; index < step.spec.taskCount; index++) {
    if (!step.done.has(index) && !step.runs.has(index)) tasks.push(index);
  }
  return tasks;
}
