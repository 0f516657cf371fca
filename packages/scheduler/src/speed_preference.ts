import type { WorkerState } from "./cell_state.ts";
import { speedKeyOf } from "./run_observations.ts";
import type { WorkerSpeeds } from "./worker_speeds.ts";

/** How the learned speeds of workers change the scores of a placement. */
export interface SpeedPreference {
  /** @returns the change of a worker's score; lower scores are used first */
  scoreOf(worker: WorkerState): number;
  /** @returns the change of a rack's score when a gang gets these workers */
  gangScoreOf(workers: Iterable<WorkerState>): number;
}

// Weights of the logarithm of a worker's factor. The scores of free capacity
// range from 0 to 3 for a worker, so a worker that is slower by a third is used
// for urgent work after one that is emptier by one resource.
const URGENT_WEIGHT = 4;
const SLACK_WEIGHT = -2;
// A gang is as slow as its slowest member. The score of free capacity ranges
// from 0 to 3 times the number of workers of the rack.
const RACK_WEIGHT = 20;

/**
 * Creates the preference for a step: urgent work gets fast workers, other work
 * leaves them free. Unknown workers count as usual.
 *
 * @param speeds the learned speeds
 * @param isUrgent whether the step is urgent
 * @returns the preference
 */
export function createSpeedPreference(
  speeds: Pick<WorkerSpeeds, "certainLogFactorOf">,
  isUrgent: boolean,
): SpeedPreference {
  const weight = isUrgent ? URGENT_WEIGHT : SLACK_WEIGHT;
  const logFactorOf = (worker: WorkerState) =>
    speeds.certainLogFactorOf(speedKeyOf(worker));
  return {
    scoreOf: (worker) => weight * logFactorOf(worker),
    gangScoreOf: (workers) =>
      isUrgent ? RACK_WEIGHT * Math.max(...[...workers].map(logFactorOf)) : 0,
  };
}
