import type { Milliseconds } from "@rattanhill/shared";
import {
  type ReportedEnd,
  type ReportedRun,
  type Run,
  type RunEnd,
  stepKey,
  type StepState,
  type TaskName,
  taskNameOf,
} from "@rattanhill/scheduler";

/** A worker of a simulation. */
export interface SimulatedWorker {
  start(run: Run): void;
  stop(task: TaskName, number: number): void;
  /** Number of members of a gang's run here. */
  countOf(step: StepState, number: number): number;
  /** All members of a gang's run have started. */
  gangComplete(step: StepState, number: number): void;
  /** A member of a gang's run has ended early. */
  breakGang(step: StepState, number: number): void;
  report(
    acknowledged: number,
  ): { running: ReportedRun[]; ended: ReportedEnd[] };
}

/** Options of {@link createSimulatedWorker}. */
export interface SimulatedWorkerOptions {
  now(): Milliseconds;
  after(delay: Milliseconds, action: () => void): void;
  random(): number;
  /** Longest time that a stop takes. */
  stopMs: Milliseconds;
  /** Work until a run ends by itself; members of a gang end together. */
  workOf(run: Run): Milliseconds;
  slownessOf(run: Run): number;
  failureShare(run: Run): number;
  /** Hears of each end and of the work that was not saved. */
  ended(run: Run, end: RunEnd, lostMs: Milliseconds): void;
}

/** Work between two checkpoints. */
const CHECKPOINT_MS: Milliseconds = 1_000; // both sites' interval
const RESTORE_MS: Milliseconds = 250; // the first site's
/** A stop takes at least this share of its bound. */
const SHORTEST_STOP = 0.3; // the bound is named, the mean is not

interface ActiveRun {
  run: Run;
  /** Work that was done before. */
  savedMs: Milliseconds;
  startedAt: Milliseconds;
  /** Time from which it works; undefined while its gang is not complete. */
  worksFrom?: Milliseconds;
  isStopping: boolean;
}

/**
 * Creates a worker on which nothing runs.
 *
 * @param options clock, chance and what tasks need
 * @returns the worker
 */
export function createSimulatedWorker(
  options: SimulatedWorkerOptions,
): SimulatedWorker {
  const { now, after, random, stopMs } = options;
  const active = new Set<ActiveRun>();
  let ends: ReportedEnd[] = [];
  let position = 0;

  const find = (step: StepState, number: number): ActiveRun[] =>
    [...active].filter(({ run }) => run.step === step && run.number === number);
  /** Work that the run has done in all. */
  const progress = ({ run, savedMs, worksFrom }: ActiveRun): Milliseconds =>
    worksFrom === undefined ? savedMs : Math.min(
      neededMs(run),
      savedMs + Math.max(0, now() - worksFrom) / options.slownessOf(run),
    );
  const neededMs = options.workOf;

  const end = (entry: ActiveRun, how: RunEnd): void => {
    if (!active.delete(entry)) return;
    const { run, startedAt, savedMs } = entry;
    const { spec } = run.step;
    const doneMs = progress(entry);
    const interval = how === "stopped" ? 1 : CHECKPOINT_MS;
    const keptMs = spec.isCheckpointing && how !== "done"
      ? Math.max(savedMs, Math.floor(doneMs / interval) * interval)
      : savedMs;
    const lostMs = how === "done"
      ? 0
      : Math.max(0, now() - startedAt - (keptMs - savedMs));
    position += 1;
    ends.push({
      position,
      task: taskNameOf(run),
      number: run.number,
      end: how,
      checkpoint: keptMs > 0 ? String(keptMs) : "",
    });
    options.ended(run, how, lostMs);
  };

  const work = (entry: ActiveRun): void => {
    const { run, savedMs } = entry;
    const restoreMs = savedMs > 0 ? RESTORE_MS : 0;
    entry.worksFrom = now() + restoreMs;
    const leftMs = restoreMs +
      (neededMs(run) - savedMs) * options.slownessOf(run);
    if (random() < options.failureShare(run)) {
      after(random() * leftMs, () => {
        if (!entry.isStopping) end(entry, "failed");
      });
      return;
    }
    after(leftMs, () => {
      if (!entry.isStopping) end(entry, "done");
    });
  };

  return {
    start: (run) => {
      const savedMs = Number(run.checkpoint);
      const entry = { run, savedMs, startedAt: now(), isStopping: false };
      active.add(entry);
      if (!run.step.spec.isGang) work(entry);
    },
    stop: (task, number) => {
      for (const entry of active) {
        const { run } = entry;
        const isSame = run.number === number && run.index === task.index &&
          run.step.key === stepKey(task.job, task.occurrence, task.step);
        if (!isSame || entry.isStopping) continue;
        entry.isStopping = true;
        const share = SHORTEST_STOP + (1 - SHORTEST_STOP) * random();
        after(share * stopMs, () => end(entry, "stopped"));
      }
    },
    countOf: (step, number) => find(step, number).length,
    gangComplete: (step, number) => find(step, number).forEach(work),
    breakGang: (step, number) => {
      for (const entry of find(step, number)) {
        if (!entry.isStopping) end(entry, "broken");
      }
    },
    report: (acknowledged) => {
      ends = ends.filter((known) => known.position > acknowledged);
      const running = [...active].map((entry) => ({
        task: taskNameOf(entry.run),
        number: entry.run.number,
        checkpoint: "",
        percent: Math.floor(100 * progress(entry) / neededMs(entry.run)),
      }));
      return { running, ended: [...ends] };
    },
  };
}
