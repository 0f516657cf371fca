import { createIdentifier } from "@rattanhill/shared";
import type { LedgerEntry } from "@rattanhill/core";
import type { LogAppender } from "./log_appender.ts";
import type { LogFollower } from "./log_follower.ts";

/** Records jobs anew before the log's retention drops what is known of them. */
export interface JobCarrier {
  /** Appends a record for each of this entry's jobs whose newest record has become old. */
  carryDue(): void;
}

/** Options of {@link createJobCarrier}. */
export interface JobCarrierOptions {
  /** Identifier of this start of the entry. */
  owner: string;
  follower: LogFollower;
  appender: LogAppender;
  nextOrdinal(): number;
}

const REFRESH_RETENTION_SHARE = 0.4; // share of the retention, which leaves time for an outage

/**
 * Creates the carrier of one entry.
 *
 * @param options log and identity
 * @returns the carrier
 */
export function createJobCarrier(options: JobCarrierOptions): JobCarrier {
  const { owner, follower, appender } = options;
  const inFlight = new Set<string>();

  const appendCarryRecord = async (entry: LedgerEntry): Promise<void> => {
    inFlight.add(entry.request);
    await appender.append({
      kind: "carry",
      id: createIdentifier(),
      account: entry.account,
      key: entry.key,
      owner,
      ordinal: options.nextOrdinal(),
      entry,
    });
    inFlight.delete(entry.request);
  };

  return {
    carryDue: () => {
      const { retentionMs, now } = follower.logTime();
      if (retentionMs === 0 || !follower.isCurrent()) return;
      const dueBefore = now - retentionMs * REFRESH_RETENTION_SHARE;
      for (const entry of follower.ledger.entries()) {
        if (entry.recordedAt >= dueBefore) return;
        const isOwnJob = entry.owner === owner && entry.job !== undefined;
        if (isOwnJob && !inFlight.has(entry.request)) {
          void appendCarryRecord(entry);
        }
      }
    },
  };
}
