import {
  type Clock,
  describeError,
  type EventLog,
  Events,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import type { ClaimedPart, WorkerReport } from "@rattanhill/core";
import type { EndedLease, VmInfo, WatchResponse } from "@rattanhill/protocol";
import { createWorkerClient, type WorkerClient } from "@rattanhill/platform";
import type { EntryTiming } from "./settings.ts";

/** How a lease ended. */
export type LeaseEnd = Pick<EndedLease, "state" | "failure" | "checkpoint">;

/** A lease that this entry owns, with the callbacks for its end or loss. */
export interface OwnedLease {
  target: ClaimedPart;
  /**
   * Whether the request may run again; its lease then counts as lost sooner
   * when the worker does not respond.
   */
  repeatable: boolean;
  /** Called when the lease ended by itself or was stopped. */
  onEnded(end: LeaseEnd): void;
  /** Called when the worker restarted or has not responded for too long. */
  onLost(): void;
}

/**
 * Links to the workers of the zone, and to workers of other zones on which this
 * entry owns leases. Each link long-polls its worker for changes, and each poll
 * renews the owned leases.
 */
export interface WorkerLinks {
  /** Starts and stops polling according to the platform's list of VMs. */
  updateVms(vms: readonly VmInfo[]): void;
  /**
   * @returns the client of a worker; a link to it is opened if there is none at
   * this address
   */
  getClient(worker: string, address: string): WorkerClient;
  /** Renews a lease with each poll until it ends, is lost or is unfollowed. */
  follow(lease: OwnedLease): void;
  /** @returns whether the lease is followed */
  isFollowed(target: ClaimedPart): boolean;
  /** Stops renewing a lease; its callbacks are not called any more. */
  unfollow(lease: string): void;
  /** Polls every worker of the zone without waiting for a change. */
  pollAllWorkers(): void;
  /** Polls one worker without waiting for a change. */
  pollWorker(worker: string): void;
  /** @returns the state of each link for the state dump */
  describe(): unknown[];
  stop(): Promise<void>;
}

/** Options of {@link createWorkerLinks}. */
export interface WorkerLinksOptions {
  zone: string;
  owner: string;
  timing: EntryTiming;
  translate: Readonly<Record<string, string>>;
  clock: Clock;
  log: EventLog;
  /**
   * @returns whether this entry leads the zone; polls then also return for
   * changes of leases that other entries own
   */
  isLead(): boolean;
  /** Called for each response of a worker of the zone. */
  onWorkerReport(report: WorkerReport, ended: readonly EndedLease[]): void;
  /** Called once when a worker of the zone has stopped responding. */
  onWorkerUnresponsive(worker: string): void;
}

interface WorkerLink {
  name: string;
  address: string;
  client: WorkerClient;
  /**
   * Whether the platform lists the worker in this entry's zone; it is then
   * polled even without owned leases.
   */
  isListed: boolean;
  /**
   * Identifier of the worker's process start; empty before its first report.
   */
  boot: string;
  /** Sequence number of the worker's last report. */
  lastSequence: number;
  /** Time of the last response or, if later, of the start of polling. */
  lastResponseAt: Milliseconds;
  /**
   * Time of the first failed poll since the last response, or since polling
   * resumed.
   */
  failingSince?: Milliseconds;
  /** Time of the last failed poll. */
  lastFailureAt?: Milliseconds;
  isAlive: boolean;
  hasResponded: boolean;
  isStopped: boolean;
  leaving: boolean;
  ownedLeases: Map<string, OwnedLease>;
  /** Resumes the poll loop, which pauses while nothing has to be polled. */
  wake(): void;
  /** Aborts the longer poll of an idle link; absent during a normal poll. */
  idlePoll?: AbortController;
}

const RETRY_DELAY_MS: Milliseconds = 100;
// Polls last longer by this factor, and so are less frequent, while the entry
// neither leads the zone nor owns a lease on the worker.
const IDLE_POLL_FACTOR = 3;
// Time between two failed polls, in multiples of the longest poll, from which
// this process counts as paused in between.
const MAXIMUM_FAILURE_GAP_FACTOR = 1.5;
// Leases of requests that are not repeatable count as lost only after a silence
// that is longer by this factor, since such a request cannot run again to get
// an answer.
const NOT_REPEATABLE_LOST_FACTOR = 4;

/**
 * Creates the links of one entry to the workers.
 *
 * @param options zone, owner and callbacks
 * @returns the links, none of which is open yet
 */
export function createWorkerLinks(options: WorkerLinksOptions): WorkerLinks {
  const { timing, clock, log } = options;
  const links = new Map<string, WorkerLink>();

  const getOrOpenLink = (name: string, address: string): WorkerLink => {
    const existing = links.get(name);
    if (existing !== undefined && existing.address === address) return existing;
    if (existing !== undefined) closeLink(existing);
    const link: WorkerLink = {
      name,
      address,
      client: createWorkerClient({
        address,
        timeoutMs: timing.workerTimeoutMs,
        translate: options.translate,
      }),
      isListed: existing?.isListed ?? false,
      boot: "",
      lastSequence: 0,
      lastResponseAt: clock.now(),
      isAlive: true,
      hasResponded: false,
      isStopped: false,
      leaving: false,
      ownedLeases: existing?.ownedLeases ?? new Map(),
      wake: () => {},
    };
    links.set(name, link);
    void runPollLoop(link);
    return link;
  };

  const closeLink = (link: WorkerLink): void => {
    link.isStopped = true;
    link.wake();
    link.client.close().catch(() => {});
    if (links.get(link.name) === link) links.delete(link.name);
  };

  const runPollLoop = async (link: WorkerLink): Promise<void> => {
    while (!link.isStopped) {
      if (!link.isListed && link.ownedLeases.size === 0) {
        await new Promise<void>((resolve) => link.wake = resolve);
        // Nothing was polled meanwhile, so failures before say nothing about
        // the worker now.
        link.failingSince = undefined;
        continue;
      }
      const waitMs = choosePollWaitMs(link);
      const isIdlePoll = waitMs > timing.watchMs;
      const abortController = isIdlePoll ? new AbortController() : undefined;
      link.idlePoll = abortController;
      try {
        await pollLink(link, waitMs, abortController?.signal);
      } catch (error) {
        if (abortController?.signal.aborted) continue;
        recordFailure(link, error);
        await pause(RETRY_DELAY_MS);
      }
    }
  };

  const choosePollWaitMs = (link: WorkerLink): Milliseconds =>
    options.isLead() || link.ownedLeases.size > 0
      ? timing.watchMs
      : timing.watchMs * IDLE_POLL_FACTOR;

  const pollLink = async (
    link: WorkerLink,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<void> => {
    const response = await link.client.watch({
      owner: options.owner,
      scope: options.isLead() ? "all" : "owner",
      since: link.lastSequence,
      boot: link.boot,
      waitMs,
      renew: [...link.ownedLeases.keys()],
      ttlMs: timing.leaseTtlMs,
    }, signal);
    if (!link.isStopped) handleWatchResponse(link, response);
  };

  const pollLinkNow = (link: WorkerLink): void => {
    pollLink(link, 0).catch((error) => recordFailure(link, error));
  };

  const handleWatchResponse = (
    link: WorkerLink,
    { report, ended }: WatchResponse,
  ): void => {
    if (!link.isAlive || !link.hasResponded) {
      log(Events.workerFound, { worker: link.name });
    }
    const hasRestarted = link.boot !== "" && link.boot !== report.boot;
    if (hasRestarted) log(Events.workerRestarted, { worker: link.name });
    if (report.leaving && !link.leaving) {
      log(Events.workerLeaving, { worker: link.name });
    }
    Object.assign(link, {
      boot: report.boot,
      lastSequence: report.sequence,
      lastResponseAt: clock.now(),
      failingSince: undefined,
      isAlive: true,
      hasResponded: true,
      leaving: report.leaving,
    });
    callLeaseCallbacks(link, report, ended);
    if (link.isListed) options.onWorkerReport(report, ended);
  };

  const callLeaseCallbacks = (
    link: WorkerLink,
    report: WorkerReport,
    ended: readonly EndedLease[],
  ): void => {
    for (const lease of ended) {
      const ownedLease = link.ownedLeases.get(lease.lease);
      if (ownedLease === undefined) continue;
      link.ownedLeases.delete(lease.lease);
      ownedLease.onEnded(lease);
    }
    for (const [lease, ownedLease] of link.ownedLeases) {
      if (ownedLease.target.boot === report.boot) continue;
      link.ownedLeases.delete(lease);
      ownedLease.onLost();
    }
  };

  const recordFailure = (link: WorkerLink, error: unknown): void => {
    // The silence is measured from the first failed poll, plus the time limit
    // of a normal poll, and not from the last response: while this process is
    // paused it polls no worker, so the time since the last response does not
    // show whether the worker is lost. A gap between two failures that is longer
    // than any poll is such a pause as well.
    const now = clock.now();
    const longestPollMs = choosePollWaitMs(link) + timing.workerTimeoutMs;
    const wasPaused = link.lastFailureAt !== undefined &&
      now - link.lastFailureAt > MAXIMUM_FAILURE_GAP_FACTOR * longestPollMs;
    if (wasPaused) link.failingSince = undefined;
    link.failingSince ??= now;
    link.lastFailureAt = now;
    const silentForMs = clock.now() - link.failingSince +
      timing.watchMs +
      timing.workerTimeoutMs;
    if (silentForMs < timing.workerLostMs) return;
    if (link.isAlive) {
      link.isAlive = false;
      const errorText = describeError(error);
      log(Events.workerLost, { worker: link.name, error: errorText });
      if (link.isListed) options.onWorkerUnresponsive(link.name);
    }
    const notRepeatableLostMs = timing.workerLostMs *
      NOT_REPEATABLE_LOST_FACTOR;
    for (const [lease, ownedLease] of link.ownedLeases) {
      if (!ownedLease.repeatable && silentForMs < notRepeatableLostMs) continue;
      link.ownedLeases.delete(lease);
      ownedLease.onLost();
    }
  };

  return {
    updateVms: (vms) => {
      const listed = new Map(
        vms.filter(({ kind, zone }) =>
          kind === "worker" && zone === options.zone
        ).map((vm) => [vm.name, vm]),
      );
      for (const vm of listed.values()) {
        const link = getOrOpenLink(vm.name, vm.address);
        if (link.isListed) continue;
        link.isListed = true;
        link.wake();
      }
      for (const link of links.values()) {
        // A worker that is no longer listed is polled until it stops
        // responding.
        if (!link.isListed || listed.has(link.name) || link.isAlive) continue;
        link.isListed = false;
        if (link.ownedLeases.size === 0) closeLink(link);
      }
    },
    getClient: (worker, address) => getOrOpenLink(worker, address).client,
    follow: (lease) => {
      const link = getOrOpenLink(lease.target.worker, lease.target.address);
      if (link.ownedLeases.size === 0 && !link.isListed) {
        link.lastResponseAt = clock.now();
      }
      link.ownedLeases.set(lease.target.lease, lease);
      // A poll in progress does not renew the new lease, but the next one does.
      // A normal poll ends soon; an idle one is aborted.
      link.idlePoll?.abort();
      link.wake();
    },
    isFollowed: ({ worker, lease }) =>
      links.get(worker)?.ownedLeases.has(lease) === true,
    unfollow: (lease) => {
      for (const link of links.values()) link.ownedLeases.delete(lease);
    },
    pollAllWorkers: () => {
      for (const link of links.values()) {
        link.idlePoll?.abort();
        if (link.isListed) pollLinkNow(link);
      }
    },
    pollWorker: (worker) => {
      const link = links.get(worker);
      if (link !== undefined) pollLinkNow(link);
    },
    describe: () =>
      [...links.values()].map((link) => ({
        worker: link.name,
        address: link.address,
        isAlive: link.isAlive,
        leaving: link.leaving,
        owned: link.ownedLeases.size,
        silenceMs: clock.now() - link.lastResponseAt,
      })),
    stop: async () => {
      const openLinks = [...links.values()];
      for (const link of openLinks) link.isStopped = true;
      await Promise.all(openLinks.map((link) => link.client.close()));
    },
  };
}
