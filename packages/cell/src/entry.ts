import type { Clock, Logger, Milliseconds } from "@rattanhill/shared";
import {
  createJobBook,
  decodeRecord,
  type Deployment,
  type WorkerEntry,
} from "@rattanhill/scheduler";
import { type CellLead, createCellLead } from "./cell_lead.ts";
import {
  type ActiveConfig,
  type ClusterConfig,
  indexConfig,
} from "./cluster_config.ts";
import {
  type CallerCall,
  type CallerReply,
  createJobService,
} from "./job_service.ts";
import { createLeadLease } from "./lead_lease.ts";
import type { Metrics } from "./metrics.ts";
import {
  journalTopic,
  leadTopic,
  PlatformTopic,
  type Store,
  type StoredRecord,
} from "./store.ts";
import { createTopicFollower } from "./topic_follower.ts";
import type { Advise, ConnectWorker } from "./worker_calls.ts";
import { createWorkerList } from "./worker_list.ts";

/** Limits of the deployment. */
export interface EntryLimits extends Deployment {
  /** Interval at which workers write their entries. */
  heartbeatMs: Milliseconds;
  /** Time after which a revoked key must not be served. */
  revocationMs: Milliseconds;
  /** Time after which an accepted job must be visible everywhere. */
  visibleMs: Milliseconds;
  /** How long the state of an ended job is kept. */
  keepEndedMs: Milliseconds;
}

/** Options of {@link createCellEntry}. */
export interface CellEntryOptions {
  /** The VM of this process. */
  node: string;
  /** Tells the lives of this VM's processes apart. */
  incarnation: string;
  cell: number;
  store: Store;
  clock: Clock;
  log: Logger;
  limits: EntryLimits;
  connect: ConnectWorker;
  /** Asks the policy of queues; undefined where there is none. */
  advise?: Advise;
  metrics: Metrics;
  /** Uniform random number from 0 to 1. */
  random(): number;
  /** How well this VM can lead, 0 to 1. */
  strength: number;
  /** Decodes the configuration. @throws InvalidError */
  decodeConfig(text: string): ClusterConfig;
  /** Key of the configuration in the operators' topic. */
  configKey: string;
  /** Decodes an entry of the workers' list. @throws InvalidError */
  decodeWorker(id: string, text: string): WorkerEntry;
}

/** One entry: answers callers, and leads the cell when it is its turn. */
export interface CellEntry {
  handle(call: CallerCall): Promise<CallerReply>;
  /** @returns whether new callers should be sent here */
  isReady(): boolean;
  /** Gives the lead away and stops being ready. */
  drain(): Promise<void>;
  /** @returns a summary of the state, for operators */
  dump(): unknown;
  close(): void;
}

const CONFIG_READ_WAIT_MS: Milliseconds = 1_000; // well below the bound on revoked keys
const JOURNAL_READ_WAIT_MS: Milliseconds = 1_000;
const LEAD_READ_INTERVAL_MS: Milliseconds = 10;
const ENTRY_READ_INTERVAL_MS: Milliseconds = 120; // callers ask for states every few hundred milliseconds
const CONFIG_READ_INTERVAL_MS: Milliseconds = 50;
/** Answers on keys stop this long before the bound on revocation. */
const REVOCATION_MARGIN_MS: Milliseconds = 700;
/** Jobs are not said to be unknown from this long before the bound on visibility. */
const VISIBILITY_MARGIN_MS: Milliseconds = 500;
/** An entry that has not heard from the store for this long takes no new callers. */
const MAXIMUM_READY_AGE_MS: Milliseconds = 2_600; // a read that waits 1 s, and one that fails

/**
 * Starts an entry.
 *
 * @param options the store, the workers and the deployment's limits
 * @returns the entry
 */
export function createCellEntry(options: CellEntryOptions): CellEntry {
  const { store, clock, log, limits, metrics } = options;
  const topic = journalTopic(options.cell);
  let config: ActiveConfig | undefined;
  let lead: CellLead | undefined;
  let isDraining = false;

  const book = createJobBook({
    submitted: (spec) => lead?.submitJob(spec),
    cancelled: (job) => lead?.cancelJob(job),
  });
  const journalFollower = createTopicFollower({
    store,
    topic,
    clock,
    log,
    waitMs: JOURNAL_READ_WAIT_MS,
    readIntervalMs: () =>
      lead === undefined ? ENTRY_READ_INTERVAL_MS : LEAD_READ_INTERVAL_MS,
    apply: (records) => records.forEach(applyJournalRecord),
  });
  const configFollower = createTopicFollower({
    store,
    topic: PlatformTopic.operators,
    clock,
    log,
    waitMs: CONFIG_READ_WAIT_MS,
    readIntervalMs: () => CONFIG_READ_INTERVAL_MS,
    apply: (records) => records.forEach(applyConfigRecord),
  });
  const workers = createWorkerList({
    store,
    clock,
    log,
    decode: options.decodeWorker,
    heartbeatMs: limits.heartbeatMs,
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
    electionPriority: options.strength,
    mayLead: () =>
      !isDraining && journalFollower.isLoaded() && config !== undefined,
    onGained: (term) => {
      metrics.incrementCounter("lead.gained");
      lead = createCellLead({
        store,
        topic,
        term,
        book,
        clock,
        log,
        connect: options.connect,
        advise: options.advise,
        isLeading: lease.isHeld,
        waitForBook: journalFollower.waitForOffset,
        listWorkers: workers.follow,
        rules: () => config!.rules,
        keepEndedMs: limits.keepEndedMs,
        metrics,
      });
      void lead.start();
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
    config: () => config,
    configAgeMs: configFollower.ageMs,
    bookAgeMs: journalFollower.ageMs,
    catchUpBook: journalFollower.catchUp,
    maximumConfigAgeMs: limits.revocationMs - REVOCATION_MARGIN_MS,
    maximumBookAgeMs: limits.visibleMs - VISIBILITY_MARGIN_MS,
    storeOutageMs: () =>
      Math.max(0, journalFollower.ageMs() - JOURNAL_READ_WAIT_MS),
    metrics,
  });

  function applyJournalRecord({ key, value, offset }: StoredRecord): void {
    try {
      const record = decodeRecord(key, value);
      if (record !== undefined) book.apply(record);
    } catch (error) {
      log.warn({ key, offset, error: String(error) }, "journal record skipped");
    }
  }

  function applyConfigRecord({ key, value, offset }: StoredRecord): void {
    if (key !== options.configKey || value === undefined) return;
    try {
      const next = options.decodeConfig(value);
      const current = config?.config.version ?? -1;
      if (next.version <= current) return;
      config = indexConfig(next, limits);
      lead?.updateRules(config.rules);
      const { version, queues, accounts } = next;
      log.info(
        { version, queues: queues.length, accounts: accounts.length, offset },
        "configuration in force",
      );
    } catch (error) {
      log.warn({ offset, error: String(error) }, "configuration skipped");
    }
  }

  const isReady = (): boolean =>
    !isDraining && config !== undefined && journalFollower.isLoaded() &&
    configFollower.ageMs() < MAXIMUM_READY_AGE_MS &&
    journalFollower.ageMs() < MAXIMUM_READY_AGE_MS;

  return {
    handle: service.handle,
    isReady,
    drain: async () => {
      isDraining = true;
      await lease.release();
    },
    dump: () => ({
      node: options.node,
      isReady: isReady(),
      version: config?.config.version,
      lead: lease.holder(),
      isLeading: lease.isHeld(),
      configAgeMs: configFollower.ageMs(),
      bookAgeMs: journalFollower.ageMs(),
      jobs: [...book.jobs()].length,
      workers: [...lead?.scheduler()?.state.workers.values() ?? []].map(
        ({ id, used, capacity, isDraining, runs }) => ({
          id,
          used,
          capacity,
          isDraining,
          runs: runs.size,
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
