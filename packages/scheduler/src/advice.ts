import type { Milliseconds } from "@rattanhill/shared";
import type { StepState, Ticket, WorkerState } from "./cell_state.ts";
import { suits } from "./placement.ts";

/** A question to the policy of a queue. */
export interface AdviceQuestion {
  step: StepState;
  workers: readonly string[];
  /** Lifetimes of these workers when they were chosen. */
  lifetimes: readonly number[];
}

/** What the policy answered. */
export interface AdviceAnswer {
  allowed: readonly { worker: string; ticket: string }[];
  validMs: Milliseconds;
}

/** The policy takes time for each worker; this many usually hold enough allowed ones. */
const WORKERS_AT_ONCE = 30;
/** A ticket must last until the start has arrived. */
const TICKET_MARGIN_MS: Milliseconds = 500;

/**
 * Chooses the workers to ask for next: first those that were not asked for,
 * then allowed ones whose ticket has run out.
 *
 * @param step the step
 * @param candidates workers that may get new work
 * @param now monotonic time
 * @returns the question; undefined when nothing has to be asked now
 */
export function nextQuestion(
  step: StepState,
  candidates: readonly WorkerState[],
  now: Milliseconds,
): AdviceQuestion | undefined {
  step.advice ??= { asked: new Set(), tickets: new Map(), isAsking: false };
  const { advice } = step;
  if (advice.isAsking) return undefined;
  const fitting = candidates.filter((worker) => suits(step, worker));
  const allowed = fitting.filter((worker) =>
    ticketFor(step, worker, now) !== undefined
  );
  if (allowed.length >= step.spec.taskCount) return undefined;
  const known = fitting.filter(({ id }) => advice.tickets.has(id));
  const expired = known.filter((worker) => !allowed.includes(worker));
  const unasked = fitting.filter(({ id }) => !advice.asked.has(id));
  const chosen = [...expired, ...unasked].slice(0, WORKERS_AT_ONCE);
  if (chosen.length === 0) return undefined;
  advice.isAsking = true;
  return {
    step,
    workers: chosen.map(({ id }) => id),
    lifetimes: chosen.map(({ lifetime }) => lifetime),
  };
}

/** Takes in an answer; without one the same workers are asked for again. */
export function noteAdvice(
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

/** @returns the ticket with which the step may start on the worker now */
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
