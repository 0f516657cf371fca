/** Sort key of a waiting request. */
export interface Rank {
  /** Whether the request fits into what is left of its account's guarantee. */
  isWithinGuarantee: boolean;
  /** Priority, raised with the time waited; compared in whole points. */
  priority: number;
  /** Accelerators that the account uses, divided by its weight. */
  weightedUse: number;
  /** Arrival number, lower for earlier requests. */
  arrival: number;
}

/**
 * Compares two waiting requests: those within their guarantee go first, then
 * the higher aged priority, then the smaller weighted use, then the earlier
 * arrival.
 *
 * @param a one request
 * @param b the other
 * @returns whether `a` goes first
 */
export function goesBefore(a: Rank, b: Rank): boolean {
  if (a.isWithinGuarantee !== b.isWithinGuarantee) return a.isWithinGuarantee;
  if (Math.floor(a.priority) !== Math.floor(b.priority)) {
    return a.priority > b.priority;
  }
  if (a.weightedUse !== b.weightedUse) return a.weightedUse < b.weightedUse;
  return a.arrival < b.arrival;
}
