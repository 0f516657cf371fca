import {
  type Clock,
  createIdentifier,
  type Milliseconds,
  pause,
  RefusedError,
} from "@rattanhill/shared";
import {
  type ClaimedPart,
  EndReason,
  type LedgerEntry,
  ledgerKey,
  LedgerVerdict,
  type Membership,
  Outcome,
  PartPhase,
  partPhaseOf,
  type RequestPart,
  type RequestResult,
  type RequestSpec,
} from "@rattanhill/core";
import type { FindReply__Output } from "@rattanhill/protocol";
import type { LogAppender } from "./log_appender.ts";
import type { LogFollower } from "./log_follower.ts";
import type { RequestHost } from "./request_host.ts";
import type { OwnedRequest, RequestRegistry } from "./request_registry.ts";
import type { EntryTiming } from "./settings.ts";
import type { WorkerLinks } from "./worker_links.ts";

/**
 * Waits for requests that another entry owns, and adopts them when that entry
 * is dead: an `adopt` record in the log makes this entry the owner, and then
 * each worker of the claim changes the owner of its lease.
 */
export interface Adopter {
  /**
   * Waits for the final result of a request whose key is taken, and adopts the
   * request if its owner is dead.
   *
   * @param spec specification of the request or of a duplicate
   * @param payload payload of its tasks, as JSON
   * @returns the result; if there is none before the deadline, the outcome
   * `unknown` with the reason `deadline`
   */
  join(spec: RequestSpec, payload: string): Promise<RequestResult>;
  /**
   * Starts to adopt the accepted jobs in progress whose owners are dead. Jobs
   * whose owner was in another zone are adopted only after a delay.
   */
  adoptOrphanedJobs(): void;
  /** @returns the number of adoptions in progress */
  pendingCount(): number;
}

/** Options of {@link createAdopter}. */
export interface AdopterOptions {
  /** Identifier of this entry process, which owns what it adopts. */
  owner: string;
  /** Availability zone of this entry. */
  zone: string;
  clock: Clock;
  timing: EntryTiming;
  membership: Membership;
  follower: LogFollower;
  appender: LogAppender;
  registry: RequestRegistry;
  links: WorkerLinks;
  /** @returns the request host, which is created after the adopter */
  requestHost(): RequestHost;
  /** @returns the next sequence number of this entry's ledger records */
  nextOrdinal(): number;
  /**
   * Queries another entry for a request.
   *
   * @throws when the entry does not reply
   */
  find(
    address: string,
    query: { account: string; key: string; waitMs: Milliseconds },
  ): Promise<FindReply__Output>;
}

const POLL_INTERVAL_MS: Milliseconds = 250;
const FIND_WAIT_MS: Milliseconds = 2_000;
const HOLD_EXPIRY_MARGIN_MS: Milliseconds = 100;
const CHANGE_OWNER_TIMEOUT_MS: Milliseconds = 10_000;
// Time limit for the change of the owner of a lease of a job. It must be
// shorter than the time for which workers keep ended tasks.
const JOB_CHANGE_OWNER_TIMEOUT_MS: Milliseconds = 45_000;
// During this time after the start no owner counts as dead, since the entry may
// not have received heartbeats from all peers yet.
const MEMBERSHIP_SETTLE_MS: Milliseconds = 3_000;
// Entries of other zones adopt a job only when its owner has been dead for this
// long, so that an entry of the owner's zone can adopt it first.
const REMOTE_ADOPTION_DELAY_MS: Milliseconds = 20_000;

/**
 * Creates the adopter of one entry.
 *
 * @param options log, membership, workers and identity of the entry
 */
export function createAdopter(options: AdopterOptions): Adopter {
  const { owner, clock, timing, membership, follower, registry } = options;
  const adoptions = new Map<string, Promise<OwnedRequest | undefined>>();
  const deadSince = new Map<string, Milliseconds>();
  const startedAt = clock.now();

  /** Adopts a request; calls for the same key share one adoption. */
  const adopt = (
    ledgerEntry: LedgerEntry,
    spec: RequestSpec,
    payload: string,
  ): Promise<OwnedRequest | undefined> => {
    const mapKey = ledgerKey(ledgerEntry.account, ledgerEntry.key);
    let adoption = adoptions.get(mapKey);
    if (adoption === undefined) {
      adoption = performAdoption(ledgerEntry, {
        ...spec,
        id: ledgerEntry.request,
      }, payload)
        .finally(() => adoptions.delete(mapKey));
      adoptions.set(mapKey, adoption);
    }
    return adoption;
  };

  const performAdoption = async (
    ledgerEntry: LedgerEntry,
    spec: RequestSpec,
    payload: string,
  ): Promise<OwnedRequest | undefined> => {
    const verdict = await options.appender.append({
      kind: "adopt",
      id: createIdentifier(),
      account: ledgerEntry.account,
      key: ledgerEntry.key,
      owner,
      ordinal: options.nextOrdinal(),
      from: ledgerEntry.owner,
    });
    if (verdict !== LedgerVerdict.accepted) return undefined;
    // The old owner can start a task only while the hold for it is valid. After
    // this wait all holds have expired, so no further task can start, and the
    // workers report every task that did.
    await pause(timing.holdTtlMs + HOLD_EXPIRY_MARGIN_MS);
    const current = follower.ledger.find(ledgerEntry.account, ledgerEntry.key);
    if (current?.owner !== owner) return undefined;
    const parts = await Promise.all(
      current.parts.map((part) => adoptPart(part, ledgerEntry.owner, spec)),
    );
    const adopted = { ledgerEntry: current, parts };
    return options.requestHost().resume(spec, payload, adopted);
  };

  /**
   * Makes this entry the owner of the lease of a part.
   *
   * @returns the part as its worker reports it; in the phase `lost` when the
   * worker refuses, has restarted or does not respond in time
   */
  const adoptPart = async (
    part: ClaimedPart,
    previousOwner: string,
    spec: RequestSpec,
  ): Promise<RequestPart> => {
    const timeoutMs = spec.isJob
      ? JOB_CHANGE_OWNER_TIMEOUT_MS
      : CHANGE_OWNER_TIMEOUT_MS;
    const retryUntil = clock.now() + timeoutMs;
    const client = options.links.getClient(part.worker, part.address);
    while (clock.now() < retryUntil) {
      try {
        const response = await client.changeOwner(
          part.lease,
          previousOwner,
          owner,
        );
        const isSameBoot = response.boot === part.boot;
        return {
          ...part,
          phase: isSameBoot ? partPhaseOf(response.state) : "lost",
        };
      } catch (error) {
        if (error instanceof RefusedError) return { ...part, phase: "lost" };
        await pause(POLL_INTERVAL_MS);
      }
    }
    return { ...part, phase: PartPhase.lost };
  };

  /** @returns the result from the owner, if it replies and has one */
  const queryOwner = async (
    ledgerEntry: LedgerEntry,
  ): Promise<RequestResult | undefined> => {
    const peer = membership.find(ledgerEntry.owner);
    if (peer === undefined) return undefined;
    const query = {
      account: ledgerEntry.account,
      key: ledgerEntry.key,
      waitMs: FIND_WAIT_MS,
    };
    try {
      return readReplyResult(await options.find(peer.address, query));
    } catch {
      return undefined;
    }
  };

  /**
   * Waits for the result of a request that this entry owns. A request that is
   * no longer in the registry ended so long ago that its result was removed.
   */
  const waitForOwnResult = async (
    ledgerEntry: LedgerEntry,
    waitMs: Milliseconds,
  ): Promise<RequestResult | undefined> => {
    const ownedRequest = registry.findByKey(
      ledgerEntry.account,
      ledgerEntry.key,
    );
    if (ownedRequest === undefined) {
      return createUnknownResult(EndReason.forgotten);
    }
    return await registry.waitFor(ownedRequest, waitMs);
  };

  /** @returns the final result, or `undefined` if it is not known yet */
  const resolveResult = async (
    ledgerEntry: LedgerEntry,
    spec: RequestSpec,
    payload: string,
  ): Promise<RequestResult | undefined> => {
    if (ledgerEntry.result !== undefined) {
      return readRecordedResult(ledgerEntry);
    }
    const mapKey = ledgerKey(ledgerEntry.account, ledgerEntry.key);
    if (ledgerEntry.owner === owner || adoptions.has(mapKey)) {
      await adoptions.get(mapKey);
      return await waitForOwnResult(ledgerEntry, FIND_WAIT_MS);
    }
    if (membership.isAlive(ledgerEntry.owner)) {
      return await queryOwner(ledgerEntry);
    }
    const isMembershipSettled = clock.now() - startedAt > MEMBERSHIP_SETTLE_MS;
    if (!isMembershipSettled || !follower.isCurrent()) return undefined;
    const adopted = await adopt(ledgerEntry, spec, payload);
    return adopted && await registry.waitFor(adopted, FIND_WAIT_MS);
  };

  /**
   * Tests whether the owner is dead; an owner of another zone must have been
   * dead for {@link REMOTE_ADOPTION_DELAY_MS}.
   */
  const isAdoptionDue = (ledgerEntry: LedgerEntry): boolean => {
    if (membership.isAlive(ledgerEntry.owner)) {
      deadSince.delete(ledgerEntry.owner);
      return false;
    }
    const since = deadSince.get(ledgerEntry.owner) ?? clock.now();
    deadSince.set(ledgerEntry.owner, since);
    const isSameZone = ledgerEntry.owner.startsWith(`${options.zone}/`);
    return isSameZone || clock.now() - since > REMOTE_ADOPTION_DELAY_MS;
  };

  return {
    join: async (spec, payload) => {
      const joinUntil = clock.now() + spec.deadlineMs;
      while (clock.now() < joinUntil) {
        const ledgerEntry = follower.ledger.find(spec.account, spec.key);
        const result = ledgerEntry &&
          await resolveResult(ledgerEntry, spec, payload);
        if (result !== undefined) return result;
        await pause(POLL_INTERVAL_MS);
      }
      return createUnknownResult(EndReason.deadline);
    },
    adoptOrphanedJobs: () => {
      const isMembershipSettled =
        clock.now() - startedAt > MEMBERSHIP_SETTLE_MS;
      if (!isMembershipSettled || !follower.isCurrent()) return;
      for (const ledgerEntry of follower.ledger.entries()) {
        if (ledgerEntry.job === undefined || ledgerEntry.result !== undefined) {
          continue;
        }
        if (ledgerEntry.owner === owner || !isAdoptionDue(ledgerEntry)) {
          continue;
        }
        void adopt(ledgerEntry, ledgerEntry.job.spec, ledgerEntry.job.payload);
      }
    },
    pendingCount: () => adoptions.size,
  };
}

/**
 * Reads the final result from another entry's reply.
 *
 * @param reply reply to a lookup or cancellation
 * @returns the result, or `undefined` while the request is in progress
 */
export function readReplyResult(
  reply: FindReply__Output,
): RequestResult | undefined {
  if (!reply.found || reply.outcome === "") return undefined;
  return {
    outcome: reply.outcome as Outcome,
    reason: reply.reason as EndReason,
    answers: reply.answers.map((answer) => answer.toString("utf8")),
    attempts: reply.attempts,
    retryAfterMs: reply.retryAfterMs,
    step: reply.step,
    peer: reply.peer,
    detail: reply.detail || undefined,
  };
}

/**
 * Reads the final result of an accepted job from its ledger entry.
 *
 * @param ledgerEntry entry that has a result
 * @returns the result
 */
export function readRecordedResult(ledgerEntry: LedgerEntry): RequestResult {
  const { outcome, answers, reason } = ledgerEntry.result!;
  return {
    outcome,
    answers,
    reason: reason as EndReason,
    attempts: ledgerEntry.attempt,
    peer: "platform",
    step: "recorded",
  };
}

function createUnknownResult(reason: EndReason): RequestResult {
  return {
    outcome: Outcome.unknown,
    reason,
    answers: [],
    attempts: 0,
    peer: "self",
    step: "join",
  };
}
