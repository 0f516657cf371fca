import type {
  ReportedEnd,
  ReportedRun,
  RunEnd,
  TaskName,
  WorkerEntry,
} from "../src/mod.ts";

/** A run on a fake worker. */
interface WorkerRun {
  task: TaskName;
  number: number;
  checkpoint: string;
  percent: number;
}

/**
 * Worker in memory that follows the protocol between leads and workers, without
 * a network.
 */
export interface FakeWorker {
  readonly id: string;
  lifetime: number;
  /** Current runs by task key. */
  running: Map<string, WorkerRun>;
  /** Run ends that were not acknowledged yet. */
  ends: ReportedEnd[];
  /** Every run that was started on this worker, in order. */
  started: { task: string; number: number; checkpoint: string }[];
  /**
   * Starts a run unless the token or the run number is outdated or the lease
   * has expired.
   */
  start(
    token: number,
    run: WorkerRun,
    leaseUntil: number,
    now: number,
  ): "started" | "fenced" | "superseded" | "late";
  /**
   * Stops a run and rejects later starts up to its number.
   *
   * @returns false when the token is too low
   */
  stop(token: number, task: TaskName, number: number): boolean;
  /**
   * Extends the lease and drops acknowledged ends.
   *
   * @param acknowledged position up to which run ends are acknowledged
   * @returns running and ended runs; undefined when the token is too low
   */
  hold(
    token: number,
    acknowledged: number,
    leaseUntil: number,
    now: number,
  ): { running: ReportedRun[]; ended: ReportedEnd[] } | undefined;
  /** Ends a run without a stop command. */
  end(task: TaskName, runEnd: RunEnd, checkpoint?: string): void;
  /**
   * Ends all runs if the lease has expired.
   *
   * @returns whether it has
   */
  expire(now: number): boolean;
  /** Restarts with a higher lifetime and without runs, ends and token. */
  crash(): void;
}

/** Longest lease of a worker; longer requested leases are shortened to it. */
export const MAXIMUM_LEASE_MS = 10_000;

/** @returns a key that identifies a task */
export function taskKeyOf({ job, occurrence, step, index }: TaskName): string {
  return `${job}.${occurrence}.${step}.${index}`;
}

/** @returns a worker without runs, in its first lifetime */
export function createFakeWorker(id: string): FakeWorker {
  let token = 0;
  let leaseUntil = 0;
  let position = 0;
  let rejectedUpTo = new Map<string, number>();

  const extendLease = (until: number, now: number): void => {
    leaseUntil = Math.max(leaseUntil, Math.min(until, now + MAXIMUM_LEASE_MS));
  };
  const endRun = (run: WorkerRun, end: RunEnd, checkpoint = ""): void => {
    const { task, number } = run;
    worker.running.delete(taskKeyOf(task));
    rejectRunsUpTo(taskKeyOf(task), number);
    position += 1;
    worker.ends.push({ position, task, number, end, checkpoint });
  };
  const rejectRunsUpTo = (taskKey: string, number: number): void => {
    rejectedUpTo.set(
      taskKey,
      Math.max(number, rejectedUpTo.get(taskKey) ?? 0),
    );
  };

  const worker: FakeWorker = {
    id,
    lifetime: 1,
    running: new Map(),
    ends: [],
    started: [],
    start: (callerToken, run, until, now) => {
      if (callerToken < token) return "fenced";
      token = callerToken;
      const taskKey = taskKeyOf(run.task);
      if (worker.running.get(taskKey)?.number === run.number) return "started";
      extendLease(until, now);
      if ((rejectedUpTo.get(taskKey) ?? 0) >= run.number) return "superseded";
      if (until <= now) return "late";
      worker.running.set(taskKey, { ...run });
      const { number, checkpoint } = run;
      worker.started.push({ task: taskKey, number, checkpoint });
      return "started";
    },
    stop: (callerToken, task, number) => {
      if (callerToken < token) return false;
      token = callerToken;
      const run = worker.running.get(taskKeyOf(task));
      rejectRunsUpTo(taskKeyOf(task), number);
      if (run?.number === number) endRun(run, "stopped", run.checkpoint);
      return true;
    },
    hold: (callerToken, acknowledged, until, now) => {
      if (callerToken < token) return undefined;
      token = callerToken;
      extendLease(until, now);
      worker.ends = worker.ends.filter((end) => end.position > acknowledged);
      return {
        running: [...worker.running.values()].map((run) => ({ ...run })),
        ended: [...worker.ends],
      };
    },
    end: (task, runEnd, checkpoint) => {
      const run = worker.running.get(taskKeyOf(task));
      if (run !== undefined) endRun(run, runEnd, checkpoint);
    },
    expire: (now) => {
      if (now < leaseUntil) return false;
      for (const run of [...worker.running.values()]) endRun(run, "lapsed");
      return true;
    },
    crash: () => {
      worker.lifetime += 1;
      worker.running = new Map();
      worker.ends = [];
      rejectedUpTo = new Map();
      token = 0;
      position = 0;
      leaseUntil = 0;
    },
  };
  return worker;
}

/** @returns an id for the next worker on the VM of a worker */
export function successorIdOf(id: string): string {
  return `${id}+`;
}

/** @returns the entry of a worker in the platform's list */
export function entryOf({ id, lifetime }: FakeWorker): WorkerEntry {
  return {
    id,
    lifetime,
    vm: id.replaceAll("+", ""),
    service: "planner",
    address: id,
    zone: "z",
    labels: ["a", "r"],
    rack: "r",
    capacity: { milliCores: 4_000, memoryMegabytes: 4_000, accelerators: 4 },
    isDraining: false,
    remainingMs: 0,
  };
}
