import type { Milliseconds } from "@rattanhill/shared";
import { countFitting } from "@rattanhill/scheduler";
import {
  type CellLoadCase,
  type DrawnJob,
  workerFactorOf,
} from "./cell_loads.ts";

/** A job with its values and its objective. */
export interface ValuedJob {
  job: DrawnJob;
  /** Value if the job completes in time. */
  value: number;
  /** Value if the job completes late. */
  lateValue: number;
  /** Longest time from arrival to completion that counts as in time. */
  objectiveMs: Milliseconds;
}

/** A job that can complete in time, with the figures that the bound needs. */
interface FeasibleJob {
  arrivesAt: Milliseconds;
  /** Latest completion that counts as in time. */
  dueAt: Milliseconds;
  /** Value of completing in time less the value of completing late. */
  gain: number;
  /** Work by resource: number of accelerators or millicores times ms. */
  needs: Record<Resource, number>;
}

type Resource = "accelerators" | "milliCores";

const RESOURCES: readonly Resource[] = ["accelerators", "milliCores"];

/**
 * Computes an upper bound on the value that any scheduler can earn with the
 * workers of a load, even one that knows all jobs and run times in advance.
 *
 * The bound relaxes the scheduling problem. A job is in time if its work fits
 * between its arrival and its due time, divided arbitrarily among the workers.
 * A late job uses no capacity and always earns its value for late completion.
 * In each time interval, the jobs in time that arrive and are due within it
 * cannot use more than the workers' capacity in the interval; the interval with
 * the largest loss of value gives the bound. A gang job that fits no rack
 * counts as late if the slowdown across racks alone makes it late. Workers of
 * unequal speed count with the work that they do in a unit of time, and a job
 * takes as long as on the fastest one.
 *
 * @param load the workers
 * @param jobs the jobs with their values and objectives
 * @returns the upper bound on the earned value
 */
export function computeValueBound(
  load: CellLoadCase,
  jobs: readonly ValuedJob[],
): number {
  let totalValue = 0;
  const feasibleJobs: FeasibleJob[] = [];
  for (const { job, value, lateValue, objectiveMs } of jobs) {
    if (minimumDurationMs(job, load) > objectiveMs) {
      totalValue += lateValue;
      continue;
    }
    totalValue += value;
    feasibleJobs.push({
      arrivesAt: job.arrivesAt,
      dueAt: job.arrivesAt + objectiveMs,
      gain: value - lateValue,
      needs: workByResource(job),
    });
  }
  const losses = RESOURCES.map((resource) =>
    findLargestLoss(load, feasibleJobs, resource)
  );
  return totalValue - Math.max(...losses);
}

/** @returns the time that a job takes if all workers are free for it */
function minimumDurationMs(
  { spec, workMs }: DrawnJob,
  load: CellLoadCase,
): Milliseconds {
  return spec.steps.reduce((sum, step, index) => {
    const perWorker = countFitting(step, load.capacity);
    const fitsRack = step.taskCount <= perWorker * load.workersPerRack;
    const isSlowed = step.needsOneRack === true && !fitsRack;
    return sum +
      Math.max(...workMs[index]) * (isSlowed ? load.remoteFactor : 1) *
        (load.workerFactors?.fastest ?? 1);
  }, 0);
}

function workByResource({ spec, workMs }: DrawnJob): Record<Resource, number> {
  const needs = { accelerators: 0, milliCores: 0 };
  spec.steps.forEach((step, index) => {
    const work = workMs[index].reduce((sum, each) => sum + each, 0);
    for (const resource of RESOURCES) needs[resource] += step[resource] * work;
  });
  return needs;
}

/** @returns the unavoidable loss of value in the most overloaded interval */
function findLargestLoss(
  load: CellLoadCase,
  jobs: readonly FeasibleJob[],
  resource: Resource,
): number {
  let speed = 0;
  for (let index = 0; index < load.workers; index++) {
    speed += 1 / workerFactorOf(load, index);
  }
  const capacity = speed * load.capacity[resource];
  const byDueTime = [...jobs].sort((a, b) => a.dueAt - b.dueAt);
  let largestLoss = 0;
  for (const { arrivesAt: from } of jobs) {
    const contained: FeasibleJob[] = [];
    let neededWork = 0;
    for (const job of byDueTime) {
      if (job.arrivesAt < from) continue;
      contained.push(job);
      neededWork += job.needs[resource];
      const excessWork = neededWork - capacity * (job.dueAt - from);
      if (excessWork <= 0) continue;
      largestLoss = Math.max(
        largestLoss,
        findSmallestLoss(contained, resource, excessWork),
      );
    }
  }
  return largestLoss;
}

/**
 * Solves a fractional knapsack problem: removes work in ascending order of gain
 * per unit of work until the excess is removed.
 *
 * @returns the gain of the removed work
 */
function findSmallestLoss(
  jobs: readonly FeasibleJob[],
  resource: Resource,
  excessWork: number,
): number {
  const byDensity = [...jobs].sort((a, b) =>
    a.gain / a.needs[resource] - b.gain / b.needs[resource]
  );
  let loss = 0;
  let remainingWork = excessWork;
  for (const { gain, needs } of byDensity) {
    const share = Math.min(1, remainingWork / needs[resource]);
    loss += share * gain;
    remainingWork -= share * needs[resource];
    if (remainingWork <= 0) break;
  }
  return loss;
}
