import type { Milliseconds } from "@rattanhill/shared";
import type { ClaimedPart, LedgerEntry } from "./ledger.ts";
import {
  EndReason,
  Outcome,
  PartPhase,
  type RequestEffect,
  type RequestMessage,
  type RequestPart,
  RequestPhase,
  type RequestResult,
  type RequestState,
  type RequestStep,
} from "./request_types.ts";
import type { RequestSpec } from "./shape.ts";

/** Time before the end of a hold during which its task is not started. */
export const START_MARGIN_MS: Milliseconds = 250;
// Additional margin for gang jobs: if some run messages arrived before the
// holds lapse and others after, only some parts of the gang would start.
const GANG_START_MARGIN_MS: Milliseconds = 750;
// Maximum number of retries after failed or lost parts. Attempts after refused
// starts and preemptions do not count as retries.
const MAXIMUM_RETRIES = 2;
// Maximum number of attempts for requests that are not accepted jobs; accepted
// jobs are placed again any number of times.
const MAXIMUM_ATTEMPTS = 50;
// The first attempts, up to this number, follow one another without a delay.
const IMMEDIATE_ATTEMPTS = 3;
const RETRY_DELAY_MS: Milliseconds = 200;

/**
 * Creates the state of a new request and the effect that starts its first
 * placement.
 *
 * @param spec the request
 * @param now time by the owner's clock, in milliseconds
 * @param options number of the first attempt; larger than 1 when earlier claims
 * of the key are known
 * @returns the state in the phase `placing`, and the effect that starts the
 * placement
 */
export function createRequest(
  spec: RequestSpec,
  now: Milliseconds,
  { attempt = 1 }: { attempt?: number } = {},
): RequestStep {
  const state: RequestState = {
    spec,
    phase: RequestPhase.placing,
    attempt,
    parts: [],
    holdsEndAt: 0,
    deadlineAt: now + spec.deadlineMs,
    mayHaveRunBefore: false,
    lostBefore: false,
    retries: 0,
    avoid: [],
    checkpoints: {},
  };
  const place: RequestEffect = {
    kind: "place",
    attempt,
    avoid: [],
    delayMs: 0,
  };
  return { state, effects: [place] };
}

/**
 * Resumes a request whose previous owner is dead. Before the call, the caller
 * must adopt the key in the log, wait for the time to live of a hold, and then
 * query the workers of the last claim.
 *
 * @param spec the request
 * @param entry entry of the key in the ledger
 * @param parts parts of the last claim, in the phases their workers reported
 * @param now time by the owner's clock, in milliseconds
 * @returns the state to resume from and the operations for the host
 */
export function resumeRequest(
  spec: RequestSpec,
  entry: LedgerEntry,
  parts: readonly RequestPart[],
  now: Milliseconds,
): RequestStep {
  const initial = createRequest(spec, now).state;
  const state: RequestState = {
    ...initial,
    attempt: entry.attempt,
    parts,
    phase: RequestPhase.running,
  };
  if (!mayHaveRun(state)) return stopParts(state, "retry");
  if (isAnswered(state)) return endRequest(state, Outcome.done, EndReason.none);
  // The holds lapsed during the adopter's wait, so parts that had not started
  // by then can never start, and the gang stays incomplete.
  if (!parts.every(isRunningOrEnded)) {
    return stopParts(state, spec.repeatable ? "retry" : "end");
  }
  const effects = parts.map((_, part) => createWatchEffect(state, part));
  return { state, effects };
}

/**
 * Applies one message to a request.
 *
 * @param state state before the message
 * @param message the message
 * @param now time by the owner's clock, in milliseconds
 * @returns the state after it and the operations for the host
 */
export function stepRequest(
  state: RequestState,
  message: RequestMessage,
  now: Milliseconds,
): RequestStep {
  if (isFinal(state)) return handleLate(state, message);
  if (message.kind === "cancel") return abort(state, EndReason.cancelled);
  if (message.kind === "deadline") return abort(state, EndReason.deadline);
  if (message.kind === "taken-over") return loseOwnership(state, message.owner);
  if (message.attempt !== state.attempt) return handleLate(state, message);
  switch (message.kind) {
    case "placed":
      return state.phase === RequestPhase.placing
        ? handlePlaced(state, message.parts, message.holdsEndAt, now)
        : withoutEffects(state);
    case "place-refused":
      return handlePlaceRefused(state, message);
    case "placer-lost":
      return state.phase === RequestPhase.placing
        ? placeAgain(state)
        : withoutEffects(state);
    case "claim-won":
      return state.phase === RequestPhase.claiming
        ? startParts(state, now)
        : withoutEffects(state);
    case "claim-lost":
      return loseOwnership(state, message.owner);
    case "claim-failed":
      return handleClaimFailed(state, message.retryAfterMs);
    default:
      return handlePartMessage(state, message, now);
  }
}

function isFinal(state: RequestState): boolean {
  return state.phase === RequestPhase.ended ||
    state.phase === RequestPhase.joined;
}

function withoutEffects(state: RequestState): RequestStep {
  return { state, effects: [] };
}

/**
 * Releases holds that arrive after their attempt ended; other late messages
 * have no effect.
 */
function handleLate(
  state: RequestState,
  message: RequestMessage,
): RequestStep {
  if (message.kind !== "placed") return withoutEffects(state);
  const effects = message.parts.map((target, part): RequestEffect => ({
    kind: "stop",
    attempt: message.attempt,
    part,
    target,
  }));
  return { state, effects };
}

function handlePlaced(
  state: RequestState,
  targets: readonly ClaimedPart[],
  holdsEndAt: Milliseconds,
  now: Milliseconds,
): RequestStep {
  const parts = targets.map((target): RequestPart => ({
    ...target,
    phase: PartPhase.held,
  }));
  const next = { ...state, parts, holdsEndAt };
  if (!needsClaim(state.spec)) return startParts(next, now);
  return {
    state: { ...next, phase: RequestPhase.claiming },
    effects: [{ kind: "claim", attempt: state.attempt, parts: targets }],
  };
}

/**
 * Tests whether a request must be claimed in the log between hold and start, as
 * must requests that may not run twice and accepted jobs.
 */
function needsClaim(spec: RequestSpec): boolean {
  return !spec.repeatable || spec.isJob;
}

function startParts(state: RequestState, now: Milliseconds): RequestStep {
  if (!holdsAreLive(state, now)) return stopParts(state, "retry");
  return state.parts.length === 1
    ? sendToParts(state, "run")
    : sendToParts(state, "prepare");
}

/**
 * Tests whether a start sent now still arrives before the holds lapse. An
 * adopter waits until they have lapsed and then queries the workers; it would
 * miss a start that arrived after the query.
 */
function holdsAreLive(state: RequestState, now: Milliseconds): boolean {
  return now + START_MARGIN_MS < state.holdsEndAt;
}

function sendToParts(
  state: RequestState,
  kind: "prepare" | "run",
): RequestStep {
  const effects = state.parts.map((target, part): RequestEffect => ({
    kind,
    attempt: state.attempt,
    part,
    target,
    checkpoint: state.checkpoints[part],
  }));
  const isRun = kind === "run";
  const parts = state.parts.map((part) => ({
    ...part,
    phase: isRun ? PartPhase.sent : PartPhase.preparing,
  }));
  const phase = isRun ? RequestPhase.running : RequestPhase.starting;
  return { state: { ...state, parts, phase }, effects };
}

type PartMessage = Extract<RequestMessage, { part: number }>;

function handlePartMessage(
  state: RequestState,
  message: PartMessage,
  now: Milliseconds,
): RequestStep {
  const prior = state.parts[message.part];
  if (prior === undefined || isSettled(prior)) return withoutEffects(state);
  const changed = withPart(
    state,
    message.part,
    applyPartMessage(prior, message),
  );
  const next = withCheckpoint(changed, message);
  if (next.phase === RequestPhase.stopping) return finishStop(next);
  switch (message.kind) {
    case "part-ready":
      return runGangWhenReady(next, now);
    case "part-running":
      return { state: next, effects: [createWatchEffect(next, message.part)] };
    case "part-ended":
      return isAnswered(next)
        ? endRequest(next, Outcome.done, EndReason.none)
        : withoutEffects(next);
    case "part-released":
      return handlePartReleased(next, prior);
    default:
      return handlePartInterrupted(next, prior, message);
  }
}

function applyPartMessage(
  prior: RequestPart,
  message: PartMessage,
): RequestPart {
  switch (message.kind) {
    case "part-ready":
      return prior.phase === PartPhase.preparing
        ? { ...prior, phase: PartPhase.ready }
        : prior;
    case "part-running":
      return { ...prior, phase: PartPhase.running };
    case "part-ended":
      return { ...prior, phase: PartPhase.ended, answer: message.answer };
    case "part-released":
      return { ...prior, phase: PartPhase.released };
    case "part-lost":
      return { ...prior, phase: finalPartPhase(prior, PartPhase.lost) };
    case "part-failed": {
      const { failure } = message;
      return { ...prior, phase: PartPhase.stopped, failure };
    }
    case "part-stopped":
      return {
        ...prior,
        phase: finalPartPhase(prior, PartPhase.stopped),
      };
  }
}

/**
 * Returns `released` in place of the given phase if the part's run message was
 * never sent: the part did not run, even if its worker is lost.
 */
function finalPartPhase(prior: RequestPart, phase: PartPhase): PartPhase {
  return partMayHaveRun(prior) ? phase : PartPhase.released;
}

/** Sends the run messages of a gang job once every part is ready. */
function runGangWhenReady(state: RequestState, now: Milliseconds): RequestStep {
  const isReady = state.phase === RequestPhase.starting &&
    state.parts.every((part) => part.phase === PartPhase.ready);
  if (!isReady) return withoutEffects(state);
  if (!holdsAreLive(state, now + GANG_START_MARGIN_MS)) {
    return stopParts(state, "retry");
  }
  return sendToParts(state, "run");
}

function createWatchEffect(state: RequestState, part: number): RequestEffect {
  const target = state.parts[part];
  return { kind: "watch", attempt: state.attempt, part, target };
}

/**
 * Handles a part whose worker confirmed that it was not started and cannot be
 * started later.
 */
function handlePartReleased(
  state: RequestState,
  prior: RequestPart,
): RequestStep {
  const next = { ...state, avoid: [...state.avoid, prior.worker] };
  return stopParts(next, mayStartAgain(next) ? "retry" : "end");
}

/**
 * Handles a part that failed, was lost or was preempted. A preemption neither
 * counts as a retry nor excludes the worker.
 */
function handlePartInterrupted(
  state: RequestState,
  prior: RequestPart,
  message: PartMessage,
): RequestStep {
  const isPreempted = message.kind === "part-stopped";
  const avoidedWorkers = isPreempted
    ? state.avoid
    : [...state.avoid, prior.worker];
  const retries = isPreempted ? state.retries : state.retries + 1;
  const next = { ...state, avoid: avoidedWorkers, retries };
  return stopParts(next, mayStartAgain(next) ? "retry" : "end");
}

/**
 * Tests whether a request may be retried. A request that is not repeatable may
 * be retried only when none of its tasks can have run.
 */
function mayStartAgain(state: RequestState): boolean {
  if (state.retries > MAXIMUM_RETRIES) return false;
  return state.spec.repeatable || !mayHaveRun(state);
}

/** Stops every part that is not settled, then retries or ends. */
function stopParts(
  state: RequestState,
  afterStop: "retry" | "end",
): RequestStep {
  const effects = state.parts.flatMap((target, part): RequestEffect[] =>
    isSettled(target)
      ? []
      : [{ kind: "stop", attempt: state.attempt, part, target }]
  );
  const next: RequestState = {
    ...state,
    phase: RequestPhase.stopping,
    afterStop,
  };
  const { state: after, effects: rest } = finishStop(next);
  return { state: after, effects: [...effects, ...rest] };
}

/**
 * Retries or ends a request once every part is settled; a complete answer that
 * arrived meanwhile is used.
 */
function finishStop(state: RequestState): RequestStep {
  if (!state.parts.every(isSettled)) return withoutEffects(state);
  if (isAnswered(state)) return endRequest(state, Outcome.done, EndReason.none);
  if (state.afterStop === "retry" && mayStartAgain(state)) {
    return placeAgain(state);
  }
  return endRequest(state, outcomeWithoutAnswer(state), endReason(state));
}

/**
 * Determines the outcome of a request that ends without a complete answer. The
 * outcome is `not-run` only if no start was sent or the workers refused every
 * start.
 */
function outcomeWithoutAnswer(state: RequestState): Outcome {
  if (!mayHaveRun(state)) return Outcome.notRun;
  return hasLostPart(state) ? Outcome.unknown : Outcome.failed;
}

/**
 * Tests whether the fate of any part is unknown. A part whose run message is
 * not yet confirmed counts, since its task may have run.
 */
function hasLostPart(state: RequestState): boolean {
  return state.lostBefore ||
    state.parts.some((part) =>
      part.phase === PartPhase.lost || part.phase === PartPhase.sent
    );
}

function endReason(state: RequestState): EndReason {
  if (state.result !== undefined) return state.result.reason;
  return hasLostPart(state) ? EndReason.workerLost : EndReason.taskFailed;
}

function placeAgain(
  state: RequestState,
  delayMs: Milliseconds = state.attempt < IMMEDIATE_ATTEMPTS
    ? 0
    : RETRY_DELAY_MS,
): RequestStep {
  if (state.attempt >= MAXIMUM_ATTEMPTS && !state.spec.isJob) {
    return endRequest(state, outcomeWithoutAnswer(state), EndReason.noCapacity);
  }
  const attempt = state.attempt + 1;
  const { avoid: avoidedWorkers } = state;
  return {
    state: {
      ...state,
      attempt,
      parts: [],
      phase: RequestPhase.placing,
      mayHaveRunBefore: mayHaveRun(state),
      lostBefore: hasLostPart(state),
      checkpoints: resumableCheckpoints(state),
      afterStop: undefined,
    },
    effects: [{ kind: "place", attempt, avoid: avoidedWorkers, delayMs }],
  };
}

function handlePlaceRefused(
  state: RequestState,
  message: RequestMessage & { kind: "place-refused" },
): RequestStep {
  if (state.phase !== RequestPhase.placing) return withoutEffects(state);
  const { reason, retryAfterMs, peer } = message;
  // An accepted job waits indefinitely, unless it can never run.
  if (state.spec.isJob && reason !== EndReason.neverFits) {
    return placeAgain(state, retryAfterMs ?? RETRY_DELAY_MS);
  }
  const details = { retryAfterMs, peer, step: "place" };
  return endRequest(state, outcomeWithoutAnswer(state), reason, details);
}

function handleClaimFailed(
  state: RequestState,
  retryAfterMs: Milliseconds,
): RequestStep {
  if (state.phase !== RequestPhase.claiming) return withoutEffects(state);
  const released = releaseHolds(state);
  if (state.spec.isJob) {
    const again = placeAgain(state, retryAfterMs);
    return {
      state: again.state,
      effects: [...released.effects, ...again.effects],
    };
  }
  const details = { retryAfterMs, peer: "platform", step: "claim" };
  const ended = endRequest(
    released.state,
    outcomeWithoutAnswer(state),
    EndReason.logUnavailable,
    details,
  );
  return {
    state: ended.state,
    effects: [...released.effects, ...ended.effects],
  };
}

function releaseHolds(state: RequestState): RequestStep {
  const effects = state.parts.map((target, part): RequestEffect => ({
    kind: "stop",
    attempt: state.attempt,
    part,
    target,
  }));
  return { state, effects };
}

/**
 * Joins the request of another entry that now owns the key: this entry sends no
 * more starts and waits for the owner's result.
 */
function loseOwnership(state: RequestState, owner: string): RequestStep {
  const isPlacing = state.phase === RequestPhase.placing;
  const hasStarted = state.phase === RequestPhase.running ||
    state.phase === RequestPhase.stopping;
  const effects: RequestEffect[] = [];
  if (isPlacing) effects.push({ kind: "withdraw", attempt: state.attempt });
  else if (!hasStarted) effects.push(...releaseHolds(state).effects);
  effects.push({ kind: "join", owner });
  return { state: { ...state, phase: RequestPhase.joined }, effects };
}

/**
 * Ends a request that is being placed; otherwise stops its parts first and
 * keeps the reason in `result`. The outcome is determined once the parts are
 * settled.
 */
function abort(state: RequestState, reason: EndReason): RequestStep {
  const result = createResult(state, Outcome.unknown, reason);
  const next = { ...state, result };
  if (state.phase === RequestPhase.placing) {
    const ended = endRequest(next, outcomeWithoutAnswer(state), reason);
    const withdraw: RequestEffect = {
      kind: "withdraw",
      attempt: state.attempt,
    };
    return { state: ended.state, effects: [withdraw, ...ended.effects] };
  }
  return stopParts(next, "end");
}

function endRequest(
  state: RequestState,
  outcome: Outcome,
  reason: EndReason,
  details: Partial<RequestResult> = {},
): RequestStep {
  const result = { ...createResult(state, outcome, reason), ...details };
  const effects: RequestEffect[] = [{ kind: "end", result }];
  // Once the claim is released, the caller may retry through any entry.
  if (outcome === Outcome.notRun && !state.spec.repeatable) {
    effects.unshift({ kind: "release-claim", attempt: state.attempt });
  }
  return { state: { ...state, phase: RequestPhase.ended, result }, effects };
}

function createResult(
  state: RequestState,
  outcome: Outcome,
  reason: EndReason,
): RequestResult {
  const answers = outcome === Outcome.done
    ? state.parts.map((part) => part.answer ?? "")
    : [];
  const failedPart = state.parts.find((part) =>
    part.phase === PartPhase.lost || part.phase === PartPhase.stopped
  );
  return {
    outcome,
    reason,
    answers,
    attempts: state.attempt,
    peer: failedPart?.worker ?? "self",
    step: state.phase,
    detail: failedPart?.failure,
  };
}

/** Tests whether every part ended with an answer; false without parts. */
function isAnswered({ spec, parts }: RequestState): boolean {
  return parts.length === spec.shape.parts &&
    parts.every((part) => part.phase === PartPhase.ended);
}

/** Tests whether a part is in a final phase. */
function isSettled(part: RequestPart): boolean {
  return part.phase === PartPhase.ended ||
    part.phase === PartPhase.released ||
    part.phase === PartPhase.stopped ||
    part.phase === PartPhase.lost;
}

function isRunningOrEnded(part: RequestPart): boolean {
  return part.phase === PartPhase.running || part.phase === PartPhase.ended;
}

function partMayHaveRun(part: RequestPart): boolean {
  return part.phase === PartPhase.sent ||
    part.phase === PartPhase.running ||
    part.phase === PartPhase.ended ||
    part.phase === PartPhase.stopped ||
    part.phase === PartPhase.lost;
}

function mayHaveRun(state: RequestState): boolean {
  return state.mayHaveRunBefore || state.parts.some(partMayHaveRun);
}

function withCheckpoint(
  state: RequestState,
  message: PartMessage,
): RequestState {
  if (message.kind !== "part-stopped") return state;
  const { part, checkpoint } = message;
  if (checkpoint === undefined) return state;
  return {
    ...state,
    checkpoints: { ...state.checkpoints, [part]: checkpoint },
  };
}

/**
 * Returns the checkpoints for the next attempt. The parts of a gang job work
 * together, so they resume together or all start anew: a part that ended or was
 * lost has no checkpoint that fits those of the others.
 */
function resumableCheckpoints(
  { spec, parts, checkpoints }: RequestState,
): RequestState["checkpoints"] {
  if (spec.shape.parts === 1 || !parts.some(partMayHaveRun)) return checkpoints;
  const canResume = parts.every(({ phase, failure }, index) =>
    phase === PartPhase.stopped && failure === undefined &&
    checkpoints[index] !== undefined
  );
  return canResume ? checkpoints : {};
}

function withPart(
  state: RequestState,
  index: number,
  part: RequestPart,
): RequestState {
  return {
    ...state,
    parts: state.parts.map((current, at) => at === index ? part : current),
  };
}
