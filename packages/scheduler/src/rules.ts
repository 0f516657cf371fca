import type { Milliseconds } from "@rattanhill/shared";
import type { JobSpec } from "./job_types.ts";

/** Rules of a queue, as far as planning needs them. */
export interface QueueRules {
  name: string;
  service: string;
  /**
   * Queues with a lower number go first. 0 is urgent: steps of such a queue may
   * preempt runs of queues with higher numbers.
   */
  priority: number;
  /** Number of failed attempts of a task after which its job fails. */
  maximumAttempts: number;
  /**
   * Factor on the expected duration of all steps of a job. The product and
   * `targetMs` add up to the job's completion objective.
   */
  stretch: number;
  /** Constant part of the completion objective. */
  targetMs: Milliseconds;
  /** Whether only workers that the queue's policy allows may run its steps. */
  needsAdvice?: boolean;
}

/** Rules configured by the operators, as far as planning needs them. */
export interface Rules {
  /** By the ID of the queue. */
  queues: ReadonlyMap<string, QueueRules>;
  /**
   * Number of accelerators guaranteed to the urgent jobs of an account, by the
   * ID of the account.
   */
  guarantees: ReadonlyMap<string, number>;
  deployment: Deployment;
}

/** Properties of the deployment that planning needs. */
export interface Deployment {
  /** Factor by which a task slows down on the wrong rack or across racks. */
  remoteFactor: number;
  /** Start deadline: the longest time that guaranteed work may wait. */
  reclaimMs: Milliseconds;
  /** Longest time that a worker takes to stop a task. */
  stopMs: Milliseconds;
}

/** Rules until a configuration is available. */
export const NO_RULES: Rules = {
  queues: new Map(),
  guarantees: new Map(),
  deployment: { remoteFactor: 1, reclaimMs: Infinity, stopMs: 0 },
};

/**
 * @returns the rules of a job's queue; for an unknown queue, those that the job
 * was submitted with, and permissive defaults
 */
export function rulesOf(rules: Rules, spec: JobSpec): QueueRules {
  return rules.queues.get(spec.queue) ?? {
    name: spec.queue,
    service: spec.service,
    priority: 1,
    maximumAttempts: spec.maximumAttempts ?? Infinity,
    stretch: 1,
    targetMs: 0,
  };
}
