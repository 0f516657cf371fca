import {
  type Clock,
  describeError,
  type Logger,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import {
  type AdviceAnswer,
  type AdviceQuestion,
  createScheduler,
  type JobBook,
  type JobSpec,
  type Order,
  type Rules,
  type Scheduler,
  type WorkerListing,
  type WorkerState,
} from "@rattanhill/scheduler";
import { createJournal } from "./journal.ts";
import type { Metrics } from "./metrics.ts";
import type { Store } from "./store.ts";
import type { Advise, ConnectWorker } from "./worker_calls.ts";
import {
  createWorkerLink,
  INHERITED_LEASE_MS,
  type WorkerLink,
} from "./worker_link.ts";

/** The lead of a cell during one term. */
export interface CellLead {
  /** Becomes ready to give orders. */
  start(): Promise<void>;
  submitted(spec: JobSpec): void;
  cancelled(job: string): void;
  listed(listing: WorkerListing): void;
  rulesChanged(rules: Rules): void;
  /** @returns everything that the lead knows; undefined before it is ready */
  scheduler(): Scheduler | undefined;
  close(): void;
}

/** Options of {@link createCellLead}. */
export interface CellLeadOptions {
  store: Store;
  topic: string;
  term: number;
  book: JobBook;
  clock: Clock;
  log: Logger;
  connect: ConnectWorker;
  /** Asks the policy of queues; undefined where there is none. */
  advise?: Advise;
  isLeading(): boolean;
  /** Waits until the book reflects the journal up to an offset. */
  bookReached(offset: number): Promise<void>;
  /** Current list of workers; waits until there is one. */
  workers(): Promise<WorkerListing>;
  rules(): Rules;
  /** How long the state of an ended job is kept. */
  keepEndedMs: Milliseconds;
  metrics: Metrics;
}

/** Pause before planning, to take in what arrives together. */
const GATHER_MS: Milliseconds = 4;
/** Pause after planning, in multiples of the time that planning took. */
const PLANNING_REST = 4; // a fifth of the processor at most
/** Planning interval while nothing happens; due times, leases and stuck runs are checked then. */
const TICK_MS: Milliseconds = 100;
const ADVICE_RETRY_MS: Milliseconds = 200; // its queue of 32 calls drains meanwhile
const LOAD_LOG_MS: Milliseconds = 1_000;
const REMOVAL_MS: Milliseconds = 10_000;
/** Ended jobs are kept longer by this, since a submission may be repeated late. */
const LATE_REPEAT_MS: Milliseconds = 60_000; // repeats come seconds after the answer
const REMOVALS_AT_ONCE = 50; // bounds one append

/**
 * Creates the lead of a cell for one term.
 *
 * @param options the cell's book, store and workers
 * @returns the lead
 */
export function createCellLead(options: CellLeadOptions): CellLead {
  const { book, clock, log, term, connect, metrics } = options;
  const links = new Map<WorkerState, { link: WorkerLink; address: string }>();
  const isLeading = (): boolean => !isClosed && options.isLeading();
  const journal = createJournal({ ...options, isLeading });
  let scheduler: Scheduler | undefined;
  let isClosed = false;
  let isStoring = false;
  let isWoken = false;
  let planningMs: Milliseconds = 0;
  let tick: NodeJS.Timeout | undefined;
  let loadLog: NodeJS.Timeout | undefined;
  let removal: NodeJS.Timeout | undefined;

  const linkTo = (worker: WorkerState): WorkerLink | undefined => {
    const known = links.get(worker);
    if (known?.address === worker.address) return known.link;
    known?.link.close();
    links.delete(worker);
    if (worker.address === "") return undefined;
    const link = createWorkerLink({
      worker,
      connection: connect(worker.id, worker.address),
      term,
      clock,
      log,
      isLeading,
      report: (lifetime, report) => {
        scheduler?.report(worker, lifetime, report);
        wake();
      },
      startAnswered: (run, answer, reason) => {
        scheduler?.startAnswered(run, answer, reason);
        if (answer !== "started") wake();
      },
      silent: () => scheduler?.silent(worker),
      stopAnswered: (run) => scheduler?.stopAnswered(run),
    });
    links.set(worker, { link, address: worker.address });
    return link;
  };

  const order = (order: Order): void => {
    const worker = order.kind === "start" ? order.run.worker : order.worker;
    const link = linkTo(worker);
    if (link !== undefined) return link.order(order);
    log.warn({ worker: worker.id, kind: order.kind }, "order without a link");
  };

  const ask = async (question: AdviceQuestion): Promise<void> => {
    const { step, workers } = question;
    let answer: AdviceAnswer | undefined;
    try {
      answer = await options.advise?.(step.key, workers);
      log.info(
        {
          step: step.key,
          asked: workers.length,
          allowed: answer?.allowed.length,
        },
        "advice",
      );
    } catch (error) {
      log.warn({ step: step.key, error: describeError(error) }, "no advice");
      await pause(ADVICE_RETRY_MS);
    }
    scheduler?.advised(question, answer);
    wake();
  };

  const refreshLinks = (): void => {
    if (scheduler === undefined) return;
    const { workers } = scheduler.state;
    for (const worker of workers.values()) linkTo(worker);
    for (const [worker, { link }] of links) {
      if (workers.get(worker.id) === worker) continue;
      link.close();
      links.delete(worker);
    }
  };

  const store = async (): Promise<void> => {
    if (isStoring) return;
    isStoring = true;
    try {
      while (scheduler !== undefined && isLeading()) {
        const batch = scheduler.takeBatch();
        for (const { link } of links.values()) link.endsStored();
        if (batch === undefined) return;
        if (!await journal.append(batch.records) || !isLeading()) return;
        for (const { placedAt, step } of batch.starting) {
          metrics.time("stored.start", clock.now() - placedAt);
          if (step.highestRun === 1) {
            metrics.time("job.wait", clock.now() - step.job.since);
          }
        }
        scheduler.stored(batch);
      }
    } finally {
      isStoring = false;
    }
  };

  /** Drops jobs whose state need not be told any more. */
  const removeEnded = async (): Promise<void> => {
    if (isStoring || !isLeading()) return;
    const before = clock.wallTime() - options.keepEndedMs - LATE_REPEAT_MS;
    const records = [...book.jobs()]
      .filter(({ endedAt }) => endedAt !== undefined && endedAt < before)
      .slice(0, REMOVALS_AT_ONCE)
      .map(({ spec, steps }) => ({
        kind: "removal" as const,
        job: spec.id,
        steps: [...steps.keys()],
      }));
    if (records.length === 0) return;
    isStoring = true;
    try {
      if (!await journal.append(records)) return;
      records.forEach(book.apply);
      log.info({ jobs: records.length }, "ended jobs removed");
    } finally {
      isStoring = false;
    }
    wake();
  };

  const plan = (): void => {
    const startedAt = clock.now();
    scheduler?.plan();
    planningMs = clock.now() - startedAt;
  };

  const work = (): void => {
    isWoken = false;
    if (scheduler === undefined || !isLeading()) return;
    plan();
    refreshLinks();
    void store();
  };

  const wake = (): void => {
    if (isWoken || isClosed) return;
    isWoken = true;
    // Planning must leave most of the processor to workers' answers.
    setTimeout(work, Math.max(GATHER_MS, PLANNING_REST * planningMs));
  };

  return {
    start: async () => {
      const takenOverAt = clock.now();
      const end = await journal.open();
      if (end === undefined) return;
      await options.bookReached(end);
      const listing = await options.workers();
      if (!isLeading()) return;
      scheduler = createScheduler({
        now: clock.now,
        wallTime: clock.wallTime,
        order,
        askAdvice: (question) => void ask(question),
        log,
      });
      scheduler.setRules(options.rules());
      scheduler.list(listing);
      for (const job of book.jobs()) {
        scheduler.restore(job, takenOverAt + INHERITED_LEASE_MS);
      }
      const jobs = scheduler.state.jobs.size;
      const tookMs = clock.now() - takenOverAt;
      log.info(
        { term, jobs, workers: listing.entries.length, tookMs },
        "lead ready",
      );
      tick = setInterval(wake, TICK_MS);
      removal = setInterval(() => void removeEnded(), REMOVAL_MS);
      loadLog = setInterval(() => {
        if (isLeading()) log.info({ ...scheduler?.load() }, "load");
      }, LOAD_LOG_MS);
      work();
    },
    submitted: (spec) => {
      scheduler?.submit(spec);
      wake();
    },
    cancelled: (job) => {
      scheduler?.cancel(job);
      wake();
    },
    listed: (listing) => {
      scheduler?.list(listing);
      wake();
    },
    rulesChanged: (rules) => {
      scheduler?.setRules(rules);
      wake();
    },
    scheduler: () => scheduler,
    close: () => {
      isClosed = true;
      clearInterval(tick);
      clearInterval(loadLog);
      clearInterval(removal);
      for (const { link } of links.values()) link.close();
      links.clear();
    },
  };
}
