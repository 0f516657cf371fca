import {
  describeError,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import type { AdviceAnswer, AdviceQuestion } from "@rattanhill/scheduler";
import type { Advise } from "./worker_calls.ts";

/** Options of {@link createAdviceRequests}. */
export interface AdviceRequestOptions {
  /** Asks the advice service; undefined in deployments without one. */
  advise?: Advise;
  log: Logger;
  /** Called with the answer; undefined when there was none. */
  onAnswer(question: AdviceQuestion, answer: AdviceAnswer | undefined): void;
}

// The advice service's queue of 32 calls drains in this time.
const RETRY_DELAY_MS: Milliseconds = 200;

/**
 * @param options the advice service and the receiver of its answers
 * @returns function that asks which workers may run a step
 */
export function createAdviceRequests(
  { advise, log, onAnswer }: AdviceRequestOptions,
): (question: AdviceQuestion) => Promise<void> {
  return async (question) => {
    const { step, workers } = question;
    let answer: AdviceAnswer | undefined;
    try {
      if (advise === undefined) {
        throw new Error("the deployment has no advice service");
      }
      answer = await advise(step.key, workers);
      log.info(
        {
          step: step.key,
          asked: workers.length,
          allowed: answer.allowed.length,
        },
        "advice received",
      );
    } catch (error) {
      log.warn(
        { step: step.key, error: describeError(error) },
        "advice request failed",
      );
      await pause(RETRY_DELAY_MS);
    }
    onAnswer(question, answer);
  };
}
