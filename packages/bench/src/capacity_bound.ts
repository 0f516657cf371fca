import type { Milliseconds } from "@rattanhill/shared";
import { countFitting } from "@rattanhill/scheduler";
import type { CellLoadCase, DrawnJob } from "./cell_loads.ts";

/** A job with its value in time, its value when late, and its objective. */
export interface ValuedJob {
  job: DrawnJob;
  value: number;
  lateValue: number;
  objectiveMs: Milliseconds;
}

/** A job that could be in time, reduced to what the bound needs. */
interface BoundJob {
  arrivesAt: Milliseconds;
  dueAt: Milliseconds;
  /** Value in time less the value when late. */
  gain: number;
  /** Work per resource: accelerator or milli-core count times milliseconds. */
  needs: Record<Resource, number>;
}

type Resource = "accelerators" | "milliCores";

const RESOURCES: readonly Resource[] = ["accelerators", "milliCores"];

/**
 * Computes an upper bound on the value that any scheduler can earn with the
 * workers of a load, even one that knows all jobs and run times in advance.
 *
 * The bound relaxes the scheduling problem. A job is in time if its work fits
 * between its arrival and its due time, split in any way over any workers. A
 * late job uses no capacity and always earns its value when late. For each time
 * interval, the jobs that arrive and are due within it cannot need more than
 * the workers' capacity in the interval; the interval with the largest loss of
 * value gives the bound. A gang that fits no rack counts as late if the
 * slowdown across racks alone makes it late.
 *
 * @param load the workers
 * @param jobs the jobs with their values and objectives
 * @returns the upper bound on the earned value
 */
export function boundValue(
  load: CellLoadCase,
  jobs: readonly ValuedJob[],
): number {
  let totalValue = 0;
  const feasibleJobs: BoundJob[] = [];
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
      needs: needsOf(job),
    });
  }
  const losses = RESOURCES.map((resource) =>
    findLargestLoss(load, feasibleJobs, resource)
  );
  return totalValue - Math.max(...losses);
}

/** @returns the time that a job takes if all workers are free */
function minimumDurationMs(
  { spec, workMs }: DrawnJob,
  load: CellLoadCase,
): Milliseconds {
  return spec.steps.reduce((sum, step, index) => {
    const perWorker = countFitting(step, load.capacity);
    const fitsRack = step.taskCount <= perWorker * load.workersPerRack;
    const isSlowed = step.needsOneRack === true && !fitsRack;
    return sum +
      Math.max(...workMs[index]) * (isSlowed ? load.remoteFactor : 1);
  }, 0);
}

function needsOf({ spec, workMs }: DrawnJob): Record<Resource, number> {
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
  jobs: readonly BoundJob[],
  resource: Resource,
): number {
  const total = load.workers * load.capacity[resource];
  const byDeadline = [...jobs].sort((a, b) => a.dueAt - b.dueAt);
  let largest = 0;
  for (const { arrivesAt: from } of jobs) {
    const contained: BoundJob[] = [];
    let needed = 0;
    for (const job of byDeadline) {
      if (job.arrivesAt < from) continue;
      contained.push(job);
      needed += job.needs[resource];
      const excess = needed - total * (job.dueAt - from);
      if (excess <= 0) continue;
      largest = Math.max(
        largest,
        findSmallestLoss(contained, resource, excess),
      );
    }
  }
  return largest;
}

/**
 * Solves a fractional knapsack: removes work in ascending order of value per
 * unit of the resource until the excess is gone.
 *
 * @returns the value of the removed work
 */
function findSmallestLoss(
  jobs: readonly BoundJob[],
  resource: Resource,
  excess: number,
): number {
  const byDensity = [...jobs].sort((a, b) =>
    a.gain / a.needs[resource] - b.gain / b.needs[resource]
  );
  let loss = 0;
  let left = excess;
  for (const { gain, needs } of byDensity) {
    const share = Math.min(1, left / needs[resource]);
    loss += share * gain;
    left -= share * needs[resource];
    if (left <= 0) break;
  }
  return loss;
}
