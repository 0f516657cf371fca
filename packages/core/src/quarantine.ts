import type { Milliseconds } from "@rattanhill/shared";

/** A task that ended on a worker. */
export interface EndedTask {
  worker: string;
  class: string;
  request: string;
  hasFailed: boolean;
}

/**
 * Excludes workers on which several different requests failed in a row although
 * their class succeeds on other workers. When the quarantine period is over,
 * one probe task is allowed; a success ends the quarantine, and every failure
 * starts a new period, which is twice as long up to a maximum.
 */
export interface Quarantine {
  /**
   * Records the end of a task.
   *
   * @returns whether the worker's quarantine began, was extended or ended
   */
  recordTaskEnd(task: EndedTask, now: Milliseconds): boolean;
  /**
   * @returns the number of different requests that failed on the worker since
   * its last success; 0 if the last failure was more than 3 s ago
   */
  recentFailures(worker: string, now: Milliseconds): number;
  /** @returns whether the worker may receive new work now, a probe included */
  isEligible(worker: string, now: Milliseconds): boolean;
  /**
   * Records that a task was placed. On a quarantined worker it is a probe, and
   * no other work is allowed there until the probe ends or times out.
   */
  recordPlacement(worker: string, now: Milliseconds): void;
  /**
   * @returns names of the workers in quarantine, also of those that may be
   * probed
   */
  members(): ReadonlySet<string>;
  /** Removes the record of a worker that has left. */
  removeWorker(worker: string): void;
}

interface WorkerRecord {
  /** Requests that failed on the worker since its last success. */
  failedRequests: Set<string>;
  /** Time of the last failure; -Infinity before the first one. */
  lastFailureAt: Milliseconds;
  /** Time from which a probe is allowed; `undefined` when not in quarantine. */
  quarantinedUntil?: Milliseconds;
  /** Length of the next quarantine, with exponential back-off. */
  nextQuarantineMs: Milliseconds;
}

// Number of different requests that must fail on a worker, with no success in
// between, to put it into quarantine.
const FAILED_REQUESTS_FOR_QUARANTINE = 3;
// Time for which a failure counts as recent. A worker that has recovered gets
// work again after it.
const RECENT_FAILURE_MS: Milliseconds = 3_000;
const INITIAL_QUARANTINE_MS: Milliseconds = 10_000;
const MAXIMUM_QUARANTINE_MS: Milliseconds = 300_000;
// Another probe is allowed if a probe has not ended within this time.
const PROBE_TIMEOUT_MS: Milliseconds = 5_000;
// If a larger fraction of a class's tasks fails outside a worker, the class is
// considered faulty, and the worker is not put into quarantine.
const MAXIMUM_CLASS_FAILURE_RATIO = 0.5;
// The counts of a class are halved when they exceed this number of ended tasks,
// so that older results count less.
const MAXIMUM_CLASS_COUNT = 200;

/**
 * Creates a quarantine that contains no workers.
 *
 * @returns the quarantine, which keeps its records in memory only
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
        lastFailureAt: -Infinity,
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
    if (counts.ended > MAXIMUM_CLASS_COUNT) {
      counts.ended /= 2;
      counts.failed /= 2;
    }
    classes.set(name, counts);
  };
  /**
   * Tests whether most tasks of a class fail on other workers. The worker's own
   * failures are left out, so that a faulty worker does not make its class look
   * faulty.
   */
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
    recordTaskEnd: (task, now) => {
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
      record.lastFailureAt = now;
      const failures = record.failedRequests.size;
      if (failures < FAILED_REQUESTS_FOR_QUARANTINE) return false;
      if (isClassFailingElsewhere(task.class, failures)) return false;
      record.quarantinedUntil = now + record.nextQuarantineMs;
      quarantined.add(task.worker);
      record.nextQuarantineMs = Math.min(
        MAXIMUM_QUARANTINE_MS,
        record.nextQuarantineMs * 2,
      );
      return true;
    },
    recentFailures: (worker, now) => {
      const record = workers.get(worker);
      if (record === undefined) return 0;
      const isRecent = now - record.lastFailureAt < RECENT_FAILURE_MS;
      return isRecent ? record.failedRequests.size : 0;
    },
    isEligible: (worker, now) =>
      (workers.get(worker)?.quarantinedUntil ?? 0) <= now,
    recordPlacement: (worker, now) => {
      const record = workers.get(worker);
      if (record?.quarantinedUntil === undefined) return;
      record.quarantinedUntil = now + PROBE_TIMEOUT_MS;
    },
    members: () => quarantined,
    removeWorker: (worker) => {
      workers.delete(worker);
      quarantined.delete(worker);
    },
  };
}
