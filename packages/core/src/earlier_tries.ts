import { type Clock, keyTime, type Milliseconds } from "@rattanhill/shared";
import type { Membership } from "./membership.ts";

/**
 * Tells whether an entry that cannot be asked any more may have run an earlier
 * try of a key. Repeatable requests are not in the log: once their owner is
 * gone, nobody knows of them.
 *
 * @param key idempotency key that the caller sent
 * @param view other entries, a clock, and the start of this entry on that clock
 * @returns whether "it has not run" could be untrue
 */
export function mayHaveLostTry(
  key: string,
  { membership, clock, startedAt }: {
    membership: Pick<Membership, "all">;
    clock: Clock;
    startedAt: Milliseconds;
  },
): boolean {
  const madeAt = keyTime(key);
  // Other forms of keys do not tell their age.
  const ageMs = madeAt === undefined ? Infinity : clock.wallTime() - madeAt;
  const keyFrom = clock.now() - ageMs;
  if (madeAt !== undefined && startedAt > keyFrom) return true;
  return membership.all().some(({ isAlive, heardAt }) =>
    !isAlive && heardAt > keyFrom
  );
}
