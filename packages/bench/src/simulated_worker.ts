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

/** A simulated worker of a cell. */
export interface SimulatedWorker {
  /** Starts a run; a member of a gang works only from {@link startGang} on. */
  start(run: Run): void;
  /** Begins to stop a run, if it is still active. */
  stop(task: TaskName, number: number): void;
  /** @returns the number of members of a gang's run on this worker */
  countMembers(step: StepState, number: number): number;
  /** Starts the work of the members here, once all members have started. */
  startGang(step: StepState, number: number): void;
  /** Ends the members here, after another member has ended early. */
  breakGang(step: StepState, number: number): void;
  /** @returns active runs, and ends that are not acknowledged yet */
  report(
    acknowledged: number,
  ): { running: ReportedRun[]; ended: ReportedEnd[] };
}

/** Options of {@link createSimulatedWorker}. */
export interface SimulatedWorkerOptions {
  now(): Milliseconds;
  /** Runs an action after a delay in simulated time. */
  schedule(delay: Milliseconds, action: () => void): void;
  random(): number;
  /** Longest time that a stop takes. */
  stopMs: Milliseconds;
  /** @returns the work of a run; equal for the members of a gang */
  workOf(run: Run): Milliseconds;
  /** @returns the factor by which the run's placement slows it down */
  slowdownOf(run: Run): number;
  /** @returns the probability that the run fails */
  failureShare(run: Run): number;
  /** Called for each end, with the time spent on work that was not saved. */
  onEnd(run: Run, end: RunEnd, lostMs: Milliseconds): void;
}

/** Work between two checkpoints, as on both sites. */
const CHECKPOINT_INTERVAL_MS: Milliseconds = 1_000;
/** Time to resume from a checkpoint, as on the first site. */
const RESTORE_MS: Milliseconds = 250;
/**
 * Shortest duration of a stop, as a share of its bound. The sites publish the
 * bound but not the mean.
 */
const MINIMUM_STOP_SHARE = 0.3;

interface ActiveRun {
  run: Run;
  /** Work saved by earlier attempts. */
  savedMs: Milliseconds;
  startedAt: Milliseconds;
  /** Time at which work starts; undefined until the gang is complete. */
  workStartsAt?: Milliseconds;
  isStopping: boolean;
}

/**
 * Creates a simulated worker.
 *
 * @param options clock, source of random numbers and properties of the runs
 * @returns the worker, with nothing running
 */
export function createSimulatedWorker(
  options: SimulatedWorkerOptions,
): SimulatedWorker {
  const { now, schedule, random, stopMs } = options;
  const active = new Set<ActiveRun>();
  let ends: ReportedEnd[] = [];
  let position = 0;

  const findRuns = (step: StepState, number: number): ActiveRun[] =>
    [...active].filter(({ run }) => run.step === step && run.number === number);
  /** @returns the work that is done, including earlier attempts */
  const progressMs = (
    { run, savedMs, workStartsAt }: ActiveRun,
  ): Milliseconds =>
    workStartsAt === undefined ? savedMs : Math.min(
      neededMs(run),
      savedMs + Math.max(0, now() - workStartsAt) / options.slowdownOf(run),
    );
  const neededMs = options.workOf;

  const endRun = (activeRun: ActiveRun, runEnd: RunEnd): void => {
    if (!active.delete(activeRun)) return;
    const { run, startedAt, savedMs } = activeRun;
    const { spec } = run.step;
    const doneMs = progressMs(activeRun);
    // A stopped run saves a checkpoint as it ends, to the millisecond; any other
    // end loses the work since the last periodic checkpoint.
    const interval = runEnd === "stopped" ? 1 : CHECKPOINT_INTERVAL_MS;
    const keptMs = spec.isCheckpointing && runEnd !== "done"
      ? Math.max(savedMs, Math.floor(doneMs / interval) * interval)
      : savedMs;
    const lostMs = runEnd === "done"
      ? 0
      : Math.max(0, now() - startedAt - (keptMs - savedMs));
    position += 1;
    ends.push({
      position,
      task: taskNameOf(run),
      number: run.number,
      end: runEnd,
      checkpoint: keptMs > 0 ? String(keptMs) : "",
    });
    options.onEnd(run, runEnd, lostMs);
  };

  const startWork = (activeRun: ActiveRun): void => {
    const { run, savedMs } = activeRun;
    const restoreMs = savedMs > 0 ? RESTORE_MS : 0;
    activeRun.workStartsAt = now() + restoreMs;
    const leftMs = restoreMs +
      (neededMs(run) - savedMs) * options.slowdownOf(run);
    if (random() < options.failureShare(run)) {
      schedule(random() * leftMs, () => {
        if (!activeRun.isStopping) endRun(activeRun, "failed");
      });
      return;
    }
    schedule(leftMs, () => {
      if (!activeRun.isStopping) endRun(activeRun, "done");
    });
  };

  return {
    start: (run) => {
      const savedMs = Number(run.checkpoint);
      const activeRun = { run, savedMs, startedAt: now(), isStopping: false };
      active.add(activeRun);
      if (!run.step.spec.isGang) startWork(activeRun);
    },
    stop: (task, number) => {
      for (const activeRun of active) {
        const { run } = activeRun;
        const isSame = run.number === number && run.index === task.index &&
          run.step.key === stepKey(task.job, task.occurrence, task.step);
        if (!isSame || activeRun.isStopping) continue;
        activeRun.isStopping = true;
        const share = MINIMUM_STOP_SHARE + (1 - MINIMUM_STOP_SHARE) * random();
        schedule(share * stopMs, () => endRun(activeRun, "stopped"));
      }
    },
    countMembers: (step, number) => findRuns(step, number).length,
    startGang: (step, number) => findRuns(step, number).forEach(startWork),
    breakGang: (step, number) => {
      for (const activeRun of findRuns(step, number)) {
        if (!activeRun.isStopping) endRun(activeRun, "broken");
      }
    },
    report: (acknowledged) => {
      ends = ends.filter((known) => known.position > acknowledged);
      const running = [...active].map((activeRun) => ({
        task: taskNameOf(activeRun.run),
        number: activeRun.run.number,
        checkpoint: "",
        percent: Math.floor(
          100 * progressMs(activeRun) / neededMs(activeRun.run),
        ),
      }));
      return { running, ended: [...ends] };
    },
  };
}
