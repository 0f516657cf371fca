import type { ReportedEnd } from "../src/mod.ts";
import { type FakeWorker, taskKeyOf } from "./fake_worker.ts";

/** A failed run that its worker reports until it is acknowledged. */
interface FailedRun {
  task: string;
  worker: FakeWorker;
  position: number;
  /** `void` if the worker crashed, or its lease expired, before. */
  state: "reported" | "acknowledged" | "void";
}

/**
 * Checks that no task starts after as many of its runs have failed as it may,
 * if these ends are acknowledged then or later.
 */
export interface AttemptCheck {
  /** Records a failed end that a worker begins to report. */
  recordFailure(worker: FakeWorker, end: ReportedEnd): void;
  /** Records that a worker received an acknowledgement of its ends. */
  recordAcknowledgement(worker: FakeWorker, position: number): void;
  /** Records that the lease of a worker expired or that it crashed. */
  recordLapse(worker: FakeWorker): void;
  /** @returns whether the acknowledged failed runs of a task reach the limit */
  isOutOfAttempts(task: string): boolean;
  /**
   * Records the start of a task.
   *
   * @param wasAvoidable whether the task was known to be out of attempts when
   * the command was sent
   */
  recordStart(task: string, wasAvoidable: boolean): void;
  /** @returns the starts beyond the limit */
  violations(): string[];
}

/** @returns the check for a limit of failed runs */
export function createAttemptCheck(limit: number): AttemptCheck {
  const failedRuns: FailedRun[] = [];
  const starts: { task: string; failed: FailedRun[]; wasAvoidable: boolean }[] =
    [];
  const failedRunsOf = (task: string): FailedRun[] =>
    failedRuns.filter((run) => run.task === task);
  const setState = (
    worker: FakeWorker,
    state: FailedRun["state"],
    isMeant: (run: FailedRun) => boolean = () => true,
  ): void => {
    for (const run of failedRuns) {
      if (run.worker !== worker || run.state !== "reported") continue;
      if (isMeant(run)) run.state = state;
    }
  };

  return {
    recordFailure: (worker, { task, position }) => {
      const key = taskKeyOf(task);
      failedRuns.push({ task: key, worker, position, state: "reported" });
    },
    recordAcknowledgement: (worker, acknowledged) =>
      setState(
        worker,
        "acknowledged",
        ({ position }) => position <= acknowledged,
      ),
    recordLapse: (worker) => setState(worker, "void"),
    isOutOfAttempts: (task) => countAcknowledged(failedRunsOf(task)) >= limit,
    recordStart: (task, wasAvoidable) => {
      starts.push({ task, failed: failedRunsOf(task), wasAvoidable });
    },
    violations: () =>
      starts
        .filter(({ failed }) => countAcknowledged(failed) >= limit)
        .map(({ task, wasAvoidable }) =>
          `${task} started after ${limit} failed runs${
            wasAvoidable ? " that were known" : ""
          }`
        ),
  };
}

function countAcknowledged(runs: readonly FailedRun[]): number {
  return runs.filter(({ state }) => state === "acknowledged").length;
}
