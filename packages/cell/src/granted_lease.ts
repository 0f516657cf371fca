import type { Clock, Milliseconds } from "@rattanhill/shared";
import { LATE_COMMAND_MS, type WorkerState } from "@rattanhill/scheduler";

/**
 * Time for which a worker keeps its runs without a renewal by the lead. The
 * platform limits leases to 10 s; within that, the lease is long enough to
 * outlast store outages.
 */
export const WORKER_LEASE_MS: Milliseconds = 9_700;
/**
 * The same for a worker with long-running tasks, which must run again within 9 s
 * if it is lost. It is renewed once more before the lead loses its own lease in
 * a store outage, so that it lasts as long as the other.
 */
export const SHORT_WORKER_LEASE_MS: Milliseconds = 8_200;
// Age from which a short lease is renewed while the lead's own is overdue.
const EXTRA_RENEWAL_MS: Milliseconds = 500;
// Remaining time above which a call that is no regular renewal keeps the lease.
const SUFFICIENT_LEASE_MS: Milliseconds = 3_000;
// Lowest rate, relative to the lead's clock, at which a worker's clock is
// assumed to run.
const MINIMUM_CLOCK_RATE = 0.98;
// Longest lease that a worker grants, by the lead's clock. A worker that has
// restarted unnoticed shortens a lease by its earlier clock to this.
const LONGEST_LEASE_MS: Milliseconds = Math.ceil(10_000 / MINIMUM_CLOCK_RATE);
// Added to the end of each lease.
const LEASE_MARGIN_MS: Milliseconds = 100;
/**
 * Time after a takeover by which all leases granted by earlier leads have
 * expired, with a margin of 300 ms.
 */
export const INHERITED_LEASE_MS: Milliseconds = LONGEST_LEASE_MS + 300;

/** The lease that a lead grants a worker. */
export interface GrantedLease {
  /**
   * Records a reading of the worker's clock.
   *
   * @param value the reading
   * @param lifetime lifetime that the answer with the reading names, 0 for none
   */
  recordClock(value: Milliseconds, lifetime: number): void;
  /**
   * @returns the last reading of the worker's clock in its current lifetime;
   * undefined if there is none
   */
  lastClock(): Milliseconds | undefined;
  /** @returns whether it is a short one that was not renewed just now */
  needsExtraRenewal(): boolean;
  /**
   * Computes the end of the lease for a call, and records the latest time at
   * which it can end by the lead's clock.
   *
   * @param options whether the call is a regular renewal; any other keeps the
   * end of a short lease while it is sufficient, so that calls to a lost worker
   * do not delay the restart of its tasks
   * @returns the end by the worker's clock; undefined before its clock is known
   */
  extend(options: { isRenewal: boolean }): Milliseconds | undefined;
}

/** Options of {@link createGrantedLease}. */
export interface GrantedLeaseOptions {
  worker: WorkerState;
  clock: Clock;
}

/**
 * Creates the lease of a worker. Nothing is granted before its clock is read.
 *
 * @param options the worker and the lead's clock
 * @returns the lease
 */
export function createGrantedLease(
  { worker, clock }: GrantedLeaseOptions,
): GrantedLease {
  /**
   * Last reading of the worker's clock, the lead's monotonic time at which it
   * arrived, the lifetime that the answer named, and that of the worker then.
   */
  let lastReading:
    | {
      clock: Milliseconds;
      at: Milliseconds;
      lifetime: number;
      workerLifetime: number;
    }
    | undefined;
  /** End of the lease by the clock of the lifetime that was last read. */
  let grantedUntil: Milliseconds = -Infinity;

  /** Returns the last reading, unless the clock is of another lifetime. */
  const currentReading = () =>
    lastReading?.workerLifetime === worker.lifetime ? lastReading : undefined;
  const hasLongRunning = (): boolean =>
    [...worker.runs].some(({ step }) => step.spec.isLongRunning);
  const readWorkerClock = (
    { clock: value, at }: NonNullable<typeof lastReading>,
  ): Milliseconds => value + (clock.now() - at);

  const recordEnd = (end: Milliseconds): void => {
    worker.lifetimeLeasesEndBy = Math.max(
      worker.lifetimeLeasesEndBy ?? 0,
      end + LEASE_MARGIN_MS,
    );
  };

  return {
    recordClock: (value, lifetime) => {
      const at = clock.now();
      const earlier = lastReading;
      const workerLifetime = worker.lifetime;
      lastReading = { clock: value, at, lifetime, workerLifetime };
      if (earlier?.workerLifetime === workerLifetime) return;
      const isFirst = earlier === undefined && worker.pastLifetimes.size === 0;
      grantedUntil = -Infinity;
      // The worker may hold a lease of an earlier lead, and calls that carry a
      // lease by the clock of an earlier lifetime may still arrive.
      recordEnd(at + LONGEST_LEASE_MS + (isFirst ? 0 : LATE_COMMAND_MS));
    },
    lastClock: () => currentReading()?.clock,
    needsExtraRenewal: () => {
      const reading = currentReading();
      return reading !== undefined && hasLongRunning() &&
        grantedUntil - readWorkerClock(reading) <
          SHORT_WORKER_LEASE_MS - EXTRA_RENEWAL_MS;
    },
    extend: ({ isRenewal }) => {
      const reading = currentReading();
      if (reading === undefined) return undefined;
      const now = clock.now();
      const workerNow = readWorkerClock(reading);
      const isShort = hasLongRunning();
      const isKept = !isRenewal && isShort &&
        grantedUntil - workerNow > SUFFICIENT_LEASE_MS;
      const leaseMs = isShort ? SHORT_WORKER_LEASE_MS : WORKER_LEASE_MS;
      const leaseUntil = isKept
        ? grantedUntil
        : Math.floor(workerNow + leaseMs);
      grantedUntil = Math.max(grantedUntil, leaseUntil);
      const latestEnd = reading.at +
        (leaseUntil - reading.clock) / MINIMUM_CLOCK_RATE;
      worker.leasesEndBy = Math.max(
        worker.leasesEndBy,
        latestEnd,
        now + LONGEST_LEASE_MS,
      );
      recordEnd(
        reading.lifetime === worker.lifetime
          ? latestEnd
          : now + LONGEST_LEASE_MS,
      );
      return leaseUntil;
    },
  };
}
