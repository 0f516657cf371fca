import type { Server } from "node:http";
import process from "node:process";
import { Metadata } from "@grpc/grpc-js";
import {
  type Clock,
  createEventLog,
  createIdentifier,
  createSystemClock,
  describeError,
  type Event,
  type EventLog,
  Events,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  type ConfigState,
  createMembership,
  type EntryInfo,
  LeaseState,
  NO_RULES,
  parseRules,
  PlacerDecision,
  type Rules,
  type ZoneView,
} from "@rattanhill/core";
import {
  type ConfigReply,
  type EndedLease,
  type HeartbeatMessage,
} from "@rattanhill/protocol";
import { createPlatformClient } from "@rattanhill/platform";
import { createAuthenticator } from "./authenticator.ts";
import { createActorSystem } from "./actors.ts";
import { createAdopter } from "./adopter.ts";
import { createJobRecordRefresher } from "./job_record_refresher.ts";
import { createCallersServer } from "./callers_server.ts";
import { createLogAppender, type LogAppender } from "./log_appender.ts";
import { createLogFollower, type LogFollower } from "./log_follower.ts";
import { createMetrics } from "./metrics.ts";
import { createOperatorsServer } from "./operators_server.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import { createPeers } from "./peers.ts";
import { mayHaveLostOwner } from "./lost_owners.ts";
import { createPeerLookup } from "./peer_lookup.ts";
import { createPlacerHost } from "./placer_host.ts";
import { createRequestHost } from "./request_host.ts";
import { createRequestRegistry } from "./request_registry.ts";
import { createRequestService } from "./request_service.ts";
import type { EntrySettings } from "./settings.ts";
import { createTaskCommands } from "./task_commands.ts";
import { createWorkerLinks } from "./worker_links.ts";
import { createZoneRouter } from "./zone_router.ts";

/** One entry, which serves callers, operators and the other entries. */
export interface Entry {
  /**
   * Starts the servers, the log follower and the periodic work.
   *
   * @returns the ports that were bound
   */
  start(): Promise<{ callers: number; operators: number; peers: number }>;
  /**
   * Shuts down gracefully: requests in progress are finished first, except
   * jobs, which another entry adopts. Repeated calls return the same promise.
   */
  drain(): Promise<void>;
}

/** Options of {@link createEntry}. */
export interface EntryOptions {
  settings: EntrySettings;
  clock?: Clock;
  log?: EventLog;
}

const VM_LIST_INTERVAL_MS: Milliseconds = 1_000;
const MAINTENANCE_INTERVAL_MS: Milliseconds = 500;
const DRAIN_POLL_INTERVAL_MS: Milliseconds = 50;
const CONFIG_FETCH_TIMEOUT_MS: Milliseconds = 1_000;
const CONFIG_FETCH_DELAY_MS: Milliseconds = 500;

/**
 * Creates an entry, the process that runs on every entry VM. All entries run
 * the same program; the lead of a zone also places requests on the zone's
 * workers.
 *
 * @param options settings, and optionally clock and log
 * @returns the entry, not yet started
 */
export function createEntry(options: EntryOptions): Entry {
  const { settings } = options;
  const { timing, limits, zone, translate } = settings;
  const clock = options.clock ?? createSystemClock();
  const log = options.log ?? createEventLog(`entry:${settings.name}`);
  const startedAt = clock.now();
  const selfInfo: EntryInfo = {
    id: `${zone}/${settings.name}/${createIdentifier()}`,
    name: settings.name,
    address: `${settings.host}:${settings.ports.peers}`,
    zone,
    startedAt: clock.wallTime(),
    leaving: false,
  };
  let rules: Rules = NO_RULES;
  let lastOrdinal = 0;
  let wasLead = false;
  let isFetchingConfig = false;
  let hasHeardFromPeer = false;
  const timers: NodeJS.Timeout[] = [];
  const nextOrdinal = () => ++lastOrdinal;

  const actors = createActorSystem(log);
  const authenticator = createAuthenticator();
  const platform = createPlatformClient({
    address: settings.platform.address,
    timeoutMs: timing.platformTimeoutMs,
    translate,
  });
  const membership = createMembership({
    self: () => selfInfo,
    zoneSuspicionMs: timing.suspicionMs,
    remoteSuspicionMs: timing.remoteSuspicionMs,
    peerRetentionMs: timing.claimWindowMs,
  });
  const isLead = () => membership.findLead(zone)?.id === selfInfo.id;

  const registry = createRequestRegistry({
    retentionMs: timing.answerRetentionMs,
    endedLimit: limits.endedRequests,
  });
  const metrics = createMetrics({
    requests_active: () => registry.activeCount(),
    requests_placing: () => placerHost.placer.summarize().waiting,
    accelerators_free: () => placerHost.placer.summarize().free,
    fragmentation_ratio: () => placerHost.placer.summarize().ratio,
    config_version: () => follower.config().version,
    peers_alive: () => membership.alivePeers().length,
    log_available: () => Number(follower.isAvailable()),
    memory_resident_bytes: () => process.memoryUsage().rss,
  });

  const applyConfig = (config: ConfigState): void => {
    const parsed = parseRules(config.text);
    if (parsed.rules === undefined) return;
    rules = parsed.rules;
    authenticator.configure(rules);
    placerHost.placer.configure(rules);
    placerHost.scheduleDecision();
  };

  const follower: LogFollower = createLogFollower({
    platform,
    log,
    listener: {
      onConfigChange: applyConfig,
      onLedgerRecordFolded: (record, verdict) => {
        appender.handleFoldedRecord(record.id, verdict);
        if (record.kind !== "adopt" || verdict !== "accepted") return;
        if (record.from !== selfInfo.id) return;
        const ownedRequest = registry.findByKey(record.account, record.key);
        ownedRequest?.send({ kind: "taken-over", owner: record.owner });
      },
    },
  });
  const appender: LogAppender = createLogAppender({
    platform,
    follower,
    log,
    timeoutMs: timing.platformTimeoutMs,
  });

  const links = createWorkerLinks({
    zone,
    owner: selfInfo.id,
    timing,
    translate,
    clock,
    log,
    isLead,
    onWorkerReport: (report, ended) => {
      placerHost.placer.applyReport(report, clock.now());
      if (isLead()) recordEndedTasks(report.worker, ended);
      placerHost.scheduleDecision();
    },
    onWorkerUnresponsive: (worker) => placerHost.placer.removeWorker(worker),
  });
  const placerHost = createPlacerHost({
    zone,
    timing,
    clock,
    actors,
    links: () => links,
    isLead,
    logDecision: (decision, subject) =>
      log(PLACER_EVENTS[decision], { subject }),
  });

  /**
   * Records ended tasks with the placer, which estimates run times from those
   * that succeeded and quarantines workers on which tasks keep failing.
   */
  const recordEndedTasks = (
    worker: string,
    ended: readonly EndedLease[],
  ): void => {
    for (const lease of ended) {
      const hasFailed = lease.state === LeaseState.failed;
      if (!hasFailed && lease.state !== LeaseState.ended) continue;
      const task = { ...lease, worker, hasFailed };
      placerHost.placer.recordTaskEnd(task, lease.runningMs, clock.now());
    }
  };

  const createHeartbeat = (): HeartbeatMessage => ({
    ...selfInfo,
    configVersion: follower.config().version,
    summary: isLead() ? placerHost.placer.summarize() : undefined,
  });

  const handleLeadChange = (): void => {
    const isLeadNow = isLead();
    if (isLeadNow === wasLead) return;
    wasLead = isLeadNow;
    log(Events.leadChanged, { lead: membership.findLead(zone)?.id ?? "" });
    if (isLeadNow) links.pollAllWorkers();
  };

  const peers = createPeers({
    host: settings.host,
    port: settings.ports.peers,
    seeds: settings.peers,
    translate,
    timing,
    clock,
    log,
    membership,
    self: () => selfInfo,
    createHeartbeat,
    handlers: createPeerHandlers({
      placerHost,
      registry,
      config: () => follower.config(),
    }),
    onConfigVersion: (address, version) => {
      hasHeardFromPeer = true;
      if (version > follower.config().version) void fetchConfig(address);
    },
    onMembershipUpdate: handleLeadChange,
  });

  /**
   * Fetches a newer configuration from a peer. While the log is available, the
   * fetch is delayed, so that the configuration usually arrives through the log
   * first, where no version is skipped.
   */
  const fetchConfig = async (address: string): Promise<void> => {
    if (isFetchingConfig) return;
    isFetchingConfig = true;
    try {
      if (follower.isAvailable()) await pause(CONFIG_FETCH_DELAY_MS);
      const reply = await peers.call<ConfigReply>(
        address,
        (client, callOptions, callback) =>
          client.FetchConfig({}, new Metadata(), callOptions, callback),
        { step: "peer.config", timeoutMs: CONFIG_FETCH_TIMEOUT_MS },
      );
      const { version = 0, text = "", author = "", id = "" } = reply;
      if (parseRules(text).faults.length > 0) return;
      follower.offerConfig({ version, text, author, id });
    } catch (error) {
      log(Events.unexpectedError, {
        step: "peer.config",
        error: describeError(error),
      });
    } finally {
      isFetchingConfig = false;
    }
  };

  const createZoneView = (): ZoneView => {
    const summaries = new Map(peers.summaries());
    if (isLead()) summaries.set(zone, placerHost.placer.summarize());
    return {
      ownZone: zone,
      summaries,
      isReachable: (name) => membership.findLead(name) !== undefined,
      rules,
    };
  };
  const router = createZoneRouter({
    self: selfInfo,
    clock,
    membership,
    peers,
    placerHost,
    createZoneView,
  });
  const lookup = createPeerLookup({ membership, peers, follower });

  const adopter = createAdopter({
    owner: selfInfo.id,
    zone,
    clock,
    timing,
    membership,
    follower,
    appender,
    registry,
    links,
    requestHost: () => requestHost,
    nextOrdinal,
    find: lookup.find,
  });
  const requestHost = createRequestHost({
    owner: selfInfo.id,
    clock,
    log,
    actors,
    metrics,
    registry,
    follower,
    appender,
    tasks: createTaskCommands({ timing, clock, log, links }),
    nextOrdinal,
    place: router.place,
    withdraw: router.withdraw,
    join: (spec, payload) => adopter.join(spec, payload),
  });
  const service = createRequestService({
    owner: selfInfo.id,
    clock,
    log,
    timing,
    limits,
    follower,
    appender,
    registry,
    requestHost,
    adopter,
    nextOrdinal,
    rules: () => rules,
    isLeaving: () => selfInfo.leaving,
    isRequestUnknownEverywhere: lookup.isRequestUnknownEverywhere,
    isKeyUnknownToAllPeers: lookup.isKeyUnknownToAllPeers,
    mayHaveLostOwner: (key) =>
      mayHaveLostOwner(key, {
        peers: membership.allPeers(),
        startedAt: selfInfo.startedAt,
        wallTime: clock.wallTime(),
        retentionMs: timing.claimWindowMs,
      }),
    countJoin: metrics.countJoin,
    findAtPeers: lookup.findAtPeers,
    cancelAtPeers: lookup.cancelAtPeers,
  });

  const jobRecordRefresher = createJobRecordRefresher({
    owner: selfInfo.id,
    follower,
    appender,
    nextOrdinal,
  });

  const findUnreadyReason = (): string | undefined => {
    if (selfInfo.leaving) return "leaving";
    if (follower.config().version > 0) return findStartupReason();
    return hasHeardFromPeer || follower.isAvailable()
      ? "no rules are published"
      : "neither the log nor a peer has answered";
  };

  /**
   * @returns a reason while the workers are still being discovered: shortly
   * after its start, an entry is not ready until it knows a worker of any zone
   */
  const findStartupReason = (): string | undefined => {
    const isStartingUp = clock.now() - startedAt < STARTUP_GRACE_MS;
    const hasWorkers = [...createZoneView().summaries.values()]
      .some(({ workers }) => workers > 0);
    return isStartingUp && !hasWorkers ? "no worker was found yet" : undefined;
  };

  const explain = async (id: string): Promise<string | undefined> =>
    placerHost.placer.explain(id) ?? await lookup.explainAtPeers(id);

  const describeState = () => ({
    entry: selfInfo,
    uptimeMs: clock.now() - startedAt,
    lead: membership.findLead(zone)?.id,
    peers: membership.allPeers(),
    log: follower.describe(),
    appends: appender.pendingCount(),
    adoptions: adopter.pendingCount(),
    summaries: createZoneView().summaries,
    workers: links.describe(),
    requests: [...registry.activeRequests()].map((
      { spec, state, admittedAt },
    ) => ({
      ...spec,
      phase: state.phase,
      attempt: state.attempt,
      parts: state.parts,
      ageMs: clock.now() - admittedAt,
    })),
    memory: process.memoryUsage(),
  });

  const callersServer = createCallersServer({
    authenticator,
    service,
    log,
    hasRules: () => follower.config().version > 0,
    isLeaving: () => selfInfo.leaving,
    maximumConnections: limits.connections,
  });
  const operatorsServer = createOperatorsServer({
    findUnreadyReason,
    configVersion: () => follower.config().version,
    exportMetrics: metrics.exportText,
    describeState,
    describeStatus: () => ({
      zone,
      lead: membership.findLead(zone)?.name,
      summary: placerHost.placer.summarize(),
      accounts: placerHost.placer.accounts(),
      unmetGuarantees: placerHost.placer.unmetGuarantees(),
      workers: placerHost.placer.workers().map(({ leases, ...worker }) => ({
        ...worker,
        leases: [...leases.values()],
      })),
    }),
    explain,
    drain: () => void drain(),
  });

  const refreshVmList = async (): Promise<void> => {
    try {
      const { vms } = await platform.listVms();
      links.updateVms(vms);
      placerHost.placer.setListedWorkers(
        vms.filter((vm) => vm.kind === "worker" && vm.zone === zone)
          .map(({ name }) => name),
      );
      const entries = vms.filter(({ kind }) => kind === "entry");
      const listedAddresses = new Set(entries.map(({ address }) => address));
      peers.addAddresses(listedAddresses);
      if (listedAddresses.size > 0) peers.pruneAddresses(listedAddresses);
    } catch {
      // A missed list is harmless: each list lags behind the VMs anyway, and
      // the next one is fetched after VM_LIST_INTERVAL_MS.
    }
  };

  const repeatEvery = (intervalMs: Milliseconds, work: () => void): void => {
    timers.push(setInterval(work, intervalMs));
  };

  let drainPromise: Promise<void> | undefined;
  const drain = (): Promise<void> => drainPromise ??= shutDown();

  const shutDown = async (): Promise<void> => {
    log(Events.drainStarted, { entry: selfInfo.id });
    selfInfo.leaving = true;
    await peers.broadcastHeartbeat();
    handleLeadChange();
    placerHost.rejectWaiting();
    const serversClosed = Promise.all([
      closeServer(callersServer),
      closeServer(operatorsServer),
    ]);
    while (hasPendingWork()) await pause(DRAIN_POLL_INTERVAL_MS);
    callersServer.closeIdleConnections();
    operatorsServer.closeAllConnections();
    await serversClosed;
    for (const timer of timers) clearInterval(timer);
    placerHost.stop();
    follower.stop();
    appender.stop();
    await Promise.all([peers.stop(), links.stop(), platform.close()]);
    actors.stop();
    log(Events.processStopped, { entry: selfInfo.id });
  };

  /**
   * Tests whether the shutdown must wait for requests or appends, and closes
   * the callers' connections that have become idle. Accepted jobs do not delay
   * the shutdown, since another entry adopts them; the callers of all other
   * requests still wait for a response of this entry.
   */
  const hasPendingWork = (): boolean => {
    callersServer.closeIdleConnections();
    for (const { spec } of registry.activeRequests()) {
      if (!spec.isJob) return true;
    }
    return appender.pendingCount() > 0 && follower.isAvailable();
  };

  return {
    start: async () => {
      log(Events.processStarted, { entry: selfInfo.id });
      const peersPort = await peers.start();
      selfInfo.address = `${settings.host}:${peersPort}`;
      const { callers, operators } = settings.ports;
      const ports = {
        peers: peersPort,
        callers: await listen(callersServer, settings.host, callers),
        operators: await listen(operatorsServer, settings.host, operators),
      };
      follower.start();
      void refreshVmList();
      repeatEvery(VM_LIST_INTERVAL_MS, () => void refreshVmList());
      repeatEvery(MAINTENANCE_INTERVAL_MS, () => {
        adopter.adoptOrphanedJobs();
        registry.sweep(clock.now());
        follower.refreshConfig(appender.appendConfig);
        jobRecordRefresher.refreshDueRecords();
        follower.removeOldEntries(timing.claimWindowMs);
      });
      handleLeadChange();
      log(Events.processReady, { entry: selfInfo.id });
      return ports;
    },
    drain,
  };
}

const PLACER_EVENTS: Readonly<Record<PlacerDecision, Event>> = {
  [PlacerDecision.preempted]: Events.leasePreempted,
  [PlacerDecision.reserved]: Events.reservationMade,
  [PlacerDecision.reservationEnded]: Events.reservationEnded,
  [PlacerDecision.quarantined]: Events.workerQuarantined,
  [PlacerDecision.releasedWorker]: Events.workerReleased,
};
const STARTUP_GRACE_MS: Milliseconds = 5_000;

function listen(server: Server, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      const address = server.address();
      resolve(typeof address === "object" ? address?.port ?? port : port);
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
