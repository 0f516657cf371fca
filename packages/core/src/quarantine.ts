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
  closedUntil?: Milliseconds;
  closedMs: Milliseconds;
}

const FAILED_REQUESTS = 3; // different requests in a row
const FIRST_CLOSED_MS: Milliseconds = 10_000;
const MAXIMUM_CLOSED_MS: Milliseconds = 300_000;
const PROBE_MS: Milliseconds = 5_000; // time for the probe's result
const MAXIMUM_CLASS_FAILURES = 0.5; // a class that fails more often everywhere is at fault itself
const CLASS_MEMORY = 200; // ended tasks after which class counts are halved

/**
 * Creates a quarantine without members.
 *
 * @returns the quarantine
 */
export function createQuarantine(): Quarantine {
  const workers = new Map<string, WorkerRecord>();
  const closed = new Set<string>();
  const classes = new Map<string, { ended: number; failed: number }>();

  const recordOf = (worker: string): WorkerRecord => {
    let record = workers.get(worker);
    if (record === undefined) {
      record = { failedRequests: new Set(), closedMs: FIRST_CLOSED_MS };
      workers.set(worker, record);
    }
    return record;
  };
  const noteClass = ({ class: name, hasFailed }: EndedTask): void => {
    const counts = classes.get(name) ?? { ended: 0, failed: 0 };
    counts.ended += 1;
    counts.failed += hasFailed ? 1 : 0;
    if (counts.ended > CLASS_MEMORY) {
      counts.ended /= 2;
      counts.failed /= 2;
    }
    classes.set(name, counts);
  };
  /** Failures of the class on all workers but those that fail everything. */
  const failsElsewhere = (name: string, own: number): boolean => {
    const counts = classes.get(name);
    if (counts === undefined) return false;
    const ended = counts.ended - own;
    const failed = counts.failed - own;
    return ended > 0 && failed / ended > MAXIMUM_CLASS_FAILURES;
  };

  return {
    note: (task, now) => {
      noteClass(task);
      const record = recordOf(task.worker);
      const wasClosed = record.closedUntil !== undefined;
      if (!task.hasFailed) {
        record.failedRequests.clear();
        record.closedUntil = undefined;
        closed.delete(task.worker);
        record.closedMs = FIRST_CLOSED_MS;
        return wasClosed;
      }
      record.failedRequests.add(task.request);
      const failures = record.failedRequests.size;
      if (failures < FAILED_REQUESTS) return false;
      if (failsElsewhere(task.class, failures)) return false;
      record.closedUntil = now + record.closedMs;
      closed.add(task.worker);
      record.closedMs = Math.min(MAXIMUM_CLOSED_MS, record.closedMs * 2);
      return true;
    },
    isOpen: (worker, now) => (workers.get(worker)?.closedUntil ?? 0) <= now,
    probe: (worker, now) => {
      const record = workers.get(worker);
      if (record?.closedUntil === undefined) return;
      record.closedUntil = now + PROBE_MS;
    },
    members: () => closed,
    forget: (worker) => {
      workers.delete(worker);
      closed.delete(worker);
    },
  };
}
