import type { Milliseconds } from "@rattanhill/shared";
import type { JobSpec } from "./job_types.ts";

/** Rules of a queue that decide the order of work. */
export interface QueueRules {
  name: string;
  service: string;
  /** 0 comes first and may preempt others. */
  priority: number;
  maximumAttempts: number;
  /** Objective: this many times the longest chain of tasks... */
  stretch: number;
  /** ...plus this time. */
  targetMs: Milliseconds;
  /** Only workers that the queue's policy names may run its steps. */
  needsAdvice?: boolean;
}

/** Rules of the operators that planning needs. */
export interface Rules {
  queues: ReadonlyMap<string, QueueRules>;
  /** Accelerators that belong to an account's urgent jobs, by account. */
  guarantees: ReadonlyMap<string, number>;
  deployment: Deployment;
}

/** What planning has to know of the deployment. */
export interface Deployment {
  /** Factor by which a wrong rack slows a task. */
  remoteFactor: number;
  /** Time within which guaranteed work must have begun. */
  reclaimMs: Milliseconds;
  /** Longest time that a worker takes to stop a task. */
  stopMs: Milliseconds;
}

/** Rules before there is a configuration. */
export const NO_RULES: Rules = {
  queues: new Map(),
  guarantees: new Map(),
  deployment: { remoteFactor: 1, reclaimMs: Infinity, stopMs: 0 },
};

/** @returns the rules of a job's queue, or lenient ones when the queue is not known */
export function rulesOf(rules: Rules, spec: JobSpec): QueueRules {
  return rules.queues.get(spec.queue) ?? {
    name: spec.queue,
    service: spec.service,
    priority: 1,
    maximumAttempts: Infinity,
    stretch: 1,
    targetMs: 0,
  };
}
