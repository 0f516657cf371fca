import type { PeerView } from "@rattanhill/core";
import { extractKeyTime, type Milliseconds } from "@rattanhill/shared";

/** What one entry knows of the entries that have ended. */
export interface EndedEntries {
  /** Other entries that were heard of within the retention. */
  peers: readonly Pick<PeerView, "isAlive">[];
  /** Wall time at which this entry started. */
  startedAt: Milliseconds;
  /** Current wall time. */
  wallTime: Milliseconds;
  /** Time for which entries that ended are remembered. */
  retentionMs: Milliseconds;
}

/**
 * Tests whether an entry that has ended, or that does not respond, may have
 * admitted a request with the given key.
 *
 * @param key idempotency key of the request
 * @param entries what is known of the other entries
 * @returns whether one of them is lost, or one that ended before this entry
 * started may have had the key
 */
export function mayHaveLostOwner(key: string, entries: EndedEntries): boolean {
  if (entries.peers.some(({ isAlive }) => !isAlive)) return true;
  // This entry has not heard of entries that ended before it started. Only a
  // key with a time shows that it was created later.
  if (entries.wallTime - entries.startedAt >= entries.retentionMs) return false;
  const createdAt = extractKeyTime(key);
  return createdAt === undefined || createdAt < entries.startedAt;
}
