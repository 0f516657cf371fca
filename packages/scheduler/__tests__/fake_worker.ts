import type { ReportedEnd, ReportedRun, RunEnd, TaskName } from "../src/mod.ts";

interface WorkerRun {
  task: TaskName;
  number: number;
  checkpoint: string;
  percent: number;
}

/** A worker as the platform describes it, without a network. */
export interface FakeWorker {
  readonly id: string;
  lifetime: number;
  running: Map<string, WorkerRun>;
  ends: ReportedEnd[];
  /** Numbers of runs that were started, by task, in this lifetime. */
  started: { task: string; number: number; checkpoint: string }[];
  start(
    token: number,
    run: WorkerRun,
    leaseUntil: number,
    now: number,
  ): "started" | "fenced" | "superseded" | "late";
  stop(token: number, task: TaskName, number: number): boolean;
  /** @returns undefined when the token is too low */
  hold(
    token: number,
    acknowledged: number,
    leaseUntil: number,
    now: number,
  ): { running: ReportedRun[]; ended: ReportedEnd[] } | undefined;
  /** Ends a run by itself. */
  end(task: TaskName, how: RunEnd, checkpoint?: string): void;
  /** Ends everything whose lease has run out. */
  expire(now: number): void;
  /** Starts a new life that knows nothing. */
  crash(): void;
}

/** Longest lease that a worker grants. */
export const LONGEST_LEASE_MS = 10_000;

/** @returns the name of a task as text */
export function nameOf({ job, occurrence, step, index }: TaskName): string {
  return `${job}.${occurrence}.${step}.${index}`;
}

/** @returns a worker on which nothing runs */
export function createFakeWorker(id: string): FakeWorker {
  let token = 0;
  let leaseUntil = 0;
  let position = 0;
  let barred = new Map<string, number>();

  const extend = (until: number, now: number): void => {
    leaseUntil = Math.max(leaseUntil, Math.min(until, now + LONGEST_LEASE_MS));
  };
  const finish = (run: WorkerRun, end: RunEnd, checkpoint = ""): void => {
    const { task, number } = run;
    worker.running.delete(nameOf(task));
    bar(nameOf(task), number);
    position += 1;
    worker.ends.push({ position, task, number, end, checkpoint });
  };
  const bar = (name: string, number: number): void => {
    barred.set(name, Math.max(number, barred.get(name) ?? 0));
  };

  const worker: FakeWorker = {
    id,
    lifetime: 1,
    running: new Map(),
    ends: [],
    started: [],
    start: (caller, run, until, now) => {
      if (caller < token) return "fenced";
      token = caller;
      const name = nameOf(run.task);
      if (worker.running.get(name)?.number === run.number) return "started";
      extend(until, now);
      if ((barred.get(name) ?? 0) >= run.number) return "superseded";
      if (until <= now) return "late";
      worker.running.set(name, { ...run });
      const { number, checkpoint } = run;
      worker.started.push({ task: name, number, checkpoint });
      return "started";
    },
    stop: (caller, task, number) => {
      if (caller < token) return false;
      token = caller;
      const run = worker.running.get(nameOf(task));
      bar(nameOf(task), number);
      if (run?.number === number) finish(run, "stopped", run.checkpoint);
      return true;
    },
    hold: (caller, acknowledged, until, now) => {
      if (caller < token) return undefined;
      token = caller;
      extend(until, now);
      worker.ends = worker.ends.filter((end) => end.position > acknowledged);
      return {
        running: [...worker.running.values()].map((run) => ({ ...run })),
        ended: [...worker.ends],
      };
    },
    end: (task, how, checkpoint) => {
      const run = worker.running.get(nameOf(task));
      if (run !== undefined) finish(run, how, checkpoint);
    },
    expire: (now) => {
      if (now < leaseUntil) return;
      for (const run of [...worker.running.values()]) finish(run, "lapsed");
    },
    crash: () => {
      worker.lifetime += 1;
      worker.running = new Map();
      worker.ends = [];
      barred = new Map();
      token = 0;
      position = 0;
      leaseUntil = 0;
    },
  };
  return worker;
}
