import type { Milliseconds } from "@rattanhill/shared";
import { createJobMemory, type JobMemory } from "./job_memory.ts";
import {
  isSameSubmission,
  type JobOutcome,
  type JobSpec,
  type JobState,
} from "./job_types.ts";
import type { NumberRange } from "./number_ranges.ts";
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
  /** Occurrences of a periodic job that are finished and have no progress. */
  finishedOccurrences?: readonly NumberRange[];
  /**
   * End offset of the append that stored the job; set until its submission has
   * been read from the journal. Until then, an earlier submission with the same
   * ID may still replace it.
   */
  unconfirmedUntil?: number;
}

/** All stored jobs of a cell, reconstructed from the records in the store. */
export interface JobBook {
  /**
   * Applies a stored record. Records of a job may arrive in any order and more
   * than once.
   */
  apply(record: CellRecord): void;
  /**
   * Adds a job whose submission was stored but not read from the journal yet.
   * The first submission with its ID that is applied confirms or replaces it.
   *
   * @param spec the submission
   * @param endOffset end offset of the append that stored it
   */
  addUnconfirmed(spec: JobSpec, endOffset: number): void;
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
  /** @returns whether records of a job are known, but not its submission */
  hasEarlyRecords(id: string): boolean;
  /** @returns the jobs whose submissions have been read from the journal */
  jobs(): Iterable<StoredJob>;
  /** Estimated memory of the jobs, confirmed or not. */
  readonly memory: Pick<JobMemory, "heldBytes" | "releasedBytes">;
}

/** Callbacks of a {@link JobBook}. */
export interface JobBookListener {
  /** Called once for each submitted job. */
  submitted?(spec: JobSpec): void;
  /** Called once for each cancelled job. */
  cancelled?(job: string): void;
  /**
   * Called for each later submission of another job with the ID of a known one.
   *
   * @param spec the known job
   */
  overwritten?(spec: JobSpec): void;
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
  const memory = createJobMemory();

  const updateMemory = ({ spec, outcome }: StoredJob): void =>
    memory.update(spec.id, spec, outcome !== undefined);
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
      if (job.unconfirmedUntil === undefined) {
        listener.cancelled?.(job.spec.id);
      }
    } else if (record.kind === "start") {
      applyChange(job, () => job.hasStarted = true);
    } else if (record.kind === "progress") {
      job.steps.set(record.step, record.progress);
      applyChange(job, () => job.hasStarted ||= record.progress.highestRun > 0);
    } else if (record.kind === "finishedOccurrences") {
      job.finishedOccurrences = record.ranges;
    } else if (record.kind === "outcome") {
      applyChange(job, () => job.outcome = record.outcome);
      job.endedAt = record.at;
      updateMemory(job);
    }
  };

  const addJob = (spec: JobSpec, unconfirmedUntil?: number): StoredJob => {
    const job: StoredJob = {
      spec,
      isCancelled: false,
      steps: new Map(),
      hasStarted: false,
      unconfirmedUntil,
    };
    jobs.set(spec.id, job);
    updateMemory(job);
    pendingCounts.set(spec.queue, (pendingCounts.get(spec.queue) ?? 0) + 1);
    return job;
  };

  const applyEarlyRecords = (job: StoredJob): void => {
    const { id } = job.spec;
    for (const record of earlyRecords.get(id) ?? []) applyToJob(job, record);
    earlyRecords.delete(id);
  };

  const replaceSpec = (job: StoredJob, spec: JobSpec): void => {
    if (isPending(job)) {
      const { queue } = job.spec;
      pendingCounts.set(queue, (pendingCounts.get(queue) ?? 0) - 1);
      pendingCounts.set(spec.queue, (pendingCounts.get(spec.queue) ?? 0) + 1);
    }
    job.spec = spec;
    updateMemory(job);
  };

  /** Replaces an unconfirmed submission by the first one in the journal. */
  const confirmJob = (job: StoredJob, spec: JobSpec): void => {
    replaceSpec(job, spec);
    job.unconfirmedUntil = undefined;
    listener.submitted?.(spec);
    if (job.isCancelled) listener.cancelled?.(spec.id);
    applyEarlyRecords(job);
  };

  const addSubmittedJob = (spec: JobSpec): void => {
    const known = jobs.get(spec.id);
    if (known?.unconfirmedUntil !== undefined) return confirmJob(known, spec);
    if (known !== undefined) {
      if (isSameSubmission(known.spec, spec)) return;
      // Only the lead restores a submission, and it knows which was the first.
      if (spec.isRestored) replaceSpec(known, spec);
      else listener.overwritten?.(known.spec);
      return;
    }
    const job = addJob(spec);
    listener.submitted?.(spec);
    applyEarlyRecords(job);
  };

  return {
    apply: (record) => {
      if (record.kind === "submission") return addSubmittedJob(record.spec);
      // Belongs to no job.
      if (record.kind === "identities") return;
      if (record.kind === "removal") {
        const job = jobs.get(record.job);
        // Marked as cancelled so that it no longer counts as pending.
        if (job !== undefined) applyChange(job, () => job.isCancelled = true);
        jobs.delete(record.job);
        memory.remove(record.job);
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
    addUnconfirmed: (spec, endOffset) => {
      if (!jobs.has(spec.id)) addJob(spec, endOffset);
    },
    find: (id) => jobs.get(id),
    stateOf: (id) => {
      const job = jobs.get(id);
      if (job === undefined) return undefined;
      if (job.outcome !== undefined) return job.outcome;
      if (job.isCancelled) return "cancelled";
      return job.hasStarted ? "running" : "queued";
    },
    memory,
    hasEarlyRecords: (id) => earlyRecords.has(id),
    pending: (queue) => pendingCounts.get(queue) ?? 0,
    jobs: function* () {
      for (const job of jobs.values()) {
        if (job.unconfirmedUntil === undefined) yield job;
      }
    },
  };
}
