import type { GuaranteeShares } from "./guarantee_shares.ts";
import type { WorkerView } from "./inventory.ts";
import type { Rules } from "./rules.ts";

/** Use of an account's guarantee in one zone, in accelerators. */
export interface AccountStatus {
  account: string;
  guaranteed: number;
  used: number;
  /**
   * Unused part of the guarantee that other accounts use now; it can be
   * reclaimed.
   */
  lent: number;
  /** Accelerators used beyond the guarantee. */
  borrowed: number;
  /**
   * Whether the guarantee fits on the zone's workers together with the other
   * guarantees.
   */
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
 * Describes the accounts that use capacity or have a guarantee in a zone.
 *
 * @param options zone, rules, guarantee shares and workers
 * @returns one row for each account, sorted by name
 */
export function describeAccounts(
  { zone, rules, guaranteeShares, workers }: AccountStatusOptions,
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
    const ownUse = used.get(account) ?? 0;
    return {
      account,
      guaranteed,
      used: ownUse,
      lent: Math.min(
        Math.max(0, guaranteed - ownUse),
        countLent(account, guaranteeShares, workers),
      ),
      borrowed: Math.max(0, ownUse - guaranteed),
      isMet: !guaranteeShares.unmet.includes(account),
    };
  }).filter(({ guaranteed, used }) => guaranteed > 0 || used > 0);
}

/** Counts accelerators of an account's shares that other accounts use. */
function countLent(
  account: string,
  guaranteeShares: GuaranteeShares,
  workers: readonly WorkerView[],
): number {
  let lent = 0;
  for (const { name, free, leases } of workers) {
    const share = guaranteeShares.workers.get(name)?.shares.get(account) ?? 0;
    let ownUse = 0;
    for (const lease of leases.values()) {
      if (lease.account === account) ownUse += lease.accelerators;
    }
    lent += Math.max(0, share - ownUse - free);
  }
  return lent;
}
