import type { Milliseconds } from "@rattanhill/shared";
import { type AdviceQuestion, chooseQuestion, ticketFor } from "./advice.ts";
import {
  needsOf,
  type Resources,
  type StepState,
  type WorkerState,
} from "./cell_state.ts";
import { fits } from "./placement.ts";
import type { WaitingStep } from "./step_ranking.ts";

/** Workers on which the policies of queues allow steps, during a planning pass. */
export interface AdvisedWorkers {
  /** Starts a pass: counts the questions that are unanswered. */
  beginPass(waitingSteps: readonly WaitingStep[]): void;
  /**
   * Selects the workers for which the step has a valid ticket. Asks the policy
   * of the queue about others if the step needs more workers.
   *
   * @param step the step
   * @param view workers that may get new runs, and their capacity that is free
   * for the step
   * @returns the selected workers
   */
  select(step: StepState, view: CandidateView): WorkerState[];
}

/** Workers among which {@link AdvisedWorkers.select} selects. */
export interface CandidateView {
  workers: readonly WorkerState[];
  /** @returns the capacity of a worker that is free for the step */
  freeOn(worker: WorkerState): Resources;
}

/** Options of {@link createAdvisedWorkers}. */
export interface AdvisedWorkersOptions {
  now(): Milliseconds;
  /** Asks the policy of a queue which workers may run a step. */
  askAdvice(question: AdviceQuestion): void;
}

/**
 * Creates the selection of a cell, without a pass.
 *
 * @param options a clock and how to ask a policy
 * @returns the selection
 */
export function createAdvisedWorkers(
  { now, askAdvice }: AdvisedWorkersOptions,
): AdvisedWorkers {
  /** Number of waiting steps with an unanswered question. */
  let openQuestions = 0;

  return {
    beginPass: (waitingSteps) => {
      const asking = waitingSteps.filter(({ step }) => step.advice?.isAsking);
      openQuestions = asking.length;
    },
    select: (step, { workers, freeOn }) => {
      const needs = needsOf(step.spec);
      const question = chooseQuestion(step, workers, {
        now: now(),
        openQuestions,
        hasRoom: (worker) =>
          !step.avoidedWorkers.has(worker.id) && fits(needs, freeOn(worker)),
      });
      if (question !== undefined) {
        openQuestions += 1;
        askAdvice(question);
      }
      return workers.filter((worker) =>
        ticketFor(step, worker, now()) !== undefined
      );
    },
  };
}
