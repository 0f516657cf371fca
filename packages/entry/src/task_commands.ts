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

/** Effects that are commands to the worker of one part. */
export type TaskEffect = Extract<
  RequestEffect,
  { kind: "prepare" | "run" | "watch" | "stop" }
>;

/**
 * Sends commands to workers and retries each until it has a definite answer or
 * its time limit is over.
 */
export interface TaskCommands {
  /**
   * Starts to perform an effect; the result reaches the request as a message.
   *
   * @param request the request
   * @param effect the command, its part and its worker
   */
  perform(request: OwnedRequest, effect: TaskEffect): void;
}

/** Options of {@link createTaskCommands}. */
export interface TaskCommandsOptions {
  timing: EntryTiming;
  clock: Clock;
  log: EventLog;
  links: WorkerLinks;
}

const RETRY_INTERVAL_MS: Milliseconds = 50;
const STOP_TIMEOUT_MS: Milliseconds = 2_000; // a caller waits for the outcome
const MAXIMUM_FETCH_ATTEMPTS = 20;

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

  /**
   * Retries an idempotent operation, over new connections, until the worker
   * answers or refuses it.
   *
   * @returns the response or the refusal; `undefined` when the time is over
   */
  const retryUntilAnswered = async (
    operation: () => Promise<LeaseResponse>,
    timeoutMs: Milliseconds,
  ): Promise<LeaseResponse | RefusedError | undefined> => {
    const retryUntil = clock.now() + timeoutMs;
    while (clock.now() < retryUntil) {
      try {
        return await operation();
      } catch (error) {
        if (error instanceof RefusedError) return error;
        await pause(RETRY_INTERVAL_MS);
      }
    }
    return undefined;
  };

  const getClient = (target: ClaimedPart): WorkerClient =>
    links.getClient(target.worker, target.address);

  /**
   * Requests that are not repeatable wait four times as long for a silent
   * worker, since no other run can give them an answer.
   */
  const getWorkerTimeout = (request: OwnedRequest): Milliseconds =>
    request.spec.repeatable ? timing.workerLostMs : timing.workerLostMs * 4;

  const prepare = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { attempt, part, target } = effect;
    const { payload } = request;
    const checkpoint = getCheckpoint(effect);
    const response = await retryUntilAnswered(
      () => getClient(target).prepare(target.lease, payload, checkpoint),
      timing.holdTtlMs,
    );
    const isReady = isLeaseResponse(response) &&
      response.boot === target.boot &&
      response.state === LeaseState.ready;
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
    followLease(request, effect);
    const response = await retryUntilAnswered(
      () => getClient(target).run(target.lease, payload, getCheckpoint(effect)),
      getWorkerTimeout(request),
    );
    const messageKind = chooseRunMessageKind(response, target);
    if (messageKind === "part-lost" || messageKind === "part-released") {
      links.unfollow(target.lease);
    }
    request.send({ kind: messageKind, attempt, part });
  };

  const chooseRunMessageKind = (
    response: LeaseResponse | RefusedError | undefined,
    target: ClaimedPart,
  ): "part-running" | "part-released" | "part-lost" => {
    if (response === undefined) return "part-lost";
    if (response instanceof RefusedError) return "part-released";
    // A restarted worker does not know its earlier tasks, so the task may have
    // run.
    if (response.boot !== target.boot) return "part-lost";
    return response.state === undefined ? "part-released" : "part-running";
  };

  const followLease = (request: OwnedRequest, effect: TaskEffect): void => {
    const { attempt, part, target } = effect;
    links.follow({
      target,
      repeatable: request.spec.repeatable,
      onEnded: (end) => void reportEnd(request, effect, end),
      onLost: () => request.send({ kind: "part-lost", attempt, part }),
    });
  };

  const watch = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { target } = effect;
    if (links.isFollowed(target)) return;
    followLease(request, effect);
    // The task may have ended before the lease was followed, and then no
    // report of its end will come.
    const response = await retryUntilAnswered(
      () => getClient(target).inspect(target.lease),
      getWorkerTimeout(request),
    );
    if (!isLeaseResponse(response) || response.state === undefined) return;
    if (response.state === LeaseState.running) return;
    links.unfollow(target.lease);
    const { state, failure, checkpoint } = response;
    await reportEnd(request, effect, { state, failure, checkpoint });
  };

  const stop = async (
    request: OwnedRequest,
    effect: TaskEffect,
  ): Promise<void> => {
    const { attempt, part, target } = effect;
    links.unfollow(target.lease);
    const response = await retryUntilAnswered(
      () => getClient(target).stop(target.lease),
      STOP_TIMEOUT_MS,
    );
    const isKnown = isLeaseResponse(response) &&
      response.boot === target.boot &&
      response.state !== undefined;
    if (!isKnown) request.send({ kind: "part-lost", attempt, part });
    else {
      const { state, failure, checkpoint } = response;
      await reportEnd(request, effect, { state: state!, failure, checkpoint });
    }
  };

  /** Fetches the answer of an ended task; reports any other end as it is. */
  const reportEnd = async (
    request: OwnedRequest,
    effect: TaskEffect,
    end: LeaseEnd,
  ): Promise<void> => {
    if (end.state !== LeaseState.ended) request.send(toEndMessage(end, effect));
    else await fetchAnswer(request, effect);
  };

  const fetchAnswer = async (
    request: OwnedRequest,
    { attempt, part, target }: TaskEffect,
  ): Promise<void> => {
    for (
      let failedFetches = 0;
      failedFetches < MAXIMUM_FETCH_ATTEMPTS;
      failedFetches++
    ) {
      try {
        const answer = await getClient(target).fetchAnswer(target.lease);
        return request.send({ kind: "part-ended", attempt, part, answer });
      } catch (error) {
        if (error instanceof InvalidError) {
          const text = describeError(error);
          log(Events.workerDamaged, { worker: target.worker, error: text });
        }
        await pause(RETRY_INTERVAL_MS * Math.min(10, failedFetches + 1));
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

function getCheckpoint(effect: TaskEffect): string | undefined {
  return "checkpoint" in effect ? effect.checkpoint : undefined;
}

function toEndMessage(
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

function isLeaseResponse(
  response: LeaseResponse | RefusedError | undefined,
): response is LeaseResponse {
  return response !== undefined && !(response instanceof RefusedError);
}
