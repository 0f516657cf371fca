import {
  type Clock,
  createIdentifier,
  type EventLog,
  Events,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  type ClaimedPart,
  createRequest,
  EndReason,
  type LedgerEntry,
  LedgerVerdict,
  type RequestEffect,
  type RequestMessage,
  type RequestPart,
  RequestPhase,
  type RequestResult,
  type RequestSpec,
  type RequestStep,
  resumeRequest,
  stepRequest,
} from "@rattanhill/core";
import type { PlaceReply } from "@rattanhill/protocol";
import type { ActorSystem } from "./actors.ts";
import type { LogAppender } from "./log_appender.ts";
import type { LogFollower } from "./log_follower.ts";
import { type Metrics, RequestDuration } from "./metrics.ts";
import type { OwnedRequest, RequestRegistry } from "./request_registry.ts";
import type { TaskCommands } from "./task_commands.ts";
import type { ZoneRouter } from "./zone_router.ts";

/**
 * Runs the requests that this entry owns: feeds messages to the state machine
 * of each request and performs the effects that it returns.
 */
export interface RequestHost {
  /**
   * Starts a new request.
   *
   * @param spec the request
   * @param payload payload of its tasks, as JSON
   * @param options number of the first attempt, if the log has a claim for an
   * earlier one; 1 by default
   * @returns the request, in the phase `placing`
   */
  admit(
    spec: RequestSpec,
    payload: string,
    options?: { attempt?: number },
  ): OwnedRequest;
  /**
   * Continues a request that was adopted from a dead entry.
   *
   * @param spec the request
   * @param payload payload of its tasks, as JSON
   * @param adopted its ledger entry, and its parts as their workers report them
   */
  resume(
    spec: RequestSpec,
    payload: string,
    adopted: { ledgerEntry: LedgerEntry; parts: readonly RequestPart[] },
  ): OwnedRequest;
}

/** Options of {@link createRequestHost}. */
export interface RequestHostOptions extends ZoneRouter {
  /** Identifier of this entry process. */
  owner: string;
  clock: Clock;
  log: EventLog;
  actors: ActorSystem;
  metrics: Metrics;
  registry: RequestRegistry;
  follower: LogFollower;
  appender: LogAppender;
  tasks: TaskCommands;
  /** @returns the next sequence number of this entry's ledger records */
  nextOrdinal(): number;
  /** Waits for the final result of a request whose key another entry owns. */
  join(spec: RequestSpec, payload: string): Promise<RequestResult>;
}

// Delay before a job is placed again after its claim was not recorded.
const JOB_CLAIM_RETRY_MS: Milliseconds = 1_000;
// Delay after which the caller may retry a request that is not a job and was
// refused because its claim was not recorded.
const CALLER_RETRY_AFTER_MS: Milliseconds = 2_000;
// Longest delay of setTimeout, which stores it as a signed 32-bit integer.
const MAXIMUM_TIMEOUT_MS = 2_147_483_647;

/**
 * Creates the request host of one entry.
 *
 * @param options placement, workers, log and identity of the entry
 */
export function createRequestHost(options: RequestHostOptions): RequestHost {
  const { owner, clock, actors, metrics, registry, tasks } = options;
  const { appender, follower } = options;

  const startRequest = (
    initialStep: RequestStep,
    payload: string,
  ): OwnedRequest => {
    const { spec } = initialStep.state;
    const actor = actors.spawn<RequestMessage>(
      `request-${createIdentifier()}`,
      (message) => {
        if (request.result !== undefined && message.kind !== "placed") return;
        applyStep(stepRequest(request.state, message, clock.now()));
      },
    );
    const request: OwnedRequest = {
      spec,
      payload,
      admittedAt: clock.now(),
      state: initialStep.state,
      send: actor.send,
      claimRecordId: "",
      endListeners: new Set(),
    };
    const applyStep = ({ state, effects }: RequestStep): void => {
      recordPhaseChange(request, state.phase);
      request.state = state;
      for (const effect of effects) performEffect(request, effect);
    };
    const deadlineTimer = setTimeout(
      () => request.send({ kind: "deadline" }),
      Math.min(MAXIMUM_TIMEOUT_MS, spec.deadlineMs),
    );
    request.endListeners.add(() => {
      clearTimeout(deadlineTimer);
      // The actor runs on for a while after the request has ended, so that it
      // still releases a hold that is granted late.
      setTimeout(actor.stop, LATE_MESSAGE_WINDOW_MS).unref();
    });
    registry.add(request);
    if (initialStep.state.phase === RequestPhase.placing) {
      registry.changeWaitingCount(spec.account, 1);
    }
    applyStep(initialStep);
    return request;
  };

  const recordPhaseChange = (
    request: OwnedRequest,
    phase: RequestPhase,
  ): void => {
    const { state, spec, admittedAt } = request;
    const elapsedMs = clock.now() - admittedAt;
    const wasWaiting = state.phase === RequestPhase.placing;
    const isWaiting = phase === RequestPhase.placing;
    if (wasWaiting && !isWaiting) registry.changeWaitingCount(spec.account, -1);
    if (!wasWaiting && isWaiting) registry.changeWaitingCount(spec.account, 1);
    if (wasWaiting && !isWaiting) {
      metrics.recordDuration(RequestDuration.queueWait, spec.class, elapsedMs);
    }
    if (state.phase !== phase && phase === RequestPhase.running) {
      metrics.recordDuration(RequestDuration.start, spec.class, elapsedMs);
    }
  };

  const performEffect = (
    request: OwnedRequest,
    effect: RequestEffect,
  ): void => {
    switch (effect.kind) {
      case "place":
        if (effect.delayMs === 0) void place(request, effect);
        else setTimeout(() => void place(request, effect), effect.delayMs);
        return;
      case "withdraw":
        return options.withdraw(request.spec.id, effect.attempt);
      case "claim":
        return void claim(request, effect.attempt, effect.parts);
      case "release-claim":
        return releaseClaim(request);
      case "prepare":
      case "run":
      case "watch":
      case "stop":
        return tasks.perform(request, effect);
      case "join":
        return void endWithJoinedResult(request);
      case "end":
        return endRequest(request, effect.result);
    }
  };

  const place = async (
    request: OwnedRequest,
    effect: RequestEffect & { kind: "place" },
  ): Promise<void> => {
    const { attempt, avoid } = effect;
    if (request.state.attempt !== attempt || request.result) return;
    try {
      const sentAt = clock.now();
      const reply = await options.place(request.spec, attempt, avoid);
      request.send(createPlaceMessage(reply, attempt, sentAt));
    } catch {
      setTimeout(
        () => request.send({ kind: "placer-lost", attempt }),
        PLACER_LOST_DELAY_MS,
      );
    }
  };

  const createPlaceMessage = (
    reply: PlaceReply & { peer: string },
    attempt: number,
    sentAt: Milliseconds,
  ): RequestMessage => {
    const parts = reply.parts ?? [];
    if (parts.length === 0) {
      return {
        kind: "place-refused",
        attempt,
        reason: (reply.reason || EndReason.noCapacity) as EndReason,
        retryAfterMs: Number(reply.retryAfterMs ?? 0),
        peer: reply.peer,
      };
    }
    const holdsEndAt = Math.max(sentAt, clock.now()) +
      Number(reply.remainingMs ?? 0);
    const targets = parts as ClaimedPart[];
    return { kind: "placed", attempt, parts: targets, holdsEndAt };
  };

  const claim = async (
    request: OwnedRequest,
    attempt: number,
    parts: readonly ClaimedPart[],
  ): Promise<void> => {
    const { spec } = request;
    const id = createIdentifier();
    const appendResult = follower.isCurrent()
      ? await appender.append(
        {
          kind: "claim",
          id,
          account: spec.account,
          key: spec.key,
          owner,
          ordinal: options.nextOrdinal(),
          request: spec.id,
          bodyDigest: spec.bodyDigest,
          attempt,
          parts: [...parts],
        },
        // By then the attempt was abandoned, since the append was uncertain. An
        // unreleased claim would block the caller's retries with this key.
        { onLateAccept: () => appendRelease(spec, id) },
      )
      : "failed";
    if (appendResult === LedgerVerdict.accepted) request.claimRecordId = id;
    if (appendResult === LedgerVerdict.accepted) {
      request.send({ kind: "claim-won", attempt });
    } else if (appendResult === LedgerVerdict.rejected) {
      const ledgerEntry = follower.ledger.find(spec.account, spec.key);
      const keyOwner = ledgerEntry?.owner ?? "";
      options.log(Events.claimLost, { request: spec.id, owner: keyOwner });
      request.send({ kind: "claim-lost", attempt, owner: keyOwner });
    } else {
      const retryAfterMs = spec.isJob
        ? JOB_CLAIM_RETRY_MS
        : CALLER_RETRY_AFTER_MS;
      request.send({ kind: "claim-failed", attempt, retryAfterMs });
    }
  };

  const releaseClaim = ({ spec, claimRecordId }: OwnedRequest): void => {
    if (claimRecordId !== "") appendRelease(spec, claimRecordId);
  };

  const appendRelease = (spec: RequestSpec, claimRecordId: string): void => {
    appender.appendWithRetry({
      kind: "release",
      id: createIdentifier(),
      account: spec.account,
      key: spec.key,
      owner,
      ordinal: options.nextOrdinal(),
      claim: claimRecordId,
    });
  };

  const endWithJoinedResult = async (request: OwnedRequest): Promise<void> => {
    endRequest(request, await options.join(request.spec, request.payload), {
      isJoined: true,
    });
  };

  const endRequest = (
    request: OwnedRequest,
    result: RequestResult,
    { isJoined = false }: { isJoined?: boolean } = {},
  ): void => {
    if (request.result !== undefined) return;
    const { spec, admittedAt } = request;
    metrics.recordDuration(
      RequestDuration.completion,
      spec.class,
      clock.now() - admittedAt,
    );
    metrics.countResult(spec.class, result.outcome);
    options.log(Events.requestAnswered, {
      request: spec.id,
      outcome: result.outcome,
      reason: result.reason,
      attempts: result.attempts,
    });
    registry.finish(request, result, clock.now());
    if (!isJoined) appendFinish(request, result);
  };

  /** Stores the result of a job in the log, where every entry can read it. */
  const appendFinish = (
    { spec }: OwnedRequest,
    { outcome, answers, reason }: RequestResult,
  ): void => {
    if (!spec.isJob) return;
    appender.appendWithRetry({
      kind: "finish",
      id: createIdentifier(),
      account: spec.account,
      key: spec.key,
      owner,
      ordinal: options.nextOrdinal(),
      result: { outcome, answers: [...answers], reason },
    });
  };

  return {
    admit: (spec, payload, { attempt } = {}) => {
      options.log(Events.requestAdmitted, {
        request: spec.id,
        class: spec.class,
        account: spec.account,
      });
      return startRequest(
        createRequest(spec, clock.now(), { attempt }),
        payload,
      );
    },
    resume: (spec, payload, { ledgerEntry, parts }) => {
      options.log(Events.requestAdopted, { request: spec.id });
      return startRequest(
        resumeRequest(spec, ledgerEntry, parts, clock.now()),
        payload,
      );
    },
  };
}

// Delay before a request is placed again after a call to a placer failed.
const PLACER_LOST_DELAY_MS: Milliseconds = 50;
// Time for which the actor of an ended request still handles late messages.
const LATE_MESSAGE_WINDOW_MS: Milliseconds = 60_000;
