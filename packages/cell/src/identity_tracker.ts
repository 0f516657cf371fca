import { createHash } from "node:crypto";
import { continueIdentities, type Identities } from "@rattanhill/scheduler";
import type { Account, ClusterConfig, Queue } from "./cluster_config.ts";

/**
 * Follows the queues and client accounts of a cell through the versions of its
 * configuration, so that they keep their jobs when they are renamed.
 */
export interface IdentityTracker {
  /**
   * Derives the identities of a version, also of an earlier one than those that
   * are known.
   *
   * @returns those of its queues and accounts, each in their order
   */
  applyConfig(config: ClusterConfig): Identities;
  /**
   * Applies identities that a lead has stored. They replace those that this
   * process has derived, unless it knows a later version already.
   *
   * @returns whether those of the present configuration have changed
   */
  applyStored(stored: Identities): boolean;
  /** @returns identities that are to be stored; undefined if they are */
  unsaved(): Identities | undefined;
  /** Records that identities are stored. */
  recordSaved(saved: Identities): void;
}

const NO_IDENTITIES: Identities = { version: -1, queues: [], accounts: [] };
const DIGEST_LENGTH = 16;

/** @returns a tracker that knows no configuration */
export function createIdentityTracker(): IdentityTracker {
  let newest = NO_IDENTITIES;
  let saved = NO_IDENTITIES;
  let isSaved = true;

  const update = (changed: { newest?: Identities; saved?: Identities }) => {
    newest = changed.newest ?? newest;
    saved = changed.saved ?? saved;
    isSaved = isSame(newest, saved);
  };

  return {
    applyConfig: (config) => {
      const identities = deriveIdentities(newest, config);
      if (config.version >= newest.version) update({ newest: identities });
      return identities;
    },
    applyStored: (stored) => {
      const derived = newest;
      // Without stored identities, they were derived from one version alone.
      const isNewer = stored.version >= newest.version ||
        saved === NO_IDENTITIES;
      update({ saved: stored, newest: isNewer ? stored : newest });
      return !isSame(newest, derived);
    },
    unsaved: () => isSaved ? undefined : newest,
    recordSaved: (stored) => update({ saved: stored }),
  };
}

function deriveIdentities(
  earlier: Identities,
  { version, queues, accounts }: ClusterConfig,
): Identities {
  return {
    version,
    queues: continueIdentities(earlier.queues, queues.map(toQueueItem), {
      version,
      keepsPastMarks: true,
    }),
    accounts: continueIdentities(
      earlier.accounts,
      accounts.map(toAccountItem),
      { version, keepsPastMarks: false },
    ),
  };
}

/** Callers select a queue by its host and the start of the path. */
function toQueueItem({ name, host, pathPrefix }: Queue) {
  return { name, marks: [`${host}${pathPrefix}`] };
}

/** Keys are not written to the journal in clear. */
function toAccountItem({ name, keys }: Account) {
  return {
    name,
    marks: keys.map((key) =>
      createHash("sha256").update(key).digest("base64url")
        .slice(0, DIGEST_LENGTH)
    ),
  };
}

function isSame(one: Identities, other: Identities): boolean {
  const rowsOf = ({ queues, accounts }: Identities) =>
    JSON.stringify([queues, accounts]);
  return rowsOf(one) === rowsOf(other);
}
