import type { Milliseconds } from "@rattanhill/shared";

/** Time limits of an entry. */
export interface EntryTiming {
  /** Time to live of a hold, measured by the worker. */
  holdTtlMs: Milliseconds;
  /** Time to live of a running lease between renewals. */
  leaseTtlMs: Milliseconds;
  /** Interval of heartbeats within the zone. */
  heartbeatMs: Milliseconds;
  /** Interval of heartbeats to other zones. */
  remoteHeartbeatMs: Milliseconds;
  /** Time without a heartbeat after which a peer in the zone counts as dead. */
  suspicionMs: Milliseconds;
  /**
   * Time without a heartbeat after which a peer in another zone counts as dead.
   */
  remoteSuspicionMs: Milliseconds;
  /** Time limit of one operation on a worker. */
  workerTimeoutMs: Milliseconds;
  /**
   * Time for which a worker waits for a change before it responds to a poll.
   * Entries that neither lead the zone nor own a lease on the worker poll with
   * a longer wait.
   */
  watchMs: Milliseconds;
  /**
   * Time without a response after which a worker and its tasks of repeatable
   * requests count as lost. Tasks of other requests count as lost later.
   */
  workerLostMs: Milliseconds;
  /** Time limit of one operation on the platform. */
  platformTimeoutMs: Milliseconds;
  /**
   * Age above which the keys of requests that are not repeatable are refused.
   * Peers without a heartbeat are remembered for the same time.
   */
  claimWindowMs: Milliseconds;
  /** Time for which an entry keeps ended requests with their answers. */
  answerRetentionMs: Milliseconds;
}

/** Limits on the number of objects that an entry keeps at the same time. */
export interface EntryLimits {
  /** Maximum number of requests in progress. */
  requests: number;
  /** Maximum number of ended requests that are kept. */
  endedRequests: number;
  /** Maximum number of open connections of callers. */
  connections: number;
}

/** Settings of an entry, as read from its settings file. */
export interface EntrySettings {
  /** Name of the entry, which does not change with a restart. */
  name: string;
  /** Availability zone of the entry VM. */
  zone: string;
  /** Address on which all ports listen. */
  host: string;
  ports: {
    /** HTTP for callers. */
    callers: number;
    /** HTTP for operators. */
    operators: number;
    /** gRPC for other entries. */
    peers: number;
  };
  platform: {
    /** Address of the platform's service, `host:port`. */
    address: string;
  };
  /** Addresses of other entries to contact at start. */
  peers: readonly string[];
  /**
   * Addresses to connect to in place of others, for networks with address
   * translation.
   */
  translate: Readonly<Record<string, string>>;
  timing: EntryTiming;
  limits: EntryLimits;
}

/** Time limits that apply where the settings file has none. */
export const DEFAULT_TIMING: EntryTiming = {
  holdTtlMs: 2_000,
  leaseTtlMs: 8_000,
  heartbeatMs: 400,
  remoteHeartbeatMs: 1_000,
  suspicionMs: 1_600,
  remoteSuspicionMs: 4_000,
  workerTimeoutMs: 500,
  watchMs: 1_000,
  workerLostMs: 3_000,
  platformTimeoutMs: 1_000,
  claimWindowMs: 1_800_000,
  answerRetentionMs: 1_800_000,
};

/** Limits that apply where the settings file has none. */
export const DEFAULT_LIMITS: EntryLimits = {
  requests: 5_000,
  endedRequests: 20_000,
  connections: 10_000,
};
