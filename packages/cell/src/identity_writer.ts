import type { Logger } from "@rattanhill/shared";
import type { CellJournal } from "./cell_journal.ts";
import type { IdentityTracker } from "./identity_tracker.ts";

/** Options of {@link createIdentityWriter}. */
export interface IdentityWriterOptions {
  identities: Pick<IdentityTracker, "unsaved" | "recordSaved">;
  journal: Pick<CellJournal, "append">;
  log: Logger;
}

/**
 * Creates the writer of a lead for the identities of queues and accounts.
 *
 * @param options the identities, the journal that stores them and the log
 * @returns function that stores them after a change, and returns whether they
 * are stored, or rejected for good; false when this process no longer leads
 */
export function createIdentityWriter(
  { identities, journal, log }: IdentityWriterOptions,
): () => Promise<boolean> {
  return async () => {
    const unsaved = identities.unsaved();
    if (unsaved === undefined) return true;
    const rejected = await journal.append([
      { kind: "identities", identities: unsaved },
    ]);
    if (rejected === undefined) return false;
    identities.recordSaved(unsaved);
    const { version, queues, accounts } = unsaved;
    log.info(
      {
        version,
        queues: queues.length,
        accounts: accounts.length,
        isStored: rejected.length === 0,
      },
      "identities of queues and accounts stored",
    );
    return true;
  };
}
