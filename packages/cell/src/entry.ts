import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  createJobBook,
  decodeRecord,
  type Deployment,
  type WorkerEntry,
} from "@rattanhill/scheduler";
import type { CallerCall, CallerReply } from "./caller_calls.ts";
import { type CellLead, createCellLead } from "./cell_lead.ts";
import type { ClusterConfig } from "./cluster_config.ts";
import { createConfigInForce } from "./config_in_force.ts";
import { createJobService } from "./job_service.ts";
import { createLeadLease } from "./lead_lease.ts";
import {
  createEvacuationRequests,
  evacuationTimingOf,
} from "./evacuation_requests.ts";
import type { Metrics } from "./metrics.ts";
import {
  journalTopic,
  leadTopic,
  PlatformTopic,
  progressTopic,
  type Store,
  type StoredRecord,
} from "./store.ts";
import { createTopicFollower } from "./topic_follower.ts";
import { createRemovedJobs, createUnknownJobLog } from "./unknown_jobs.ts";
import type { Advise, ConnectWorker } from "./worker_calls.ts";
import { createWorkerList } from "./worker_list.ts";

/** Time limits and planning parameters of the deployment. */
export interface EntryLimits extends Deployment {
  /** Interval at which workers renew their entries in the list of workers. */
  heartbeatMs: Milliseconds;
  /** Time after which a revoked key must no longer be accepted. */
  revocationMs: Milliseconds;
  /** Time within which an accepted job must become known to every entry. */
  visibleMs: Milliseconds;
  /** Time for which the state of an ended job can be queried. */
  keepEndedMs: Milliseconds;
  /**
   * Time after which no run may start in a zone that the operators evacuate;
   * undefined in deployments without this bound.
   */
  evacuateMs?: Milliseconds;
}

/** Options of {@link createCellEntry}. */
export interface CellEntryOptions {
  /** Name of the VM that this process runs on. */
  node: string;
  /**
   * Distinguishes this process from earlier and later ones on the same VM.
   */
  incarnation: string;
  /** Number of the cell that this entry serves. */
  cell: number;
  store: Store;
  clock: Clock;
  log: Logger;
  limits: EntryLimits;
  connect: ConnectWorker;
  /**
   * Asks the advice service; undefined in deployments without one.
   */
  advise?: Advise;
  /** See {@link JobAdmissionOptions.maximumJobBytes}; unbounded by default. */
  maximumJobBytes?: number;
  metrics: Metrics;
  /** @returns a uniformly distributed random number from 0 to 1 */
  random(): number;
  /**
   * Suitability of this VM as the lead, 0 to 1; VMs with a higher value
   * campaign earlier.
   */
  electionPriority: number;
  /**
   * Decodes the configuration.
   *
   * @throws InvalidError when it is not valid
   */
  decodeConfig(text: string): ClusterConfig;
  /** Key of the configuration's record in the operators' topic. */
  configKey: string;
  /**
   * @returns the zone whose evacuation a record with this key in the operators'
   * topic requests; undefined for other keys
   */
  evacuatedZoneOf(key: string): string | undefined;
  /**
   * Decodes a worker's entry in the list of workers.
   *
   * @throws InvalidError when it is not valid
   */
  decodeWorker(id: string, text: string): WorkerEntry;
}

/**
 * Entry of a cell: handles calls of client programs, and schedules the cell's
 * jobs while it is the lead.
 */
export interface CellEntry {
  /** Handles one call of a client program. */
  handle(call: CallerCall): Promise<CallerReply>;
  /**
   * Checks a submission before its body is received.
   *
   * @returns false when its queue or API key is unknown to the configuration in
   * force, so that its body is not needed
   */
  mayAccept(call: Pick<CallerCall, "host" | "path" | "key">): boolean;
  /** @returns whether the load balancer should send new calls to this entry */
  isReady(): boolean;
  /**
   * Makes the entry unready, and releases the lead's lease if the entry holds
   * it.
   */
  drain(): Promise<void>;
  /** @returns a summary of the entry's state, served to operators as JSON */
  dump(): unknown;
  /**
   * Stops everything at once; a lease that is held stays valid until it
   * expires.
   */
  close(): void;
}

// Longest time for which a read of the configuration waits at the store. It is
// well below the time after which a revoked key must be rejected.
const CONFIG_READ_WAIT_MS: Milliseconds = 1_000;
const JOURNAL_READ_WAIT_MS: Milliseconds = 1_000;
// Interval at which the lead reads the journal, which delays the start of new
// jobs.
const LEAD_READ_INTERVAL_MS: Milliseconds = 10;
// Interval at which an entry with callers reads the journal. They query the
// state of each job every few hundred milliseconds.
const CALLED_READ_INTERVAL_MS: Milliseconds = 120;
// Interval at which the other entries read the journal. Each read costs the
// store as much as an append.
const IDLE_READ_INTERVAL_MS: Milliseconds = 500;
// Time after its last call from which an entry counts as idle.
const CALL_MEMORY_MS: Milliseconds = 5_000;
const CONFIG_READ_INTERVAL_MS: Milliseconds = 50;
// API keys are no longer accepted when the configuration is older than the
// revocation limit minus this margin.
const REVOCATION_MARGIN_MS: Milliseconds = 700;
// Jobs are no longer reported as unknown when the job book is older than the
// visibility limit minus this margin.
const VISIBILITY_MARGIN_MS: Milliseconds = 500;
// Part of a usual deadline of 3 s for which a call waits for the journal.
const MAXIMUM_JOURNAL_WAIT_MS: Milliseconds = 1_000;
const JOURNAL_LOOK_MS: Milliseconds = 20;
// Age of the configuration or job book from which the entry is not ready. It
// covers a read that waits 1 s, and one that fails.
const MAXIMUM_READY_AGE_MS: Milliseconds = 2_600;

/**
 * Starts an entry: follows the journal and the configuration, and takes part in
 * the election of the lead.
 *
 * @param options the store, the workers and the deployment's limits
 * @returns the running entry
 */
export function createCellEntry(options: CellEntryOptions): CellEntry {
  const { store, clock, log, limits, metrics } = options;
  const topic = journalTopic(options.cell);
  const configInForce = createConfigInForce({
    key: options.configKey,
    decode: options.decodeConfig,
    deployment: limits,
    onChange: ({ rules }) => lead?.updateRules(rules),
    log,
  });
  const { current: config, identities } = configInForce;
  /** Whether the journal was read, which holds the IDs of queues and accounts. */
  let hasReadJournal = false;
  let lead: CellLead | undefined;
  let isDraining = false;
  /** Monotonic time of the last call of a caller. */
  let lastCallAt = -Infinity;

  const book = createJobBook({
    submitted: (spec) => lead?.submitJob(spec),
    cancelled: (job) => lead?.cancelJob(job),
    overwritten: (spec) => lead?.restoreSubmission(spec),
  });
  const removedJobs = createRemovedJobs(clock);
  const journalFollower = createTopicFollower({
    store,
    topic,
    clock,
    log,
    waitMs: JOURNAL_READ_WAIT_MS,
    readIntervalMs: chooseJournalReadInterval,
    apply: (records) => records.forEach(applyJournalRecord),
  });
  const evacuationTiming = evacuationTimingOf(
    limits.evacuateMs,
    CONFIG_READ_WAIT_MS,
  );
  const evacuations = createEvacuationRequests({
    zoneOf: options.evacuatedZoneOf,
    onChange: (zones) => lead?.updateEvacuations(zones),
    metrics,
    log,
  });
  const configFollower = createTopicFollower({
    store,
    topic: PlatformTopic.operators,
    clock,
    log,
    waitMs: evacuationTiming.readWaitMs,
    readIntervalMs: () => CONFIG_READ_INTERVAL_MS,
    apply: (records, read) => {
      evacuations.apply(records, read);
      records.forEach(configInForce.apply);
    },
  });
  const workers = createWorkerList({
    store,
    clock,
    log,
    decode: options.decodeWorker,
    heartbeatMs: limits.heartbeatMs,
    storeSteadyMs: journalFollower.steadyMs,
    onChange: (listing) => lead?.updateWorkers(listing),
  });
  const lease = createLeadLease({
    store,
    topic: leadTopic(options.cell),
    node: options.node,
    incarnation: options.incarnation,
    clock,
    log,
    random: options.random,
    electionPriority: options.electionPriority,
    mayLead: () =>
      !isDraining && journalFollower.isLoaded() && config() !== undefined,
    onGained: (term) => {
      metrics.incrementCounter("lead.gained");
      lead = createCellLead({
        store,
        topic,
        progressTopic: progressTopic(options.cell),
        term,
        book,
        clock,
        log,
        connect: options.connect,
        advise: options.advise,
        isLeading: lease.isHeld,
        isRenewalOverdue: lease.isRenewalOverdue,
        waitForBook: journalFollower.waitForOffset,
        listWorkers: workers.follow,
        readRemovedWorkers: workers.readRemoved,
        rules: () => config()!.rules,
        catchUpOperators: configFollower.catchUp,
        evacuatedZones: evacuations.zones,
        areRequestsCurrent: () =>
          configFollower.ageMs() < evacuationTiming.maximumAgeMs,
        keepEndedMs: limits.keepEndedMs,
        identities,
        metrics,
      });
      const started = lead;
      started.start().catch((error) => {
        log.error(
          { term, error: describeError(error) },
          "lead could not start; releasing the lease",
        );
        // Another process may succeed, or this one when it is elected again.
        if (lead === started) void lease.yield();
      });
    },
    onLost: () => {
      metrics.incrementCounter("lead.lost");
      lead?.close();
      lead = undefined;
      workers.stop();
    },
  });
  const service = createJobService({
    store,
    topic,
    book,
    clock,
    log,
    config: () => {
      hasReadJournal ||= journalFollower.isLoaded();
      return hasReadJournal ? config() : undefined;
    },
    configAgeMs: configFollower.ageMs,
    bookAgeMs: journalFollower.ageMs,
    catchUpBook: journalFollower.catchUp,
    waitForBook: journalFollower.waitForOffset,
    maximumConfigAgeMs: limits.revocationMs - REVOCATION_MARGIN_MS,
    maximumBookAgeMs: limits.visibleMs - VISIBILITY_MARGIN_MS,
    maximumJobBytes: options.maximumJobBytes,
    storeOutageMs: () =>
      Math.max(0, journalFollower.ageMs() - JOURNAL_READ_WAIT_MS),
    onUnknownJob: createUnknownJobLog({
      clock,
      log,
      metrics,
      removedJobs,
      journalPosition: journalFollower.position,
    }),
    metrics,
  });

  function chooseJournalReadInterval(): Milliseconds {
    if (lead !== undefined) return LEAD_READ_INTERVAL_MS;
    return clock.now() - lastCallAt < CALL_MEMORY_MS
      ? CALLED_READ_INTERVAL_MS
      : IDLE_READ_INTERVAL_MS;
  }

  function applyJournalRecord({ key, value, offset }: StoredRecord): void {
    try {
      const record = decodeRecord(key, value);
      if (record === undefined) return;
      if (record.kind === "removal") removedJobs.add(record.job, offset);
      if (record.kind === "identities") {
        configInForce.applyIdentities(record.identities);
      }
      book.apply(record);
    } catch (error) {
      log.warn(
        { key, offset, error: String(error) },
        "invalid journal record skipped",
      );
    }
  }

  /**
   * Waits for a while until the journal was read for the first time. A call is
   * refused only after that, since its caller would come back later.
   */
  const waitForJournal = async (): Promise<void> => {
    const until = clock.now() + MAXIMUM_JOURNAL_WAIT_MS;
    while (!journalFollower.isLoaded() && !hasReadJournal) {
      if (clock.now() >= until) return;
      await pause(JOURNAL_LOOK_MS);
    }
  };

  const isReady = (): boolean =>
    !isDraining && config() !== undefined && journalFollower.isLoaded() &&
    configFollower.ageMs() < MAXIMUM_READY_AGE_MS &&
    journalFollower.ageMs() < MAXIMUM_READY_AGE_MS;

  return {
    handle: async (call) => {
      lastCallAt = clock.now();
      await waitForJournal();
      return await service.handle(call);
    },
    mayAccept: ({ host, path, key }) => {
      const queue = config()?.findQueue(host, path);
      return queue !== undefined &&
        (queue.isPublic || config()?.findAccount(key ?? "") !== undefined);
    },
    isReady,
    drain: async () => {
      isDraining = true;
      await lease.release();
    },
    dump: () => ({
      node: options.node,
      isReady: isReady(),
      version: config()?.config.version,
      lead: lease.holder(),
      isLeading: lease.isHeld(),
      configAgeMs: configFollower.ageMs(),
      bookAgeMs: journalFollower.ageMs(),
      jobs: [...book.jobs()].length,
      jobBytes: book.memory.heldBytes(clock.wallTime()),
      maximumJobBytes: options.maximumJobBytes,
      evacuatedZones: [...evacuations.zones()],
      evacuatedWorkers: [...lead?.scheduler()?.state.workers.values() ?? []]
        .filter(({ zone }) => evacuations.zones().has(zone)).length,
      workers: [...lead?.scheduler()?.state.workers.values() ?? []].map(
        (worker) => ({
          id: worker.id,
          used: worker.used,
          capacity: worker.capacity,
          isDraining: worker.isDraining,
          runs: worker.runs.size,
          speed: lead?.scheduler()?.speedOf(worker),
        }),
      ),
    }),
    close: () => {
      lease.close();
      lead?.close();
      workers.stop();
      journalFollower.close();
      configFollower.close();
    },
  };
}
