import { type Milliseconds, pause } from "@rattanhill/shared";
import type { CallerCall, CallerReply } from "../src/mod.ts";
import type { JobBody } from "../src/job_access.ts";
import { keyOf } from "./model_worker.ts";

/** A job of the model's client programs. */
export interface ModelJob {
  id: string;
  body: JobBody;
  acceptedAt?: Milliseconds;
  isCancelled: boolean;
  /** Whether an entry has shown it as completed. */
  isCompleted: boolean;
}

/** Options of {@link createModelClients}. */
export interface ModelClientsOptions {
  random(): number;
  now(): Milliseconds;
  /** Time at which the last jobs are submitted. */
  lastSubmissionAt: Milliseconds;
  /** Time at which jobs are asked for no more. */
  endAt: Milliseconds;
  /** Calls a running entry; the reply is undefined if there is none. */
  call(call: CallerCall): Promise<CallerReply | undefined>;
  /** @returns whether the task with this key has ended as done */
  isDone(key: string): boolean;
  /** Called for each answer that is wrong. */
  onViolation(text: string): void;
}

const JOB_COUNT = 30;
const CALL_TIMEOUT_MS: Milliseconds = 3_000;
// Half of the jobs are submitted in this time before the last one.
const LAST_JOBS_MS: Milliseconds = 2_000;
const MAXIMUM_ATTEMPTS = 12;
const LONGEST_TASK_MS: Milliseconds = 4_000;

/**
 * Creates client programs that submit jobs, repeat and cancel some of them, and
 * ask for their states at any entry.
 *
 * @param options clock, entries and what is reported
 * @returns the jobs, and functions to submit them and to list their tasks
 */
export function createModelClients(options: ModelClientsOptions) {
  const { random, now, endAt, onViolation } = options;
  const jobs: ModelJob[] = [];

  /** Calls an entry; one that is killed meanwhile gives no answer. */
  const call = async (
    { id, body }: ModelJob,
    action: "submit" | "ask" | "cancel",
  ): Promise<string> => {
    const reply = await Promise.race([
      options.call({
        action,
        host: "h",
        path: `/q/${id}`,
        key: "k",
        deadlineMs: CALL_TIMEOUT_MS,
        readJob: () => body,
      }),
      pause(CALL_TIMEOUT_MS),
    ]);
    if (reply === undefined) return "none";
    return reply.kind === "state" ? reply.state : reply.kind;
  };

  const submit = async (job: ModelJob): Promise<void> => {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
      if (await call(job, "submit") === "accepted") {
        job.acceptedAt = now();
        break;
      }
      await pause(300 + random() * 500);
    }
    if (random() < 0.2) {
      await pause(random() * 5_000);
      await call(job, "submit");
    }
    if (random() < 0.1) {
      job.isCancelled = true;
      await call(job, "cancel");
    }
  };

  const askRepeatedly = async (job: ModelJob): Promise<void> => {
    const { id } = job;
    while (now() < endAt) {
      await pause(200 + random() * 800);
      if (job.acceptedAt === undefined) continue;
      const state = await call(job, "ask");
      const isWrong = state === "unknownJob" || state === "failed" ||
        state === "cancelled" && !job.isCancelled;
      if (isWrong) onViolation(`accepted job ${id}: ${state}`);
      if (state !== "completed") continue;
      job.isCompleted = true;
      const isEarly = tasksOf(job).some((key) => !options.isDone(key));
      if (isEarly) onViolation(`job ${id}: completed before its tasks`);
    }
  };

  const createJob = (index: number): ModelJob => {
    const steps = Array.from(
      { length: 1 + Math.floor(random() * 2) },
      (_, step) => ({
        taskCount: 1 + Math.floor(random() * 3),
        milliCores: 1_000,
        memoryMegabytes: 100,
        accelerators: 1,
        estimateMs: 500,
        after: step === 0 ? [] : [step - 1],
      }),
    );
    const taskMs = 100 + Math.floor(random() ** 2 * LONGEST_TASK_MS);
    return {
      id: index.toString(16).padStart(16, "0"),
      body: { payload: String(taskMs), steps },
      isCancelled: false,
      isCompleted: false,
    };
  };

  return {
    jobs,
    /** Submits the jobs one after the other from now on. */
    run: async (): Promise<void> => {
      const earlyMs = options.lastSubmissionAt - LAST_JOBS_MS - now();
      for (let index = 0; index < JOB_COUNT; index++) {
        const job = createJob(index);
        jobs.push(job);
        void submit(job);
        void askRepeatedly(job);
        const spanMs = index < JOB_COUNT / 2 ? earlyMs : LAST_JOBS_MS;
        await pause(random() * 2 * spanMs / (JOB_COUNT / 2));
      }
    },
  };
}

/** @returns the keys of the tasks of a job */
export function tasksOf({ id, body }: ModelJob): string[] {
  return body.steps.flatMap(({ taskCount }, step) =>
    Array.from(
      { length: taskCount },
      (_, index) => keyOf({ job: id, occurrence: 0, step, index }),
    )
  );
}
