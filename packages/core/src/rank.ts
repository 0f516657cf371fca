/** What decides which of two waiting requests goes first. */
export interface Rank {
  isWithinGuarantee: boolean;
  priority: number;
  share: number;
  arrival: number;
}

/**
 * Compares two waiting requests: within guarantee first, then priority with
 * age, then the smaller share of capacity, then arrival.
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
  if (a.share !== b.share) return a.share < b.share;
  return a.arrival < b.arrival;
}
