import type { Milliseconds } from "@rattanhill/shared";
import type { RemovedWorkers, WorkerEntry } from "@rattanhill/scheduler";
import type { StoredRecord } from "./store.ts";

/** Options of {@link judgeRemovals}. */
export interface RemovalOptions {
  /** Workers that the list no longer contains. */
  ids: ReadonlySet<string>;
  /**
   * Decodes a worker's entry.
   *
   * @throws InvalidError when it is not valid
   */
  decode(id: string, text: string): WorkerEntry;
  /** Interval at which workers renew their entries. */
  heartbeatMs: Milliseconds;
}

// Number of older entries that must have outlasted a removal.
const MINIMUM_WITNESSES = 3;
// A worker that leaves has announced less time than this in its last entry.
const MAXIMUM_REMAINING_HEARTBEATS = 2;

/**
 * Finds out from the order of past records how workers were removed from the
 * list. The entry of a silent worker is removed after some time without a
 * renewal. If entries that were last renewed earlier are not removed, but renewed
 * again later, then a worker that was draining has withdrawn its entry: it left.
 * Nothing is concluded when a
 * worker that was not draining was removed since.
 *
 * @param history records of the list, in the order of their offsets
 * @param options the workers, how to decode an entry, and the interval
 * @returns the last entries of the workers, and which of them left
 */
export function judgeRemovals(
  history: readonly StoredRecord[],
  options: RemovalOptions,
): RemovedWorkers {
  const positions = new Map<string, number[]>();
  history.forEach(({ key }, position) => {
    const known = positions.get(key);
    if (known === undefined) positions.set(key, [position]);
    else known.push(position);
  });
  const isRemoval = (position: number) => history[position].value === undefined;
  const decodeAt = (position: number | undefined): WorkerEntry | undefined => {
    if (position === undefined) return undefined;
    const { key, value } = history[position];
    try {
      return value === undefined ? undefined : options.decode(key, value);
    } catch {
      return undefined;
    }
  };
  const wasDraining = (key: string, before: number): boolean => {
    const renewedAt = positions.get(key)!.findLast((position) =>
      position < before && !isRemoval(position)
    );
    return decodeAt(renewedAt)?.isDraining ?? false;
  };
  /** Counts workers that were silent for longer, and were not removed. */
  const countWitnesses = (renewedAt: number, removedAt: number): number =>
    [...positions.values()].filter((all) => {
      const earlier = all.findLast((position) => position < renewedAt);
      const next = all.find((position) => position > renewedAt);
      return earlier !== undefined && !isRemoval(earlier) &&
        next !== undefined && next > removedAt && !isRemoval(next);
    }).length;
  const hasLeft = (
    { isDraining, remainingMs }: WorkerEntry,
    [renewedAt, removedAt]: [renewedAt: number, removedAt: number],
  ): boolean => {
    const limitMs = MAXIMUM_REMAINING_HEARTBEATS * options.heartbeatMs;
    if (!isDraining || remainingMs > limitMs) return false;
    const areOthersSteady = history.every(({ key }, position) =>
      position <= renewedAt || !isRemoval(position) ||
      wasDraining(key, position)
    );
    return areOthersSteady &&
      countWitnesses(renewedAt, removedAt) >= MINIMUM_WITNESSES;
  };

  const entries: WorkerEntry[] = [];
  const left = new Set<string>();
  for (const id of options.ids) {
    const own = positions.get(id) ?? [];
    const renewedAt = own.findLast((position) => !isRemoval(position));
    const entry = decodeAt(renewedAt);
    if (renewedAt === undefined || entry === undefined) continue;
    entries.push(entry);
    const removedAt = own.find((position) => position > renewedAt);
    if (removedAt === undefined) continue;
    if (hasLeft(entry, [renewedAt, removedAt])) left.add(id);
  }
  return { entries, left };
}
