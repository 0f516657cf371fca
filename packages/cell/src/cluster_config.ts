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
export interface ActiveConfig {
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
export function indexConfig(
  config: ClusterConfig,
  deployment: Deployment,
): ActiveConfig {
  const queuesByHost = new Map<string, Queue[]>();
  for (const queue of config.queues) {
    queuesByHost.set(queue.host, [
      ...queuesByHost.get(queue.host) ?? [],
      queue,
    ]);
  }
  for (const queues of queuesByHost.values()) {
    queues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  const accountByKey = new Map<string, string>();
  for (const { name, keys } of config.accounts) {
    for (const key of keys) accountByKey.set(key, name);
  }
  return {
    config,
    findQueue: (host, path) =>
      queuesByHost.get(host)?.find(({ pathPrefix }) =>
        path.startsWith(pathPrefix)
      ),
    findAccount: (key) => accountByKey.get(key),
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
