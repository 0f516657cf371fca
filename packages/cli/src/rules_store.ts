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

/** Reads and publishes rules in the platform's log. */
export interface RulesStore {
  /** @returns the configuration in force */
  read(): Promise<ConfigState>;
  /**
   * Publishes rules and reads the log back until the verdict on them is known.
   *
   * @returns the verdict, or `undefined` when the record did not appear in the
   * log within 50 reads, 200 ms apart
   */
  publish(
    text: string,
    options: { base: number; author: string },
  ): Promise<ConfigVerdict | undefined>;
}

const READ_BACK_TRIES = 50;
const READ_BACK_INTERVAL_MS = 200;

/**
 * Creates a store of rules.
 *
 * @param platform client of the platform
 * @returns the store
 */
export function createRulesStore(platform: PlatformClient): RulesStore {
  /**
   * Folds the configuration stream from its oldest record.
   *
   * @returns the configuration in force, and the verdict on the given record if
   * it is in the stream
   */
  const foldStream = async (
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
        // If the log contains the record twice, the first copy decides.
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
    read: async () => (await foldStream()).state,
    publish: async (text, { base, author }) => {
      const id = createIdentifier();
      const record = encodeRecord({ kind: "rules", id, base, text, author });
      try {
        await platform.append(Streams.config, [record]);
      } catch (error) {
        // The log may contain the record although no response arrived.
        if (!(error instanceof UncertainError)) throw error;
      }
      for (let tries = 0; tries < READ_BACK_TRIES; tries++) {
        const { verdict } = await foldStream(id).catch(() => ({
          verdict: undefined,
        }));
        if (verdict !== undefined) return verdict;
        await pause(READ_BACK_INTERVAL_MS);
      }
      return undefined;
    },
  };
}
