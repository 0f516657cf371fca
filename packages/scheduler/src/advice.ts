import type { Milliseconds } from "@rattanhill/shared";
import type { Run, StepState, WorkerState } from "./cell_state.ts";
import { isEligible } from "./placement.ts";

/**
 * What a queue's policy has said of the workers for a step. Its answer for a
 * lifetime of a worker does not change; the ticket that comes with it expires.
 */
export interface StepAdvice {
  /** Workers that the policy has allowed, with or without a valid ticket. */
  allowed: Set<string>;
  /** Lifetimes of the workers that the policy has refused. */
  refused: Map<string, number>;
  /** Newest tickets by worker. */
  tickets: Map<string, Ticket>;
  /** Whether a question to the policy is unanswered. */
  isAsking: boolean;
}

/** Permission of a queue's policy to run a step on a worker. */
export interface Ticket {
  /** Text that the start command carries. */
  text: string;
  /** Lifetime of the worker for which it is valid. */
  lifetime: number;
  /** Monotonic time from which no run is placed with it. */
  placeUntil: Milliseconds;
  /** Monotonic time from which no start command is sent with it. */
  sendUntil: Milliseconds;
}

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
// No run is placed this long before the ticket expires, so that the placement
// can be stored and the start sent in time.
const PLACE_MARGIN_MS: Milliseconds = 500;
// No start is sent this long before the ticket expires, so that it still reaches
// the worker in time.
const SEND_MARGIN_MS: Milliseconds = 100;
// Largest part of a ticket's time that a margin takes.
const MAXIMUM_MARGIN_SHARE = 0.25;

// Number of open questions of a cell. The policy decides one at a time; another
// one keeps it busy while the answer to the first is on its way.
const MAXIMUM_OPEN_QUESTIONS = 2;
// Of these, the number for steps that have no room on any worker yet.
const MAXIMUM_EARLY_QUESTIONS = 1;

/** Options of {@link chooseQuestion}. */
export interface QuestionOptions {
  /** Monotonic time. */
  now: Milliseconds;
  /** Number of questions of the cell that are unanswered. */
  openQuestions: number;
  /** @returns whether a task of the step would fit on the worker now */
  hasRoom(worker: WorkerState): boolean;
}

/**
 * Chooses the workers to ask about next: those with room first; among these, the
 * ones that the policy allows but for which there is no valid ticket, then those
 * that it has not judged yet. A step with enough tickets asks only about workers
 * with room. The caller must ask the returned question, since the step is marked
 * as having an unanswered one.
 *
 * @param step the step
 * @param candidates workers that may get new runs
 * @param options time, number of open questions, and which workers have room
 * @returns the question; undefined while too many are unanswered, or when the
 * step has enough workers with room and a ticket, or none is left to ask about
 */
export function chooseQuestion(
  step: StepState,
  candidates: readonly WorkerState[],
  { now, openQuestions, hasRoom }: QuestionOptions,
): AdviceQuestion | undefined {
  step.advice ??= {
    allowed: new Set(),
    refused: new Map(),
    tickets: new Map(),
    isAsking: false,
  };
  const { advice, spec: { taskCount } } = step;
  if (advice.isAsking || openQuestions >= MAXIMUM_OPEN_QUESTIONS) {
    return undefined;
  }
  const fitting = candidates.filter((worker) => isEligible(step, worker));
  const holders = new Set(
    fitting.filter((worker) => ticketFor(step, worker, now) !== undefined),
  );
  if ([...holders].filter(hasRoom).length >= taskCount) return undefined;
  const askable = fitting.filter((worker) =>
    !holders.has(worker) && !isRefused(step, worker)
  );
  const withRoom = askable.filter(hasRoom);
  if (withRoom.length === 0 && openQuestions >= MAXIMUM_EARLY_QUESTIONS) {
    return undefined;
  }
  const withoutRoom = holders.size >= taskCount
    ? []
    : askable.filter((worker) => !hasRoom(worker));
  const chosen = [withRoom, withoutRoom].flatMap((workers) => [
    ...workers.filter(({ id }) => advice.allowed.has(id)),
    ...workers.filter(({ id }) => !advice.allowed.has(id)),
  ]).slice(0, MAXIMUM_WORKERS_PER_QUESTION);
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
  workers.forEach((id, index) => {
    advice.allowed.delete(id);
    advice.refused.set(id, lifetimes[index]);
    advice.tickets.delete(id);
  });
  const { validMs } = answer;
  const timeBefore = (marginMs: Milliseconds): Milliseconds =>
    now + validMs - Math.min(marginMs, MAXIMUM_MARGIN_SHARE * validMs);
  for (const { worker, ticket } of answer.allowed) {
    const lifetime = lifetimes[workers.indexOf(worker)];
    if (lifetime === undefined) continue;
    advice.allowed.add(worker);
    advice.refused.delete(worker);
    advice.tickets.set(worker, {
      text: ticket,
      lifetime,
      placeUntil: timeBefore(PLACE_MARGIN_MS),
      sendUntil: timeBefore(SEND_MARGIN_MS),
    });
  }
}

/**
 * Gives a run the newest ticket for its worker, in place of the one that it was
 * placed with.
 *
 * @returns whether its start may be sent: it needs no ticket, or has one that is
 * still valid for the current lifetime of the worker
 */
export function renewTicket(run: Run, now: Milliseconds): boolean {
  if (run.ticket === undefined) return true;
  const { step, worker } = run;
  const newest = step.advice?.tickets.get(worker.id);
  if (newest === undefined || newest.lifetime !== worker.lifetime) return false;
  run.ticket = newest;
  return now < newest.sendUntil;
}

/**
 * Drops the ticket of a run whose worker has rejected it. The policy allows the
 * worker all the same, so it is asked for another ticket.
 */
export function dropTicket({ step, worker, ticket }: Run): void {
  const newest = step.advice?.tickets.get(worker.id);
  if (newest?.text === ticket?.text) step.advice?.tickets.delete(worker.id);
}

/**
 * @returns whether the policy has refused the worker in its current lifetime;
 * one that has restarted may be of another kind
 */
export function isRefused(
  { advice }: StepState,
  { id, lifetime }: WorkerState,
): boolean {
  return advice?.refused.get(id) === lifetime;
}

/**
 * @returns the ticket of a step for a worker with which a run can be placed;
 * undefined if there is none
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
  return ticket.placeUntil > now ? ticket : undefined;
}
