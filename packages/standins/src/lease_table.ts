import type { Milliseconds } from "@rattanhill/shared";
import {
  type LeaseDescriptor,
  LeaseState,
  type WorkerReport,
} from "@rattanhill/core";
import {
  type EndedLease,
  type LeaseResponse,
  WorkerRefusal,
} from "@rattanhill/protocol";
import {
  checkpointOf,
  continueRow,
  createHeldRow,
  dueAtOf,
  type LeaseRow,
  pauseRow,
  runningMsOf,
} from "./lease_row.ts";

/** Simulated behaviour of a task's program. */
export interface TaskPlan {
  runMs: Milliseconds;
  /** Failure text that the task reports; the task succeeds when absent. */
  failure?: string;
}

/** Event of a task that a worker writes to its journal. */
export type JournalEvent = "started" | "ended" | "stopped";

/** Options of {@link createLeaseTable}. */
export interface LeaseTableOptions {
  worker: string;
  address: string;
  zone: string;
  rack: string;
  /** Identifier of the worker's process, new after every restart. */
  boot: string;
  /** Capacity in accelerators. */
  accelerators: number;
  /** Time for which ended leases and the answers of their tasks are kept. */
  endedRetentionMs: Milliseconds;
  /** Appends an event of a task to the worker's journal. */
  appendToJournal(
    event: JournalEvent,
    lease: LeaseDescriptor,
    reason: string,
  ): void;
  /** Parses run time and result of a task from its payload. */
  parsePlan(payload: string, lease: LeaseDescriptor): TaskPlan;
  /** Called after every change of the table. */
  onChange(): void;
}

/** Content of a call that prepares or starts a task. */
export interface DeliveredTask {
  payload?: string;
  /** Progress from which the task resumes. */
  progressMs?: Milliseconds;
}

/** Result of an operation on a lease. */
export interface LeaseResult {
  /** HTTP status. */
  status: number;
  /** Body of the HTTP response. */
  answer: LeaseResponse;
}

/**
 * Leases of one worker. Every `now` is a reading of the worker's own monotonic
 * clock, so that leases expire even when no other process can be reached.
 */
export interface LeaseTable {
  /** Reserves accelerators for a lease until `ttlMs` have passed. */
  hold(
    descriptor: LeaseDescriptor,
    ttlMs: Milliseconds,
    now: Milliseconds,
  ): LeaseResult;
  /** Stores the payload of a held lease; does not extend the hold. */
  prepare(lease: string, task: DeliveredTask, now: Milliseconds): LeaseResult;
  /** Starts the task of a held or prepared lease; idempotent. */
  run(lease: string, task: DeliveredTask, now: Milliseconds): LeaseResult;
  /** Stops a running task or releases a hold; idempotent. */
  stop(lease: string, now: Milliseconds): LeaseResult;
  inspect(lease: string, now: Milliseconds): LeaseResult;
  /** Records a checkpoint of a running task. */
  checkpoint(lease: string, now: Milliseconds): LeaseResult;
  /**
   * Records a checkpoint of a running task, and pauses it until it is stopped
   * or continued or `ttlMs` have passed; no effect on other leases. A paused
   * task does not end by itself.
   */
  pause(lease: string, ttlMs: Milliseconds, now: Milliseconds): LeaseResult;
  /** Continues a paused task; no effect on other leases. */
  continue(lease: string, now: Milliseconds): LeaseResult;
  /** Transfers a lease to another owner if it still belongs to `from`. */
  changeOwner(lease: string, from: string, to: string): LeaseResult;
  /** Renews those of the given leases that run a task and belong to `owner`. */
  renew(
    leases: readonly string[],
    owner: string,
    ttlMs: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Ends finished tasks and expired leases, and drops old ended leases. */
  tick(now: Milliseconds): void;
  /**
   * @returns the time of the next expiry or end of a task; `undefined` when
   *   nothing is held or runs
   */
  nextDueAt(): Milliseconds | undefined;
  /** Refuses new holds while set. */
  setLeaving(leaving: boolean): void;
  /** Makes every task fail 1 ms after its start while set. */
  setBlackHole(isBlackHole: boolean): void;
  report(now: Milliseconds): WorkerReport;
  /**
   * @returns leases that ended after the change with the given sequence number;
   *   only those of `owner` unless it is `undefined`
   */
  endedSince(sequence: number, owner: string | undefined): EndedLease[];
  find(lease: string): LeaseRow | undefined;
  /** @returns whether any task runs or any lease is held */
  isBusy(): boolean;
}

// Time to live of a running task's lease until its first renewal.
const INITIAL_RUN_TTL_MS: Milliseconds = 8_000;
// Limit of a task's run time, also when its payload requests more.
const MAXIMUM_RUN_MS: Milliseconds = 24 * 3_600_000;

/**
 * Creates the lease table of a worker. Capacity is enforced as on a real
 * worker: a hold that exceeds the free accelerators is refused.
 *
 * @param options description of the worker, and its callbacks
 * @returns an empty table
 */
export function createLeaseTable(options: LeaseTableOptions): LeaseTable {
  const liveRows = new Map<string, LeaseRow>();
  const endedRows = new Map<string, LeaseRow>();
  let sequence = 0;
  let leaving = false;
  let isBlackHole = false;

  const composeResponse = (
    state?: LeaseState,
    row?: LeaseRow,
  ): LeaseResponse => ({
    boot: options.boot,
    sequence,
    state,
    failure: row?.failure,
    checkpoint: row && checkpointOf(row),
    owner: row?.descriptor.owner,
  });
  const acceptedResult = (row: LeaseRow, status = 200): LeaseResult => ({
    status,
    answer: composeResponse(row.state, row),
  });
  const refusedResult = (reason: string, row?: LeaseRow): LeaseResult => ({
    status: 409,
    answer: { ...composeResponse(row?.state, row), reason },
  });
  const unknownLeaseResult = (): LeaseResult => ({
    status: 404,
    answer: { ...composeResponse(), reason: WorkerRefusal.unknownLease },
  });
  const find = (lease: string) => liveRows.get(lease) ?? endedRows.get(lease);
  const countUsedAccelerators = () => {
    let total = 0;
    for (const { descriptor } of liveRows.values()) {
      total += descriptor.accelerators;
    }
    return total;
  };
  const recordChange = () => {
    sequence += 1;
    options.onChange();
  };
  const endLease = (row: LeaseRow, state: LeaseState, now: Milliseconds) => {
    row.state = state;
    row.endedAt = now;
    liveRows.delete(row.descriptor.lease);
    endedRows.set(row.descriptor.lease, row);
    row.endedSequence = sequence + 1;
    recordChange();
  };
  const endTask = (row: LeaseRow, now: Milliseconds) => {
    const state = row.failure === undefined
      ? LeaseState.ended
      : LeaseState.failed;
    options.appendToJournal("ended", row.descriptor, state);
    endLease(row, state, now);
  };
  const stopOrRelease = (row: LeaseRow, reason: string, now: Milliseconds) => {
    if (row.state === LeaseState.running) {
      options.appendToJournal("stopped", row.descriptor, reason);
      endLease(row, LeaseState.stopped, now);
    } else endLease(row, LeaseState.released, now);
  };
  const tickRow = (row: LeaseRow, now: Milliseconds) => {
    if (row.pause !== undefined && row.pause.until <= now) {
      continueRow(row, now);
    }
    const isRunning = row.state === LeaseState.running &&
      row.pause === undefined;
    // Both times may have passed while the process was frozen. The earlier one
    // decides how the lease ends.
    if (isRunning && row.endsAt <= now && row.endsAt <= row.expiresAt) {
      endTask(row, now);
    } else if (row.expiresAt <= now) stopOrRelease(row, "lapsed", now);
  };
  const tick = (now: Milliseconds) => {
    for (const row of [...liveRows.values()]) tickRow(row, now);
    for (const [lease, row] of endedRows) {
      if (row.endedAt + options.endedRetentionMs > now) break;
      endedRows.delete(lease);
    }
  };
  const startTask = (row: LeaseRow, now: Milliseconds) => {
    const plan = isBlackHole
      ? { runMs: 1, failure: "worker fails every task" }
      : options.parsePlan(row.payload ?? "", row.descriptor);
    row.state = LeaseState.running;
    row.failure = plan.failure;
    row.startedAt = now;
    row.checkpointAt = now;
    const remainingMs = Math.max(1, plan.runMs - row.progressMs);
    row.endsAt = now + Math.min(MAXIMUM_RUN_MS, remainingMs);
    row.expiresAt = now + INITIAL_RUN_TTL_MS;
    options.appendToJournal("started", row.descriptor, "");
    recordChange();
  };

  return {
    hold: (descriptor, ttlMs, now) => {
      tick(now);
      const existing = find(descriptor.lease);
      if (existing !== undefined) {
        return existing.state === LeaseState.held
          ? acceptedResult(existing, 201)
          : refusedResult(WorkerRefusal.lapsed, existing);
      }
      if (leaving) return refusedResult(WorkerRefusal.leaving);
      if (
        countUsedAccelerators() + descriptor.accelerators > options.accelerators
      ) {
        return refusedResult(WorkerRefusal.full);
      }
      const row = createHeldRow(descriptor, now + ttlMs);
      liveRows.set(descriptor.lease, row);
      recordChange();
      return acceptedResult(row, 201);
    },
    prepare: (lease, { payload, progressMs }, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknownLeaseResult();
      if (row.state === LeaseState.held) {
        row.payload = payload;
        row.progressMs = progressMs ?? 0;
        row.state = LeaseState.ready;
        recordChange();
      }
      const isOver = row.state === LeaseState.released ||
        row.state === LeaseState.stopped;
      return isOver
        ? refusedResult(WorkerRefusal.lapsed, row)
        : acceptedResult(row);
    },
    run: (lease, { payload, progressMs }, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknownLeaseResult();
      if (row.state === LeaseState.held || row.state === LeaseState.ready) {
        row.payload ??= payload;
        row.progressMs = progressMs ?? row.progressMs;
        startTask(row, now);
      }
      // A refusal means that the task did not run, so the state of a task that
      // ran and was stopped is returned as accepted.
      return row.state === LeaseState.released
        ? refusedResult(WorkerRefusal.lapsed, row)
        : acceptedResult(row);
    },
    stop: (lease, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknownLeaseResult();
      if (liveRows.has(lease)) stopOrRelease(row, "stopped", now);
      return acceptedResult(row);
    },
    inspect: (lease, now) => {
      tick(now);
      const row = find(lease);
      return row === undefined ? unknownLeaseResult() : acceptedResult(row);
    },
    checkpoint: (lease, now) => {
      const row = liveRows.get(lease);
      if (row === undefined) return unknownLeaseResult();
      row.checkpointAt = row.pause?.since ?? now;
      return acceptedResult(row);
    },
    pause: (lease, ttlMs, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknownLeaseResult();
      if (row.state === LeaseState.running) {
        if (row.pause === undefined) row.checkpointAt = now;
        pauseRow(row, now + ttlMs, now);
        options.onChange();
      }
      return acceptedResult(row);
    },
    continue: (lease, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknownLeaseResult();
      if (row.state === LeaseState.running) {
        continueRow(row, now);
        options.onChange();
      }
      return acceptedResult(row);
    },
    changeOwner: (lease, from, to) => {
      const row = find(lease);
      if (row === undefined) return unknownLeaseResult();
      const { owner } = row.descriptor;
      if (owner !== from && owner !== to) {
        return refusedResult(WorkerRefusal.notOwner, row);
      }
      row.descriptor = { ...row.descriptor, owner: to };
      recordChange();
      return acceptedResult(row);
    },
    renew: (leases, owner, ttlMs, now) => {
      tick(now);
      for (const lease of leases) {
        const row = liveRows.get(lease);
        if (row?.state !== LeaseState.running) continue;
        if (row.descriptor.owner !== owner) continue;
        row.expiresAt = now + ttlMs;
      }
    },
    tick,
    nextDueAt: () => {
      let dueAt: Milliseconds | undefined;
      for (const row of liveRows.values()) {
        dueAt = Math.min(dueAt ?? Infinity, dueAtOf(row));
      }
      return dueAt;
    },
    setLeaving: (next) => {
      leaving = next;
      recordChange();
    },
    setBlackHole: (next) => isBlackHole = next,
    report: (now) => ({
      worker: options.worker,
      address: options.address,
      zone: options.zone,
      rack: options.rack,
      boot: options.boot,
      leaving,
      accelerators: options.accelerators,
      sequence,
      leases: [...liveRows.values()].map((row) => ({
        ...row.descriptor,
        state: row.state,
        runningMs: runningMsOf(row, now),
        sinceCheckpointMs: row.startedAt === undefined
          ? 0
          : now - row.checkpointAt,
      })),
    }),
    endedSince: (since, owner) =>
      [...endedRows.values()]
        .filter((row) => row.endedSequence > since)
        .filter(({ descriptor }) =>
          owner === undefined || descriptor.owner === owner
        )
        .map((row) => ({
          ...row.descriptor,
          state: row.state,
          runningMs: runningMsOf(row, row.endedAt),
          failure: row.failure,
          checkpoint: checkpointOf(row),
        })),
    find,
    isBusy: () => liveRows.size > 0,
  };
}
