import type { Milliseconds } from "@rattanhill/shared";
import type { JobOutcome, JobSpec, JobState } from "./job_types.ts";
import type { CellRecord, StepRecord } from "./records.ts";

/** A job as recorded in the store. */
export interface StoredJob {
  spec: JobSpec;
  isCancelled: boolean;
  outcome?: JobOutcome;
  /** Wall time of the outcome. */
  endedAt?: Milliseconds;
  /**
   * Progress by step key. Entries that do not lead have none, since it is
   * stored apart.
   */
  steps: Map<string, StepRecord>;
  /** Whether a run of any of its steps was ever placed. */
  hasStarted: boolean;
}

/** All stored jobs of a cell, reconstructed from the records in the store. */
export interface JobBook {
  /**
   * Applies a stored record. Records of a job may arrive in any order and more
   * than once.
   */
  apply(record: CellRecord): void;
  /** @returns the job; undefined if it was not submitted or has been removed */
  find(id: string): StoredJob | undefined;
  /**
   * @returns the state of a job as its submitter sees it; undefined if the job
   * was not submitted or has been removed
   */
  stateOf(id: string): JobState | undefined;
  /**
   * @returns the number of jobs of a queue of which no task was placed yet and
   * that have not been cancelled or ended
   */
  pending(queue: string): number;
  jobs(): Iterable<StoredJob>;
}

/** Callbacks of a {@link JobBook}. */
export interface JobBookListener {
  /** Called once for each submitted job. */
  submitted?(spec: JobSpec): void;
  /** Called once for each cancelled job. */
  cancelled?(job: string): void;
}

/**
 * Creates a job book without jobs.
 *
 * @param listener callbacks for submissions and cancellations
 * @returns the job book
 */
export function createJobBook(listener: JobBookListener = {}): JobBook {
  const jobs = new Map<string, StoredJob>();
  /** Records that arrived before the submission of their job, by job. */
  const earlyRecords = new Map<string, CellRecord[]>();
  /** Number of pending jobs by queue; see {@link JobBook.pending}. */
  const pendingCounts = new Map<string, number>();

  const isPending = (job: StoredJob) =>
    !job.hasStarted && !job.isCancelled && job.outcome === undefined;
  /** Applies a change to a job and adjusts the number of pending jobs. */
  const applyChange = (job: StoredJob, change: () => void): void => {
    const wasPending = isPending(job);
    change();
    const difference = Number(isPending(job)) - Number(wasPending);
    const { queue } = job.spec;
    pendingCounts.set(queue, (pendingCounts.get(queue) ?? 0) + difference);
  };

  const applyToJob = (job: StoredJob, record: CellRecord): void => {
    if (record.kind === "cancellation") {
      if (job.isCancelled) return;
      applyChange(job, () => job.isCancelled = true);
      listener.cancelled?.(job.spec.id);
    } else if (record.kind === "start") {
      applyChange(job, () => job.hasStarted = true);
    } else if (record.kind === "progress") {
      job.steps.set(record.step, record.progress);
      applyChange(job, () => job.hasStarted ||= record.progress.highestRun > 0);
    } else if (record.kind === "outcome") {
      applyChange(job, () => job.outcome = record.outcome);
      job.endedAt = record.at;
    }
  };

  const addSubmittedJob = (spec: JobSpec): void => {
    if (jobs.has(spec.id)) return;
    const job: StoredJob = {
      spec,
      isCancelled: false,
      steps: new Map(),
      hasStarted: false,
    };
    jobs.set(spec.id, job);
    pendingCounts.set(spec.queue, (pendingCounts.get(spec.queue) ?? 0) + 1);
    listener.submitted?.(spec);
    for (const record of earlyRecords.get(spec.id) ?? []) {
      applyToJob(job, record);
    }
    earlyRecords.delete(spec.id);
  };

  return {
    apply: (record) => {
      if (record.kind === "submission") return addSubmittedJob(record.spec);
      if (record.kind === "removal") {
        const job = jobs.get(record.job);
        // Marked as cancelled so that it no longer counts as pending.
        if (job !== undefined) applyChange(job, () => job.isCancelled = true);
        jobs.delete(record.job);
        return;
      }
      const id = record.kind === "progress" ||
          record.kind === "progressRemoval"
        ? record.step.slice(0, record.step.indexOf("."))
        : record.job;
      const job = jobs.get(id);
      if (job !== undefined) return applyToJob(job, record);
      earlyRecords.set(id, [...earlyRecords.get(id) ?? [], record]);
    },
    find: (id) => jobs.get(id),
    stateOf: (id) => {
      const job = jobs.get(id);
      if (job === undefined) return undefined;
      if (job.outcome !== undefined) return job.outcome;
      if (job.isCancelled) return "cancelled";
      return job.hasStarted ? "running" : "queued";
    },
    pending: (queue) => pendingCounts.get(queue) ?? 0,
    jobs: () => jobs.values(),
  };
}
