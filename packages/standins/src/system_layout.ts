import { createHash } from "node:crypto";

/** An availability zone of the system under test. */
export interface ZoneLayout {
  name: string;
  /** Number of entries. */
  entries: number;
  /** Number of workers. */
  workers: number;
}

/** A client account with its bearer key and the classes that it may use. */
export interface AccountLayout {
  name: string;
  key: string;
  classes: string[];
}

/** Composition of a system under test. */
export interface SystemLayout {
  zones: ZoneLayout[];
  accounts: AccountLayout[];
  /** Lines of the rules file, without those for keys and allowed classes. */
  rules: string[];
}

/** Number of workers in one rack. */
export const WORKERS_PER_RACK = 8;

/**
 * System of the demo, which combines two deployments (accounts `notun-*` and
 * `vatuwaqa-*`): 3 zones, 33 workers, 8 accounts.
 */
export const DEMO_LAYOUT: SystemLayout = {
  zones: [
    { name: "kol-salt", entries: 2, workers: 11 },
    { name: "kol-park", entries: 2, workers: 11 },
    { name: "kol-jadav", entries: 2, workers: 11 },
  ],
  accounts: [
    account("notun-drafts", ["welcome-draft"]),
    account("notun-groups", ["group-suggestion"]),
    account("notun-venues", ["venue-fit"]),
    account("notun-bookings", ["match-booking"]),
    account("vatuwaqa-routes", ["route-plan"]),
    account("vatuwaqa-drivers", ["route-plan", "reconciliation"]),
    account("vatuwaqa-crates", ["reconciliation"]),
    account("vatuwaqa-batch", ["reconciliation", "venue-fit"]),
  ],
  rules: [
    "# Guarantees",
    "account notun-drafts guarantee 16 accelerators zone kol-salt   # asked by: Ishita, newcomers' desk",
    "account notun-venues guarantee 32 accelerators adjacent rack zone kol-park   # asked by: Rafiq, venues",
    "account notun-groups weight 2   # asked by: Ishita, newcomers' desk",
    "account notun-bookings guarantee 8 accelerators zone kol-jadav   # asked by: Rafiq, venues",
    "account vatuwaqa-routes guarantee 16 accelerators adjacent rack zone kol-jadav   # asked by: Sera, dispatch",
    "account vatuwaqa-drivers weight 2   # asked by: Sera, dispatch",
    "account vatuwaqa-crates weight 1   # asked by: Jone, depot",
    "account vatuwaqa-batch weight 1   # asked by: Jone, depot",
    "# Classes",
    "class welcome-draft priority 90 wait 5s repeatable expected 150ms   # asked by: Ishita, newcomers' desk",
    "class group-suggestion priority 50 wait 20s repeatable expected 400ms   # asked by: Ishita, newcomers' desk",
    "class venue-fit priority 30 wait 60s repeatable parts 8 accelerators 2 adjacent rack expected 2s   # asked by: Rafiq, venues",
    "class match-booking priority 80 wait 10s not-repeatable expected 200ms   # asked by: Rafiq, venues",
    "class route-plan priority 90 wait 10s not-repeatable accelerators 2 expected 500ms   # asked by: Sera, dispatch",
    "class reconciliation priority 20 wait 60s repeatable expected 500ms   # asked by: Jone, depot",
    "# Limits",
    "limit account vatuwaqa-batch waiting 200   # asked by: Jone, depot",
    "refuse class reconciliation when waiting over 500   # asked by: Jone, depot",
  ],
};

/**
 * Composes the rules file of a layout.
 *
 * @param layout accounts and rules of the system
 * @returns the text, with a key line and an allow line for each account
 */
export function composeRules({ accounts, rules }: SystemLayout): string {
  const keys = accounts.map(({ name, key }) => {
    const digest = createHash("sha256").update(key).digest("hex");
    return `key account ${name} sha256 ${digest}   # asked by: platform team`;
  });
  const allowed = accounts.map(({ name, classes }) =>
    `allow account ${name} class ${
      classes.join(" ")
    }   # asked by: platform team`
  );
  return [...rules, "# Keys", ...keys, ...allowed, ""].join("\n");
}

function account(name: string, classes: string[]): AccountLayout {
  return { name, key: `demo-key-of-${name}`, classes };
}
