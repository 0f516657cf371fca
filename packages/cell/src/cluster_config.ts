import type { Milliseconds } from "@rattanhill/shared";
import type { Deployment, QueueRules, Rules } from "@rattanhill/scheduler";

/** A queue that callers submit jobs to. */
export interface Queue extends QueueRules {
  host: string;
  /** Start of the paths of its jobs; the rest of the path is the job's ID. */
  pathPrefix: string;
  /** Whether calls are accepted without an API key. */
  isPublic: boolean;
  /** Time limit of a call. */
  timeoutMs: Milliseconds;
}

/** A client account. */
export interface Account {
  name: string;
  /** API keys of its client programs. */
  keys: readonly string[];
  /** Accelerators that are guaranteed to its urgent jobs at all times. */
  guaranteedAccelerators: number;
}

/** Configuration that the operators write to the store. */
export interface ClusterConfig {
  /**
   * Increases with each change; a configuration whose version is not above the
   * current one is ignored.
   */
  version: number;
  queues: readonly Queue[];
  accounts: readonly Account[];
}

/** Configuration in force, indexed for look-ups. */
export interface ActiveConfig {
  config: ClusterConfig;
  /** @returns the queue with the longest prefix that matches the path */
  findQueue(host: string, path: string): Queue | undefined;
  /** @returns name of the client account that the API key belongs to */
  findAccount(key: string): string | undefined;
  /** Rules that the lead plans by. */
  rules: Rules;
}

/**
 * Indexes a configuration for look-ups.
 *
 * @param config the decoded configuration
 * @param deployment planning parameters of the deployment
 * @returns the configuration with its indices and planning rules
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
