import { LeaseState, type LeaseView, type WorkerView } from "@rattanhill/core";
import type { WorkerClient } from "@rattanhill/platform";
import { continueParts, type PauseOptions, pauseParts } from "./gang_pause.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Stops running tasks to free their accelerators. */
export interface Preemption {
  /**
   * Saves a checkpoint of each task and then stops it; the workers report the
   * stops to the owners. The parts of a gang job are stopped once all of them
   * are paused; if one has ended or does not respond, none is stopped.
   *
   * @param leases leases to stop; a gang job with all known leases
   */
  preempt(leases: readonly LeaseView[]): void;
}

/** Options of {@link createPreemption}. */
export interface PreemptionOptions extends PauseOptions {
  links(): WorkerLinks;
  /** @returns the workers of the zone */
  workers(): readonly WorkerView[];
}

/**
 * Creates the preemption of one entry.
 *
 * @param options clock, workers and the links to them
 */
export function createPreemption(options: PreemptionOptions): Preemption {
  // Gang jobs whose preemption is in progress. A second one could continue the
  // parts that the first one has paused.
  const gangsInProgress = new Set<string>();

  const findClient = ({ worker }: LeaseView): WorkerClient | undefined => {
    const view = options.workers().find(({ name }) => name === worker);
    return view && options.links().getClient(worker, view.address);
  };

  const preemptSingle = async (lease: LeaseView): Promise<void> => {
    const client = findClient(lease);
    try {
      await client?.checkpoint(lease.lease);
    } catch {
      // The lease is stopped even without a new checkpoint, although the work
      // since the last one is lost: the reclaim of a guarantee must not wait
      // for a worker that does not respond.
    }
    // If the stop fails, nothing is freed, and the placer plans again.
    await client?.stop(lease.lease).catch(() => {});
  };

  const preemptGang = async (leases: readonly LeaseView[]): Promise<void> => {
    const parts = leases.map((view) => ({
      lease: view.lease,
      client: findClient(view),
    }));
    const states = await pauseParts(parts, options);
    // A part that others have stopped cannot end by itself either.
    const mayStop = states.every((state) =>
      state === LeaseState.running || state === LeaseState.stopped
    );
    if (!mayStop) return await continueParts(parts);
    // If a stop fails, the owner of the gang job repeats it when it learns of
    // the others.
    await Promise.all(
      parts.map(({ lease, client }) => client?.stop(lease).catch(() => {})),
    );
  };

  return {
    preempt: (leases) => {
      for (const members of groupByAttempt(leases).values()) {
        const { request, attempt, parts } = members[0];
        if (parts === 1) {
          for (const lease of members) void preemptSingle(lease);
          continue;
        }
        const gang = `${request}/${attempt}`;
        if (gangsInProgress.has(gang)) continue;
        gangsInProgress.add(gang);
        void preemptGang(members).finally(() => gangsInProgress.delete(gang));
      }
    },
  };
}

function groupByAttempt(
  leases: readonly LeaseView[],
): ReadonlyMap<string, LeaseView[]> {
  const groups = new Map<string, LeaseView[]>();
  for (const lease of leases) {
    const name = `${lease.request}/${lease.attempt}`;
    const group = groups.get(name);
    if (group === undefined) groups.set(name, [lease]);
    else group.push(lease);
  }
  return groups;
}
