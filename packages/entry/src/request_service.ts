import {
  type Clock,
  createIdentifier,
  ErrorCode,
  type EventLog,
  Events,
  extractKeyTime,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  type AccountRule,
  type ClassRule,
  EndReason,
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

/** State of a request as shown to its caller. */
export interface RequestView {
  /** Identifier of the request, assigned by the entry that admitted it. */
  id: string;
  /** Absent while the request is in progress. */
  result?: RequestResult;
  /** Phase of the request at the entry that owns it. */
  phase?: string;
}

/** A request as its caller sent it. */
export interface Submission {
  account: AccountRule;
  /** Idempotency key, if the caller sent one. */
  key?: string;
  /** Parsed and validated body. */
  body: RequestBody;
  /** Raw text of the body, over which the digest is computed. */
  text: string;
  /**
   * Whether the request is a job: the caller gets the identifier at once and
   * reads the result later.
   */
  isAsync: boolean;
}

/** Submits, reads and cancels requests on behalf of their callers. */
export interface RequestService {
  /**
   * Admits a request, or joins the earlier request with the same key.
   *
   * @param submission the request as its caller sent it
   * @returns the request with its result; for a job the request without a
   * result, as soon as the log has recorded it
   * @throws RequestProblem when the request is refused
   */
  submit(submission: Submission): Promise<RequestView>;
  /**
   * Reads the state of a request.
   *
   * @param account account of the caller
   * @param id identifier of the request
   * @param waitMs longest time to wait for the result
   * @returns the request, with its result if it ended within that time
   * @throws RequestProblem when the request is unknown or cannot be looked up
   */
  read(
    account: AccountRule,
    id: string,
    waitMs: Milliseconds,
  ): Promise<RequestView>;
  /**
   * Cancels a request and waits a limited time for its end.
   *
   * @param account account of the caller
   * @param id identifier of the request
   * @returns the request, with its result if it has ended
   * @throws RequestProblem when the request is unknown or cannot be looked up
   */
  cancel(account: AccountRule, id: string): Promise<RequestView>;
}

/** Options of {@link createRequestService}. */
export interface RequestServiceOptions {
  /** Identifier of this entry process, which owns the requests it admits. */
  owner: string;
  clock: Clock;
  log: EventLog;
  timing: EntryTiming;
  limits: EntryLimits;
  follower: LogFollower;
  appender: LogAppender;
  registry: RequestRegistry;
  requestHost: RequestHost;
  adopter: Adopter;
  /** @returns the next sequence number of this entry's ledger records */
  nextOrdinal(): number;
  /** @returns the rules in force */
  rules(): Rules;
  /** @returns whether the entry is shutting down */
  isLeaving(): boolean;
  /**
   * @returns whether the request is certainly unknown: the log was read to its
   * end, every other entry replied, and none of them has the request
   */
  isRequestUnknownEverywhere(account: string, id: string): Promise<boolean>;
  /**
   * @returns whether an entry that no longer responds may have admitted a
   * request with the key
   */
  mayHaveLostOwner(key: string): boolean;
  /**
   * @returns whether every other entry replied and none has a request with the
   * key that may have run
   */
  isKeyUnknownToAllPeers(account: string, key: string): Promise<boolean>;
  /** Counts a submission that joined an earlier request. */
  countJoin(): void;
  /**
   * Queries all live peers for a request.
   *
   * @param query account and either key or identifier of the request
   * @returns the reply of the entry that has it, or `undefined`
   */
  findAtPeers(
    query: { account: string; key?: string; id?: string; waitMs: number },
  ): Promise<FindReply__Output | undefined>;
  /**
   * Cancels a request that another entry owns.
   *
   * @param account account of the caller
   * @param id identifier of the request
   * @returns the reply of the entry that has it, or `undefined`
   */
  cancelAtPeers(
    account: string,
    id: string,
  ): Promise<FindReply__Output | undefined>;
}

const DEFAULT_DEADLINE_MS: Milliseconds = 60_000;
const DEFAULT_JOB_DEADLINE_MS: Milliseconds = 7 * 24 * 3_600_000;
// Time by which a caller's clock, and so the time in its idempotency key, may
// be ahead of this entry's clock.
const MAXIMUM_CLOCK_SKEW_MS: Milliseconds = 60_000;
const RETRY_AFTER_MS: Milliseconds = 2_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/**
 * Creates the request service of one entry.
 *
 * @param options components of the entry
 */
export function createRequestService(
  options: RequestServiceOptions,
): RequestService {
  const { clock, timing, limits, follower, registry, adopter } = options;

  const submit = async (submission: Submission): Promise<RequestView> => {
    const spec = createSpec(submission);
    try {
      const view = await admitOrJoin(submission, spec);
      if (view.result?.outcome === Outcome.notRun) {
        await requireKnownOwner(submission, spec, view.result);
      }
      return view;
    } catch (error) {
      if (isTemporaryRefusal(error)) {
        await requireKnownOwner(submission, spec, error);
      }
      throw error;
    }
  };

  /**
   * Replaces a refusal that says `not-run` when another entry, which has ended
   * or does not respond, may have run the request. Only the registries of
   * entries know the keys of repeatable requests; the log has those of all
   * others.
   *
   * @throws RequestProblem with the outcome `unknown`
   */
  const requireKnownOwner = async (
    { key }: Submission,
    spec: RequestSpec,
    refusal: { reason?: string; retryAfterMs?: Milliseconds },
  ): Promise<void> => {
    if (key === undefined || !spec.repeatable || spec.isJob) return;
    if (refusal.reason === EndReason.neverFits) return;
    const hasNoOtherOwner = !options.mayHaveLostOwner(key) &&
      await options.isKeyUnknownToAllPeers(spec.account, key);
    if (hasNoOtherOwner) return;
    const text = "another entry may have run the request";
    // A request that was cancelled must not be sent again.
    if (refusal.reason === EndReason.cancelled) {
      throw new RequestProblem(504, text, { outcome: Outcome.unknown });
    }
    throw new RequestProblem(503, `${text}; ask again with the same key`, {
      outcome: Outcome.unknown,
      retryAfterMs: refusal.retryAfterMs ?? RETRY_AFTER_MS,
    });
  };

  const admitOrJoin = async (
    submission: Submission,
    spec: RequestSpec,
  ): Promise<RequestView> => {
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
    return await waitForResult(
      options.requestHost.admit(spec, payload, { attempt }),
    );
  };

  const createSpec = (
    { account, key, body, text, isAsync }: Submission,
  ): RequestSpec => {
    const classRule = findClass(account, body.class);
    const repeatable = classRule.repeatable && body.repeatable !== false;
    const id = createIdentifier();
    checkKey(key, repeatable);
    const parts = body.parts ?? classRule.parts;
    if (parts > MAXIMUM_PARTS) {
      throw new RequestProblem(422, `at most ${MAXIMUM_PARTS} parts`);
    }
    return {
      id,
      account: account.name,
      key: key ?? id,
      class: classRule.name,
      shape: {
        parts,
        accelerators: body.accelerators ?? classRule.accelerators,
        adjacent: body.adjacent ?? classRule.adjacent,
      },
      repeatable,
      // A preempted task is started again, which a request that is not
      // repeatable rules out.
      preemptible: classRule.preemptible && repeatable,
      priority: classRule.priority,
      expectedMs: body.expectedMs ?? classRule.expectedMs,
      deadlineMs: body.deadlineMs ??
        (isAsync ? DEFAULT_JOB_DEADLINE_MS : DEFAULT_DEADLINE_MS),
      isJob: isAsync,
      bodyDigest: sha256Hex(text),
    };
  };

  const findClass = (account: AccountRule, name: string): ClassRule => {
    const classRule = options.rules().classes.get(name);
    if (classRule === undefined) {
      throw new RequestProblem(400, `class ${JSON.stringify(name)} is unknown`);
    }
    if (account.classes.length > 0 && !account.classes.includes(name)) {
      const text = `class ${name} is not allowed for account ${account.name}`;
      throw new RequestProblem(403, text, { code: ErrorCode.requestForbidden });
    }
    return classRule;
  };

  const checkKey = (key: string | undefined, repeatable: boolean): void => {
    if (key !== undefined && !KEY_PATTERN.test(key)) {
      throw new RequestProblem(
        400,
        "Idempotency-Key has an invalid form",
      );
    }
    if (repeatable) return;
    const keyTime = extractKeyTime(key ?? "");
    if (keyTime === undefined) {
      const text = "a request that is not repeatable needs an " +
        "Idempotency-Key that is a UUIDv7";
      throw new RequestProblem(400, text);
    }
    const ageMs = clock.wallTime() - keyTime;
    // An older key may have been claimed by a record that the ledger no longer
    // has, and its task may have run.
    if (ageMs > timing.claimWindowMs) {
      throw new RequestProblem(
        422,
        "Idempotency-Key is older than the window",
      );
    }
    if (ageMs < -MAXIMUM_CLOCK_SKEW_MS) {
      throw new RequestProblem(
        400,
        "Idempotency-Key lies in the future",
      );
    }
  };

  /**
   * Looks for an earlier request with the same key at this entry, in the ledger
   * and at the other entries.
   *
   * @returns the earlier request; `undefined` when a new one is to be admitted
   */
  const joinEarlier = async (
    spec: RequestSpec,
    payload: string,
  ): Promise<RequestView | undefined> => {
    const ownedRequest = registry.findByKey(spec.account, spec.key);
    if (ownedRequest !== undefined && !isRetryAllowed(ownedRequest.result)) {
      requireSameBody(ownedRequest.spec.bodyDigest, spec);
      return await joinOwned(ownedRequest, spec);
    }
    const ledgerEntry = follower.ledger.find(spec.account, spec.key);
    if (ledgerEntry !== undefined && isKeyTaken(ledgerEntry)) {
      requireSameBody(ledgerEntry.bodyDigest, spec);
      recordJoin(ledgerEntry.request);
      if (spec.isJob) return describeLedgerEntry(ledgerEntry);
      const result = await adopter.join(spec, payload);
      return { id: ledgerEntry.request, result };
    }
    if (!spec.repeatable || ownedRequest !== undefined) return undefined;
    const reply = await options.findAtPeers({
      account: spec.account,
      key: spec.key,
      waitMs: 0,
    });
    return reply && await joinAtPeer(reply, spec);
  };

  /**
   * Tests whether a key rules out a new request. A task may have run under any
   * claim that was not released, even if this entry owns the key but its
   * registry no longer has the request.
   */
  const isKeyTaken = (ledgerEntry: LedgerEntry): boolean =>
    ledgerEntry.result === undefined
      ? !ledgerEntry.isReleased
      : !isRetryAllowed(ledgerEntry.result);

  const joinOwned = async (
    ownedRequest: OwnedRequest,
    spec: RequestSpec,
  ): Promise<RequestView> => {
    recordJoin(ownedRequest.spec.id);
    if (spec.isJob) return describeOwned(ownedRequest);
    const result = await registry.waitFor(ownedRequest, spec.deadlineMs);
    return result === undefined
      ? describeOwned(ownedRequest)
      : { id: ownedRequest.spec.id, result };
  };

  const joinAtPeer = async (
    firstReply: FindReply__Output,
    spec: RequestSpec,
  ): Promise<RequestView | undefined> => {
    requireSameBody(firstReply.bodyDigest, spec);
    recordJoin(firstReply.id);
    const joinUntil = clock.now() + spec.deadlineMs;
    let reply: FindReply__Output | undefined = firstReply;
    while (reply !== undefined && clock.now() < joinUntil) {
      const result = readReplyResult(reply);
      if (isRetryAllowed(result)) return undefined;
      if (result !== undefined) return { id: reply.id, result };
      reply = await options.findAtPeers({
        account: spec.account,
        id: firstReply.id,
        waitMs: JOIN_WAIT_MS,
      });
    }
    // The owner no longer replies or did not finish in time. Only repeatable
    // requests are joined at a peer, so the request may be admitted again.
    return undefined;
  };

  const recordJoin = (request: string): void => {
    options.log(Events.requestJoined, { request });
    options.countJoin();
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

  /**
   * Refuses a request while the log is not current, since a task of an earlier
   * request with the same key may be running for an entry that does not reply.
   * The outcome is `not-run` only if all other entries replied and none has the
   * key.
   */
  const requireCurrentLog = async (
    { account, key }: RequestSpec,
  ): Promise<void> => {
    if (follower.isCurrent()) return;
    const text = "the platform's log does not answer";
    if (await options.isKeyUnknownToAllPeers(account, key)) {
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
    const appendResult = await options.appender.append(
      { kind: "accept", ...record, spec, payload },
      // The caller received a 503 with an unknown outcome. Since the log does
      // have the job, other entries report it as accepted, so it must run.
      { onLateAccept: () => options.requestHost.admit(spec, payload) },
    );
    if (appendResult === LedgerVerdict.accepted) {
      const { state } = options.requestHost.admit(spec, payload);
      return { id: spec.id, phase: state.phase };
    }
    if (appendResult === LedgerVerdict.rejected) {
      const ledgerEntry = follower.ledger.find(spec.account, spec.key);
      if (ledgerEntry === undefined) {
        throw createUnavailableProblem(
          "the job was not recorded",
        );
      }
      requireSameBody(ledgerEntry.bodyDigest, spec);
      return describeLedgerEntry(ledgerEntry);
    }
    throw appendResult === "failed"
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

  const waitForResult = async (
    ownedRequest: OwnedRequest,
  ): Promise<RequestView> => {
    const waitMs = ownedRequest.spec.deadlineMs + DEADLINE_GRACE_MS;
    const result = await registry.waitFor(ownedRequest, waitMs);
    return result === undefined
      ? describeOwned(ownedRequest)
      : { id: ownedRequest.spec.id, result };
  };

  const read = async (
    account: AccountRule,
    id: string,
    waitMs: Milliseconds,
  ): Promise<RequestView> => {
    const ownedRequest = registry.find(id);
    if (
      ownedRequest !== undefined && ownedRequest.spec.account === account.name
    ) {
      await registry.waitFor(ownedRequest, waitMs);
      return describeOwned(ownedRequest);
    }
    const ledgerEntry = follower.ledger.findRequest(id);
    if (
      ledgerEntry?.account === account.name && ledgerEntry.result !== undefined
    ) {
      return describeLedgerEntry(ledgerEntry);
    }
    const reply = await options.findAtPeers({
      account: account.name,
      id,
      waitMs,
    });
    if (reply !== undefined) return describeReply(reply);
    if (ledgerEntry?.account === account.name) {
      return describeLedgerEntry(ledgerEntry);
    }
    throw await createMissingProblem(account, id);
  };

  const cancel = async (
    account: AccountRule,
    id: string,
  ): Promise<RequestView> => {
    const ownedRequest = registry.find(id);
    if (
      ownedRequest !== undefined && ownedRequest.spec.account === account.name
    ) {
      ownedRequest.send({ kind: "cancel" });
      await registry.waitFor(ownedRequest, CANCEL_WAIT_MS);
      return describeOwned(ownedRequest);
    }
    const reply = await options.cancelAtPeers(account.name, id);
    if (reply !== undefined) return describeReply(reply);
    const ledgerEntry = follower.ledger.findRequest(id);
    if (ledgerEntry?.account === account.name) {
      return describeLedgerEntry(ledgerEntry);
    }
    throw await createMissingProblem(account, id);
  };

  /**
   * Chooses status 404 only if the log and all other entries were queried and
   * none has the request; otherwise 503, since an entry that did not reply may
   * own it.
   */
  const createMissingProblem = async (
    { name }: AccountRule,
    id: string,
  ): Promise<RequestProblem> =>
    await options.isRequestUnknownEverywhere(name, id)
      ? createNotFoundProblem(id)
      : createLookupFailedProblem(id);

  return { submit, read, cancel };
}

// Duration of one long poll of the entry that owns a joined request.
const JOIN_WAIT_MS: Milliseconds = 2_000;
const CANCEL_WAIT_MS: Milliseconds = 5_000;
// Time after the deadline for which the result is still awaited, since running
// tasks are stopped at the deadline and their workers then report how they
// ended.
const DEADLINE_GRACE_MS: Milliseconds = 30_000;

/**
 * Tests whether a request may be retried with its key: only if it certainly did
 * not run.
 */
function isRetryAllowed(
  result: { outcome: string } | undefined,
): boolean {
  return result?.outcome === Outcome.notRun;
}

/** Tests whether an error refuses a request only for now, as not run. */
function isTemporaryRefusal(error: unknown): error is RequestProblem {
  return error instanceof RequestProblem &&
    error.outcome === Outcome.notRun &&
    (error.status === 429 || error.status === 503);
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

/**
 * Creates the problem for a job that may be in the log. The caller finds out by
 * submitting the job again with the same key.
 */
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

/**
 * Creates the problem for a request that the log or another entry may have,
 * while one of them does not respond.
 */
function createLookupFailedProblem(id: string): RequestProblem {
  return new RequestProblem(
    503,
    `request ${id} cannot be looked up now`,
    {
      step: "read",
      outcome: Outcome.unknown,
      retryAfterMs: RETRY_AFTER_MS,
    },
  );
}

function describeOwned({ spec, state, result }: OwnedRequest): RequestView {
  return { id: spec.id, result, phase: state.phase };
}

function describeLedgerEntry(ledgerEntry: LedgerEntry): RequestView {
  if (ledgerEntry.result !== undefined) {
    return { id: ledgerEntry.request, result: readRecordedResult(ledgerEntry) };
  }
  const phase = ledgerEntry.attempt === 0
    ? RequestPhase.placing
    : RequestPhase.running;
  return { id: ledgerEntry.request, phase };
}

function describeReply(reply: FindReply__Output): RequestView {
  return {
    id: reply.id,
    result: readReplyResult(reply),
    phase: reply.phase,
  };
}
