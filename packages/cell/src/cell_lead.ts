import {
  type Clock,
  createIsolation,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  createScheduler,
  type JobBook,
  type JobSpec,
  type RemovedWorkers,
  type Rules,
  type Scheduler,
  type WorkerListing,
} from "@rattanhill/scheduler";
import { createAdviceRequests } from "./advice_requests.ts";
import { createCellJournal } from "./cell_journal.ts";
import { restoreCell } from "./cell_restore.ts";
import { findExpiredJobs } from "./expired_jobs.ts";
import { INHERITED_LEASE_MS } from "./granted_lease.ts";
import type { IdentityTracker } from "./identity_tracker.ts";
import { createIdentityWriter } from "./identity_writer.ts";
import type { Metrics } from "./metrics.ts";
import { createOverwrittenSubmissions } from "./overwritten_submissions.ts";
import { createRemovedWorkerSearch } from "./removed_workers.ts";
import { countRoomWait } from "./room_wait_metrics.ts";
import { createStorableSizes } from "./storable_sizes.ts";
import type { Store } from "./store.ts";
import { createUnscheduledJobs } from "./unscheduled_jobs.ts";
import type { Advise, ConnectWorker } from "./worker_calls.ts";
import { createWorkerLinks } from "./worker_links.ts";

/**
 * The lead of a cell during one term: the elected entry that schedules the
 * cell's jobs on its workers.
 */
export interface CellLead {
  /**
   * Fences earlier leads, restores the state from the job book and the list of
   * workers, and starts planning.
   */
  start(): Promise<void>;
  /** Adds a job that was stored by any entry. */
  submitJob(spec: JobSpec): void;
  /** Cancels a job whose cancellation was stored by any entry. */
  cancelJob(job: string): void;
  /**
   * Stores a submission again that a later one with the same ID has replaced as
   * the newest record of its key, which is what a starting entry reads.
   */
  restoreSubmission(spec: JobSpec): void;
  /** Applies a new list of workers. */
  updateWorkers(listing: WorkerListing): void;
  /** Applies a new set of zones in which no runs may be started. */
  updateEvacuations(zones: ReadonlySet<string>): void;
  /** Applies the rules of a new configuration. */
  updateRules(rules: Rules): void;
  /**
   * @returns the scheduler; undefined until the stored jobs are restored
   */
  scheduler(): Scheduler | undefined;
  /** Stops planning and closes the links to all workers. */
  close(): void;
}

/** Options of {@link createCellLead}. */
export interface CellLeadOptions {
  store: Store;
  /** Topic of the cell's journal. */
  topic: string;
  /** Topic of the progress of the cell's jobs. */
  progressTopic: string;
  /** Fencing token of this lead. */
  term: number;
  /** In-memory index of the jobs in the journal. */
  book: JobBook;
  clock: Clock;
  log: Logger;
  connect: ConnectWorker;
  /**
   * Asks the advice service; undefined in deployments without one.
   */
  advise?: Advise;
  /** @returns whether this process still holds the lead's lease */
  isLeading(): boolean;
  /** @returns whether the renewal of that lease is overdue */
  isRenewalOverdue(): boolean;
  /** Waits until the book contains the journal up to an offset. */
  waitForBook(offset: number): Promise<void>;
  /**
   * Starts to follow the list of workers.
   *
   * @returns the first complete list
   */
  listWorkers(): Promise<WorkerListing>;
  /** See {@link WorkerList.readRemoved}. */
  readRemovedWorkers(ids: ReadonlySet<string>): Promise<RemovedWorkers>;
  rules(): Rules;
  /**
   * Waits until the operators' topic has been applied up to its present end.
   *
   * @throws UnavailableError, UncertainError when it was not read to its end
   */
  catchUpOperators(): Promise<void>;
  /** @returns the zones in which no runs may be started */
  evacuatedZones(): ReadonlySet<string>;
  /** @returns whether the operators' topic was read recently enough for starts */
  areRequestsCurrent(): boolean;
  /** Time for which the state of an ended job can be queried. */
  keepEndedMs: Milliseconds;
  /** Identities of queues and accounts, which the lead stores. */
  identities: Pick<IdentityTracker, "unsaved" | "recordSaved">;
  metrics: Metrics;
}

// Delay before planning, so that changes that arrive together are planned
// together.
const COALESCING_DELAY_MS: Milliseconds = 4;
// Pause before planning, in multiples of the time that the last planning pass
// took, so that planning takes at most a fifth of the processor.
const PLANNING_PAUSE_FACTOR = 4;
// A pass seems long if the process or its VM stood still during it.
const MAXIMUM_PLANNING_PAUSE_MS: Milliseconds = 500;
// A planning pass that takes longer delays the start of guaranteed work: the
// pause after it is several times as long.
const SLOW_PLANNING_MS: Milliseconds = 150;
// Planning runs this often even without changes, to check due times, leases and
// stuck runs.
const PLANNING_INTERVAL_MS: Milliseconds = 100;
const OPERATORS_RETRY_DELAY_MS: Milliseconds = 200;
const LOAD_LOG_INTERVAL_MS: Milliseconds = 1_000;
// With up to 50 jobs each time, ended jobs are removed faster than a large
// deployment hands in new ones.
const REMOVAL_INTERVAL_MS: Milliseconds = 1_000;
// Ended jobs stay stored for this long after their retention time, so that a
// repeated submission is still recognized. Callers repeat a submission within
// seconds of the reply.
const RESUBMISSION_MARGIN_MS: Milliseconds = 60_000;

/** A change of a cell, caused by a record of another process. */
type Change = (scheduler: Scheduler) => void;

/**
 * Creates the lead of a cell for one term.
 *
 * @param options the cell's job book, store and workers
 * @returns the lead, not yet started
 */
export function createCellLead(options: CellLeadOptions): CellLead {
  const { book, clock, log, term, metrics } = options;
  const isLeading = (): boolean => !isClosed && options.isLeading();
  const journal = createCellJournal({ ...options, isLeading });
  let scheduler: Scheduler | undefined;
  /** Changes to apply after the restoring; undefined while nothing is restored. */
  let changesDuringRestore: Change[] | undefined;
  let isClosed = false;
  /** Whether this lead has read the operators' topic to its end. */
  let areRequestsRead = false;
  let isStoring = false;
  let isPlanningScheduled = false;
  const overwritten = createOverwrittenSubmissions({
    journal,
    book,
    metrics,
    log,
  });
  const storeIdentities = createIdentityWriter({
    identities: options.identities,
    journal,
    log,
  });
  const checkUnscheduled = createUnscheduledJobs({
    book,
    now: clock.now,
    log,
    metrics,
  });
  const storable = createStorableSizes({
    limits: options.store.limits,
    metrics,
    log,
  });
  let planningMs: Milliseconds = 0;
  let planningTimer: NodeJS.Timeout | undefined;
  let loadLogTimer: NodeJS.Timeout | undefined;
  let removalTimer: NodeJS.Timeout | undefined;
  const isolate = createIsolation({
    clock,
    log,
    onError: (operation) =>
      metrics.incrementCounter(`item.failed.${operation}`),
  });
  const links = createWorkerLinks({
    term,
    clock,
    log,
    connect: options.connect,
    isolate,
    isLeading,
    scheduler: () => scheduler,
    onChange: () => schedulePlanning(),
  });

  const searchRemovedWorkers = createRemovedWorkerSearch({
    readRemovedWorkers: options.readRemovedWorkers,
    now: clock.now,
    term,
    log,
    onFound: () => schedulePlanning(),
  });

  const requestAdvice = createAdviceRequests({
    advise: options.advise,
    log,
    onAnswer: (question, answer) => {
      scheduler?.handleAdvice(question, answer);
      schedulePlanning();
    },
  });

  /**
   * Appends the scheduler's batches of records to the journal until there is
   * none left. Commands that depend on a batch are sent once it is stored.
   */
  const storeBatches = async (): Promise<void> => {
    if (isStoring) return;
    isStoring = true;
    try {
      while (scheduler !== undefined && isLeading()) {
        if (!await overwritten.store()) return;
        if (!await storeIdentities()) return;
        const batch = scheduler.takeBatch();
        links.notifyEndsStored();
        if (batch === undefined) return;
        const rejected = await journal.append(batch.records);
        if (rejected === undefined || !isLeading()) {
          const { records: { length: records }, ends: { size: ends } } = batch;
          metrics.incrementCounter("batch.unconfirmed");
          log.warn(
            { term, records, workersWithEnds: ends },
            "batch not confirmed: this process no longer leads",
          );
          return;
        }
        if (!storable.handleRejected(rejected, scheduler)) continue;
        for (const { placedAt, step } of batch.starting) {
          metrics.recordDuration("stored.start", clock.now() - placedAt);
          if (step.highestRun === 1) {
            metrics.recordDuration(
              "job.wait",
              clock.now() - step.job.waitingSince,
            );
          }
        }
        scheduler.handleBatchStored(batch);
      }
    } finally {
      isStoring = false;
    }
  };

  /**
   * Removes ended jobs from the journal and the book once their retention time
   * and the resubmission margin are over.
   */
  const removeExpiredJobs = async (): Promise<void> => {
    if (isStoring || !isLeading()) return;
    const endedBefore = clock.wallTime() - options.keepEndedMs -
      RESUBMISSION_MARGIN_MS;
    const records = findExpiredJobs(book, endedBefore);
    if (records.length === 0) return;
    isStoring = true;
    try {
      if (await journal.append(records) === undefined) return;
      records.forEach(book.apply);
      log.info({ jobs: records.length }, "ended jobs removed");
    } finally {
      isStoring = false;
    }
    schedulePlanning();
  };

  const runPlanner = (): void => {
    const startedAt = clock.now();
    try {
      scheduler?.plan();
    } catch (error) {
      // Runs keep their leases, and the next pass may succeed.
      metrics.incrementCounter("planning.failed");
      log.error({ term, error: describeError(error) }, "planning pass failed");
    }
    planningMs = clock.now() - startedAt;
    metrics.recordDuration("planning.pass", planningMs);
    if (planningMs > SLOW_PLANNING_MS) {
      const bound = SLOW_PLANNING_MS;
      log.warn({ term, tookMs: planningMs, bound }, "planning pass was slow");
    }
  };

  const planAndStore = (): void => {
    isPlanningScheduled = false;
    if (scheduler === undefined || !isLeading()) return;
    runPlanner();
    searchRemovedWorkers(scheduler);
    links.refresh();
    void storeBatches();
  };

  /** Requests planning soon; calls before it runs are merged. */
  const schedulePlanning = (): void => {
    if (isPlanningScheduled || isClosed) return;
    isPlanningScheduled = true;
    // Planning must leave most of the processor to handling workers' answers.
    const pauseMs = Math.min(
      PLANNING_PAUSE_FACTOR * planningMs,
      MAXIMUM_PLANNING_PAUSE_MS,
    );
    setTimeout(planAndStore, Math.max(COALESCING_DELAY_MS, pauseMs));
  };

  /**
   * Applies a change, or notes it while the stored jobs are being restored. The
   * book, the rules and the lists contain earlier ones.
   */
  const applyChange = (change: Change): void => {
    if (scheduler !== undefined) change(scheduler);
    else changesDuringRestore?.push(change);
    schedulePlanning();
  };

  /**
   * Reads the requests of the operators up to the end of their topic, before
   * which nothing is started. All else goes on meanwhile, so that the leases of
   * runs do not expire when only this topic cannot be read.
   */
  const readOperatorRequests = async (): Promise<void> => {
    while (isLeading() && !areRequestsRead) {
      try {
        await options.catchUpOperators();
        areRequestsRead = true;
        schedulePlanning();
      } catch (error) {
        log.warn(
          { term, error: describeError(error) },
          "operators' topic was not read to its end; trying again",
        );
        await pause(OPERATORS_RETRY_DELAY_MS);
      }
    }
  };

  return {
    start: async () => {
      const takenOverAt = clock.now();
      void readOperatorRequests();
      const journalEnd = await journal.open();
      if (journalEnd === undefined) return;
      const progress = await journal.readProgress();
      await options.waitForBook(journalEnd);
      // The list of workers belongs to the current lead of this process.
      if (progress === undefined || !isLeading()) return;
      const listing = await options.listWorkers();
      if (!isLeading()) return;
      changesDuringRestore = [];
      const restored = createScheduler({
        now: clock.now,
        wallTime: clock.wallTime,
        // Reports that answer a command are of use only after the restoring.
        sendCommand: (command) => {
          if (scheduler !== undefined) links.sendCommand(command);
          else changesDuringRestore?.push(() => links.sendCommand(command));
        },
        areRequestsCurrent: () =>
          areRequestsRead && options.areRequestsCurrent(),
        askAdvice: (question) => void requestAdvice(question),
        onUnknownRunEnd: (end) =>
          metrics.incrementCounter(`run.unknown.${end}`),
        onSpeedChange: (speed) =>
          metrics.incrementCounter(`worker.speed.${speed}`),
        onReclaim: (outcome) => metrics.incrementCounter(`reclaim.${outcome}`),
        onRoomWait: (event) => countRoomWait(event, metrics),
        onDiscardedWork: (reason, coreMs) => {
          metrics.incrementCounter(`run.discarded.${reason}`);
          metrics.incrementCounter(`run.discarded.core.ms.${reason}`, coreMs);
        },
        isolate,
        fits: storable.fits,
        log,
      });
      restored.setRules(options.rules());
      restored.evacuation.setZones(options.evacuatedZones());
      restored.updateWorkers(listing);
      const isRestored = await restoreCell(restored, {
        book,
        progress,
        leasesEndBy: takenOverAt + INHERITED_LEASE_MS,
        term,
        clock,
        log,
        isLeading,
      });
      if (!isRestored) return;
      scheduler = restored;
      for (const change of changesDuringRestore) change(restored);
      changesDuringRestore = undefined;
      const jobs = scheduler.state.jobs.size;
      const tookMs = clock.now() - takenOverAt;
      log.info(
        { term, jobs, workers: listing.entries.length, tookMs },
        "lead ready",
      );
      planningTimer = setInterval(() => {
        if (options.isRenewalOverdue()) links.renewShortLeases();
        schedulePlanning();
      }, PLANNING_INTERVAL_MS);
      removalTimer = setInterval(
        () => void removeExpiredJobs(),
        REMOVAL_INTERVAL_MS,
      );
      loadLogTimer = setInterval(() => {
        if (!isLeading() || scheduler === undefined) return;
        log.info({ ...scheduler.load() }, "load");
        const { jobs } = scheduler.state;
        checkUnscheduled((job) => jobs.has(job));
      }, LOAD_LOG_INTERVAL_MS);
      planAndStore();
    },
    submitJob: (spec) => applyChange((target) => target.submit(spec)),
    cancelJob: (job) => applyChange((target) => target.cancel(job)),
    restoreSubmission: (spec) => {
      overwritten.add(spec);
      schedulePlanning();
    },
    updateWorkers: (listing) =>
      applyChange((target) => target.updateWorkers(listing)),
    updateEvacuations: (zones) =>
      applyChange((target) => target.evacuation.setZones(zones)),
    updateRules: (rules) => applyChange((target) => target.setRules(rules)),
    scheduler: () => scheduler,
    close: () => {
      isClosed = true;
      clearInterval(planningTimer);
      clearInterval(loadLogTimer);
      clearInterval(removalTimer);
      links.close();
    },
  };
}
