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
  /** Starts a run; a member of a gang works only after {@link startGang}. */
  start(run: Run): void;
  /** Starts to stop a run, if it is still active. */
  stop(task: TaskName, number: number): void;
  /** @returns the number of members of a gang's run on this worker */
  countMembers(step: StepState, number: number): number;
  /**
   * Starts the work of a gang's members on this worker. Called when the members
   * on all workers have started.
   */
  startGang(step: StepState, number: number): void;
  /**
   * Ends a gang's members on this worker. Called when another member has ended
   * without completing its work.
   */
  breakGang(step: StepState, number: number): void;
  /** @returns active runs, and run ends after the acknowledged position */
  report(
    acknowledgedPosition: number,
  ): { running: ReportedRun[]; ended: ReportedEnd[] };
}

/** Options of {@link createSimulatedWorker}. */
export interface SimulatedWorkerOptions {
  now(): Milliseconds;
  /** Runs an action after a delay in simulated time. */
  runAfter(delay: Milliseconds, action: () => void): void;
  random(): number;
  /** Longest duration of a stop. */
  stopMs: Milliseconds;
  /** @returns the work of a run; the same for all members of a gang */
  workOf(run: Run): Milliseconds;
  /**
   * @returns the factor by which the run's placement and its worker, or the
   * slowest worker of its gang, slow it down
   */
  slowdownOf(run: Run): number;
  /**
   * @returns the factor by which the run reports its progress more slowly than
   * its work; a member of a gang reports its own work, and then stands at 100
   */
  progressSlowdownOf(run: Run): number;
  /** @returns the probability that the run fails */
  failureProbabilityOf(run: Run): number;
  /** Called when a run ends, with the time spent on work that is discarded. */
  onEnd(run: Run, end: RunEnd, lostMs: Milliseconds): void;
}

// Work between two periodic checkpoints, as on both sites.
const CHECKPOINT_INTERVAL_MS: Milliseconds = 1_000;
// Time to restore a checkpoint, as on the first site.
const RESTORE_MS: Milliseconds = 250;
// Shortest duration of a stop, as a share of the longest. The sites publish the
// longest duration of a stop but not its mean.
const MINIMUM_STOP_SHARE = 0.3;

interface ActiveRun {
  run: Run;
  /** Work in the checkpoint that the run resumes from. */
  savedMs: Milliseconds;
  startedAt: Milliseconds;
  /** Time at which the work starts; undefined until the gang is complete. */
  workStartsAt?: Milliseconds;
  /** Factors by which its work, and its reported progress, are slowed. */
  slowdown: number;
  progressSlowdown: number;
  isStopping: boolean;
}

/**
 * Creates a simulated worker.
 *
 * @param options clock, source of random numbers and properties of the runs
 * @returns the worker, without runs
 */
export function createSimulatedWorker(
  options: SimulatedWorkerOptions,
): SimulatedWorker {
  const { now, runAfter, random, stopMs } = options;
  const activeRuns = new Set<ActiveRun>();
  let pendingEnds: ReportedEnd[] = [];
  let lastPosition = 0;

  const findRuns = (step: StepState, number: number): ActiveRun[] =>
    [...activeRuns].filter(({ run }) =>
      run.step === step && run.number === number
    );
  /** @returns the completed work, including that of earlier attempts */
  const progressMsOf = (
    { run, savedMs, workStartsAt, slowdown }: ActiveRun,
    factor = slowdown,
  ): Milliseconds =>
    workStartsAt === undefined ? savedMs : Math.min(
      requiredMsOf(run),
      savedMs + Math.max(0, now() - workStartsAt) / factor,
    );
  const requiredMsOf = options.workOf;

  const endRun = (activeRun: ActiveRun, runEnd: RunEnd): void => {
    if (!activeRuns.delete(activeRun)) return;
    const { run, startedAt, savedMs } = activeRun;
    const { spec } = run.step;
    const doneMs = progressMsOf(activeRun);
    // A stopped run saves a checkpoint when it ends, which keeps its work to
    // the millisecond. Any other run that ends without completing loses its
    // work since the last periodic checkpoint.
    const intervalMs = runEnd === "stopped" ? 1 : CHECKPOINT_INTERVAL_MS;
    const keptMs = spec.isCheckpointing && runEnd !== "done"
      ? Math.max(savedMs, Math.floor(doneMs / intervalMs) * intervalMs)
      : savedMs;
    const lostMs = runEnd === "done"
      ? 0
      : Math.max(0, now() - startedAt - (keptMs - savedMs));
    lastPosition += 1;
    pendingEnds.push({
      position: lastPosition,
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
    activeRun.slowdown = options.slowdownOf(run);
    activeRun.progressSlowdown = options.progressSlowdownOf(run);
    const remainingMs = restoreMs +
      (requiredMsOf(run) - savedMs) * activeRun.slowdown;
    if (random() < options.failureProbabilityOf(run)) {
      runAfter(random() * remainingMs, () => {
        if (!activeRun.isStopping) endRun(activeRun, "failed");
      });
      return;
    }
    runAfter(remainingMs, () => {
      if (!activeRun.isStopping) endRun(activeRun, "done");
    });
  };

  return {
    start: (run) => {
      const savedMs = Number(run.checkpoint);
      const activeRun = {
        run,
        savedMs,
        startedAt: now(),
        slowdown: 1,
        progressSlowdown: 1,
        isStopping: false,
      };
      activeRuns.add(activeRun);
      if (!run.step.spec.isGang) startWork(activeRun);
    },
    stop: (task, number) => {
      for (const activeRun of activeRuns) {
        const { run } = activeRun;
        const isMatch = run.number === number && run.index === task.index &&
          run.step.key === stepKey(task.job, task.occurrence, task.step);
        if (!isMatch || activeRun.isStopping) continue;
        activeRun.isStopping = true;
        const share = MINIMUM_STOP_SHARE + (1 - MINIMUM_STOP_SHARE) * random();
        runAfter(share * stopMs, () => endRun(activeRun, "stopped"));
      }
    },
    countMembers: (step, number) => findRuns(step, number).length,
    startGang: (step, number) => findRuns(step, number).forEach(startWork),
    breakGang: (step, number) => {
      for (const activeRun of findRuns(step, number)) {
        if (!activeRun.isStopping) endRun(activeRun, "broken");
      }
    },
    report: (acknowledgedPosition) => {
      pendingEnds = pendingEnds.filter((end) =>
        end.position > acknowledgedPosition
      );
      const running = [...activeRuns].map((activeRun) => ({
        task: taskNameOf(activeRun.run),
        number: activeRun.run.number,
        checkpoint: "",
        percent: Math.floor(
          100 * progressMsOf(activeRun, activeRun.progressSlowdown) /
            requiredMsOf(activeRun.run),
        ),
      }));
      return { running, ended: [...pendingEnds] };
    },
  };
}
