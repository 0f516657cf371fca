import type { Milliseconds } from "@rattanhill/shared";

/** A task that ended on a worker. */
export interface EndedTask {
  worker: string;
  class: string;
  request: string;
  hasFailed: boolean;
}

/** Decides which workers fail work that others do well. */
export interface Quarantine {
  /** Notes the end of a task. @returns whether the worker's state changed */
  note(task: EndedTask, now: Milliseconds): boolean;
  /** @returns whether the worker may get new work now */
  isOpen(worker: string, now: Milliseconds): boolean;
  /** Notes that a probe was placed on the worker. */
  probe(worker: string, now: Milliseconds): void;
  /** @returns workers in quarantine */
  members(): ReadonlySet<string>;
  /** Forgets a worker that is gone. */
  forget(worker: string): void;
}

interface WorkerRecord {
  /** Requests that failed on it since its last success. */
  failedRequests: Set<string>;
  /** End of the quarantine; a probe is allowed then. */
  quarantinedUntil?: Milliseconds;
  nextQuarantineMs: Milliseconds;
}

const FAILED_REQUESTS_LIMIT = 3; // different requests in a row
const INITIAL_QUARANTINE_MS: Milliseconds = 10_000;
const MAXIMUM_QUARANTINE_MS: Milliseconds = 300_000;
const PROBE_TIMEOUT_MS: Milliseconds = 5_000; // time for the probe's result
const MAXIMUM_CLASS_FAILURE_RATIO = 0.5; // a class that fails more often everywhere is at fault itself
const CLASS_COUNT_LIMIT = 200; // ended tasks after which class counts are halved

/**
 * Creates a quarantine without members.
 *
 * @returns the quarantine
 */
export function createQuarantine(): Quarantine {
  const workers = new Map<string, WorkerRecord>();
  const quarantined = new Set<string>();
  const classes = new Map<string, { ended: number; failed: number }>();

  const getOrCreateRecord = (worker: string): WorkerRecord => {
    let record = workers.get(worker);
    if (record === undefined) {
      record = {
        failedRequests: new Set(),
        nextQuarantineMs: INITIAL_QUARANTINE_MS,
      };
      workers.set(worker, record);
    }
    return record;
  };
  const countClassResult = ({ class: name, hasFailed }: EndedTask): void => {
    const counts = classes.get(name) ?? { ended: 0, failed: 0 };
    counts.ended += 1;
    counts.failed += hasFailed ? 1 : 0;
    if (counts.ended > CLASS_COUNT_LIMIT) {
      counts.ended /= 2;
      counts.failed /= 2;
    }
    classes.set(name, counts);
  };
  /** Failures of the class on all workers but those that fail everything. */
  const isClassFailingElsewhere = (
    name: string,
    workerFailures: number,
  ): boolean => {
    const counts = classes.get(name);
    if (counts === undefined) return false;
    const ended = counts.ended - workerFailures;
    const failed = counts.failed - workerFailures;
    return ended > 0 && failed / ended > MAXIMUM_CLASS_FAILURE_RATIO;
  };

  return {
    note: (task, now) => {
      countClassResult(task);
      const record = getOrCreateRecord(task.worker);
      const wasQuarantined = record.quarantinedUntil !== undefined;
      if (!task.hasFailed) {
        record.failedRequests.clear();
        record.quarantinedUntil = undefined;
        quarantined.delete(task.worker);
        record.nextQuarantineMs = INITIAL_QUARANTINE_MS;
        return wasQuarantined;
      }
      record.failedRequests.add(task.request);
      const failures = record.failedRequests.size;
      if (failures < FAILED_REQUESTS_LIMIT) return false;
      if (isClassFailingElsewhere(task.class, failures)) return false;
      record.quarantinedUntil = now + record.nextQuarantineMs;
      quarantined.add(task.worker);
      record.nextQuarantineMs = Math.min(
        MAXIMUM_QUARANTINE_MS,
        record.nextQuarantineMs * 2,
      );
      return true;
    },
    isOpen: (worker, now) =>
      (workers.get(worker)?.quarantinedUntil ?? 0) <= now,
    probe: (worker, now) => {
      const record = workers.get(worker);
      if (record?.quarantinedUntil === undefined) return;
      record.quarantinedUntil = now + PROBE_TIMEOUT_MS;
    },
    members: () => quarantined,
    forget: (worker) => {
      workers.delete(worker);
      quarantined.delete(worker);
    },
  };
}
