import { createIdentifier } from "@rattanhill/shared";
import type { LedgerEntry } from "@rattanhill/core";
import type { LogAppender } from "./log_appender.ts";
import type { LogFollower } from "./log_follower.ts";

/**
 * Appends the ledger entries of jobs again before log retention removes their
 * records.
 */
export interface JobRecordRefresher {
  /**
   * Appends a `carry` record for each job of this entry whose newest record has
   * reached the age at which it is repeated.
   */
  refreshDueRecords(): void;
}

/** Options of {@link createJobRecordRefresher}. */
export interface JobRecordRefresherOptions {
  /** Identifier of this entry process; only its own jobs are repeated. */
  owner: string;
  follower: LogFollower;
  appender: LogAppender;
  /** @returns the next sequence number of this entry's ledger records */
  nextOrdinal(): number;
}

/**
 * Age at which a record is repeated, as a share of the retention. The rest is
 * left for an outage of the log.
 */
const REFRESH_RETENTION_SHARE = 0.4;

/**
 * Creates the refresher of one entry.
 *
 * @param options log and identity of the entry
 * @returns the refresher, to be called periodically
 */
export function createJobRecordRefresher(
  options: JobRecordRefresherOptions,
): JobRecordRefresher {
  const { owner, follower, appender } = options;
  const inFlight = new Set<string>();

  const appendCarry = async (ledgerEntry: LedgerEntry): Promise<void> => {
    inFlight.add(ledgerEntry.request);
    await appender.append({
      kind: "carry",
      id: createIdentifier(),
      account: ledgerEntry.account,
      key: ledgerEntry.key,
      owner,
      ordinal: options.nextOrdinal(),
      entry: ledgerEntry,
    });
    inFlight.delete(ledgerEntry.request);
  };

  return {
    refreshDueRecords: () => {
      const { retentionMs, now } = follower.logClock();
      if (retentionMs === 0 || !follower.isCurrent()) return;
      const dueBefore = now - retentionMs * REFRESH_RETENTION_SHARE;
      // Entries come in order of their newest record, oldest first.
      for (const ledgerEntry of follower.ledger.entries()) {
        if (ledgerEntry.recordedAt >= dueBefore) return;
        const isOwnJob = ledgerEntry.owner === owner &&
          ledgerEntry.job !== undefined;
        if (isOwnJob && !inFlight.has(ledgerEntry.request)) {
          void appendCarry(ledgerEntry);
        }
      }
    },
  };
}
