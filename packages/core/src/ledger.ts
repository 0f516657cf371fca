import type { Milliseconds } from "@rattanhill/shared";
import type { RequestSpec } from "./shape.ts";

/** Where a part of an attempt was held when its claim was made. */
export interface ClaimedPart {
  /** Worker that gave the hold. */
  worker: string;
  /** Address of the worker. */
  address: string;
  /** Start of the worker at that time. */
  boot: string;
  /** Name of the lease. */
  lease: string;
}

/** Final result of a request, as the ledger keeps it for accepted jobs. */
export interface RecordedResult {
  /** One of the final outcomes. */
  outcome: "done" | "failed" | "not-run" | "unknown";
  /** Answers of the parts in order, or an empty list. */
  answers: string[];
  /** Reason when the outcome is not `done`. */
  reason: string;
}

interface RecordBase {
  /** Unique name of the record. */
  id: string;
  /** Client account. */
  account: string;
  /** Idempotency key. */
  key: string;
  /** Process that appended the record. */
  owner: string;
  /** Number of the record among those of its process; tells late records from newer ones. */
  ordinal: number;
}

/** Records of the request stream. */
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

/** What the log says about one key of an account. */
export interface LedgerEntry {
  /** Client account. */
  account: string;
  /** Idempotency key. */
  key: string;
  /** Identifier of the request. */
  request: string;
  /** Digest of the request body. */
  bodyDigest: string;
  /** Process that may start the request. */
  owner: string;
  /** Ordinal of the owner's newest claim or adoption. */
  ordinal: number;
  /** Record of the latest claim; empty before the first. */
  claim: string;
  /** Attempt of the latest claim; 0 before the first. */
  attempt: number;
  /** Parts of the latest claim. */
  parts: ClaimedPart[];
  /** Whether the owner stated that no start was sent under the latest claim. */
  isReleased: boolean;
  /** Description and payload of an accepted job. */
  job?: { spec: RequestSpec; payload: string };
  /** Final result of an accepted job. */
  result?: RecordedResult;
  /** Time of the newest record, by the log's clock. */
  recordedAt: Milliseconds;
}

/** What became of a record. */
export const LedgerVerdict = {
  accepted: "accepted",
  rejected: "rejected",
} as const;

/** One of the values of {@link LedgerVerdict}. */
export type LedgerVerdict = typeof LedgerVerdict[keyof typeof LedgerVerdict];

/** All keys known from the log. */
export interface Ledger {
  /**
   * Folds one record, in log order.
   *
   * @param record the record
   * @param recordedAt its time by the log's clock
   * @returns whether the record took effect
   */
  fold(record: LedgerRecord, recordedAt: Milliseconds): LedgerVerdict;
  /** @returns the entry of a key, if any */
  find(account: string, key: string): LedgerEntry | undefined;
  /** @returns the entry of a request identifier, if any */
  findRequest(request: string): LedgerEntry | undefined;
  /** @returns all entries, oldest first */
  entries(): IterableIterator<LedgerEntry>;
  /** Forgets entries that were recorded before the given time. */
  forgetBefore(time: Milliseconds): void;
  /** @returns the number of entries */
  size(): number;
}

/**
 * Creates an empty ledger.
 *
 * @returns the ledger
 */
export function createLedger(): Ledger {
  const byKey = new Map<string, LedgerEntry>();
  const byRequest = new Map<string, LedgerEntry>();

  const store = (entry: LedgerEntry): LedgerVerdict => {
    const name = ledgerKey(entry.account, entry.key);
    byKey.delete(name); // keeps the map ordered by the newest record
    byKey.set(name, entry);
    byRequest.set(entry.request, entry);
    return LedgerVerdict.accepted;
  };

  return {
    fold: (record, recordedAt) => {
      const known = byKey.get(ledgerKey(record.account, record.key));
      const next = foldRecord(known, record);
      if (next === undefined) return LedgerVerdict.rejected;
      return store({ ...next, recordedAt });
    },
    find: (account, key) => byKey.get(ledgerKey(account, key)),
    findRequest: (request) => byRequest.get(request),
    entries: () => byKey.values(),
    forgetBefore: (time) => {
      for (const [name, entry] of byKey) {
        if (entry.recordedAt >= time) return;
        // A job that has not ended is never forgotten, only recorded anew.
        if (entry.job !== undefined) continue;
        byKey.delete(name);
        byRequest.delete(entry.request);
      }
    },
    size: () => byKey.size,
  };
}

/**
 * Applies a record to the entry of its key.
 *
 * @param known entry before the record, if any
 * @param record the record
 * @returns the entry after it, or `undefined` when the record has no effect
 */
export function foldRecord(
  known: LedgerEntry | undefined,
  record: LedgerRecord,
): LedgerEntry | undefined {
  switch (record.kind) {
    case "accept":
      return known === undefined || known.result?.outcome === "not-run"
        ? acceptedEntry(record)
        : undefined;
    case "claim":
      return claimedEntry(known, record);
    case "adopt":
      if (known === undefined || known.owner !== record.from) return undefined;
      if (known.result !== undefined) return undefined;
      return { ...known, owner: record.owner, ordinal: record.ordinal };
    case "release":
      if (known?.owner !== record.owner) return undefined;
      if (known.claim !== record.claim) return undefined;
      return { ...known, isReleased: true };
    case "finish":
      if (known?.owner !== record.owner) return undefined;
      return { ...known, result: record.result, job: undefined };
    case "carry":
      return carriedEntry(known, record);
  }
}

/**
 * Names a key of an account.
 *
 * @param account client account
 * @param key idempotency key
 * @returns a name that is unique over accounts
 */
export function ledgerKey(account: string, key: string): string {
  return `${account}/${key}`;
}

function acceptedEntry(
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

function claimedEntry(
  known: LedgerEntry | undefined,
  record: LedgerRecord & { kind: "claim" },
): LedgerEntry | undefined {
  const { account, key, owner, ordinal, id: claim } = record;
  const { request, bodyDigest, attempt, parts } = record;
  const isFree = known === undefined ||
    (known.isReleased && known.result === undefined);
  const isOwned = known !== undefined && known.owner === owner &&
    known.result === undefined && ordinal > known.ordinal;
  if (!isFree && !isOwned) return undefined;
  if (known !== undefined && known.bodyDigest !== bodyDigest) return undefined;
  return {
    ...known,
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
 * A carried entry is news only to a reader that came after the records it
 * repeats; it never changes what others know, and keeps a known entry young.
 */
function carriedEntry(
  known: LedgerEntry | undefined,
  record: LedgerRecord & { kind: "carry" },
): LedgerEntry | undefined {
  if (known === undefined) return record.entry;
  return known.owner === record.owner ? known : undefined;
}
