import { parseRules, type RuleFault } from "./rules.ts";

/** A record of the configuration stream. */
export interface ConfigRecord {
  /** `rules` publishes a new version; `carry` repeats the accepted one before retention drops it. */
  kind: "rules" | "carry";
  /** Unique name of the record. */
  id: string;
  /** Version the text was made from; for `carry` the version before it. */
  base: number;
  /** The whole rules file. */
  text: string;
  /** Who published it. */
  author: string;
}

/** Configuration in force. */
export interface ConfigState {
  /** Number of the accepted version; 0 before the first. */
  version: number;
  /** The whole rules file. */
  text: string;
  /** Who published it. */
  author: string;
  /** Record that brought it. */
  id: string;
}

/** What became of a record. */
export type ConfigVerdict =
  | { kind: "accepted"; state: ConfigState }
  | { kind: "overtaken"; by: ConfigState }
  | { kind: "invalid"; faults: RuleFault[] }
  | { kind: "repeated" };

/** Configuration before the first record. */
export const NO_CONFIG: ConfigState = {
  version: 0,
  text: "",
  author: "",
  id: "",
};

/**
 * Folds one record into the configuration. Every entry reaches the same
 * result, since it depends on nothing but the records in log order.
 *
 * @param state configuration before the record
 * @param record the next record of the stream
 * @returns what became of the record
 */
export function foldConfig(
  state: ConfigState,
  record: ConfigRecord,
): ConfigVerdict {
  const next = configOf(record);
  if (record.kind === "carry") {
    return next.version > state.version
      ? { kind: "accepted", state: next }
      : { kind: "repeated" };
  }
  if (record.id === state.id) return { kind: "repeated" };
  if (record.base !== state.version) return { kind: "overtaken", by: state };
  const { faults } = parseRules(record.text);
  if (faults.length > 0) return { kind: "invalid", faults };
  return { kind: "accepted", state: next };
}

/**
 * Chooses between the configuration in force and one offered by a peer.
 *
 * @param state configuration in force
 * @param offered configuration of the peer
 * @returns the newer of the two; a version never goes back
 */
export function newerConfig(
  state: ConfigState,
  offered: ConfigState,
): ConfigState {
  return offered.version > state.version ? offered : state;
}

function configOf(record: ConfigRecord): ConfigState {
  const { base, text, author, id } = record;
  return { version: base + 1, text, author, id };
}
