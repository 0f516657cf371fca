import type { Milliseconds } from "@rattanhill/shared";
import { countFitting } from "@rattanhill/scheduler";
import type { CellLoadCase, DrawnJob } from "./cell_loads.ts";

/** A job, its value in time and late, and its objective. */
export interface ValuedJob {
  job: DrawnJob;
  worth: number;
  lateWorth: number;
  objectiveMs: Milliseconds;
}

/** A job as the bound sees it. */
interface BoundJob {
  arrivesAt: Milliseconds;
  dueAt: Milliseconds;
  /** Value when it is in time, beyond that when it is late. */
  gain: number;
  /** Time of accelerators, and of thousandths of a core, that it needs. */
  needs: Record<Resource, number>;
}

type Resource = "accelerators" | "milliCores";

const RESOURCES: readonly Resource[] = ["accelerators", "milliCores"];

/**
 * Bounds the value that any scheduler could earn with the workers of a load,
 * also one that knows all jobs and run times beforehand.
 *
 * The relaxation: a job counts as in time when its work fits between its
 * arrival and its objective, in whatever pieces on whatever workers; a late one
 * costs nothing and always earns the value of a late result. Work of jobs that
 * must be done within one stretch of time cannot exceed what the workers have
 * in it; the stretch that costs most gives the bound. Gangs that fit no rack
 * are late when that alone makes them late.
 *
 * @param load the workers
 * @param jobs the jobs with their values, and their objectives
 * @returns the largest value that can be earned
 */
export function boundValue(
  load: CellLoadCase,
  jobs: readonly ValuedJob[],
): number {
  let value = 0;
  const open: BoundJob[] = [];
  for (const { job, worth, lateWorth, objectiveMs } of jobs) {
    if (shortestMs(job, load) > objectiveMs) {
      value += lateWorth;
      continue;
    }
    value += worth;
    open.push({
      arrivesAt: job.arrivesAt,
      dueAt: job.arrivesAt + objectiveMs,
      gain: worth - lateWorth,
      needs: needsOf(job),
    });
  }
  const losses = RESOURCES.map((resource) => largestLoss(load, open, resource));
  return value - Math.max(...losses);
}

/** Time that a job takes with all workers to itself. */
function shortestMs(
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

/** The least value that is lost in the stretch of time that costs most. */
function largestLoss(
  load: CellLoadCase,
  jobs: readonly BoundJob[],
  resource: Resource,
): number {
  const total = load.workers * load.capacity[resource];
  const byDue = [...jobs].sort((a, b) => a.dueAt - b.dueAt);
  let largest = 0;
  for (const { arrivesAt: from } of jobs) {
    const inside: BoundJob[] = [];
    let needed = 0;
    for (const job of byDue) {
      if (job.arrivesAt < from) continue;
      inside.push(job);
      needed += job.needs[resource];
      const excess = needed - total * (job.dueAt - from);
      if (excess <= 0) continue;
      largest = Math.max(largest, leastLoss(inside, resource, excess));
    }
  }
  return largest;
}

/** Drops the work that is worth least, in parts, until the excess is gone. */
function leastLoss(
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
