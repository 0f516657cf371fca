import type { GuaranteeShares } from "./homes.ts";
import type { WorkerView } from "./inventory.ts";
import type { Rules } from "./rules.ts";

/** Use of an account's guarantee in one zone, in accelerators. */
export interface AccountStatus {
  account: string;
  guaranteed: number;
  used: number;
  /** Part of the guarantee that others use now and that can be reclaimed. */
  lent: number;
  /** Use beyond the guarantee. */
  borrowed: number;
  /** Whether the guarantee fits beside the others. */
  isMet: boolean;
}

/** Options of {@link describeAccounts}. */
export interface AccountStatusOptions {
  zone: string;
  rules: Rules;
  guaranteeShares: GuaranteeShares;
  workers: readonly WorkerView[];
}

/**
 * Describes the accounts that use or are guaranteed capacity in a zone.
 *
 * @param options rules and workers
 * @returns one row an account, by name
 */
export function describeAccounts(
  { zone, rules, guaranteeShares: homes, workers }: AccountStatusOptions,
): AccountStatus[] {
  const used = new Map<string, number>();
  for (const { leases } of workers) {
    for (const { account, accelerators } of leases.values()) {
      used.set(account, (used.get(account) ?? 0) + accelerators);
    }
  }
  const names = new Set([...rules.accounts.keys(), ...used.keys()]);
  return [...names].sort().map((account) => {
    const guaranteed = rules.accounts.get(account)?.guarantees
      .find((guarantee) => guarantee.zone === zone)?.accelerators ?? 0;
    const own = used.get(account) ?? 0;
    return {
      account,
      guaranteed,
      used: own,
      lent: Math.min(
        Math.max(0, guaranteed - own),
        countLent(account, homes, workers),
      ),
      borrowed: Math.max(0, own - guaranteed),
      isMet: !homes.unmet.includes(account),
    };
  }).filter(({ guaranteed, used }) => guaranteed > 0 || used > 0);
}

function countLent(
  account: string,
  guaranteeShares: GuaranteeShares,
  workers: readonly WorkerView[],
): number {
  let lent = 0;
  for (const { name, free, leases } of workers) {
    const share = guaranteeShares.workers.get(name)?.shares.get(account) ?? 0;
    let own = 0;
    for (const lease of leases.values()) {
      if (lease.account === account) own += lease.accelerators;
    }
    lent += Math.max(0, share - own - free);
  }
  return lent;
}
