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

/** Time before the end of a hold after which no start is sent under it. */
export const START_MARGIN_MS: Milliseconds = 250;
/** Added for gang jobs: run messages that straddle the end of the holds start a part of the gang only. */
const GANG_START_MARGIN_MS: Milliseconds = 750;
const MAXIMUM_RETRIES = 2; // after failures; refused starts and preemptions are not counted
const MAXIMUM_ATTEMPTS = 50;
const QUICK_ATTEMPTS = 3; // attempts that follow each other without a delay
const RETRY_DELAY_MS: Milliseconds = 200;

/**
 * Starts the life of a new request.
 *
 * @param spec the request
 * @param now time by the owner's clock, in milliseconds
 * @param options number of the first attempt; larger than 1 when earlier claims of the key are known
 * @returns the state in its first attempt
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
    ranBefore: false,
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
 * Continues a request whose former owner is gone. The caller has adopted the
 * key in the log, waited one hold time to live, and asked the workers.
 *
 * @param spec the request
 * @param entry what the log says about the key
 * @param parts what the workers said about the parts of the last claim
 * @param now time by the owner's clock, in milliseconds
 * @returns the state to go on from
 */
export function resumeRequest(
  spec: RequestSpec,
  entry: LedgerEntry,
  parts: readonly RequestPart[],
  now: Milliseconds,
): RequestStep {
  const fresh = createRequest(spec, now).state;
  const state: RequestState = {
    ...fresh,
    attempt: entry.attempt,
    parts,
    phase: RequestPhase.running,
  };
  if (!mayHaveRun(state)) return stopParts(state, "retry");
  if (hasWholeAnswer(state)) return end(state, Outcome.done, EndReason.none);
  // Holds lapse during the adopter's wait, so a gang that does not run as a whole cannot be completed.
  if (!parts.every(isAlive)) {
    return stopParts(state, spec.repeatable ? "retry" : "end");
  }
  const effects = parts.map((_, part) => watch(state, part));
  return { state, effects };
}

/**
 * Applies one message to a request.
 *
 * @param state state before the message
 * @param message the message
 * @param now time by the owner's clock, in milliseconds
 * @returns the state after it and what the host has to do
 */
export function stepRequest(
  state: RequestState,
  message: RequestMessage,
  now: Milliseconds,
): RequestStep {
  if (isFinal(state)) return lateMessage(state, message);
  if (message.kind === "cancel") return giveUp(state, EndReason.cancelled);
  if (message.kind === "deadline") return giveUp(state, EndReason.deadline);
  if (message.kind === "taken-over") return loseOwnership(state, message.owner);
  if (message.attempt !== state.attempt) return lateMessage(state, message);
  switch (message.kind) {
    case "placed":
      return state.phase === RequestPhase.placing
        ? placed(state, message.parts, message.holdsEndAt, now)
        : unchanged(state);
    case "place-refused":
      return placeRefused(state, message);
    case "placer-lost":
      return state.phase === RequestPhase.placing
        ? placeAgain(state)
        : unchanged(state);
    case "claim-won":
      return state.phase === RequestPhase.claiming
        ? startParts(state, now)
        : unchanged(state);
    case "claim-lost":
      return loseOwnership(state, message.owner);
    case "claim-failed":
      return claimFailed(state, message.retryAfterMs);
    default:
      return partChanged(state, message, now);
  }
}

function isFinal(state: RequestState): boolean {
  return state.phase === RequestPhase.ended ||
    state.phase === RequestPhase.joined;
}

function unchanged(state: RequestState): RequestStep {
  return { state, effects: [] };
}

/** Holds that arrive after their attempt ended are given back. */
function lateMessage(
  state: RequestState,
  message: RequestMessage,
): RequestStep {
  if (message.kind !== "placed") return unchanged(state);
  const effects = message.parts.map((target, part): RequestEffect => ({
    kind: "stop",
    attempt: message.attempt,
    part,
    target,
  }));
  return { state, effects };
}

function placed(
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

/** Requests that must not run twice are checked against the log between hold and start. */
function needsClaim(spec: RequestSpec): boolean {
  return !spec.repeatable || spec.isJob;
}

function startParts(state: RequestState, now: Milliseconds): RequestStep {
  if (!holdsAreLive(state, now)) return stopParts(state, "retry");
  return state.parts.length === 1
    ? sendToParts(state, "run")
    : sendToParts(state, "prepare");
}

/** A start that could arrive after the hold lapsed would escape an adopter's wait. */
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

function partChanged(
  state: RequestState,
  message: PartMessage,
  now: Milliseconds,
): RequestStep {
  const known = state.parts[message.part];
  if (known === undefined || isSettled(known)) return unchanged(state);
  const changed = withPart(state, message.part, partAfter(known, message));
  const next = withCheckpoint(changed, message);
  if (next.phase === RequestPhase.stopping) return finishStop(next);
  switch (message.kind) {
    case "part-ready":
      return runGang(next, now);
    case "part-running":
      return { state: next, effects: [watch(next, message.part)] };
    case "part-ended":
      return hasWholeAnswer(next)
        ? end(next, Outcome.done, EndReason.none)
        : unchanged(next);
    case "part-released":
      return partRefused(next, known);
    default:
      return partLostOrFailed(next, known, message);
  }
}

function partAfter(known: RequestPart, message: PartMessage): RequestPart {
  switch (message.kind) {
    case "part-ready":
      return known.phase === PartPhase.preparing
        ? { ...known, phase: PartPhase.ready }
        : known;
    case "part-running":
      return { ...known, phase: PartPhase.running };
    case "part-ended":
      return { ...known, phase: PartPhase.ended, answer: message.answer };
    case "part-released":
      return { ...known, phase: PartPhase.released };
    case "part-lost":
      return { ...known, phase: phaseIfRun(known, PartPhase.lost) };
    case "part-failed": {
      const { failure } = message;
      return { ...known, phase: PartPhase.stopped, failure };
    }
    case "part-stopped":
      return { ...known, phase: phaseIfRun(known, PartPhase.stopped) };
  }
}

/** A part that was never told to run did not run, whatever became of its worker. */
function phaseIfRun(known: RequestPart, phase: PartPhase): PartPhase {
  return hasPossiblyRun(known) ? phase : PartPhase.released;
}

/** Runs the parts of a gang job once every one of them is ready. */
function runGang(state: RequestState, now: Milliseconds): RequestStep {
  const isReady = state.phase === RequestPhase.starting &&
    state.parts.every((part) => part.phase === PartPhase.ready);
  if (!isReady) return unchanged(state);
  if (!holdsAreLive(state, now + GANG_START_MARGIN_MS)) {
    return stopParts(state, "retry");
  }
  return sendToParts(state, "run");
}

function watch(state: RequestState, part: number): RequestEffect {
  const target = state.parts[part];
  return { kind: "watch", attempt: state.attempt, part, target };
}

/** The worker confirmed that this part was not started and never will be. */
function partRefused(state: RequestState, known: RequestPart): RequestStep {
  const next = { ...state, avoid: [...state.avoid, known.worker] };
  return stopParts(next, mayStartAgain(next) ? "retry" : "end");
}

function partLostOrFailed(
  state: RequestState,
  known: RequestPart,
  message: PartMessage,
): RequestStep {
  const isPreempted = message.kind === "part-stopped";
  const avoid = isPreempted ? state.avoid : [...state.avoid, known.worker];
  const retries = isPreempted ? state.retries : state.retries + 1;
  const next = { ...state, avoid, retries };
  return stopParts(next, mayStartAgain(next) ? "retry" : "end");
}

/** A request that is not repeatable starts again only when no task of it can have run. */
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

function finishStop(state: RequestState): RequestStep {
  if (!state.parts.every(isSettled)) return unchanged(state);
  if (hasWholeAnswer(state)) return end(state, Outcome.done, EndReason.none);
  if (state.afterStop === "retry" && mayStartAgain(state)) {
    return placeAgain(state);
  }
  return end(state, outcomeWithoutAnswer(state), endReason(state));
}

/** "Not run" is said only when every start that was sent was refused by its worker. */
function outcomeWithoutAnswer(state: RequestState): Outcome {
  if (!mayHaveRun(state)) return Outcome.notRun;
  return hasLostPart(state) ? Outcome.unknown : Outcome.failed;
}

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
  delayMs: Milliseconds = state.attempt < QUICK_ATTEMPTS ? 0 : RETRY_DELAY_MS,
): RequestStep {
  if (state.attempt >= MAXIMUM_ATTEMPTS && !state.spec.isJob) {
    return end(state, outcomeWithoutAnswer(state), EndReason.noCapacity);
  }
  const attempt = state.attempt + 1;
  const { avoid } = state;
  return {
    state: {
      ...state,
      attempt,
      parts: [],
      phase: RequestPhase.placing,
      ranBefore: mayHaveRun(state),
      lostBefore: hasLostPart(state),
      afterStop: undefined,
    },
    effects: [{ kind: "place", attempt, avoid, delayMs }],
  };
}

function placeRefused(
  state: RequestState,
  message: RequestMessage & { kind: "place-refused" },
): RequestStep {
  if (state.phase !== RequestPhase.placing) return unchanged(state);
  const { reason, retryAfterMs, peer } = message;
  // An accepted job waits for as long as it takes, unless it can never run.
  if (state.spec.isJob && reason !== EndReason.neverFits) {
    return placeAgain(state, retryAfterMs ?? RETRY_DELAY_MS);
  }
  const details = { retryAfterMs, peer, step: "place" };
  return end(state, outcomeWithoutAnswer(state), reason, details);
}

function claimFailed(
  state: RequestState,
  retryAfterMs: Milliseconds,
): RequestStep {
  if (state.phase !== RequestPhase.claiming) return unchanged(state);
  const stopped = abandonHolds(state);
  if (state.spec.isJob) {
    const again = placeAgain(state, retryAfterMs);
    return {
      state: again.state,
      effects: [...stopped.effects, ...again.effects],
    };
  }
  const details = { retryAfterMs, peer: "platform", step: "claim" };
  const ended = end(
    stopped.state,
    outcomeWithoutAnswer(state),
    EndReason.logUnavailable,
    details,
  );
  return {
    state: ended.state,
    effects: [...stopped.effects, ...ended.effects],
  };
}

function abandonHolds(state: RequestState): RequestStep {
  const effects = state.parts.map((target, part): RequestEffect => ({
    kind: "stop",
    attempt: state.attempt,
    part,
    target,
  }));
  return { state, effects };
}

/** Another entry owns the key now: this one starts nothing more and asks the owner. */
function loseOwnership(state: RequestState, owner: string): RequestStep {
  const isPlacing = state.phase === RequestPhase.placing;
  const hasStarted = state.phase === RequestPhase.running ||
    state.phase === RequestPhase.stopping;
  const effects: RequestEffect[] = [];
  if (isPlacing) effects.push({ kind: "withdraw", attempt: state.attempt });
  else if (!hasStarted) effects.push(...abandonHolds(state).effects);
  effects.push({ kind: "join", owner });
  return { state: { ...state, phase: RequestPhase.joined }, effects };
}

function giveUp(state: RequestState, reason: EndReason): RequestStep {
  const result = resultOf(state, Outcome.unknown, reason);
  const next = { ...state, result };
  if (state.phase === RequestPhase.placing) {
    const ended = end(next, outcomeWithoutAnswer(state), reason);
    const withdraw: RequestEffect = {
      kind: "withdraw",
      attempt: state.attempt,
    };
    return { state: ended.state, effects: [withdraw, ...ended.effects] };
  }
  return stopParts(next, "end");
}

function end(
  state: RequestState,
  outcome: Outcome,
  reason: EndReason,
  details: Partial<RequestResult> = {},
): RequestStep {
  const result = { ...resultOf(state, outcome, reason), ...details };
  const effects: RequestEffect[] = [{ kind: "end", result }];
  // The caller's next try may run through any entry once the claim is released.
  if (outcome === Outcome.notRun && !state.spec.repeatable) {
    effects.unshift({ kind: "release-claim", attempt: state.attempt });
  }
  return { state: { ...state, phase: RequestPhase.ended, result }, effects };
}

function resultOf(
  state: RequestState,
  outcome: Outcome,
  reason: EndReason,
): RequestResult {
  const answers = outcome === Outcome.done
    ? state.parts.map((part) => part.answer ?? "")
    : [];
  const culprit = state.parts.find((part) =>
    part.phase === PartPhase.lost || part.phase === PartPhase.stopped
  );
  return {
    outcome,
    reason,
    answers,
    attempts: state.attempt,
    peer: culprit?.worker ?? "self",
    step: state.phase,
    detail: culprit?.failure,
  };
}

/** An attempt without parts has no answer either. */
function hasWholeAnswer({ spec, parts }: RequestState): boolean {
  return parts.length === spec.shape.parts &&
    parts.every((part) => part.phase === PartPhase.ended);
}

function isSettled(part: RequestPart): boolean {
  return part.phase === PartPhase.ended ||
    part.phase === PartPhase.released ||
    part.phase === PartPhase.stopped ||
    part.phase === PartPhase.lost;
}

function isAlive(part: RequestPart): boolean {
  return part.phase === PartPhase.running || part.phase === PartPhase.ended;
}

function hasPossiblyRun(part: RequestPart): boolean {
  return part.phase === PartPhase.sent ||
    part.phase === PartPhase.running ||
    part.phase === PartPhase.ended ||
    part.phase === PartPhase.stopped ||
    part.phase === PartPhase.lost;
}

function mayHaveRun(state: RequestState): boolean {
  return state.ranBefore || state.parts.some(hasPossiblyRun);
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

function withPart(
  state: RequestState,
  index: number,
  part: RequestPart,
): RequestState {
  return {
    ...state,
    parts: state.parts.map((known, at) => at === index ? part : known),
  };
}
