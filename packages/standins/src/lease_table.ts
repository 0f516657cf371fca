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

/** What the task's program does, as far as the stand-in needs to know. */
export interface TaskPlan {
  runMs: Milliseconds;
  /** Text of the failure; the task succeeds when absent. */
  failure?: string;
}

/** Events of the worker's journal. */
export type JournalEvent = "started" | "ended" | "stopped";

/** Options of {@link createLeaseTable}. */
export interface LeaseTableOptions {
  worker: string;
  address: string;
  zone: string;
  rack: string;
  boot: string;
  accelerators: number;
  /** Time for which ended leases and their answers are kept. */
  endedRetentionMs: Milliseconds;
  /** Writes to the worker's journal. */
  journal(event: JournalEvent, lease: LeaseDescriptor, reason: string): void;
  /** Reads the run time out of a payload. */
  plan(payload: string, lease: LeaseDescriptor): TaskPlan;
  /** Called after every change, with the owner whose lease ended, if one did. */
  changed(): void;
}

/** One lease of the table. */
export interface LeaseRow {
  descriptor: LeaseDescriptor;
  state: LeaseState;
  /** End of the hold, or of the renewal of a running task. */
  expiresAt: Milliseconds;
  /** Absent until the task starts. */
  startedAt?: Milliseconds;
  endsAt: Milliseconds;
  checkpointAt: Milliseconds;
  endedAt: Milliseconds;
  /** Sequence of the change that ended it. */
  endedSequence: number;
  payload?: string;
  /** Progress with which the task started. */
  progressMs: Milliseconds;
  failure?: string;
}

/** What comes with a start. */
export interface DeliveredTask {
  payload?: string;
  /** Progress from which the task goes on, in milliseconds. */
  progressMs?: Milliseconds;
}

/** Result of an operation: an HTTP status and the answer. */
export interface LeaseReply {
  status: number;
  answer: LeaseResponse;
}

/** Leases of one worker, on the worker's own clock. */
export interface LeaseTable {
  hold(
    descriptor: LeaseDescriptor,
    ttlMs: Milliseconds,
    now: Milliseconds,
  ): LeaseReply;
  prepare(lease: string, task: DeliveredTask, now: Milliseconds): LeaseReply;
  run(lease: string, task: DeliveredTask, now: Milliseconds): LeaseReply;
  stop(lease: string, now: Milliseconds): LeaseReply;
  inspect(lease: string, now: Milliseconds): LeaseReply;
  checkpoint(lease: string, now: Milliseconds): LeaseReply;
  changeOwner(lease: string, from: string, to: string): LeaseReply;
  renew(
    leases: readonly string[],
    owner: string,
    ttlMs: Milliseconds,
    now: Milliseconds,
  ): void;
  /** Ends tasks that are done and leases that lapsed. */
  tick(now: Milliseconds): void;
  /** @returns the time of the next lapse or end, or `undefined` */
  nextDue(): Milliseconds | undefined;
  setLeaving(leaving: boolean): void;
  setBlackHole(isBlackHole: boolean): void;
  report(now: Milliseconds): WorkerReport;
  /** @returns leases that ended after the given change */
  endedSince(sequence: number, owner: string | undefined): EndedLease[];
  find(lease: string): LeaseRow | undefined;
  /** @returns whether something runs or is held */
  isBusy(): boolean;
}

const RUNNING_TTL_MS: Milliseconds = 8_000; // until the first renewal
const MAXIMUM_RUN_MS: Milliseconds = 24 * 3_600_000;

/**
 * Creates the lease table of a worker. Guards are on: a hold that does not fit is refused.
 *
 * @param options the worker and its host operations
 * @returns the table
 */
export function createLeaseTable(options: LeaseTableOptions): LeaseTable {
  const live = new Map<string, LeaseRow>();
  const ended = new Map<string, LeaseRow>();
  let sequence = 0;
  let leaving = false;
  let isBlackHole = false;

  const answer = (state?: LeaseState, row?: LeaseRow): LeaseResponse => ({
    boot: options.boot,
    sequence,
    state,
    failure: row?.failure,
    checkpoint: row && checkpointOf(row),
    owner: row?.descriptor.owner,
  });
  const accept = (row: LeaseRow, status = 200): LeaseReply => ({
    status,
    answer: answer(row.state, row),
  });
  const refuse = (reason: string, row?: LeaseRow): LeaseReply => ({
    status: 409,
    answer: { ...answer(row?.state, row), reason },
  });
  const unknown = (): LeaseReply => ({
    status: 404,
    answer: { ...answer(), reason: WorkerRefusal.unknownLease },
  });
  const find = (lease: string) => live.get(lease) ?? ended.get(lease);
  const used = () => {
    let total = 0;
    for (const { descriptor } of live.values()) {
      total += descriptor.accelerators;
    }
    return total;
  };
  const changed = () => {
    sequence += 1;
    options.changed();
  };
  const finish = (row: LeaseRow, state: LeaseState, now: Milliseconds) => {
    row.state = state;
    row.endedAt = now;
    live.delete(row.descriptor.lease);
    ended.set(row.descriptor.lease, row);
    row.endedSequence = sequence + 1;
    changed();
  };
  const endTask = (row: LeaseRow, now: Milliseconds) => {
    const state = row.failure === undefined
      ? LeaseState.ended
      : LeaseState.failed;
    options.journal("ended", row.descriptor, state);
    finish(row, state, now);
  };
  const stopTask = (row: LeaseRow, reason: string, now: Milliseconds) => {
    if (row.state === LeaseState.running) {
      options.journal("stopped", row.descriptor, reason);
      finish(row, LeaseState.stopped, now);
    } else finish(row, LeaseState.released, now);
  };
  const tickRow = (row: LeaseRow, now: Milliseconds) => {
    const isRunning = row.state === LeaseState.running;
    // A frozen worker may find both times past; the earlier one counts.
    if (isRunning && row.endsAt <= now && row.endsAt <= row.expiresAt) {
      endTask(row, now);
    } else if (row.expiresAt <= now) stopTask(row, "lapsed", now);
  };
  const tick = (now: Milliseconds) => {
    for (const row of [...live.values()]) tickRow(row, now);
    for (const [lease, row] of ended) {
      if (row.endedAt + options.endedRetentionMs > now) break;
      ended.delete(lease);
    }
  };
  const start = (row: LeaseRow, now: Milliseconds) => {
    const plan = isBlackHole
      ? { runMs: 1, failure: "worker fails every task" }
      : options.plan(row.payload ?? "", row.descriptor);
    row.state = LeaseState.running;
    row.failure = plan.failure;
    row.startedAt = now;
    row.checkpointAt = now;
    const leftMs = Math.max(1, plan.runMs - row.progressMs);
    row.endsAt = now + Math.min(MAXIMUM_RUN_MS, leftMs);
    row.expiresAt = now + RUNNING_TTL_MS;
    options.journal("started", row.descriptor, "");
    changed();
  };

  return {
    hold: (descriptor, ttlMs, now) => {
      tick(now);
      const known = find(descriptor.lease);
      if (known !== undefined) {
        return known.state === LeaseState.held
          ? accept(known, 201)
          : refuse(WorkerRefusal.lapsed, known);
      }
      if (leaving) return refuse(WorkerRefusal.leaving);
      if (used() + descriptor.accelerators > options.accelerators) {
        return refuse(WorkerRefusal.full);
      }
      const row = heldRow(descriptor, now + ttlMs);
      live.set(descriptor.lease, row);
      changed();
      return accept(row, 201);
    },
    prepare: (lease, { payload, progressMs }, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknown();
      if (row.state === LeaseState.held) {
        row.payload = payload;
        row.progressMs = progressMs ?? 0;
        row.state = LeaseState.ready;
        changed();
      }
      const isOver = row.state === LeaseState.released ||
        row.state === LeaseState.stopped;
      return isOver ? refuse(WorkerRefusal.lapsed, row) : accept(row);
    },
    run: (lease, { payload, progressMs }, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknown();
      if (row.state === LeaseState.held || row.state === LeaseState.ready) {
        row.payload ??= payload;
        row.progressMs = progressMs ?? row.progressMs;
        start(row, now);
      }
      return row.state === LeaseState.released
        ? refuse(WorkerRefusal.lapsed, row)
        : accept(row);
    },
    stop: (lease, now) => {
      tick(now);
      const row = find(lease);
      if (row === undefined) return unknown();
      if (live.has(lease)) stopTask(row, "stopped", now);
      return accept(row);
    },
    inspect: (lease, now) => {
      tick(now);
      const row = find(lease);
      return row === undefined ? unknown() : accept(row);
    },
    checkpoint: (lease, now) => {
      const row = live.get(lease);
      if (row === undefined) return unknown();
      row.checkpointAt = now;
      return accept(row);
    },
    changeOwner: (lease, from, to) => {
      const row = find(lease);
      if (row === undefined) return unknown();
      const { owner } = row.descriptor;
      if (owner !== from && owner !== to) {
        return refuse(WorkerRefusal.notOwner, row);
      }
      row.descriptor = { ...row.descriptor, owner: to };
      changed();
      return accept(row);
    },
    renew: (leases, owner, ttlMs, now) => {
      tick(now);
      for (const lease of leases) {
        const row = live.get(lease);
        if (row?.state !== LeaseState.running) continue;
        if (row.descriptor.owner !== owner) continue;
        row.expiresAt = now + ttlMs;
      }
    },
    tick,
    nextDue: () => {
      let due: Milliseconds | undefined;
      for (const row of live.values()) {
        const rowDue = row.state === LeaseState.running
          ? Math.min(row.endsAt, row.expiresAt)
          : row.expiresAt;
        due = Math.min(due ?? Infinity, rowDue);
      }
      return due;
    },
    setLeaving: (next) => {
      leaving = next;
      changed();
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
      leases: [...live.values()].map((row) => ({
        ...row.descriptor,
        state: row.state,
        runningMs: runningTime(row, now),
        sinceCheckpointMs: row.startedAt === undefined
          ? 0
          : now - row.checkpointAt,
      })),
    }),
    endedSince: (since, owner) =>
      [...ended.values()]
        .filter((row) => row.endedSequence > since)
        .filter(({ descriptor }) =>
          owner === undefined || descriptor.owner === owner
        )
        .map((row) => ({
          ...row.descriptor,
          state: row.state,
          runningMs: runningTime(row, row.endedAt),
          failure: row.failure,
          checkpoint: checkpointOf(row),
        })),
    find,
    isBusy: () => live.size > 0,
  };
}

function heldRow(
  descriptor: LeaseDescriptor,
  expiresAt: Milliseconds,
): LeaseRow {
  return {
    descriptor,
    state: LeaseState.held,
    expiresAt,
    endsAt: 0,
    checkpointAt: 0,
    endedAt: 0,
    endedSequence: 0,
    progressMs: 0,
  };
}

/** Progress at the newest checkpoint; a task that never saved any gives what it started with. */
function checkpointOf(row: LeaseRow): string | undefined {
  if (row.startedAt === undefined) return undefined;
  return String(row.progressMs + row.checkpointAt - row.startedAt);
}

function runningTime(row: LeaseRow, now: Milliseconds): Milliseconds {
  return row.startedAt === undefined ? 0 : now - row.startedAt;
}
