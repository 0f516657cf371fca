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

/** A lease that this entry owns, and who wants to hear of it. */
export interface OwnedLease {
  target: ClaimedPart;
  /** Whether the request may run again, which shortens the wait for a silent worker. */
  repeatable: boolean;
  /** The lease ended by itself or was stopped. */
  ended(end: LeaseEnd): void;
  /** The worker forgot the lease, restarted, or stays silent. */
  lost(): void;
}

/** Links to the workers of the zone, and to those of other zones where leases are owned. */
export interface WorkerLinks {
  /** Takes the platform's list. */
  list(vms: readonly VmInfo[]): void;
  /** @returns the client of a worker, by name and address */
  client(worker: string, address: string): WorkerClient;
  /** Follows a running lease until it ended or is lost. */
  follow(lease: OwnedLease): void;
  /** @returns whether the lease is followed */
  isFollowed(target: ClaimedPart): boolean;
  /** Stops following a lease. */
  unfollow(lease: string): void;
  /** Asks every worker of the zone at once. */
  refresh(): void;
  /** Asks one worker at once. */
  ask(worker: string): void;
  /** @returns links for the state dump */
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
  /** @returns whether this entry leads the zone and needs every change */
  isLead(): boolean;
  /** A worker of the zone answered. */
  reported(report: WorkerReport, ended: readonly EndedLease[]): void;
  /** A worker of the zone does not answer. */
  silent(worker: string): void;
}

interface WorkerLink {
  name: string;
  address: string;
  client: WorkerClient;
  /** Whether it belongs to the zone and is watched even when nothing is owned there. */
  isListed: boolean;
  boot: string;
  since: number;
  heardAt: Milliseconds;
  /** Time of the first of the latest failures in a row. */
  failingSince?: Milliseconds;
  isAlive: boolean;
  wasHeard: boolean;
  isStopped: boolean;
  leaving: boolean;
  owned: Map<string, OwnedLease>;
  /** Settles the wait of the loop when something is to be done. */
  wake(): void;
  /** Ends the long watch of an idle link; absent while the watch is short. */
  idleWatch?: AbortController;
}

const RETRY_MS: Milliseconds = 100;
const IDLE_WATCH_FACTOR = 3; // entries that neither lead nor own anything ask less often
const LOST_NOT_REPEATABLE_FACTOR = 4; // a true answer is worth a longer wait

/**
 * Creates the links of one entry to the workers.
 *
 * @param options zone, owner and listener
 * @returns the links
 */
export function createWorkerLinks(options: WorkerLinksOptions): WorkerLinks {
  const { timing, clock, log } = options;
  const links = new Map<string, WorkerLink>();

  const linkOf = (name: string, address: string): WorkerLink => {
    const known = links.get(name);
    if (known !== undefined && known.address === address) return known;
    if (known !== undefined) close(known);
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
      since: 0,
      heardAt: clock.now(),
      isAlive: true,
      wasHeard: false,
      isStopped: false,
      leaving: false,
      owned: known?.owned ?? new Map(),
      wake: () => {},
    };
    links.set(name, link);
    void watchLoop(link);
    return link;
  };

  const close = (link: WorkerLink): void => {
    link.isStopped = true;
    link.wake();
    link.client.close().catch(() => {});
    if (links.get(link.name) === link) links.delete(link.name);
  };

  const watchLoop = async (link: WorkerLink): Promise<void> => {
    while (!link.isStopped) {
      if (!link.isListed && link.owned.size === 0) {
        await new Promise<void>((resolve) => link.wake = resolve);
        continue;
      }
      const waitMs = waitOf(link);
      const isLong = waitMs > timing.watchMs;
      const control = isLong ? new AbortController() : undefined;
      link.idleWatch = control;
      try {
        await watch(link, waitMs, control?.signal);
      } catch (error) {
        if (control?.signal.aborted) continue;
        noteSilence(link, error);
        await pause(RETRY_MS);
      }
    }
  };

  const waitOf = (link: WorkerLink): Milliseconds =>
    options.isLead() || link.owned.size > 0
      ? timing.watchMs
      : timing.watchMs * IDLE_WATCH_FACTOR;

  const watch = async (
    link: WorkerLink,
    waitMs: Milliseconds,
    signal?: AbortSignal,
  ): Promise<void> => {
    const answer = await link.client.watch({
      owner: options.owner,
      scope: options.isLead() ? "all" : "owner",
      since: link.since,
      boot: link.boot,
      waitMs,
      renew: [...link.owned.keys()],
      ttlMs: timing.leaseTtlMs,
    }, signal);
    if (!link.isStopped) take(link, answer);
  };

  const askNow = (link: WorkerLink): void => {
    watch(link, 0).catch((error) => noteSilence(link, error));
  };

  const take = (link: WorkerLink, { report, ended }: WatchResponse): void => {
    if (!link.isAlive || !link.wasHeard) {
      log(Events.workerFound, { worker: link.name });
    }
    const isRestarted = link.boot !== "" && link.boot !== report.boot;
    if (isRestarted) log(Events.workerRestarted, { worker: link.name });
    if (report.leaving && !link.leaving) {
      log(Events.workerLeaving, { worker: link.name });
    }
    Object.assign(link, {
      boot: report.boot,
      since: report.sequence,
      heardAt: clock.now(),
      failingSince: undefined,
      isAlive: true,
      wasHeard: true,
      leaving: report.leaving,
    });
    settleOwned(link, report, ended);
    if (link.isListed) options.reported(report, ended);
  };

  const settleOwned = (
    link: WorkerLink,
    report: WorkerReport,
    ended: readonly EndedLease[],
  ): void => {
    for (const lease of ended) {
      const owned = link.owned.get(lease.lease);
      if (owned === undefined) continue;
      link.owned.delete(lease.lease);
      owned.ended(lease);
    }
    for (const [lease, owned] of link.owned) {
      if (owned.target.boot === report.boot) continue;
      link.owned.delete(lease);
      owned.lost();
    }
  };

  const noteSilence = (link: WorkerLink, error: unknown): void => {
    // Counted from the first failed question: a process that was paused has asked nobody meanwhile.
    link.failingSince ??= clock.now();
    const silence = clock.now() - link.failingSince + timing.watchMs +
      timing.workerTimeoutMs;
    if (silence < timing.workerLostMs) return;
    if (link.isAlive) {
      link.isAlive = false;
      const text = describeError(error);
      log(Events.workerLost, { worker: link.name, error: text });
      if (link.isListed) options.silent(link.name);
    }
    const patience = timing.workerLostMs * LOST_NOT_REPEATABLE_FACTOR;
    for (const [lease, owned] of link.owned) {
      if (!owned.repeatable && silence < patience) continue;
      link.owned.delete(lease);
      owned.lost();
    }
  };

  return {
    list: (vms) => {
      const listed = new Map(
        vms.filter(({ kind, zone }) =>
          kind === "worker" && zone === options.zone
        ).map((vm) => [vm.name, vm]),
      );
      for (const vm of listed.values()) {
        const link = linkOf(vm.name, vm.address);
        if (link.isListed) continue;
        link.isListed = true;
        link.wake();
      }
      for (const link of links.values()) {
        if (!link.isListed || listed.has(link.name) || link.isAlive) continue;
        link.isListed = false;
        if (link.owned.size === 0) close(link);
      }
    },
    client: (worker, address) => linkOf(worker, address).client,
    follow: (lease) => {
      const link = linkOf(lease.target.worker, lease.target.address);
      if (link.owned.size === 0 && !link.isListed) link.heardAt = clock.now();
      link.owned.set(lease.target.lease, lease);
      link.idleWatch?.abort();
      link.wake();
    },
    isFollowed: ({ worker, lease }) =>
      links.get(worker)?.owned.has(lease) === true,
    unfollow: (lease) => {
      for (const link of links.values()) link.owned.delete(lease);
    },
    refresh: () => {
      for (const link of links.values()) {
        link.idleWatch?.abort();
        if (link.isListed) askNow(link);
      }
    },
    ask: (worker) => {
      const link = links.get(worker);
      if (link !== undefined) askNow(link);
    },
    describe: () =>
      [...links.values()].map((link) => ({
        worker: link.name,
        address: link.address,
        isAlive: link.isAlive,
        leaving: link.leaving,
        owned: link.owned.size,
        silenceMs: clock.now() - link.heardAt,
      })),
    stop: async () => {
      const open = [...links.values()];
      for (const link of open) link.isStopped = true;
      await Promise.all(open.map((link) => link.client.close()));
    },
  };
}
