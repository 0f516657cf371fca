import type { Milliseconds } from "@rattanhill/shared";
import type { Deployment, QueueRules, Rules } from "@rattanhill/scheduler";

/** A queue that callers submit jobs to. */
export interface Queue extends QueueRules {
  host: string;
  pathPrefix: string;
  /** Needs no key. */
  isPublic: boolean;
  /** Time limit of a call. */
  timeoutMs: Milliseconds;
}

/** A client account. */
export interface Account {
  name: string;
  keys: readonly string[];
  /** Accelerators that belong to its urgent jobs at all times. */
  guaranteedAccelerators: number;
}

/** Configuration that the operators put into the store. */
export interface ClusterConfig {
  version: number;
  queues: readonly Queue[];
  accounts: readonly Account[];
}

/** Configuration with its indices. */
export interface ConfigInForce {
  config: ClusterConfig;
  /** @returns the queue with the longest prefix of the path */
  findQueue(host: string, path: string): Queue | undefined;
  /** @returns name of the account that the key belongs to */
  findAccount(key: string): string | undefined;
  rules: Rules;
}

/**
 * Prepares a configuration for use.
 *
 * @param config the configuration
 * @param deployment what planning has to know of the deployment
 * @returns the configuration with its indices
 */
export function enforceConfig(
  config: ClusterConfig,
  deployment: Deployment,
): ConfigInForce {
  const byHost = new Map<string, Queue[]>();
  for (const queue of config.queues) {
    byHost.set(queue.host, [...byHost.get(queue.host) ?? [], queue]);
  }
  for (const queues of byHost.values()) {
    queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  const accounts = new Map<string, string>();
  for (const { name, keys } of config.accounts) {
    for (const key of keys) accounts.set(key, name);
  }
  return {
    config,
    findQueue: (host, path) =>
      byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    findAccount: (key) => accounts.get(key),
    rules: {
      queues: new Map(config.queues.map((queue) => [queue.name, queue])),
      guarantees: new Map(
        config.accounts.map(({ name, guaranteedAccelerators }) =>
          [name, guaranteedAccelerators] as const
        ),
      ),
      deployment,
    },
  };
}
