import type { Run, WorkerState } from "./cell_state.ts";
import type { TaskName } from "./job_types.ts";

/** A command to a worker. */
export type WorkerCommand =
  | { kind: "start"; run: Run }
  | {
    kind: "stop";
    worker: WorkerState;
    task: TaskName;
    /** Number of the run to stop; the worker rejects starts up to it. */
    number: number;
    /** The run; undefined for a run that this lead does not know. */
    run?: Run;
  };

/** Answer of a worker to a start command, after all attempts to send it. */
export type StartAnswer =
  | "started"
  /** The worker rejected the command and will not carry it out later. */
  | "refused"
  /** Like `refused`, because the worker is unhealthy. */
  | "unhealthy"
  /** No clear answer: the command may have been executed or may still be. */
  | "uncertain";
