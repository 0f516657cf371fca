/** Estimates the accelerators of a zone while some workers are not reported. */
export interface ZoneCapacity {
  /** Sets the workers that the platform lists in the zone. */
  setListed(workers: readonly string[]): void;
  /** Records the accelerators that a worker reported. */
  recordReport(worker: string, accelerators: number): void;
  /** Excludes a worker that has left or does not respond. */
  exclude(worker: string): void;
  /**
   * @returns accelerators of all workers that are not excluded. A listed worker
   * that has not reported yet counts as an average one; Infinity while none of
   * the listed workers has reported.
   */
  estimate(): number;
}

/**
 * Creates the estimate of a zone without workers.
 *
 * @returns the estimate
 */
export function createZoneCapacity(): ZoneCapacity {
  const acceleratorsByWorker = new Map<string, number>();
  const excluded = new Set<string>();
  let listed: readonly string[] = [];

  return {
    setListed: (workers) => {
      listed = workers;
      const names = new Set(workers);
      for (const worker of excluded) {
        if (!names.has(worker)) excluded.delete(worker);
      }
    },
    recordReport: (worker, accelerators) => {
      acceleratorsByWorker.set(worker, accelerators);
      excluded.delete(worker);
    },
    exclude: (worker) => {
      acceleratorsByWorker.delete(worker);
      excluded.add(worker);
    },
    estimate: () => {
      const unreportedCount =
        listed.filter((worker) =>
          !acceleratorsByWorker.has(worker) && !excluded.has(worker)
        ).length;
      const reportedCount = acceleratorsByWorker.size;
      if (reportedCount === 0) return unreportedCount > 0 ? Infinity : 0;
      let reported = 0;
      for (const count of acceleratorsByWorker.values()) reported += count;
      return reported * (1 + unreportedCount / reportedCount);
    },
  };
}
