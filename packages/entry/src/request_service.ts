import {
  type Clock,
  createIdentifier,
  ErrorCode,
  type EventLog,
  Events,
  keyTime,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  type AccountRule,
  type ClassRule,
  type LedgerEntry,
  LedgerVerdict,
  Outcome,
  RequestPhase,
  type RequestResult,
  type RequestSpec,
  type Rules,
} from "@rattanhill/core";
import {
  type FindReply__Output,
  MAXIMUM_PARTS,
  type RequestBody,
  sha256Hex,
} from "@rattanhill/protocol";
import {
  type Adopter,
  readRecordedResult,
  readReplyResult,
} from "./adopter.ts";
import type { LogAppender } from "./log_appender.ts";
import type { LogFollower } from "./log_follower.ts";
import { RequestProblem } from "./problems.ts";
import type { RequestHost } from "./request_host.ts";
import type { OwnedRequest, RequestRegistry } from "./request_registry.ts";
import type { EntryLimits, EntryTiming } from "./settings.ts";

/** State of a request as its caller sees it. */
export interface RequestView {
  id: string;
  /** Absent while the request is in progress. */
  result?: RequestResult;
  /** Phase of a request in progress. */
  phase?: string;
}

/** A request as its caller sent it. */
export interface Submission {
  account: AccountRule;
  /** Idempotency key, if the caller sent one. */
  key?: string;
  body: RequestBody;
  /** Text of the body, for its digest. */
  text: string;
  /** Whether the caller wants the identifier at once and the result later. */
  isAsync: boolean;
}

/** Everything that callers can ask for. */
export interface RequestService {
  /** Admits a request and waits for its end; a job is returned once it is recorded. @throws RequestProblem */
  submit(submission: Submission): Promise<RequestView>;
  /** @returns the request, after waiting for its end. @throws RequestProblem */
  read(
    account: AccountRule,
    id: string,
    waitMs: Milliseconds,
  ): Promise<RequestView>;
  /** Cancels a request. @throws RequestProblem */
  cancel(account: AccountRule, id: string): Promise<RequestView>;
}

/** Options of {@link createRequestService}. */
export interface RequestServiceOptions {
  owner: string;
  clock: Clock;
  log: EventLog;
  timing: EntryTiming;
  limits: EntryLimits;
  follower: LogFollower;
  appender: LogAppender;
  registry: RequestRegistry;
  host: RequestHost;
  adopter: Adopter;
  nextOrdinal(): number;
  rules(): Rules;
  isLeaving(): boolean;
  /** @returns whether the log and every entry deny that they know a request */
  isUnknownEverywhere(account: string, id: string): Promise<boolean>;
  /** @returns whether every known entry could be asked and denies the key */
  isDeniedByAll(account: string, key: string): Promise<boolean>;
  joined(): void;
  /** Asks all other entries for a request. @returns the reply of the one that has it */
  findElsewhere(
    query: { account: string; key?: string; id?: string; waitMs: number },
  ): Promise<FindReply__Output | undefined>;
  /** Cancels at all other entries. */
  cancelElsewhere(
    account: string,
    id: string,
  ): Promise<FindReply__Output | undefined>;
}

const DEFAULT_DEADLINE_MS: Milliseconds = 60_000;
const DEFAULT_JOB_DEADLINE_MS: Milliseconds = 7 * 24 * 3_600_000;
const MAXIMUM_CLOCK_SKEW_MS: Milliseconds = 60_000; // clocks of callers may be ahead
const RETRY_AFTER_MS: Milliseconds = 2_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/**
 * Creates the service behind the callers' interface.
 *
 * @param options parts of the entry
 * @returns the service
 */
export function createRequestService(
  options: RequestServiceOptions,
): RequestService {
  const { clock, timing, limits, follower, registry, adopter } = options;

  const submit = async (submission: Submission): Promise<RequestView> => {
    const spec = createSpec(submission);
    const payload = JSON.stringify(submission.body.payload ?? null);
    if (submission.key !== undefined) {
      const earlier = await joinEarlier(spec, payload);
      if (earlier !== undefined) return earlier;
    }
    enforceLimits(submission.account, spec);
    if (!spec.repeatable || spec.isJob) await requireCurrentLog(spec);
    if (spec.isJob) return await acceptJob(spec, payload);
    const attempt =
      (follower.ledger.find(spec.account, spec.key)?.attempt ?? 0) + 1;
    return await waitForResult(options.host.admit(spec, payload, { attempt }));
  };

  const createSpec = (
    { account, key, body, text, isAsync }: Submission,
  ): RequestSpec => {
    const rule = findClass(account, body.class);
    const repeatable = rule.repeatable && body.repeatable !== false;
    const id = createIdentifier();
    checkKey(key, repeatable);
    const parts = body.parts ?? rule.parts;
    if (parts > MAXIMUM_PARTS) {
      throw new RequestProblem(422, `at most ${MAXIMUM_PARTS} parts`);
    }
    return {
      id,
      account: account.name,
      key: key ?? id,
      class: rule.name,
      shape: {
        parts,
        accelerators: body.accelerators ?? rule.accelerators,
        adjacent: body.adjacent ?? rule.adjacent,
      },
      repeatable,
      // Work that must not run twice cannot be stopped and started again.
      preemptible: rule.preemptible && repeatable,
      priority: rule.priority,
      expectedMs: body.expectedMs ?? rule.expectedMs,
      deadlineMs: body.deadlineMs ??
        (isAsync ? DEFAULT_JOB_DEADLINE_MS : DEFAULT_DEADLINE_MS),
      isJob: isAsync,
      bodyDigest: sha256Hex(text),
    };
  };

  const findClass = (account: AccountRule, name: string): ClassRule => {
    const rule = options.rules().classes.get(name);
    if (rule === undefined) {
      throw new RequestProblem(400, `class ${JSON.stringify(name)} is unknown`);
    }
    if (account.classes.length > 0 && !account.classes.includes(name)) {
      const text = `class ${name} is not allowed for account ${account.name}`;
      throw new RequestProblem(403, text, { code: ErrorCode.requestForbidden });
    }
    return rule;
  };

  const checkKey = (key: string | undefined, repeatable: boolean): void => {
    if (key !== undefined && !KEY_PATTERN.test(key)) {
      throw new RequestProblem(400, "Idempotency-Key has an invalid form");
    }
    if (repeatable) return;
    const time = keyTime(key ?? "");
    if (time === undefined) {
      const text = "a request that is not repeatable needs an " +
        "Idempotency-Key that is a UUIDv7";
      throw new RequestProblem(400, text);
    }
    const age = clock.wallTime() - time;
    if (age > timing.claimWindowMs) {
      throw new RequestProblem(422, "Idempotency-Key is older than the window");
    }
    if (age < -MAXIMUM_CLOCK_SKEW_MS) {
      throw new RequestProblem(400, "Idempotency-Key lies in the future");
    }
  };

  const joinEarlier = async (
    spec: RequestSpec,
    payload: string,
  ): Promise<RequestView | undefined> => {
    const owned = registry.findKey(spec.account, spec.key);
    if (owned !== undefined && !isRetryAllowed(owned.result)) {
      requireSameBody(owned.spec.bodyDigest, spec);
      return await joinOwned(owned, spec);
    }
    const entry = follower.ledger.find(spec.account, spec.key);
    if (entry !== undefined && isKeyTaken(entry)) {
      requireSameBody(entry.bodyDigest, spec);
      recordJoin(entry.request);
      if (spec.isJob) return describeLedgerEntry(entry);
      const result = await adopter.join(spec, payload);
      return { id: entry.request, result };
    }
    if (!spec.repeatable || owned !== undefined) return undefined;
    const reply = await options.findElsewhere({
      account: spec.account,
      key: spec.key,
      waitMs: 0,
    });
    return reply && await joinAtPeer(reply, spec);
  };

  /** A claim that was not released may have run, also when this entry owns it and knows no request of it. */
  const isKeyTaken = (entry: LedgerEntry): boolean =>
    entry.result === undefined
      ? !entry.isReleased
      : !isRetryAllowed(entry.result);

  const joinOwned = async (
    owned: OwnedRequest,
    spec: RequestSpec,
  ): Promise<RequestView> => {
    recordJoin(owned.spec.id);
    if (spec.isJob) return describeOwned(owned);
    const result = await registry.waitFor(owned, spec.deadlineMs);
    return result === undefined
      ? describeOwned(owned)
      : { id: owned.spec.id, result };
  };

  const joinAtPeer = async (
    first: FindReply__Output,
    spec: RequestSpec,
  ): Promise<RequestView | undefined> => {
    requireSameBody(first.bodyDigest, spec);
    recordJoin(first.id);
    const joinUntil = clock.now() + spec.deadlineMs;
    let reply: FindReply__Output | undefined = first;
    while (reply !== undefined && clock.now() < joinUntil) {
      const result = readReplyResult(reply);
      if (isRetryAllowed(result)) return undefined;
      if (result !== undefined) return { id: reply.id, result };
      reply = await options.findElsewhere({
        account: spec.account,
        id: first.id,
        waitMs: JOIN_WAIT_MS,
      });
    }
    return undefined; // its owner is gone, and a repeatable request may run again
  };

  const recordJoin = (request: string): void => {
    options.log(Events.requestJoined, { request });
    options.joined();
  };

  const enforceLimits = (account: AccountRule, spec: RequestSpec): void => {
    if (options.isLeaving()) {
      throw createUnavailableProblem("this entry is shutting down", 200);
    }
    if (registry.activeCount() >= limits.requests) {
      throw createUnavailableProblem(
        "this entry has too many requests in progress",
      );
    }
    const waiting = registry.waitingCount(account.name);
    if (waiting < account.waitingLimit) return;
    const text = `${waiting} requests of ${spec.account} are waiting, ` +
      `the limit is ${account.waitingLimit}`;
    throw new RequestProblem(429, text, { retryAfterMs: RETRY_AFTER_MS });
  };

  /** Without the log, an earlier try of the same key may run under an entry that cannot be asked. */
  const requireCurrentLog = async (
    { account, key }: RequestSpec,
  ): Promise<void> => {
    if (follower.isCurrent()) return;
    const text = "the platform's log does not answer";
    if (await options.isDeniedByAll(account, key)) {
      throw createUnavailableProblem(text);
    }
    throw new RequestProblem(503, text, {
      step: "admit",
      outcome: Outcome.unknown,
      retryAfterMs: RETRY_AFTER_MS,
    });
  };

  const acceptJob = async (
    spec: RequestSpec,
    payload: string,
  ): Promise<RequestView> => {
    const record = createRecordBase(spec);
    const verdict = await options.appender.append(
      { kind: "accept", ...record, spec, payload },
      // The log has the job now, whatever its caller was told: other entries answer for it.
      { onLateAccept: () => options.host.admit(spec, payload) },
    );
    if (verdict === LedgerVerdict.accepted) {
      const { state } = options.host.admit(spec, payload);
      return { id: spec.id, phase: state.phase };
    }
    if (verdict === LedgerVerdict.rejected) {
      const entry = follower.ledger.find(spec.account, spec.key);
      if (entry === undefined) {
        throw createUnavailableProblem("the job was not recorded");
      }
      requireSameBody(entry.bodyDigest, spec);
      return describeLedgerEntry(entry);
    }
    throw verdict === "failed"
      ? createUnavailableProblem(
        "the job could not be recorded",
        RETRY_AFTER_MS,
      )
      : createUncertainJobProblem();
  };

  const createRecordBase = ({ account, key }: RequestSpec) => ({
    id: createIdentifier(),
    account,
    key,
    owner: options.owner,
    ordinal: options.nextOrdinal(),
  });

  const waitForResult = async (owned: OwnedRequest): Promise<RequestView> => {
    const waitMs = owned.spec.deadlineMs + DEADLINE_GRACE_MS;
    const result = await registry.waitFor(owned, waitMs);
    return result === undefined
      ? describeOwned(owned)
      : { id: owned.spec.id, result };
  };

  const read = async (
    account: AccountRule,
    id: string,
    waitMs: Milliseconds,
  ): Promise<RequestView> => {
    const owned = registry.find(id);
    if (owned !== undefined && owned.spec.account === account.name) {
      await registry.waitFor(owned, waitMs);
      return describeOwned(owned);
    }
    const entry = follower.ledger.findRequest(id);
    if (entry?.account === account.name && entry.result !== undefined) {
      return describeLedgerEntry(entry);
    }
    const reply = await options.findElsewhere({
      account: account.name,
      id,
      waitMs,
    });
    if (reply !== undefined) return describeReply(reply);
    if (entry?.account === account.name) return describeLedgerEntry(entry);
    throw await createMissingProblem(account, id);
  };

  const cancel = async (
    account: AccountRule,
    id: string,
  ): Promise<RequestView> => {
    const owned = registry.find(id);
    if (owned !== undefined && owned.spec.account === account.name) {
      owned.send({ kind: "cancel" });
      await registry.waitFor(owned, CANCEL_WAIT_MS);
      return describeOwned(owned);
    }
    const reply = await options.cancelElsewhere(account.name, id);
    if (reply !== undefined) return describeReply(reply);
    const entry = follower.ledger.findRequest(id);
    if (entry?.account === account.name) return describeLedgerEntry(entry);
    throw await createMissingProblem(account, id);
  };

  const createMissingProblem = async (
    { name }: AccountRule,
    id: string,
  ): Promise<RequestProblem> =>
    await options.isUnknownEverywhere(name, id)
      ? createNotFoundProblem(id)
      : createLookupProblem(id);

  return { submit, read, cancel };
}

const JOIN_WAIT_MS: Milliseconds = 2_000;
const CANCEL_WAIT_MS: Milliseconds = 5_000;
const DEADLINE_GRACE_MS: Milliseconds = 30_000; // tasks that must be stopped are asked for this long

/** A request that certainly did not run may be tried again under the same key. */
function isRetryAllowed(
  result: { outcome: string } | undefined,
): boolean {
  return result?.outcome === Outcome.notRun;
}

function requireSameBody(digest: string, spec: RequestSpec): void {
  if (digest === spec.bodyDigest) return;
  throw new RequestProblem(409, "the key was used with another body", {
    code: ErrorCode.keyConflict,
  });
}

function createUnavailableProblem(
  text: string,
  retryAfterMs: Milliseconds = RETRY_AFTER_MS,
): RequestProblem {
  return new RequestProblem(503, text, { retryAfterMs });
}

/** A job whose record may still appear is looked up by its key. */
function createUncertainJobProblem(): RequestProblem {
  const text = "the job may have been recorded; ask again with the same key";
  return new RequestProblem(503, text, {
    step: "accept",
    outcome: Outcome.unknown,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createNotFoundProblem(id: string): RequestProblem {
  return new RequestProblem(404, `request ${id} is not known`, {
    code: ErrorCode.requestNotFound,
    step: "read",
    outcome: Outcome.unknown,
  });
}

/** An entry that is cut off from others cannot tell that nobody knows a request. */
function createLookupProblem(id: string): RequestProblem {
  return new RequestProblem(503, `request ${id} cannot be looked up now`, {
    step: "read",
    outcome: Outcome.unknown,
    retryAfterMs: RETRY_AFTER_MS,
  });
}

/** Describes a request of this entry. */
function describeOwned({ spec, state, result }: OwnedRequest): RequestView {
  return { id: spec.id, result, phase: state.phase };
}

function describeLedgerEntry(entry: LedgerEntry): RequestView {
  if (entry.result !== undefined) {
    return { id: entry.request, result: readRecordedResult(entry) };
  }
  const phase = entry.attempt === 0
    ? RequestPhase.placing
    : RequestPhase.running;
  return { id: entry.request, phase };
}

function describeReply(reply: FindReply__Output): RequestView {
  return {
    id: reply.id,
    result: readReplyResult(reply),
    phase: reply.phase,
  };
}
