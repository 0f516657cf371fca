import type { Milliseconds } from "@rattanhill/shared";
import type { LeaseView } from "./inventory.ts";
import { LeaseState } from "./lease.ts";

/** Decides which gang jobs may be preempted as a whole. */
export interface StoppableGangs {
  /**
   * Tests whether a gang job may be preempted: all of its parts run. If a part
   * has ended or is not known, the others are given some time to end too.
   *
   * @param leases known leases of one attempt of the gang job, at least one
   * @param now time by the placer's clock
   */
  mayStop(leases: readonly LeaseView[], now: Milliseconds): boolean;
}

// Time for which the remaining parts of a gang job are left to end. It is
// limited since an account may need its guarantee.
const INCOMPLETE_GRACE_MS: Milliseconds = 2_000;
// A gang job that was not asked about for this time is forgotten.
const FORGET_AFTER_MS: Milliseconds = 4_000;

/**
 * Creates the set of gang jobs that are known to be incomplete.
 *
 * @returns the set, which is empty
 */
export function createStoppableGangs(): StoppableGangs {
  const incomplete = new Map<
    string,
    { since: Milliseconds; askedAt: Milliseconds }
  >();
  const forgetOld = (now: Milliseconds): void => {
    for (const [name, { askedAt }] of incomplete) {
      if (now - askedAt >= FORGET_AFTER_MS) incomplete.delete(name);
    }
  };
  return {
    mayStop: (leases, now) => {
      // Parts that have not started yet may start while the others are stopped.
      if (leases.some(({ state }) => state !== LeaseState.running)) {
        return false;
      }
      const { request, attempt, parts } = leases[0];
      const name = `${request}/${attempt}`;
      forgetOld(now);
      if (leases.length >= parts) {
        incomplete.delete(name);
        return true;
      }
      const since = incomplete.get(name)?.since ?? now;
      incomplete.set(name, { since, askedAt: now });
      return now - since >= INCOMPLETE_GRACE_MS;
    },
  };
}
