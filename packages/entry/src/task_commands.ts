import {
  type Clock,
  describeError,
  type EventLog,
  Events,
  InvalidError,
  type Milliseconds,
  pause,
  RefusedError,
} from "@rattanhill/shared";
import {
  type ClaimedPart,
  LeaseState,
  type RequestEffect,
  type RequestMessage,
} from "@rattanhill/core";
import type { LeaseResponse } from "@rattanhill/protocol";
import type { WorkerClient } from "@rattanhill/platform";
import type { OwnedRequest } from "./request_registry.ts";
import type { EntryTiming } from "./settings.ts";
import type { LeaseEnd, WorkerLinks } from "./worker_links.ts";

/** Effects that concern one part of a request on its worker. */
export type TaskEffect = Extract<
  RequestEffect,
  { kind: "prepare" | "run" | "watch" | "stop" }
>;

/** Carries commands to workers until each has a definite answer. */
export interface TaskCommands {
  /** Performs an effect; the result reaches the request as a message. */
  perform(request: OwnedRequest, effect: TaskEffect): void;
}

/** Options of {@link createTaskCommands}. */
export interface TaskCommandsOptions {
  timing: EntryTiming;
  clock: Clock;
  log: EventLog;
  links: WorkerLinks;
}

const RETRY_MS: Milliseconds = 50;
const STOP_PATIENCE_MS: Milliseconds = 2_000; // a caller waits for the outcome of a stop
const MAXIMUM_ANSWER_TRIES = 20;

/**
 * Creates the commands of one entry.
 *
 * @param options time limits and links to the workers
 * @returns the commands
 */
export function createTaskCommands(
  options: TaskCommandsOptions,
): TaskCommands {
  const { timing, clock, log, links } = options;

  /** Repeats an idempotent operation over new connections until it is answered or the time is over. */
  const insist = async (
    operation: () => Promise<LeaseResponse>,
    patienceMs: Milliseconds,
  ): Promise<LeaseResponse | RefusedError | undefined> => {
    const until = clock.now() + patienceMs;
    while (clock.now() < until) {
      try {
        return await operation();
      } catch (error) {
        if (error instanceof RefusedError) return error;
        await pause(RETRY_MS);
      }
    }
    return undefined;
  };

  const clientOf = (target: ClaimedPart): WorkerClient =>
    links.client(target.worker, target.address);

  const patienceOf = (request: OwnedRequest): Milliseconds =>
    request.spec.repeatable ? timing.workerLostMs : timing.workerLostMs * 4;

  const prepare = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { attempt, part, target } = effect;
    const { payload } = request;
    const checkpoint = checkpointOf(effect);
    const answer = await insist(
      () => clientOf(target).prepare(target.lease, payload, checkpoint),
      timing.holdTtlMs,
    );
    const isReady = isAnswer(answer) && answer.boot === target.boot &&
      answer.state === LeaseState.ready;
    request.send({
      kind: isReady ? "part-ready" : "part-released",
      attempt,
      part,
    });
  };

  const run = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { attempt, part, target } = effect;
    const isGang = request.spec.shape.parts > 1;
    const payload = isGang ? undefined : request.payload;
    follow(request, effect);
    const answer = await insist(
      () => clientOf(target).run(target.lease, payload, checkpointOf(effect)),
      patienceOf(request),
    );
    const message = runMessage(answer, target);
    if (message === "part-lost" || message === "part-released") {
      links.unfollow(target.lease);
    }
    request.send({ kind: message, attempt, part });
  };

  const runMessage = (
    answer: LeaseResponse | RefusedError | undefined,
    target: ClaimedPart,
  ): "part-running" | "part-released" | "part-lost" => {
    if (answer === undefined) return "part-lost";
    if (answer instanceof RefusedError) return "part-released";
    // A restarted worker has forgotten its tasks: this one may have run.
    if (answer.boot !== target.boot) return "part-lost";
    return answer.state === undefined ? "part-released" : "part-running";
  };

  const follow = (request: OwnedRequest, effect: TaskEffect): void => {
    const { attempt, part, target } = effect;
    links.follow({
      target,
      repeatable: request.spec.repeatable,
      ended: (end) => void settle(request, effect, end),
      lost: () => request.send({ kind: "part-lost", attempt, part }),
    });
  };

  const watch = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { target } = effect;
    if (links.isFollowed(target)) return;
    follow(request, effect);
    // The task may have ended before it was followed.
    const answer = await insist(
      () => clientOf(target).inspect(target.lease),
      patienceOf(request),
    );
    if (!isAnswer(answer) || answer.state === undefined) return;
    if (answer.state === LeaseState.running) return;
    links.unfollow(target.lease);
    const { state, failure, checkpoint } = answer;
    await settle(request, effect, { state, failure, checkpoint });
  };

  const stop = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { attempt, part, target } = effect;
    links.unfollow(target.lease);
    const answer = await insist(
      () => clientOf(target).stop(target.lease),
      STOP_PATIENCE_MS,
    );
    const isKnown = isAnswer(answer) && answer.boot === target.boot &&
      answer.state !== undefined;
    if (!isKnown) request.send({ kind: "part-lost", attempt, part });
    else {
      const { state, failure, checkpoint } = answer;
      await settle(request, effect, { state: state!, failure, checkpoint });
    }
  };

  const settle = async (
    request: OwnedRequest,
    effect: TaskEffect,
    end: LeaseEnd,
  ): Promise<void> => {
    if (end.state !== LeaseState.ended) request.send(endMessage(end, effect));
    else await fetchAnswer(request, effect);
  };

  const fetchAnswer = async (
    request: OwnedRequest,
    { attempt, part, target }: TaskEffect,
  ): Promise<void> => {
    for (let tries = 0; tries < MAXIMUM_ANSWER_TRIES; tries++) {
      try {
        const answer = await clientOf(target).fetchAnswer(target.lease);
        return request.send({ kind: "part-ended", attempt, part, answer });
      } catch (error) {
        if (error instanceof InvalidError) {
          const text = describeError(error);
          log(Events.workerDamaged, { worker: target.worker, error: text });
        }
        await pause(RETRY_MS * Math.min(10, tries + 1));
      }
    }
    request.send({ kind: "part-lost", attempt, part });
  };

  return {
    perform: (request, effect) => {
      const commands = { prepare, run, watch, stop };
      void commands[effect.kind](request, effect);
    },
  };
}

function checkpointOf(effect: TaskEffect): string | undefined {
  return "checkpoint" in effect ? effect.checkpoint : undefined;
}

function endMessage(
  { state, failure = "", checkpoint }: LeaseEnd,
  { attempt, part }: TaskEffect,
): RequestMessage {
  switch (state) {
    case LeaseState.failed:
      return { kind: "part-failed", attempt, part, failure };
    case LeaseState.stopped:
      return { kind: "part-stopped", attempt, part, checkpoint };
    default:
      return { kind: "part-released", attempt, part };
  }
}

function isAnswer(
  answer: LeaseResponse | RefusedError | undefined,
): answer is LeaseResponse {
  return answer !== undefined && !(answer instanceof RefusedError);
}
