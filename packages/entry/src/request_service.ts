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

/** Operations of the callers' interface. */
export interface RequestService {
  /**
   * Admits a request, or joins the earlier request with the same key.
   *
   * @param submission the request as its caller sent it
   * @returns the request with its result; a job as soon as it is recorded in
   * the log
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
  /** Identifier of this entry process, the owner of what it admits. */
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
   * @returns whether neither the log, read to its end, nor any other entry has
   * the request, and all of them could be asked
   */
  isRequestUnknownEverywhere(account: string, id: string): Promise<boolean>;
  /**
   * @returns whether every other entry could be asked and none has a request
   * with the key
   */
  isKeyUnknownToAllPeers(account: string, key: string): Promise<boolean>;
  /** Counts a request that joined an earlier one. */
  countJoin(): void;
  /**
   * Asks all other entries for a request.
   *
   * @param query account and either key or identifier of the request
   * @returns the reply of the entry that has it, or `undefined`
   */
  findElsewhere(
    query: { account: string; key?: string; id?: string; waitMs: number },
  ): Promise<FindReply__Output | undefined>;
  /**
   * Cancels a request that another entry owns.
   *
   * @param account account of the caller
   * @param id identifier of the request
   * @returns the reply of the entry that has it, or `undefined`
   */
  cancelElsewhere(
    account: string,
    id: string,
  ): Promise<FindReply__Output | undefined>;
}

const DEFAULT_DEADLINE_MS: Milliseconds = 60_000;
const DEFAULT_JOB_DEADLINE_MS: Milliseconds = 7 * 24 * 3_600_000;
const MAXIMUM_CLOCK_SKEW_MS: Milliseconds = 60_000; // of callers' clocks
const RETRY_AFTER_MS: Milliseconds = 2_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/;

/**
 * Creates the service that admits, reads and cancels requests for callers.
 *
 * @param options components of the entry
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
    return await waitForResult(
      options.requestHost.admit(spec, payload, { attempt }),
    );
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
      // A preempted task is started again, which a request that is not
      // repeatable rules out.
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
    // An older key may have been claimed before the oldest ledger entries, and
    // its task may have run.
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
   * Looks for an earlier request with the same key here, in the ledger and at
   * the other entries.
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
    const reply = await options.findElsewhere({
      account: spec.account,
      key: spec.key,
      waitMs: 0,
    });
    return reply && await joinAtPeer(reply, spec);
  };

  /**
   * Tests whether the key is closed to a new request. A task may have run under
   * any claim that was not released, even if this entry is the owner but has no
   * request for it.
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
    // The owner is gone or did not finish in time. Only repeatable requests get
    // here, so the request is admitted again.
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
   * request with the same key may be running under an entry that cannot be
   * asked. The outcome is `not-run` only if no other entry has the key.
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
    const verdict = await options.appender.append(
      { kind: "accept", ...record, spec, payload },
      // The job is in the log now, so other entries report it as accepted even
      // though its caller was told that the append was uncertain: run it.
      { onLateAccept: () => options.requestHost.admit(spec, payload) },
    );
    if (verdict === LedgerVerdict.accepted) {
      const { state } = options.requestHost.admit(spec, payload);
      return { id: spec.id, phase: state.phase };
    }
    if (verdict === LedgerVerdict.rejected) {
      const ledgerEntry = follower.ledger.find(spec.account, spec.key);
      if (ledgerEntry === undefined) {
        throw createUnavailableProblem(
          "the job was not recorded",
        );
      }
      requireSameBody(ledgerEntry.bodyDigest, spec);
      return describeLedgerEntry(ledgerEntry);
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
    const reply = await options.findElsewhere({
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
    const reply = await options.cancelElsewhere(account.name, id);
    if (reply !== undefined) return describeReply(reply);
    const ledgerEntry = follower.ledger.findRequest(id);
    if (ledgerEntry?.account === account.name) {
      return describeLedgerEntry(ledgerEntry);
    }
    throw await createMissingProblem(account, id);
  };

  /**
   * Answers 404 only if the log and all other entries were asked and none has
   * the request; otherwise 503, since an entry that was not reached may own it.
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

/** Duration of one long poll of the entry that owns a joined request. */
const JOIN_WAIT_MS: Milliseconds = 2_000;
const CANCEL_WAIT_MS: Milliseconds = 5_000;
/**
 * Wait beyond the deadline, in which running tasks are stopped and their
 * workers report how they ended.
 */
const DEADLINE_GRACE_MS: Milliseconds = 30_000;

/** Only a request that certainly did not run may be retried with its key. */
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

/** The caller learns whether the job exists by sending the same key again. */
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

/** Another entry, or the log, may know the request but could not be asked. */
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
