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

/** Follows requests that another entry owns, and takes them over when that entry is gone. */
export interface Adopter {
  /** Waits for the final result of a request that another entry claimed. */
  join(spec: RequestSpec, payload: string): Promise<RequestResult>;
  /** Takes over accepted jobs whose owners are gone. */
  scan(): void;
  /** @returns adoptions in progress */
  pending(): number;
}

/** Options of {@link createAdopter}. */
export interface AdopterOptions {
  /** Identifier of this start of the entry. */
  owner: string;
  zone: string;
  clock: Clock;
  timing: EntryTiming;
  membership: Membership;
  follower: LogFollower;
  appender: LogAppender;
  registry: RequestRegistry;
  links: WorkerLinks;
  host(): RequestHost;
  nextOrdinal(): number;
  /** Asks another entry for a request. @throws when it does not answer */
  find(
    address: string,
    query: { account: string; key: string; waitMs: Milliseconds },
  ): Promise<FindReply__Output>;
}

const POLL_INTERVAL_MS: Milliseconds = 250;
const FIND_WAIT_MS: Milliseconds = 2_000;
const HOLD_EXPIRY_MARGIN_MS: Milliseconds = 100;
const CHANGE_OWNER_TIMEOUT_MS: Milliseconds = 10_000;
const JOB_CHANGE_OWNER_TIMEOUT_MS: Milliseconds = 45_000; // below the workers' retention of ended tasks
const MEMBERSHIP_SETTLE_MS: Milliseconds = 3_000; // a fresh entry has not heard its peers yet
const REMOTE_ADOPTION_DELAY_MS: Milliseconds = 20_000; // entries of the owner's zone go first

/**
 * Creates the adopter of one entry.
 *
 * @param options log, membership and workers
 * @returns the adopter
 */
export function createAdopter(options: AdopterOptions): Adopter {
  const { owner, clock, timing, membership, follower, registry } = options;
  const adoptions = new Map<string, Promise<OwnedRequest | undefined>>();
  const deadSince = new Map<string, Milliseconds>();
  const startedAt = clock.now();

  const adopt = (
    entry: LedgerEntry,
    spec: RequestSpec,
    payload: string,
  ): Promise<OwnedRequest | undefined> => {
    const mapKey = ledgerKey(entry.account, entry.key);
    let adoption = adoptions.get(mapKey);
    if (adoption === undefined) {
      adoption = performAdoption(entry, { ...spec, id: entry.request }, payload)
        .finally(() => adoptions.delete(mapKey));
      adoptions.set(mapKey, adoption);
    }
    return adoption;
  };

  const performAdoption = async (
    entry: LedgerEntry,
    spec: RequestSpec,
    payload: string,
  ): Promise<OwnedRequest | undefined> => {
    const verdict = await options.appender.append({
      kind: "adopt",
      id: createIdentifier(),
      account: entry.account,
      key: entry.key,
      owner,
      ordinal: options.nextOrdinal(),
      from: entry.owner,
    });
    if (verdict !== LedgerVerdict.accepted) return undefined;
    // Any start under the old claim reaches its worker while the hold lives, so after this wait all are visible.
    await pause(timing.holdTtlMs + HOLD_EXPIRY_MARGIN_MS);
    const current = follower.ledger.find(entry.account, entry.key);
    if (current?.owner !== owner) return undefined;
    const parts = await Promise.all(
      current.parts.map((part) => takeOverPart(part, entry.owner, spec)),
    );
    const adopted = { entry: current, parts };
    return options.host().resume(spec, payload, adopted);
  };

  const takeOverPart = async (
    part: ClaimedPart,
    previousOwner: string,
    spec: RequestSpec,
  ): Promise<RequestPart> => {
    const timeoutMs = spec.isJob
      ? JOB_CHANGE_OWNER_TIMEOUT_MS
      : CHANGE_OWNER_TIMEOUT_MS;
    const retryUntil = clock.now() + timeoutMs;
    const client = options.links.client(part.worker, part.address);
    while (clock.now() < retryUntil) {
      try {
        const answer = await client.changeOwner(
          part.lease,
          previousOwner,
          owner,
        );
        const isKnown = answer.boot === part.boot;
        return { ...part, phase: isKnown ? partPhaseOf(answer.state) : "lost" };
      } catch (error) {
        if (error instanceof RefusedError) return { ...part, phase: "lost" };
        await pause(POLL_INTERVAL_MS);
      }
    }
    return { ...part, phase: PartPhase.lost };
  };

  const queryOwner = async (
    entry: LedgerEntry,
  ): Promise<RequestResult | undefined> => {
    const peer = membership.find(entry.owner);
    if (peer === undefined) return undefined;
    const query = {
      account: entry.account,
      key: entry.key,
      waitMs: FIND_WAIT_MS,
    };
    try {
      return readReplyResult(await options.find(peer.address, query));
    } catch {
      return undefined;
    }
  };

  const waitForOwnResult = async (
    entry: LedgerEntry,
    waitMs: Milliseconds,
  ): Promise<RequestResult | undefined> => {
    const owned = registry.findKey(entry.account, entry.key);
    if (owned === undefined) return createUnknownResult(EndReason.forgotten);
    return await registry.waitFor(owned, waitMs);
  };

  /** @returns the result as far as it is known now */
  const resolveResult = async (
    entry: LedgerEntry,
    spec: RequestSpec,
    payload: string,
  ): Promise<RequestResult | undefined> => {
    if (entry.result !== undefined) return readRecordedResult(entry);
    const mapKey = ledgerKey(entry.account, entry.key);
    if (entry.owner === owner || adoptions.has(mapKey)) {
      await adoptions.get(mapKey);
      return await waitForOwnResult(entry, FIND_WAIT_MS);
    }
    if (membership.isAlive(entry.owner)) return await queryOwner(entry);
    const isMembershipSettled = clock.now() - startedAt > MEMBERSHIP_SETTLE_MS;
    if (!isMembershipSettled || !follower.isCurrent()) return undefined;
    const adopted = await adopt(entry, spec, payload);
    return adopted && await registry.waitFor(adopted, FIND_WAIT_MS);
  };

  const isAdoptionDue = (entry: LedgerEntry): boolean => {
    if (membership.isAlive(entry.owner)) {
      deadSince.delete(entry.owner);
      return false;
    }
    const since = deadSince.get(entry.owner) ?? clock.now();
    deadSince.set(entry.owner, since);
    const isSameZone = entry.owner.startsWith(`${options.zone}/`);
    return isSameZone || clock.now() - since > REMOTE_ADOPTION_DELAY_MS;
  };

  return {
    join: async (spec, payload) => {
      const joinUntil = clock.now() + spec.deadlineMs;
      while (clock.now() < joinUntil) {
        const entry = follower.ledger.find(spec.account, spec.key);
        const result = entry && await resolveResult(entry, spec, payload);
        if (result !== undefined) return result;
        await pause(POLL_INTERVAL_MS);
      }
      return createUnknownResult(EndReason.deadline);
    },
    scan: () => {
      const isMembershipSettled =
        clock.now() - startedAt > MEMBERSHIP_SETTLE_MS;
      if (!isMembershipSettled || !follower.isCurrent()) return;
      for (const entry of follower.ledger.entries()) {
        if (entry.job === undefined || entry.result !== undefined) continue;
        if (entry.owner === owner || !isAdoptionDue(entry)) continue;
        void adopt(entry, entry.job.spec, entry.job.payload);
      }
    },
    pending: () => adoptions.size,
  };
}

/**
 * Reads the final result out of another entry's reply.
 *
 * @param reply the reply
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
 * Reads the final result of an accepted job out of the ledger.
 *
 * @param entry entry with a result
 * @returns the result
 */
export function readRecordedResult(entry: LedgerEntry): RequestResult {
  const { outcome, answers, reason } = entry.result!;
  return {
    outcome,
    answers,
    reason: reason as EndReason,
    attempts: entry.attempt,
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
