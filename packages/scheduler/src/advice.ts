import type { Milliseconds } from "@rattanhill/shared";
import type { StepState, Ticket, WorkerState } from "./cell_state.ts";
import { isEligible } from "./placement.ts";

/** Question to the policy of a queue: which of these workers may run a step? */
export interface AdviceQuestion {
  step: StepState;
  /** Ids of the workers. */
  workers: readonly string[];
  /**
   * Lifetimes of these workers when the question was asked, in the same order.
   */
  lifetimes: readonly number[];
}

/** Answer of the policy: the allowed workers with their tickets. */
export interface AdviceAnswer {
  allowed: readonly { worker: string; ticket: string }[];
  /** Time for which the tickets are valid. */
  validMs: Milliseconds;
}

// Largest number of workers in one question. The policy takes time for each
// worker, and this many usually include enough allowed ones.
const MAXIMUM_WORKERS_PER_QUESTION = 30;
// A ticket is no longer used this long before it expires, so that it is still
// valid when the start command reaches the worker.
const TICKET_MARGIN_MS: Milliseconds = 500;

/**
 * Chooses the workers to ask about next: first those whose ticket is no longer
 * valid, then those that the policy has not judged yet. The caller must ask the
 * returned question, since the step is marked as having an unanswered one.
 *
 * @param step the step
 * @param candidates workers that may get new runs
 * @param now monotonic time
 * @returns the question; undefined while another one is unanswered, or when the
 * step has enough allowed workers or none is left to ask about
 */
export function chooseQuestion(
  step: StepState,
  candidates: readonly WorkerState[],
  now: Milliseconds,
): AdviceQuestion | undefined {
  step.advice ??= { asked: new Set(), tickets: new Map(), isAsking: false };
  const { advice } = step;
  if (advice.isAsking) return undefined;
  const fitting = candidates.filter((worker) => isEligible(step, worker));
  const allowed = fitting.filter((worker) =>
    ticketFor(step, worker, now) !== undefined
  );
  if (allowed.length >= step.spec.taskCount) return undefined;
  const ticketHolders = fitting.filter(({ id }) => advice.tickets.has(id));
  const invalidTicketHolders = ticketHolders.filter((worker) =>
    !allowed.includes(worker)
  );
  const unasked = fitting.filter(({ id }) => !advice.asked.has(id));
  const chosen = [...invalidTicketHolders, ...unasked].slice(
    0,
    MAXIMUM_WORKERS_PER_QUESTION,
  );
  if (chosen.length === 0) return undefined;
  advice.isAsking = true;
  return {
    step,
    workers: chosen.map(({ id }) => id),
    lifetimes: chosen.map(({ lifetime }) => lifetime),
  };
}

/**
 * Records the answer to a question. Without an answer, a later question asks
 * about the same workers again.
 */
export function recordAdvice(
  { step, workers, lifetimes }: AdviceQuestion,
  answer: AdviceAnswer | undefined,
  now: Milliseconds,
): void {
  const { advice } = step;
  if (advice === undefined) return;
  advice.isAsking = false;
  if (answer === undefined) return;
  for (const id of workers) {
    advice.asked.add(id);
    advice.tickets.delete(id);
  }
  const validUntil = now + answer.validMs - TICKET_MARGIN_MS;
  for (const { worker, ticket } of answer.allowed) {
    const lifetime = lifetimes[workers.indexOf(worker)];
    if (lifetime === undefined) continue;
    advice.tickets.set(worker, { text: ticket, lifetime, validUntil });
  }
}

/**
 * @returns the valid ticket of a step for a worker; undefined if there is none
 */
export function ticketFor(
  step: StepState,
  worker: WorkerState,
  now: Milliseconds,
): Ticket | undefined {
  const ticket = step.advice?.tickets.get(worker.id);
  if (ticket === undefined || ticket.lifetime !== worker.lifetime) {
    return undefined;
  }
  return ticket.validUntil > now ? ticket : undefined;
}
