import type { Clock, Milliseconds } from "@rattanhill/shared";
import type { LeaseState } from "@rattanhill/core";
import type { WorkerClient } from "@rattanhill/platform";

/** Part of a gang job. */
export interface GangPart {
  lease: string;
  /** Client of the part's worker; absent when the worker is not known. */
  client: WorkerClient | undefined;
}

/** Options of {@link pauseParts}. */
export interface PauseOptions {
  clock: Clock;
  /**
   * Longest pause. It must be at least twice as long as the time limit of one
   * operation on a worker.
   */
  pauseMs: Milliseconds;
}

/**
 * Pauses all parts of a gang job, so that none ends while the others are
 * stopped.
 *
 * @param parts the parts
 * @param options clock and longest pause
 * @returns the state of each part, in their order; `undefined` for a part whose
 * worker did not respond, and for all when the pauses may end too soon for
 * stops to arrive before
 */
export async function pauseParts(
  parts: readonly GangPart[],
  { clock, pauseMs }: PauseOptions,
): Promise<(LeaseState | undefined)[]> {
  const startedAt = clock.now();
  const states = await Promise.all(parts.map(async ({ lease, client }) => {
    try {
      return (await client?.pause(lease, pauseMs))?.state;
    } catch {
      return undefined;
    }
  }));
  const isInTime = clock.now() - startedAt <= pauseMs / 2;
  return isInTime ? states : parts.map(() => undefined);
}

/**
 * Continues all parts of a gang job, including those whose worker may have
 * paused them without a response. If a call fails, the pause ends by itself.
 *
 * @param parts the parts
 */
export async function continueParts(parts: readonly GangPart[]): Promise<void> {
  await Promise.all(parts.map(async ({ lease, client }) => {
    await client?.continue(lease).catch(() => {});
  }));
}
