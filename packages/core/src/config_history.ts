import { parseRules, type RuleFault } from "./rules.ts";

/** A record of the configuration stream. */
export interface ConfigRecord {
  /**
   * `rules` publishes a new version; `carry` repeats the accepted one before
   * log retention removes it.
   */
  kind: "rules" | "carry";
  /** Unique identifier of the record. */
  id: string;
  /**
   * Version that the text is based on; for `carry` the version before the
   * repeated one.
   */
  base: number;
  /** The whole rules file. */
  text: string;
  /** Operator who published it. */
  author: string;
}

/** Configuration in force. */
export interface ConfigState {
  /** Number of the accepted version; 0 before the first. */
  version: number;
  /** The whole rules file. */
  text: string;
  /** Operator who published it. */
  author: string;
  /** Identifier of the record that published it. */
  id: string;
}

/**
 * Effect of a record: `accepted` when it becomes the version in force;
 * `overtaken` when it is not based on that version, since another record was
 * accepted first; `invalid` when its text has faults; `repeated` when it
 * contains nothing newer than the version in force.
 */
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
 * Folds one record into the configuration. The result depends only on the
 * records in log order, so every entry reaches the same configuration.
 *
 * @param state configuration before the record
 * @param record the next record of the stream
 * @returns the effect of the record
 */
export function foldConfig(
  state: ConfigState,
  record: ConfigRecord,
): ConfigVerdict {
  const next = toConfigState(record);
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
 * Chooses the newer of the configuration in force and one offered by a peer.
 *
 * @param state configuration in force
 * @param offered configuration of the peer
 * @returns the one with the higher version, so that the version never decreases
 */
export function newerConfig(
  state: ConfigState,
  offered: ConfigState,
): ConfigState {
  return offered.version > state.version ? offered : state;
}

function toConfigState(record: ConfigRecord): ConfigState {
  const { base, text, author, id } = record;
  return { version: base + 1, text, author, id };
}
