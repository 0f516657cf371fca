import { type Milliseconds, pause } from "@rattanhill/shared";
import type { ReportedEnd, ReportedRun, RunEnd } from "@rattanhill/scheduler";
import type { StartResult, WorkerConnection } from "../src/mod.ts";
import { unanswered } from "./lead_fixture.ts";

type StartCall = Parameters<WorkerConnection["start"]>[0];

/** A worker that restarts under its id and address. */
export type RestartableWorker = ReturnType<typeof createRestartableWorker>;

/**
 * Creates a worker without runs. A test decides which start commands are held
 * back, and when they are carried out, by whichever lifetime is then running.
 *
 * @returns its connection, its state and functions to operate it
 */
export function createRestartableWorker() {
  const polls: Parameters<WorkerConnection["hold"]>[0][] = [];
  const startedRuns: ReportedRun[] = [];
  const heldStarts: StartCall[] = [];
  const wakers = new Set<() => void>();
  let bornAt = performance.now();
  let lifetime = 1;
  let isDown = false;
  let holdsStarts = false;
  let token = 0;
  let position = 0;
  let running: ReportedRun[] = [];
  let ends: ReportedEnd[] = [];
  let rejected: ReportedRun[] = [];

  const wake = (): void => {
    for (const waker of wakers) waker();
    wakers.clear();
  };
  const isFenced = (term: number): boolean => {
    if (term < token) return true;
    token = term;
    return false;
  };
  const isSameRun = (
    { task, number }: Pick<ReportedRun, "task" | "number">,
    other: Pick<ReportedRun, "task" | "number">,
  ): boolean =>
    JSON.stringify([task, number]) ===
      JSON.stringify([other.task, other.number]);
  const endRun = (run: ReportedRun, end: RunEnd): void => {
    running = running.filter((other) => other !== run);
    rejected.push(run);
    position += 1;
    const { task, number } = run;
    ends.push({ position, task, number, end, checkpoint: "" });
    wake();
  };
  const carryOut = ({ term, task, number }: StartCall): StartResult => {
    const clock = performance.now() - bornAt;
    if (isFenced(term)) return { kind: "refused", reason: "fenced", clock };
    const run = { task, number, checkpoint: "", percent: 0 };
    if (rejected.some((other) => isSameRun(run, other))) {
      return { kind: "refused", reason: "superseded", clock };
    }
    if (!running.some((other) => isSameRun(run, other))) {
      running.push(run);
      startedRuns.push(run);
    }
    return { kind: "started", clock };
  };

  const connection: WorkerConnection = {
    hold: async (call) => {
      await pause(1);
      if (isDown) throw unanswered;
      polls.push(call);
      if (isFenced(call.term)) throw unanswered;
      const askedLifetime = lifetime;
      ends = ends.filter((end) => end.position > call.acknowledgedEnd);
      if (ends.length === 0 && call.waitMs > 0) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, call.waitMs);
          wakers.add(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      if (lifetime !== askedLifetime || isDown) throw unanswered;
      return {
        clock: performance.now() - bornAt,
        lifetime,
        running: [...running],
        ended: [...ends],
      };
    },
    start: async (call) => {
      const isHeld = holdsStarts;
      if (isHeld) heldStarts.push(call);
      await pause(isHeld ? 20 : 1);
      if (isHeld || isDown) throw unanswered;
      return carryOut(call);
    },
    stop: async ({ term, task, number }) => {
      await pause(1);
      if (isDown) throw unanswered;
      if (isFenced(term)) return false;
      rejected.push({ task, number, checkpoint: "", percent: 0 });
      const run = running.find((other) => isSameRun(other, { task, number }));
      if (run !== undefined) endRun(run, "stopped");
      return true;
    },
    close: () => Promise.resolve(wake()),
  };
  return {
    connection,
    polls,
    /** All runs that were started, in order. */
    startedRuns,
    heldStarts,
    running: () => running,
    lifetime: () => lifetime,
    /** Holds back start commands, which then get no answer. */
    holdStarts: (isHolding: boolean) => holdsStarts = isHolding,
    /** Carries out a start command that was held back. */
    carryOut,
    /** Ends all runs. */
    endRuns: (end: RunEnd) => running.forEach((run) => endRun(run, end)),
    /**
     * Ends the process, without an answer to open polls; these fail at once
     * unless that is not noticed.
     */
    crash: ({ isNoticed = true } = {}) => {
      isDown = true;
      if (isNoticed) wake();
    },
    /** Starts the next process, which knows nothing of the earlier one. */
    restart: () => {
      lifetime += 1;
      bornAt = performance.now();
      token = 0;
      position = 0;
      running = [];
      ends = [];
      rejected = [];
      isDown = false;
    },
  };
}

/** Waits until a condition holds, or fails after 5 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const TIMEOUT_MS: Milliseconds = 5_000;
  const end = performance.now() + TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > end) throw new Error("condition not met in time");
    await pause(2);
  }
}
