import type { Milliseconds } from "@rattanhill/shared";
import type { ReportedEnd, RunEnd, TaskName } from "@rattanhill/scheduler";
import type { HoldAnswer, StartResult } from "../src/mod.ts";

interface ActiveRun {
  task: TaskName;
  number: number;
  startedAt: Milliseconds;
  durationMs: Milliseconds;
  isStopping: boolean;
}

// Longest lease and longest time of a stop.
const LONGEST_LEASE_MS: Milliseconds = 10_000;
const STOP_MS: Milliseconds = 400;

/** @returns a key that identifies a task */
export const keyOf = ({ job, occurrence, step, index }: TaskName): string =>
  `${job}.${occurrence}.${step}.${index}`;

/** A worker in simulated time; its tasks take as long as their payload says. */
export type ModelWorker = ReturnType<typeof createModelWorker>;

/**
 * Starts a worker.
 *
 * @param id its id
 * @param options its lifetime, the simulated time, and what is called when it
 * starts and ends a run, and when an end is acknowledged
 * @returns the worker
 */
export function createModelWorker(
  id: string,
  { lifetime, now, onStart, onEnd, onAcknowledged }: {
    lifetime: number;
    now(): Milliseconds;
    onStart(key: string): void;
    onEnd(key: string, end: RunEnd): void;
    onAcknowledged(key: string, end: RunEnd): void;
  },
) {
  const runs = new Map<string, ActiveRun>();
  const rejectedUpTo = new Map<string, number>();
  const waiters = new Set<() => void>();
  const bornAt = now();
  let ends: ReportedEnd[] = [];
  let position = 0;
  let token = 0;
  let leaseUntil = 0;
  let isDead = false;

  const clockNow = () => now() - bornAt;
  const endRun = (key: string, run: ActiveRun, end: RunEnd): void => {
    if (isDead || runs.get(key) !== run) return;
    runs.delete(key);
    rejectUpTo(key, run.number);
    position += 1;
    const { task, number } = run;
    ends.push({ position, task, number, end, checkpoint: "" });
    onEnd(key, end);
    for (const wake of waiters) wake();
    waiters.clear();
  };
  const rejectUpTo = (key: string, number: number): void => {
    rejectedUpTo.set(key, Math.max(number, rejectedUpTo.get(key) ?? 0));
  };
  const extendLease = (until: Milliseconds | undefined): void => {
    if (until === undefined) return;
    leaseUntil = Math.max(
      leaseUntil,
      Math.min(until, clockNow() + LONGEST_LEASE_MS),
    );
  };
  const leaseTimer = setInterval(() => {
    if (clockNow() < leaseUntil) return;
    for (const [key, run] of runs) endRun(key, run, "lapsed");
  }, 100);

  return {
    id,
    lifetime,
    runs,
    isDead: () => isDead,
    crash: () => {
      isDead = true;
      clearInterval(leaseTimer);
      runs.clear();
      for (const wake of waiters) wake();
    },
    hold: async (
      { term, leaseUntil: until, acknowledgedEnd, waitMs }: {
        term: number;
        leaseUntil?: Milliseconds;
        acknowledgedEnd: number;
        waitMs: Milliseconds;
      },
    ): Promise<HoldAnswer | "fenced"> => {
      if (term < token) return "fenced";
      token = term;
      extendLease(until);
      for (const { position, task, end } of ends) {
        if (position <= acknowledgedEnd) onAcknowledged(keyOf(task), end);
      }
      ends = ends.filter((end) => end.position > acknowledgedEnd);
      if (ends.length === 0 && waitMs > 0) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, waitMs);
          waiters.add(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      return {
        clock: clockNow(),
        lifetime,
        running: [...runs.values()].map(
          ({ task, number, startedAt, durationMs }) => ({
            task,
            number,
            checkpoint: "",
            percent: Math.min(
              99,
              Math.floor(100 * (now() - startedAt) / durationMs),
            ),
          }),
        ),
        ended: [...ends],
      };
    },
    start: (
      { term, task, number, leaseUntil: until, durationMs }: {
        term: number;
        task: TaskName;
        number: number;
        leaseUntil: Milliseconds;
        durationMs: Milliseconds;
      },
    ): StartResult => {
      const key = keyOf(task);
      if (term < token) return { kind: "refused", reason: "fenced" };
      token = term;
      extendLease(until);
      if (runs.get(key)?.number === number) {
        return { kind: "started", clock: clockNow() };
      }
      if ((rejectedUpTo.get(key) ?? 0) >= number) {
        return { kind: "refused", reason: "superseded" };
      }
      if (until <= clockNow()) return { kind: "refused", reason: "late" };
      const run = {
        task,
        number,
        startedAt: now(),
        durationMs,
        isStopping: false,
      };
      runs.set(key, run);
      onStart(key);
      setTimeout(() => {
        if (!run.isStopping) endRun(key, run, "done");
      }, durationMs);
      return { kind: "started", clock: clockNow() };
    },
    stop: (term: number, task: TaskName, number: number): boolean => {
      if (term < token) return false;
      token = term;
      const key = keyOf(task);
      rejectUpTo(key, number);
      const run = runs.get(key);
      if (run?.number === number && !run.isStopping) {
        run.isStopping = true;
        setTimeout(() => endRun(key, run, "stopped"), STOP_MS);
      }
      return true;
    },
  };
}
