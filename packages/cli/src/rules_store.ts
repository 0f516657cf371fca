import { createIdentifier, pause, UncertainError } from "@rattanhill/shared";
import {
  type ConfigState,
  type ConfigVerdict,
  foldConfig,
  NO_CONFIG,
} from "@rattanhill/core";
import {
  decodeConfigRecord,
  encodeRecord,
  Streams,
} from "@rattanhill/protocol";
import type { PlatformClient } from "@rattanhill/platform";

/** Rules on the platform's log. */
export interface RulesStore {
  /** @returns the configuration in force */
  read(): Promise<ConfigState>;
  /**
   * Publishes rules and reads the log back until their verdict is known.
   *
   * @returns the verdict, or `undefined` when the record never appeared
   */
  publish(
    text: string,
    options: { base: number; author: string },
  ): Promise<ConfigVerdict | undefined>;
}

const READ_BACK_TRIES = 50;
const READ_BACK_WAIT_MS = 200;

/**
 * Creates the store.
 *
 * @param platform client of the platform
 * @returns the store
 */
export function createRulesStore(platform: PlatformClient): RulesStore {
  /** Folds the whole stream and reports the verdict of one record on the way. */
  const fold = async (
    recordId?: string,
  ): Promise<{ state: ConfigState; verdict?: ConfigVerdict }> => {
    let state = NO_CONFIG;
    let verdict: ConfigVerdict | undefined;
    for (let from = 0;;) {
      const page = await platform.read(Streams.config, from, 0);
      for (const { data } of page.records) {
        const decoded = decodeConfigRecord(data);
        if (!("value" in decoded)) continue;
        const next = foldConfig(state, decoded.value);
        if (next.kind === "accepted") state = next.state;
        if (decoded.value.id === recordId) verdict ??= next;
      }
      const last = page.records.at(-1);
      if (last === undefined || last.offset + 1 >= page.end) {
        return { state, verdict };
      }
      from = last.offset + 1;
    }
  };

  return {
    read: async () => (await fold()).state,
    publish: async (text, { base, author }) => {
      const id = createIdentifier();
      const record = encodeRecord({ kind: "rules", id, base, text, author });
      try {
        await platform.append(Streams.config, [record]);
      } catch (error) {
        // The record may stand in the log although the answer was lost.
        if (!(error instanceof UncertainError)) throw error;
      }
      for (let tries = 0; tries < READ_BACK_TRIES; tries++) {
        const { verdict } = await fold(id).catch(() => ({
          verdict: undefined,
        }));
        if (verdict !== undefined) return verdict;
        await pause(READ_BACK_WAIT_MS);
      }
      return undefined;
    },
  };
}
