import { createIdentifier } from "@rattanhill/shared";
import type { LedgerEntry } from "@rattanhill/core";
import type { LogAppender } from "./log_appender.ts";
import type { LogFollower } from "./log_follower.ts";

/**
 * Appends the ledger entries of jobs to the log again before log retention
 * removes their records.
 */
export interface JobRecordRefresher {
  /**
   * Appends a `carry` record for each job of this entry whose newest record has
   * reached the age at which the record is repeated.
   */
  refreshDueRecords(): void;
}

/** Options of {@link createJobRecordRefresher}. */
export interface JobRecordRefresherOptions {
  /**
   * Identifier of this entry process; records of jobs that other entries own
   * are not repeated.
   */
  owner: string;
  follower: LogFollower;
  appender: LogAppender;
  /** @returns the next sequence number of this entry's ledger records */
  nextOrdinal(): number;
}

// Age at which a record is repeated, as a fraction of the retention. During the
// rest of the retention the append can be retried if the log is unavailable.
const REFRESH_RETENTION_FRACTION = 0.4;

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
      const dueBefore = now - retentionMs * REFRESH_RETENTION_FRACTION;
      // Entries are ordered by the time of their newest record, oldest first.
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
