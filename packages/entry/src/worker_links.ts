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

/** A lease that this entry owns, with the callbacks for its end. */
export interface OwnedLease {
  target: ClaimedPart;
  /**
   * Whether the request may run again; its lease is then given up sooner when
   * the worker does not answer.
   */
  repeatable: boolean;
  /** Called when the lease ended by itself or was stopped. */
  onEnded(end: LeaseEnd): void;
  /** Called when the worker restarted or has not answered for too long. */
  onLost(): void;
}

/**
 * Links to the workers of the zone, and to workers of other zones on which this
 * entry owns leases. Each link long-polls its worker for changes, and each poll
 * renews the owned leases.
 */
export interface WorkerLinks {
  /** Starts and ends polling according to the platform's list of VMs. */
  updateVms(vms: readonly VmInfo[]): void;
  /**
   * @returns the client of a worker; a link to it is opened if there is none at
   * this address
   */
  getClient(worker: string, address: string): WorkerClient;
  /** Renews a lease with each poll until it ended, is lost or is unfollowed. */
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
   * @returns whether this entry leads the zone; it then needs every change on a
   * worker, not only those of its own leases
   */
  isLead(): boolean;
  /** Called for each answer of a worker of the zone. */
  onWorkerReport(report: WorkerReport, ended: readonly EndedLease[]): void;
  /** Called once when a worker of the zone has stopped answering. */
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
  /** Identifier of the worker's start; empty before its first answer. */
  boot: string;
  /** Sequence number of the worker's last report. */
  lastSequence: number;
  /** Time of the last answer or, if later, of the start of polling. */
  heardAt: Milliseconds;
  /** Time of the first failed poll since the last answer. */
  failingSince?: Milliseconds;
  isAlive: boolean;
  hasAnswered: boolean;
  isStopped: boolean;
  leaving: boolean;
  ownedLeases: Map<string, OwnedLease>;
  /** Resumes the poll loop, which pauses while nothing has to be polled. */
  wake(): void;
  /** Aborts the longer poll of an idle link; absent during a normal poll. */
  idlePoll?: AbortController;
}

const RETRY_DELAY_MS: Milliseconds = 100;
// Entries that neither lead nor own a lease on the worker poll less often.
const IDLE_POLL_FACTOR = 3;
// A request that is not repeatable waits longer for a silent worker, since no
// other run can give it an answer.
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
    const known = links.get(name);
    if (known !== undefined && known.address === address) return known;
    if (known !== undefined) closeLink(known);
    const link: WorkerLink = {
      name,
      address,
      client: createWorkerClient({
        address,
        timeoutMs: timing.workerTimeoutMs,
        translate: options.translate,
      }),
      isListed: known?.isListed ?? false,
      boot: "",
      lastSequence: 0,
      heardAt: clock.now(),
      isAlive: true,
      hasAnswered: false,
      isStopped: false,
      leaving: false,
      ownedLeases: known?.ownedLeases ?? new Map(),
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
    if (!link.isAlive || !link.hasAnswered) {
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
      heardAt: clock.now(),
      failingSince: undefined,
      isAlive: true,
      hasAnswered: true,
      leaving: report.leaving,
    });
    notifyLeaseOwners(link, report, ended);
    if (link.isListed) options.onWorkerReport(report, ended);
  };

  const notifyLeaseOwners = (
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
    // Silence is counted from the first failed poll, plus the time limit of a
    // normal poll, and not from the last answer: a process that was paused has
    // polled nobody meanwhile, so a long gap says nothing about the worker.
    link.failingSince ??= clock.now();
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
        // A worker that left the list is polled until it stops answering.
        if (!link.isListed || listed.has(link.name) || link.isAlive) continue;
        link.isListed = false;
        if (link.ownedLeases.size === 0) closeLink(link);
      }
    },
    getClient: (worker, address) => getOrOpenLink(worker, address).client,
    follow: (lease) => {
      const link = getOrOpenLink(lease.target.worker, lease.target.address);
      if (link.ownedLeases.size === 0 && !link.isListed) {
        link.heardAt = clock.now();
      }
      link.ownedLeases.set(lease.target.lease, lease);
      // An idle poll in progress does not renew the new lease; a normal one ends
      // soon and is followed by one that does.
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
        silenceMs: clock.now() - link.heardAt,
      })),
    stop: async () => {
      const openLinks = [...links.values()];
      for (const link of openLinks) link.isStopped = true;
      await Promise.all(openLinks.map((link) => link.client.close()));
    },
  };
}
