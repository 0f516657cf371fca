import type { Milliseconds } from "@rattanhill/shared";
import type { WorkerState } from "@rattanhill/scheduler";

/**
 * Decides which polls of a worker acknowledge run ends. A poll cannot name the
 * lifetime that it is meant for. If a restarted worker carries it out, that
 * worker forgets ends that nobody has read, since it numbers them from 1 again.
 */
export interface EndAcknowledgements {
  /** @returns whether stored ends are not known to be acknowledged */
  isDue(): boolean;
  /**
   * @returns the position up to which a poll sent now acknowledges ends; 0 if
   * there is nothing new to acknowledge, undefined if the worker has to answer
   * first, since it may have restarted since its last answer
   */
  next(): number | undefined;
  /**
   * Records an answer to a poll.
   *
   * @param lifetime the lifetime that the worker then has
   * @param acknowledgedEnd position that the poll acknowledged
   */
  recordAnswer(lifetime: number, acknowledgedEnd: number): void;
}

// Time after an answer for which ends are acknowledged. A worker takes longer to
// restart and to bring a run to its end.
const FRESH_MS: Milliseconds = 200;

/**
 * Creates the acknowledgements of a link, none of which is sent yet.
 *
 * @param worker the worker
 * @param now returns the monotonic time
 * @returns the acknowledgements
 */
export function createEndAcknowledgements(
  worker: Pick<WorkerState, "lifetime" | "lastStoredEnd">,
  now: () => Milliseconds,
): EndAcknowledgements {
  let answered = { lifetime: 0, at: -Infinity };
  /** Highest position that the answered lifetime has been sent. */
  let acknowledgedEnd = 0;

  const isDue = (): boolean =>
    worker.lastStoredEnd >
      (answered.lifetime === worker.lifetime ? acknowledgedEnd : 0);
  const isFresh = (): boolean =>
    answered.lifetime === worker.lifetime && now() - answered.at <= FRESH_MS;

  return {
    isDue,
    next: () => {
      if (!isDue()) return 0;
      return isFresh() ? worker.lastStoredEnd : undefined;
    },
    recordAnswer: (lifetime, position) => {
      if (lifetime !== answered.lifetime) acknowledgedEnd = 0;
      acknowledgedEnd = Math.max(acknowledgedEnd, position);
      answered = { lifetime, at: now() };
    },
  };
}
