import type { Logger } from "@rattanhill/shared";
import type { Deployment, Identities } from "@rattanhill/scheduler";
import {
  type ActiveConfig,
  type ClusterConfig,
  indexConfig,
} from "./cluster_config.ts";
import {
  createIdentityTracker,
  type IdentityTracker,
} from "./identity_tracker.ts";
import type { StoredRecord } from "./store.ts";

/** The newest configuration that an entry has read. */
export interface ConfigInForce {
  /** @returns the configuration; undefined before the first one was read */
  current(): ActiveConfig | undefined;
  /** Applies a record of the operators' topic; other keys are ignored. */
  apply(record: StoredRecord): void;
  /** Applies the identities of queues and accounts that a lead has stored. */
  applyIdentities(stored: Identities): void;
  identities: IdentityTracker;
}

/** Options of {@link createConfigInForce}. */
export interface ConfigInForceOptions {
  /** Key of the configuration's record. */
  key: string;
  /**
   * Decodes the configuration.
   *
   * @throws InvalidError when it is not valid
   */
  decode(text: string): ClusterConfig;
  deployment: Deployment;
  /** Called after each change. */
  onChange(config: ActiveConfig): void;
  log: Logger;
}

/**
 * @param options how to decode a configuration, and the deployment
 * @returns the configuration in force, none so far
 */
export function createConfigInForce(
  { key, decode, deployment, onChange, log }: ConfigInForceOptions,
): ConfigInForce {
  const identities = createIdentityTracker();
  let active: ActiveConfig | undefined;

  const activate = (config: ClusterConfig): void => {
    active = indexConfig(config, deployment, identities.applyConfig(config));
    onChange(active);
  };

  return {
    current: () => active,
    identities,
    apply: (record) => {
      const { value, offset } = record;
      if (record.key !== key || value === undefined) return;
      try {
        const next = decode(value);
        if (next.version <= (active?.config.version ?? -1)) return;
        activate(next);
        const { version, queues, accounts } = next;
        log.info(
          { version, queues: queues.length, accounts: accounts.length, offset },
          "configuration in force",
        );
      } catch (error) {
        log.warn(
          { offset, error: String(error) },
          "invalid configuration skipped",
        );
      }
    },
    applyIdentities: (stored) => {
      const isChanged = identities.applyStored(stored);
      if (!isChanged || active === undefined) return;
      activate(active.config);
      log.info(
        { version: active.config.version, storedVersion: stored.version },
        "identities of queues and accounts read",
      );
    },
  };
}
