import type { Milliseconds } from "@rattanhill/shared";

/** Time limits of an entry. */
export interface EntryTiming {
  /** Time to live of a hold, counted by the worker. */
  holdTtlMs: Milliseconds;
  /** Time to live of a running lease between renewals. */
  leaseTtlMs: Milliseconds;
  /** Interval of heartbeats within the zone. */
  heartbeatMs: Milliseconds;
  /** Interval of heartbeats to other zones. */
  remoteHeartbeatMs: Milliseconds;
  /** Silence after which a peer of the zone is taken for dead. */
  suspicionMs: Milliseconds;
  /** Silence after which a peer of another zone is taken for dead. */
  remoteSuspicionMs: Milliseconds;
  /** Time limit of one operation on a worker. */
  workerTimeoutMs: Milliseconds;
  /** Interval at which a worker is asked when nothing changes. */
  watchMs: Milliseconds;
  /** Silence after which the tasks of repeatable requests on a worker are given up. */
  workerLostMs: Milliseconds;
  /** Time limit of one operation on the platform. */
  platformTimeoutMs: Milliseconds;
  /** Age above which keys of not repeatable requests are refused. */
  claimWindowMs: Milliseconds;
  /** Time for which ended requests are remembered. */
  answerRetentionMs: Milliseconds;
}

/** Limits of an entry. */
export interface EntryLimits {
  /** Requests in progress. */
  requests: number;
  /** Ended requests that are remembered. */
  endedRequests: number;
  /** Open connections of callers. */
  connections: number;
}

/** Settings of an entry, from its settings file. */
export interface EntrySettings {
  /** Name of the entry. */
  name: string;
  /** Availability zone. */
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
  /** Addresses to use in place of others, for networks with address translation. */
  translate: Readonly<Record<string, string>>;
  timing: EntryTiming;
  limits: EntryLimits;
}

/** Time limits used where the settings file names none. */
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

/** Limits used where the settings file names none. */
export const DEFAULT_LIMITS: EntryLimits = {
  requests: 5_000,
  endedRequests: 20_000,
  connections: 10_000,
};
