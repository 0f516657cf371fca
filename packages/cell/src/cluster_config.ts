import type { Milliseconds } from "@rattanhill/shared";
import type {
  Deployment,
  Identity,
  QueueRules,
  Rules,
} from "@rattanhill/scheduler";

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

/** A queue with the ID under which its jobs are stored. */
export interface IdentifiedQueue extends Queue {
  id: string;
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
  findQueue(host: string, path: string): IdentifiedQueue | undefined;
  /** @returns ID of the client account that the API key belongs to */
  findAccount(key: string): string | undefined;
  /** Rules that the lead plans by, by the IDs of queues and accounts. */
  rules: Rules;
}

/**
 * Indexes a configuration for look-ups.
 *
 * @param config the decoded configuration
 * @param deployment planning parameters of the deployment
 * @param identities IDs of its queues and accounts, each in their order; by
 * default their names
 * @returns the configuration with its indices and planning rules
 */
export function indexConfig(
  config: ClusterConfig,
  deployment: Deployment,
  identities: {
    queues: readonly Pick<Identity, "id">[];
    accounts: readonly Pick<Identity, "id">[];
  } = {
    queues: config.queues.map(({ name }) => ({ id: name })),
    accounts: config.accounts.map(({ name }) => ({ id: name })),
  },
): ActiveConfig {
  const queues = config.queues.map((queue, index): IdentifiedQueue => ({
    ...queue,
    id: identities.queues[index].id,
  }));
  const queuesByHost = new Map<string, IdentifiedQueue[]>();
  for (const queue of queues) {
    queuesByHost.set(queue.host, [
      ...queuesByHost.get(queue.host) ?? [],
      queue,
    ]);
  }
  for (const hostQueues of queuesByHost.values()) {
    hostQueues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  const accountByKey = new Map<string, string>();
  const guarantees = new Map<string, number>();
  config.accounts.forEach(({ keys, guaranteedAccelerators }, index) => {
    const { id } = identities.accounts[index];
    for (const key of keys) accountByKey.set(key, id);
    guarantees.set(id, guaranteedAccelerators);
  });
  return {
    config,
    findQueue: (host, path) =>
      queuesByHost.get(host)?.find(({ pathPrefix }) =>
        path.startsWith(pathPrefix)
      ),
    findAccount: (key) => accountByKey.get(key),
    rules: {
      queues: new Map(queues.map((queue) => [queue.id, queue])),
      guarantees,
      deployment,
    },
  };
}
