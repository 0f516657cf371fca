import type { Milliseconds } from "@rattanhill/shared";
import { describeAccounts } from "./account_status.ts";
import { planCompaction } from "./compaction.ts";
import { findPlacement, type Placement } from "./fit.ts";
import { measureFragmentation } from "./fragmentation.ts";
import {
  assignGuarantees,
  NO_GUARANTEE_SHARES,
  nonPreemptibleCapacity,
} from "./guarantee_shares.ts";
import {
  createInventory,
  type LeaseView,
  type WorkerView,
} from "./inventory.ts";
import { describeLease } from "./lease_descriptor.ts";
import { createPendingReclaims } from "./pending_reclaims.ts";
import {
  FULL_POLICY,
  type Placer,
  PlacerDecision,
  type PlacerOptions,
} from "./placer_types.ts";
import { createQuarantine } from "./quarantine.ts";
import {
  createWaitingQueue,
  type WaitingGroup,
  type WaitingRequest,
} from "./queue.ts";
import { goesBefore, type Rank } from "./rank.ts";
import { planReclaim } from "./reclaim.ts";
import { EndReason } from "./request_types.ts";
import { planReservation, type Reservation } from "./reservation.ts";
import { NO_RULES } from "./rules.ts";
import { createRunTimeEstimator, type DeclaredTask } from "./run_times.ts";
import { type RequestSpec, totalAccelerators } from "./shape.ts";

/**
 * Points of priority by which a request must exceed borrowed work to preempt
 * it.
 */
export const PRIORITY_GAP = 30;

const MINIMUM_RETRY_AFTER_MS: Milliseconds = 200;
const MAXIMUM_RETRY_AFTER_MS: Milliseconds = 60_000;
// Waiting this long raises the priority by one point, against starvation.
const AGING_MS_PER_PRIORITY: Milliseconds = 2_000;
const RESERVE_AFTER_MS: Milliseconds = 5_000;
// After this time a reclaim whose victims did not stop is planned again.
const RECLAIM_TIMEOUT_MS: Milliseconds = 2_000;
// A pass is due also without changes: aging, reservations and time-outs depend
// on time.
const MAXIMUM_PASS_INTERVAL_MS: Milliseconds = 500;
// One reservation is allowed for this many racks, and one in any case.
const RACKS_PER_RESERVATION = 4;
const COMPACTION_INTERVAL_MS: Milliseconds = 1_000;
// So that the same work is not moved repeatedly.
const COMPACTION_MINIMUM_AGE_MS: Milliseconds = 2_000;
// Work that ends sooner frees its worker without a move.
const COMPACTION_MINIMUM_REMAINING_MS: Milliseconds = 3_000;
const LARGE_JOB_ACCELERATORS = 8; // the size of a whole worker

/**
 * State of one pass over the queue. Free capacity only shrinks during a pass,
 * so a request that did not fit would not fit later in the same pass either.
 */
interface SchedulingPass {
  racks: readonly (readonly WorkerView[])[];
  /** Fit keys of requests that did not fit. */
  failedFitKeys: Set<string>;
}

/**
 * Creates the placer of a zone. All its state is in memory and can be rebuilt
 * from the reports of workers and the submissions of owners of waiting
 * requests.
 *
 * @param options zone, host operations and policy
 * @returns the placer, without rules and workers until they are passed to it
 */
export function createPlacer(options: PlacerOptions): Placer {
  const { zone, host, policy = FULL_POLICY } = options;
  const inventory = createInventory();
  const queue = createWaitingQueue();
  const runTimes = createRunTimeEstimator();
  const quarantine = createQuarantine();
  const owners = new Map<string, string>();
  const reclaims = createPendingReclaims();
  const reservations = new Map<string, Reservation>();
  // Highest values observed; workers that were removed still count, so that
  // their loss does not make large requests look as if they never fit.
  const peak = { largestWorker: 0, largestRack: 0, accelerators: 0 };
  let guaranteeShares = NO_GUARANTEE_SHARES;
  let areSharesStale = true;
  let rules = NO_RULES;
  let nextArrival = 0;
  let isDirty = true; // set by changes that may let a request be placed
  let lastPassAt = 0;
  let lastCompactionAt = 0;

  const allRacks = () => [...inventory.racks().values()];
  const usableRacks = () =>
    allRacks().map((rack) => rack.filter((worker) => worker.isUsable));
  const zoneAccelerators = () => sumAccelerators(inventory.workers());
  const guaranteed = (account: string): number =>
    rules.accounts.get(account)?.guarantees
      .find((guarantee) => guarantee.zone === zone)?.accelerators ?? 0;
  /** Use beyond the guarantee; negative when some of it is unused. */
  const borrowedBy = (account: string): number =>
    inventory.used(account) - guaranteed(account);
  /** The account's work of lower priority is left out: it may be preempted. */
  const isWithinGuarantee = ({ account, priority, shape }: RequestSpec) =>
    inventory.used(account, priority) + totalAccelerators(shape) <=
      guaranteed(account);
  const expectedRunMs = (task: DeclaredTask): Milliseconds =>
    policy.learning ? runTimes.estimate(task) : task.expectedMs;

  const refreshShares = (): void => {
    if (!areSharesStale) return;
    areSharesStale = false;
    guaranteeShares = assignGuarantees(rules, zone, allRacks());
    const racks = allRacks().map(sumAccelerators);
    peak.largestRack = Math.max(peak.largestRack, ...racks);
    peak.accelerators = Math.max(peak.accelerators, zoneAccelerators());
    for (const { accelerators } of inventory.workers()) {
      peak.largestWorker = Math.max(peak.largestWorker, accelerators);
    }
  };

  /**
   * Time in which all accelerators of the zone could finish the waiting work of
   * at least this priority.
   */
  const drainTimeMs = (priority: number): Milliseconds =>
    queue.totalWork(priority) / Math.max(1, zoneAccelerators());

  const computeRetryAfterMs = (priority: number): Milliseconds => {
    const jitter = 1 + host.random() * 0.5;
    const bounded = Math.max(MINIMUM_RETRY_AFTER_MS, drainTimeMs(priority)) *
      jitter;
    return Math.round(Math.min(MAXIMUM_RETRY_AFTER_MS, bounded));
  };

  const removeRequest = (id: string): void => {
    queue.remove(id);
    owners.delete(id);
    reclaims.delete(id);
    if (reservations.delete(id)) {
      host.reportDecision?.(PlacerDecision.reservationEnded, id);
    }
  };

  const refuse = (request: WaitingRequest, reason: EndReason): void => {
    const { spec, attempt } = request;
    const retryAfterMs = computeRetryAfterMs(spec.priority);
    removeRequest(spec.id);
    host.refuse(spec.id, attempt, { reason, retryAfterMs });
  };

  /**
   * Accelerators of a worker that reclaims and reservations keep for other
   * requests.
   */
  const keptForOthers = (
    worker: string,
    request: WaitingRequest,
    { endsAt, isWithin }: { endsAt: Milliseconds; isWithin: boolean },
  ): number => {
    const own = reclaims.get(request.spec.id)?.kept.get(worker) ?? 0;
    let kept = reclaims.kept(worker) - own;
    // Requests within their guarantee may use reserved capacity: a reservation
    // only decides the order among requests beyond their guarantees.
    if (isWithin) return kept;
    for (const [id, { workers, expectedAt }] of reservations) {
      if (id === request.spec.id) continue;
      // Backfill: preemptible work may use reserved capacity if it is expected
      // to end before the reserved start.
      const isBackfill = request.spec.preemptible && endsAt <= expectedAt;
      if (!isBackfill) kept += workers.get(worker) ?? 0;
    }
    return kept;
  };

  /**
   * Upper bound on the accelerators of a worker that a request may use:
   * non-preemptible work must stay off other accounts' shares.
   */
  const limitOf = ({ spec }: WaitingRequest, worker: WorkerView): number =>
    spec.preemptible
      ? worker.accelerators
      : nonPreemptibleCapacity(worker, guaranteeShares, spec.account);

  /** A probe may fail, so it must be repeatable and not part of a gang job. */
  const mayProbe = ({ spec }: WaitingRequest): boolean =>
    spec.repeatable && spec.shape.parts === 1;

  /** Builds a function that counts the accelerators free for a request. */
  const freeFor = (
    request: WaitingRequest,
    now: Milliseconds,
  ): (worker: WorkerView) => number => {
    const quarantined = quarantine.members();
    const endsAt = now + request.plannedMs;
    const isWithin = isWithinGuarantee(request.spec);
    return (worker) => {
      if (quarantined.has(worker.name) && !mayProbe(request)) return 0;
      const kept = reclaims.size() + reservations.size === 0
        ? 0
        : keptForOthers(worker.name, request, { endsAt, isWithin });
      const free = Math.max(0, worker.free - kept);
      return request.spec.preemptible
        ? free
        : Math.min(free, limitOf(request, worker));
    };
  };

  /**
   * Finds a placement without the avoided workers or, if there is none, a
   * placement that may use them.
   */
  const findFit = (
    request: WaitingRequest,
    racks: readonly (readonly WorkerView[])[],
    now: Milliseconds,
  ): Placement | undefined => {
    const free = freeFor(request, now);
    const { shape } = request.spec;
    if (request.avoid.length === 0) return findPlacement(shape, racks, free);
    const freeUnlessAvoided = (worker: WorkerView) =>
      request.avoid.includes(worker.name) ? 0 : free(worker);
    return findPlacement(shape, racks, freeUnlessAvoided) ??
      findPlacement(shape, racks, free);
  };

  /**
   * Builds a key of everything that decides whether a preemptible request fits.
   * Whether a non-preemptible request fits depends on its account too, so it
   * has no key.
   */
  const fitKeyOf = (
    { spec, avoid, plannedMs }: WaitingRequest,
    now: Milliseconds,
  ): string | undefined => {
    const hasReserved = reclaims.get(spec.id) !== undefined ||
      reservations.has(spec.id);
    if (!spec.preemptible || avoid.length > 0 || hasReserved) return undefined;
    const { parts, accelerators, adjacent } = spec.shape;
    const backfills = [...reservations.values()].map(({ expectedAt }) =>
      now + plannedMs <= expectedAt
    );
    const isWithin = reservations.size > 0 && isWithinGuarantee(spec);
    const facts = [spec.repeatable, isWithin, ...backfills];
    return [parts, accelerators, adjacent, ...facts]
      .join("|");
  };

  const place = (
    request: WaitingRequest,
    placement: Placement,
    now: Milliseconds,
  ): void => {
    const { spec, attempt, since } = request;
    const owner = owners.get(spec.id) ?? "";
    removeRequest(spec.id);
    const parts = placement.map((target, part) => ({
      target,
      lease: describeLease(spec, {
        lease: host.createLeaseName(),
        attempt,
        part,
        owner,
      }),
    }));
    for (const { target, lease } of parts) {
      inventory.addPendingHold(target.name, lease, now);
      quarantine.recordProbe(target.name, now);
      inventory.setBlocked(
        target.name,
        !quarantine.isEligible(target.name, now),
      );
    }
    host.hold({ spec, attempt, since, parts });
  };

  /**
   * Builds the test of which leases a request may preempt. Within its own
   * account: leases of lower priority. A request within its guarantee: also
   * borrowed work, and work that occupies its account's share although it is
   * within another guarantee. Any other request: borrowed work whose priority
   * is lower by at least `PRIORITY_GAP`.
   */
  const isVictimFor =
    ({ spec }: WaitingRequest, isWithin: boolean) =>
    (lease: LeaseView): boolean => {
      if (!lease.preemptible || lease.request === spec.id) return false;
      if (lease.account === spec.account) {
        return lease.priority < spec.priority;
      }
      if (borrowedBy(lease.account) <= 0) {
        return isWithin && isOnGuaranteeShareOf(spec.account, lease);
      }
      return isWithin || lease.priority + PRIORITY_GAP <= spec.priority;
    };

  /**
   * Tests whether a lease occupies capacity set apart for the given account on
   * a worker where the lease's own account has none. Even work within its
   * guarantee may be preempted there, since its own share is on other workers.
   */
  const isOnGuaranteeShareOf = (account: string, lease: LeaseView): boolean => {
    const shares = guaranteeShares.workers.get(lease.worker)?.shares;
    return (shares?.get(account) ?? 0) > 0 &&
      !(shares?.has(lease.account) ?? false);
  };

  /**
   * Rules out cheaply requests for which no lease may be preempted: those
   * beyond their guarantee, without a sufficient gap in priority and without
   * work of their own account of lower priority.
   */
  const mayReclaim = ({ spec }: WaitingRequest): boolean =>
    isWithinGuarantee(spec) ||
    inventory.lowestPreemptiblePriority() + PRIORITY_GAP <= spec.priority ||
    inventory.used(spec.account) >
      inventory.used(spec.account, spec.priority);

  const preemptLeases = (leases: readonly LeaseView[]): void => {
    host.preempt(leases);
    for (const { request } of leases) {
      host.reportDecision?.(PlacerDecision.preempted, request);
    }
  };

  /**
   * Preempts the leases whose loss costs the least, if that makes the request
   * fit, and keeps the capacity for it.
   */
  const reclaim = (
    request: WaitingRequest,
    racks: readonly (readonly WorkerView[])[],
    now: Milliseconds,
  ): void => {
    const { spec } = request;
    const isWithin = isWithinGuarantee(spec);
    const free = freeFor(request, now);
    const plan = planReclaim({
      shape: spec.shape,
      racks,
      limit: (worker) => limitOf(request, worker),
      free,
      isVictim: isVictimFor(request, isWithin),
      reclaimableFrom: (account) => {
        const isUnlimited = account === spec.account || isWithin;
        return isUnlimited ? Infinity : borrowedBy(account);
      },
      leasesOf: inventory.leasesOf,
    });
    if (plan === undefined) return;
    const kept = new Map<string, number>();
    for (const { name } of plan.placement) {
      kept.set(name, (kept.get(name) ?? 0) + spec.shape.accelerators);
    }
    reclaims.set(spec.id, { plan, kept, plannedAt: now });
    preemptLeases(plan.victims);
  };

  const expectedEndOf =
    (now: Milliseconds) => (lease: LeaseView): Milliseconds => {
      const expected = expectedRunMs(lease);
      const ran = now - lease.seenAt;
      // A task that has overrun its estimate is expected to run for another
      // half of the estimate.
      return now + Math.max(expected - ran, expected / 2);
    };

  const isLarge = ({ shape }: RequestSpec): boolean =>
    shape.parts > 1 || totalAccelerators(shape) >= LARGE_JOB_ACCELERATORS;

  const mayReserve = (request: WaitingRequest, now: Milliseconds): boolean => {
    const limit = Math.max(
      1,
      Math.floor(inventory.racks().size / RACKS_PER_RESERVATION),
    );
    return policy.reservation && isLarge(request.spec) &&
      now - request.since >= RESERVE_AFTER_MS &&
      !reservations.has(request.spec.id) && reservations.size < limit;
  };

  const reserve = (
    request: WaitingRequest,
    racks: readonly (readonly WorkerView[])[],
    now: Milliseconds,
  ): void => {
    const taken = new Set(
      [...reservations.values()].flatMap(({ workers }) => [...workers.keys()]),
    );
    const reservation = planReservation({
      request: request.spec.id,
      shape: request.spec.shape,
      racks: racks.map((rack) => rack.filter(({ name }) => !taken.has(name))),
      now,
      expectedEndOf: expectedEndOf(now),
      limit: (worker) => limitOf(request, worker),
    });
    if (reservation === undefined) return;
    reservations.set(request.spec.id, reservation);
    host.reportDecision?.(PlacerDecision.reserved, request.spec.id);
  };

  /**
   * Preempts borrowed work of at most the request's aged priority that still
   * runs on the reserved workers after the expected start.
   */
  const enforceReservation = (
    request: WaitingRequest,
    reservation: Reservation,
    now: Milliseconds,
  ): void => {
    const workers = [...reservation.workers.keys()]
      .map(inventory.find).filter((worker) => worker !== undefined);
    if (workers.length < reservation.workers.size) {
      reservations.delete(request.spec.id); // a reserved worker was removed
      return;
    }
    const priority = agedPriority(request, now);
    const plan = planReclaim({
      shape: request.spec.shape,
      racks: [workers],
      limit: (worker) => limitOf(request, worker),
      free: freeFor(request, now),
      isVictim: (lease) => lease.preemptible && lease.priority <= priority,
      reclaimableFrom: borrowedBy,
      leasesOf: inventory.leasesOf,
    });
    if (plan === undefined || plan.victims.length === 0) return;
    reclaims.set(request.spec.id, {
      plan,
      kept: reservation.workers,
      plannedAt: now,
    });
    preemptLeases(plan.victims);
  };

  const agedPriority = ({ spec, since }: WaitingRequest, now: Milliseconds) =>
    spec.priority + (now - since) / AGING_MS_PER_PRIORITY;

  const rankOf = (request: WaitingRequest, now: Milliseconds): Rank => {
    const { spec } = request;
    const weight = rules.accounts.get(spec.account)?.weight ?? 1;
    return {
      isWithinGuarantee: isWithinGuarantee(spec),
      priority: agedPriority(request, now),
      weightedUse: inventory.used(spec.account) / Math.max(1, weight),
      arrival: request.arrival,
    };
  };

  /**
   * Tests whether victims are still stopping; when none is left or the time-out
   * has passed, a new plan may be made.
   */
  const isReclaiming = (id: string, now: Milliseconds): boolean => {
    const pending = reclaims.get(id);
    if (pending === undefined) return false;
    if (now - pending.plannedAt >= RECLAIM_TIMEOUT_MS) return false;
    return pending.plan.victims.some(({ worker, lease }) =>
      inventory.find(worker)?.leases.has(lease)
    );
  };

  /**
   * Places a request if it fits; otherwise reclaims or reserves capacity for
   * it.
   *
   * @returns whether it was placed
   */
  const tryToPlace = (
    request: WaitingRequest,
    { racks, failedFitKeys }: SchedulingPass,
    now: Milliseconds,
  ): boolean => {
    const fitKey = fitKeyOf(request, now);
    const isKnownNotToFit = fitKey !== undefined && failedFitKeys.has(fitKey);
    const placement = isKnownNotToFit
      ? undefined
      : findFit(request, racks, now);
    if (placement !== undefined) {
      place(request, placement, now);
      return true;
    }
    if (fitKey !== undefined) failedFitKeys.add(fitKey);
    const { id } = request.spec;
    if (!isReclaiming(id, now)) {
      reclaims.delete(id);
      const reservation = reservations.get(id);
      if (policy.reclaim && mayReclaim(request)) reclaim(request, racks, now);
      if (mayReserve(request, now)) reserve(request, racks, now);
      else if (reservation !== undefined && now >= reservation.expectedAt) {
        enforceReservation(request, reservation, now);
      }
    }
    return false;
  };

  /** Runs one pass, which tries the heads of all groups in order of rank. */
  const placeWaiting = (now: Milliseconds): void => {
    const pass: SchedulingPass = {
      racks: usableRacks(),
      failedFitKeys: new Set(),
    };
    const heads = new Map<string, { group: WaitingGroup; rank: Rank }>();
    for (const group of queue.groups()) {
      heads.set(group.name, { group, rank: rankOf(headOf(group)!, now) });
    }
    while (heads.size > 0) {
      const { group } = highestRanked(heads.values());
      const request = headOf(group)!;
      const isPlaced = tryToPlace(request, pass, now);
      const next = headOf(group);
      // All requests of a group have the same shape: behind a head that does
      // not fit, the others are not tried in this pass.
      if (!isPlaced || next === undefined) heads.delete(group.name);
      else heads.set(group.name, { group, rank: rankOf(next, now) });
    }
  };

  const refuseOverdue = (now: Milliseconds): void => {
    for (const { requests } of queue.groups()) {
      for (const request of requests.values()) {
        if (request.spec.isJob) continue;
        const waitMs = rules.classes.get(request.spec.class)?.waitMs;
        // The requests behind it have the same class and were queued later.
        if (waitMs === undefined || now - request.since < waitMs) break;
        refuse(request, EndReason.waitedTooLong);
      }
    }
  };

  /**
   * Tests whether the class's queue is full or the waiting work would take
   * longer than the request may wait.
   */
  const shouldRefuse = ({ spec }: WaitingRequest): boolean => {
    const rule = rules.classes.get(spec.class);
    if (rule === undefined || spec.isJob) return false;
    if (queue.size(spec.class) >= rule.refuseOver) return true;
    if (!policy.refusal || isWithinGuarantee(spec)) return false;
    const waitMs = Math.min(rule.waitMs, spec.deadlineMs);
    return drainTimeMs(spec.priority) > waitMs;
  };

  /**
   * Preempts the work of one partly used worker if it fits on other partly used
   * ones, to free a whole worker.
   */
  const compact = (now: Milliseconds): void => {
    const isDue = now - lastCompactionAt >= COMPACTION_INTERVAL_MS;
    if (!policy.compaction || !isDue || reclaims.size() > 0) return;
    lastCompactionAt = now;
    const victims = planCompaction({
      racks: usableRacks(),
      mayMove: (lease) =>
        lease.preemptible && lease.parts === 1 &&
        now - lease.seenAt >= COMPACTION_MINIMUM_AGE_MS &&
        expectedEndOf(now)(lease) - now >= COMPACTION_MINIMUM_REMAINING_MS,
    });
    if (victims.length > 0) preemptLeases(victims);
  };

  const updateQuarantinedWorkers = (now: Milliseconds): void => {
    for (const worker of quarantine.members()) {
      inventory.setBlocked(worker, !quarantine.isEligible(worker, now));
    }
  };

  const explain = (id: string): string | undefined => {
    const request = queue.find(id);
    if (request === undefined) return undefined;
    const { shape } = request.spec;
    const reservation = reservations.get(id);
    const reclaiming = reclaims.get(id);
    const needed = `${totalAccelerators(shape)} accelerators in ` +
      `${shape.parts} parts, adjacent ${shape.adjacent}`;
    if (reclaiming !== undefined) {
      const names = [...reclaiming.kept.keys()].join(", ");
      const count = reclaiming.plan.victims.length;
      return `needs ${needed}; ${count} leases are being stopped on ${names}`;
    }
    if (reservation !== undefined) {
      const names = [...reservation.workers.keys()].join(", ");
      return `needs ${needed}; ${names} are reserved for it, expected at ` +
        `${Math.round(reservation.expectedAt)} ms of the lead's clock`;
    }
    const guaranteeUse = isWithinGuarantee(request.spec)
      ? "within its account's guarantee"
      : "beyond its account's guarantee";
    return `needs ${needed}, ${guaranteeUse}; ${queue.size()} requests wait, ` +
      `${measureFragmentation(usableRacks()).free} accelerators are free`;
  };

  return {
    configure: (next) => {
      rules = next;
      areSharesStale = true;
      isDirty = true;
    },
    submit: ({ spec, attempt, avoid, owner }, now) => {
      const earlier = queue.find(spec.id);
      const request: WaitingRequest = {
        spec,
        attempt,
        avoid,
        since: earlier?.since ?? now,
        arrival: earlier?.arrival ?? nextArrival++,
        plannedMs: expectedRunMs(spec),
      };
      if (shouldRefuse(request)) return refuse(request, EndReason.queueFull);
      owners.set(spec.id, owner);
      queue.add(request);
      isDirty = true;
    },
    withdraw: (id) => {
      const isWaiting = queue.find(id) !== undefined;
      removeRequest(id);
      return isWaiting;
    },
    confirmHolds: (plan, sequences) => {
      plan.parts.forEach(({ target, lease }, part) =>
        inventory.confirmHold(target.name, lease.lease, sequences[part])
      );
    },
    requeueRefused: ({ spec, attempt, since, parts }) => {
      for (const { target, lease } of parts) {
        inventory.removeLease(target.name, lease.lease);
      }
      owners.set(spec.id, parts[0].lease.owner);
      const arrival = nextArrival++;
      const plannedMs = expectedRunMs(spec);
      queue.add({ spec, attempt, avoid: [], since, arrival, plannedMs });
      isDirty = true;
    },
    releaseHold: (worker, lease) => {
      inventory.removeLease(worker, lease);
      isDirty = true;
    },
    applyReport: (report, now) => {
      const isNew = inventory.find(report.worker)?.boot !== report.boot;
      if (inventory.applyReport(report, now)) isDirty = true;
      if (!isNew) return;
      areSharesStale = true;
      const isEligible = quarantine.isEligible(report.worker, now);
      inventory.setBlocked(report.worker, !isEligible);
    },
    recordTaskEnd: (task, ranMs, now) => {
      if (!task.hasFailed) runTimes.recordRun(task, ranMs);
      if (!quarantine.recordTaskEnd(task, now)) return;
      const isEligible = quarantine.isEligible(task.worker, now);
      inventory.setBlocked(task.worker, !isEligible);
      const decision = isEligible
        ? PlacerDecision.releasedWorker
        : PlacerDecision.quarantined;
      host.reportDecision?.(decision, task.worker);
      isDirty = true;
    },
    removeWorker: (worker) => {
      inventory.remove(worker);
      areSharesStale = true;
    },
    decide: (now) => {
      refuseOverdue(now);
      compact(now);
      if (queue.size() === 0) return;
      const isPassDue = now - lastPassAt >= MAXIMUM_PASS_INTERVAL_MS;
      if (!isDirty && !isPassDue) return;
      isDirty = false;
      lastPassAt = now;
      refreshShares();
      updateQuarantinedWorkers(now);
      placeWaiting(now);
    },
    summarize: () => {
      refreshShares();
      return {
        ...measureFragmentation(usableRacks()),
        ...peak,
        zone,
        workers: inventory.workers().length,
        waiting: queue.size(),
      };
    },
    accounts: () => {
      refreshShares();
      return describeAccounts({
        zone,
        rules,
        guaranteeShares,
        workers: inventory.workers(),
      });
    },
    unmetGuarantees: () => {
      refreshShares();
      return guaranteeShares.unmet;
    },
    explain,
    workers: inventory.workers,
  };
}

function highestRanked(
  heads: Iterable<{ group: WaitingGroup; rank: Rank }>,
): { group: WaitingGroup; rank: Rank } {
  let best: { group: WaitingGroup; rank: Rank } | undefined;
  for (const head of heads) {
    if (best === undefined || goesBefore(head.rank, best.rank)) best = head;
  }
  return best!;
}

function headOf(group: WaitingGroup): WaitingRequest | undefined {
  for (const request of group.requests.values()) return request;
  return undefined;
}

function sumAccelerators(workers: readonly WorkerView[]): number {
  return workers.reduce((sum, { accelerators }) => sum + accelerators, 0);
}
