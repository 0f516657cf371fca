import type { Milliseconds } from "@rattanhill/shared";
import type { RequestSpec } from "./shape.ts";

/**
 * Lease that held the capacity for one part of an attempt when it was claimed.
 */
export interface ClaimedPart {
  /** Worker that granted the hold. */
  worker: string;
  /** Address of the worker. */
  address: string;
  /** Identifier of the process start of the worker that granted the hold. */
  boot: string;
  /** Identifier of the lease. */
  lease: string;
}

/** Final result of an accepted job, as stored in the log. */
export interface RecordedResult {
  /** One of the final outcomes. */
  outcome: "done" | "failed" | "not-run" | "unknown";
  /** Answers of the parts in order, or an empty list. */
  answers: string[];
  /** Reason when the outcome is not `done`. */
  reason: string;
}

interface RecordBase {
  /** Unique identifier of the record. */
  id: string;
  /** Client account. */
  account: string;
  /** Idempotency key. */
  key: string;
  /** Entry process that appended the record. */
  owner: string;
  /**
   * Sequence number among the records of the owner, by which a delayed claim is
   * distinguished from a newer one.
   */
  ordinal: number;
}

/**
 * Records of the request stream: `accept` stores a job, `claim` acquires a key
 * for an attempt, `adopt` takes it over from a dead owner, `release` ends a
 * claim under which nothing ran, `finish` stores the result of a job, and
 * `carry` repeats an entry before log retention removes its records.
 */
export type LedgerRecord =
  | RecordBase & { kind: "accept"; spec: RequestSpec; payload: string }
  | RecordBase & {
    kind: "claim";
    request: string;
    bodyDigest: string;
    attempt: number;
    parts: ClaimedPart[];
  }
  | RecordBase & { kind: "adopt"; from: string }
  | RecordBase & { kind: "release"; claim: string }
  | RecordBase & { kind: "finish"; result: RecordedResult }
  | RecordBase & { kind: "carry"; entry: LedgerEntry };

/** State of one idempotency key of an account, as folded from the log. */
export interface LedgerEntry {
  /** Client account. */
  account: string;
  /** Idempotency key. */
  key: string;
  /** Identifier of the request. */
  request: string;
  /** Digest of the request body. */
  bodyDigest: string;
  /** The only entry process that may start the request. */
  owner: string;
  /**
   * Ordinal of the record by which the owner last accepted, claimed or adopted
   * the key.
   */
  ordinal: number;
  /** Identifier of the latest claim record; empty before the first. */
  claim: string;
  /** Attempt number of the latest claim; 0 before the first. */
  attempt: number;
  /** Parts of the latest claim. */
  parts: ClaimedPart[];
  /** Whether the owner released the latest claim, so nothing ran under it. */
  isReleased: boolean;
  /** Specification and payload of an accepted job that has no result yet. */
  job?: { spec: RequestSpec; payload: string };
  /** Final result of an accepted job. */
  result?: RecordedResult;
  /** Time of the newest record, by the log's clock. */
  recordedAt: Milliseconds;
}

/** Whether a record took effect. */
export const LedgerVerdict = {
  accepted: "accepted",
  rejected: "rejected",
} as const;

/** One of the values of {@link LedgerVerdict}. */
export type LedgerVerdict = typeof LedgerVerdict[keyof typeof LedgerVerdict];

/** State of all keys, folded from the log. */
export interface Ledger {
  /**
   * Folds one record into the state. Records are given in log order.
   *
   * @param record the record
   * @param recordedAt its time by the log's clock
   * @returns whether the record took effect
   */
  fold(record: LedgerRecord, recordedAt: Milliseconds): LedgerVerdict;
  /** @returns the entry of a key, or `undefined` when there is none */
  find(account: string, key: string): LedgerEntry | undefined;
  /** @returns the entry of a request identifier, or `undefined` */
  findRequest(request: string): LedgerEntry | undefined;
  /** @returns all entries, ordered by their newest record, oldest first */
  entries(): IterableIterator<LedgerEntry>;
  /**
   * Removes entries whose newest record is older than `time`, except jobs that
   * have not ended.
   */
  forgetBefore(time: Milliseconds): void;
  /** @returns the number of entries */
  size(): number;
}

/**
 * Creates an empty ledger.
 *
 * @returns the ledger, into which records are folded in log order
 */
export function createLedger(): Ledger {
  const byKey = new Map<string, LedgerEntry>();
  const byRequest = new Map<string, LedgerEntry>();

  const storeEntry = (entry: LedgerEntry): LedgerVerdict => {
    const mapKey = ledgerKey(entry.account, entry.key);
    // The entry is removed and added again, so that the map stays ordered by
    // the time of the newest record.
    byKey.delete(mapKey);
    byKey.set(mapKey, entry);
    byRequest.set(entry.request, entry);
    return LedgerVerdict.accepted;
  };

  return {
    fold: (record, recordedAt) => {
      const prior = byKey.get(ledgerKey(record.account, record.key));
      const next = foldRecord(prior, record);
      if (next === undefined) return LedgerVerdict.rejected;
      return storeEntry({ ...next, recordedAt });
    },
    find: (account, key) => byKey.get(ledgerKey(account, key)),
    findRequest: (request) => byRequest.get(request),
    entries: () => byKey.values(),
    forgetBefore: (time) => {
      for (const [mapKey, entry] of byKey) {
        if (entry.recordedAt >= time) return;
        // A job that has not ended is kept; carry records keep it in the log.
        if (entry.job !== undefined) continue;
        byKey.delete(mapKey);
        byRequest.delete(entry.request);
      }
    },
    size: () => byKey.size,
  };
}

/**
 * Applies a record to the entry of its key.
 *
 * @param prior entry before the record, or `undefined` for a new key
 * @param record the record
 * @returns the entry after it, or `undefined` when the record has no effect
 */
export function foldRecord(
  prior: LedgerEntry | undefined,
  record: LedgerRecord,
): LedgerEntry | undefined {
  switch (record.kind) {
    case "accept":
      // A job that certainly did not run may be submitted again.
      return prior === undefined || prior.result?.outcome === "not-run"
        ? applyAccept(record)
        : undefined;
    case "claim":
      return applyClaim(prior, record);
    case "adopt":
      if (prior === undefined || prior.owner !== record.from) return undefined;
      if (prior.result !== undefined) return undefined;
      return { ...prior, owner: record.owner, ordinal: record.ordinal };
    case "release":
      if (prior?.owner !== record.owner) return undefined;
      if (prior.claim !== record.claim) return undefined;
      return { ...prior, isReleased: true };
    case "finish":
      if (prior?.owner !== record.owner) return undefined;
      return { ...prior, result: record.result, job: undefined };
    case "carry":
      return applyCarry(prior, record);
  }
}

/**
 * Builds a map key for an idempotency key of an account.
 *
 * @param account client account
 * @param key idempotency key
 * @returns a string that is unique over all accounts
 */
export function ledgerKey(account: string, key: string): string {
  return `${account}/${key}`;
}

function applyAccept(
  record: LedgerRecord & { kind: "accept" },
): LedgerEntry {
  const { account, key, owner, spec, payload } = record;
  return {
    account,
    key,
    owner,
    request: spec.id,
    bodyDigest: spec.bodyDigest,
    ordinal: record.ordinal,
    claim: "",
    attempt: 0,
    parts: [],
    isReleased: false,
    job: { spec, payload },
    recordedAt: 0,
  };
}

function applyClaim(
  prior: LedgerEntry | undefined,
  record: LedgerRecord & { kind: "claim" },
): LedgerEntry | undefined {
  const { account, key, owner, ordinal, id: claim } = record;
  const { request, bodyDigest, attempt, parts } = record;
  const isClaimable = prior === undefined ||
    (prior.isReleased && prior.result === undefined);
  const isNewerClaimOfOwner = prior !== undefined && prior.owner === owner &&
    prior.result === undefined && ordinal > prior.ordinal;
  if (!isClaimable && !isNewerClaimOfOwner) return undefined;
  if (prior !== undefined && prior.bodyDigest !== bodyDigest) return undefined;
  return {
    ...prior,
    account,
    key,
    owner,
    ordinal,
    claim,
    request,
    bodyDigest,
    attempt,
    parts,
    isReleased: false,
    recordedAt: 0,
  };
}

/**
 * Applies a carried entry. A reader that does not know the key, since it
 * started after the repeated records were removed, stores the entry as it is.
 * For any other reader it only renews the time of an entry with the same owner,
 * which keeps it from being removed, and changes nothing else.
 */
function applyCarry(
  prior: LedgerEntry | undefined,
  record: LedgerRecord & { kind: "carry" },
): LedgerEntry | undefined {
  if (prior === undefined) return record.entry;
  return prior.owner === record.owner ? prior : undefined;
}
