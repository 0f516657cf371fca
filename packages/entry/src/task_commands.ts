import {
  type Clock,
  describeError,
  type EventLog,
  Events,
  InvalidError,
  type Milliseconds,
  pause,
  RefusedError,
  UnavailableError,
} from "@rattanhill/shared";
import {
  type ClaimedPart,
  LeaseState,
  type RequestEffect,
  type RequestMessage,
} from "@rattanhill/core";
import { type LeaseResponse, WorkerRefusal } from "@rattanhill/protocol";
import type { WorkerClient } from "@rattanhill/platform";
import { createGangStops } from "./gang_stops.ts";
import type { OwnedRequest } from "./request_registry.ts";
import type { EntryTiming } from "./settings.ts";
import type { LeaseEnd, WorkerLinks } from "./worker_links.ts";

/** Effects that are performed on the worker of one part. */
export type TaskEffect = Extract<
  RequestEffect,
  { kind: "prepare" | "run" | "watch" | "stop" }
>;

/**
 * Sends commands to workers, and retries each until the worker responds or the
 * time limit is over.
 */
export interface TaskCommands {
  /**
   * Starts to perform an effect. Its result is sent to the request as a
   * message.
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
// A caller may be waiting for the result of a request whose tasks are stopped,
// so the retries of a stop end early.
const STOP_TIMEOUT_MS: Milliseconds = 2_000;
const MAXIMUM_FETCH_ATTEMPTS = 20;

/**
 * Creates the task commands of one entry.
 *
 * @param options time limits and links to the workers
 */
export function createTaskCommands(
  options: TaskCommandsOptions,
): TaskCommands {
  const { timing, clock, log, links } = options;
  const gangStops = createGangStops(options);

  /**
   * Retries an idempotent operation until the worker responds or refuses it.
   * After a time-out the client opens a new connection for the next retry.
   *
   * @param isProof whether a refusal also ends the retries after an unanswered
   * attempt, which may have been carried out
   * @returns the response or the refusal; `undefined` when the time limit is
   * over
   */
  const retryUntilResponse = async (
    operation: () => Promise<LeaseResponse>,
    { timeoutMs, isProof = () => true }: {
      timeoutMs: Milliseconds;
      isProof?(refusal: RefusedError): boolean;
    },
  ): Promise<LeaseResponse | RefusedError | undefined> => {
    const retryUntil = clock.now() + timeoutMs;
    let isUnanswered = false;
    while (clock.now() < retryUntil) {
      try {
        return await operation();
      } catch (error) {
        if (error instanceof RefusedError) {
          if (!isUnanswered || isProof(error)) return error;
        } else if (!(error instanceof UnavailableError)) isUnanswered = true;
        await pause(RETRY_INTERVAL_MS);
      }
    }
    return undefined;
  };

  const getClient = (target: ClaimedPart): WorkerClient =>
    links.getClient(target.worker, target.address);

  /**
   * Chooses the time limit of operations on a worker. It is four times as long
   * for a request that is not repeatable, since such a request cannot run again
   * to get an answer.
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
    const response = await retryUntilResponse(
      () => getClient(target).prepare(target.lease, payload, checkpoint),
      { timeoutMs: timing.holdTtlMs },
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
    const response = await retryUntilResponse(
      () => getClient(target).run(target.lease, payload, getCheckpoint(effect)),
      {
        timeoutMs: getWorkerTimeout(request),
        // The worker refuses it so only for a lease that never ran.
        isProof: ({ reason }) => reason === WorkerRefusal.lapsed,
      },
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
    // A restarted worker has no record of its earlier tasks, so this task may
    // have run before the restart.
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
    // The task may have ended before the lease was followed. No poll reports
    // its end then, so the lease is inspected once.
    const response = await retryUntilResponse(
      () => getClient(target).inspect(target.lease),
      { timeoutMs: getWorkerTimeout(request) },
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
    await gangStops.waitUntilStoppable(request, target);
    const response = await retryUntilResponse(
      () => getClient(target).stop(target.lease),
      { timeoutMs: STOP_TIMEOUT_MS },
    );
    const isLeaseKnown = isLeaseResponse(response) &&
      response.boot === target.boot &&
      response.state !== undefined;
    if (!isLeaseKnown) request.send({ kind: "part-lost", attempt, part });
    else {
      const { state, failure, checkpoint } = response;
      await reportEnd(request, effect, { state: state!, failure, checkpoint });
    }
  };

  /**
   * Reports the end of a lease to the request. If the task ended by itself with
   * an answer, the answer is fetched first.
   */
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
