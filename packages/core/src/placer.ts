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
import { createStoppableGangs } from "./stoppable_gangs.ts";
import { createZoneCapacity } from "./zone_capacity.ts";

/**
 * Smallest difference in priority at which a request beyond its account's
 * guarantee may preempt borrowed work of another account. Work is borrowed
 * while its account uses more accelerators than it is guaranteed. The
 * difference is not required on workers that are reserved for the request.
 */
export const PRIORITY_GAP = 30;

const MINIMUM_RETRY_AFTER_MS: Milliseconds = 200;
const MAXIMUM_RETRY_AFTER_MS: Milliseconds = 60_000;
// Waiting time that raises the priority of a request by one point, so that
// requests of low priority do not starve.
const AGING_MS_PER_PRIORITY: Milliseconds = 2_000;
// Waiting time after which capacity may be reserved for a large job.
const RESERVE_AFTER_MS: Milliseconds = 5_000;
// A reclaim whose victims have not stopped after this time is planned again.
const RECLAIM_TIMEOUT_MS: Milliseconds = 2_000;
// A pass is due after this time even if nothing changed, because aging,
// reservations and time-outs depend on time.
const MAXIMUM_PASS_INTERVAL_MS: Milliseconds = 500;
// Number of racks for each reservation that may exist at the same time. At
// least one reservation is always allowed.
const RACKS_PER_RESERVATION = 4;
const COMPACTION_INTERVAL_MS: Milliseconds = 1_000;
// Compaction does not move leases younger than this, so that it does not move
// the same work repeatedly.
const COMPACTION_MINIMUM_AGE_MS: Milliseconds = 2_000;
// Compaction does not move work that is expected to end within this time, since
// that work soon frees its worker without a move.
const COMPACTION_MINIMUM_REMAINING_MS: Milliseconds = 3_000;
// A job of a single part counts as large from this size on, the size of a whole
// worker. Gang jobs always count as large.
const LARGE_JOB_ACCELERATORS = 8;

/**
 * State of one pass over the queue. Free capacity only shrinks during a pass,
 * so a request that did not fit would not fit later in the same pass either.
 */
interface SchedulingPass {
  racks: readonly (readonly WorkerView[])[];
  /** Fit keys, as built by `fitKeyOf`, of requests that did not fit. */
  failedFitKeys: Set<string>;
}

/**
 * Creates the placer of a zone. All its state is in memory; it can be rebuilt
 * from the reports of the workers and from waiting requests that their owners
 * submit again.
 *
 * @param options zone, host operations and policy
 * @returns the placer, without rules and workers until they are passed to it
 */
export function createPlacer(options: PlacerOptions): Placer {
  const { zone, host, policy = FULL_POLICY } = options;
  const inventory = createInventory();
  const zoneCapacity = createZoneCapacity();
  const queue = createWaitingQueue();
  const runTimes = createRunTimeEstimator();
  const quarantine = createQuarantine();
  const owners = new Map<string, string>();
  const reclaims = createPendingReclaims();
  const stoppableGangs = createStoppableGangs();
  const reservations = new Map<string, Reservation>();
  // Highest capacity observed; workers that were removed still count, so that
  // their loss does not make large requests look as if they never fit.
  const peak = { largestWorker: 0, largestRack: 0, accelerators: 0 };
  let guaranteeShares = NO_GUARANTEE_SHARES;
  let areSharesStale = true;
  let rules = NO_RULES;
  let nextArrival = 0;
  // Set by changes after which a waiting request may fit.
  let isDirty = true;
  let lastPassAt = 0;
  let lastCompactionAt = 0;

  const allRacks = () => [...inventory.racks().values()];
  const usableRacks = () =>
    allRacks().map((rack) => rack.filter((worker) => worker.isUsable));
  const zoneAccelerators = () => sumAccelerators(inventory.workers());
  const guaranteeOf = (account: string): number =>
    rules.accounts.get(account)?.guarantees
      .find((guarantee) => guarantee.zone === zone)?.accelerators ?? 0;
  /**
   * Counts the accelerators that an account uses beyond its guarantee; negative
   * when a part of the guarantee is unused.
   */
  const borrowedBy = (account: string): number =>
    inventory.used(account) - guaranteeOf(account);
  /**
   * Tests whether a request fits into its account's guarantee. The account's
   * work of lower priority does not count, since it may be preempted.
   */
  const fitsGuarantee = ({ account, priority, shape }: RequestSpec) =>
    inventory.used(account, priority) + totalAccelerators(shape) <=
      guaranteeOf(account);
  const expectedRunMs = (task: DeclaredTask): Milliseconds =>
    policy.learning ? runTimes.estimate(task) : task.expectedMs;

  /** Updates the guarantee shares and the peaks if workers or rules changed. */
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
   * Estimates the time in which all accelerators of the zone could finish the
   * waiting work of at least this priority.
   */
  const drainTimeMs = (priority: number): Milliseconds =>
    queue.totalWork(priority) / Math.max(1, zoneCapacity.estimate());

  const computeRetryAfterMs = (priority: number): Milliseconds => {
    const jitterFactor = 1 + host.random() * 0.5;
    const delayMs = Math.max(MINIMUM_RETRY_AFTER_MS, drainTimeMs(priority)) *
      jitterFactor;
    return Math.round(Math.min(MAXIMUM_RETRY_AFTER_MS, delayMs));
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
   * Counts the accelerators of a worker that pending reclaims and reservations
   * keep for other requests.
   */
  const keptForOthers = (
    worker: string,
    request: WaitingRequest,
    { endsAt, isWithinGuarantee }: {
      endsAt: Milliseconds;
      isWithinGuarantee: boolean;
    },
  ): number => {
    const keptForRequest = reclaims.get(request.spec.id)?.kept.get(worker) ?? 0;
    let kept = reclaims.kept(worker) - keptForRequest;
    // Requests within their guarantee may use reserved capacity: a reservation
    // only decides the order among requests beyond their guarantees.
    if (isWithinGuarantee) return kept;
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
   * Computes an upper bound on the accelerators of a worker that a request may
   * use: non-preemptible work must stay off other accounts' shares.
   */
  const capacityFor = ({ spec }: WaitingRequest, worker: WorkerView): number =>
    spec.preemptible
      ? worker.accelerators
      : nonPreemptibleCapacity(worker, guaranteeShares, spec.account);

  /**
   * Tests whether a request may probe a quarantined worker. A probe may fail,
   * so it must be repeatable and not part of a gang job.
   */
  const mayProbe = ({ spec }: WaitingRequest): boolean =>
    spec.repeatable && spec.shape.parts === 1;

  /**
   * Builds a function that counts the accelerators of a worker that are free
   * for a request.
   */
  const freeFor = (
    request: WaitingRequest,
    now: Milliseconds,
  ): (worker: WorkerView) => number => {
    const quarantined = quarantine.members();
    const endsAt = now + request.plannedMs;
    const isWithinGuarantee = fitsGuarantee(request.spec);
    return (worker) => {
      if (quarantined.has(worker.name) && !mayProbe(request)) return 0;
      const kept = reclaims.size() + reservations.size === 0
        ? 0
        : keptForOthers(worker.name, request, { endsAt, isWithinGuarantee });
      const free = Math.max(0, worker.free - kept);
      return request.spec.preemptible
        ? free
        : Math.min(free, capacityFor(request, worker));
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
    const countFree = freeFor(request, now);
    const { shape } = request.spec;
    if (request.avoid.length === 0) {
      return findPlacement(shape, racks, countFree);
    }
    const countFreeUnlessAvoided = (worker: WorkerView) =>
      request.avoid.includes(worker.name) ? 0 : countFree(worker);
    return findPlacement(shape, racks, countFreeUnlessAvoided) ??
      findPlacement(shape, racks, countFree);
  };

  /**
   * Builds a key from everything that decides whether a preemptible request
   * fits. When one request did not fit, others with its key are not tried in
   * the same pass. Non-preemptible requests, whose fit also depends on their
   * account, have no key; neither have requests with avoided workers or with
   * capacity kept for them.
   */
  const fitKeyOf = (
    { spec, avoid: avoidedWorkers, plannedMs }: WaitingRequest,
    now: Milliseconds,
  ): string | undefined => {
    const hasKeptCapacity = reclaims.get(spec.id) !== undefined ||
      reservations.has(spec.id);
    if (!spec.preemptible || avoidedWorkers.length > 0 || hasKeptCapacity) {
      return undefined;
    }
    const { parts, accelerators, adjacent } = spec.shape;
    const mayBackfill = [...reservations.values()].map(({ expectedAt }) =>
      now + plannedMs <= expectedAt
    );
    const isWithinGuarantee = reservations.size > 0 && fitsGuarantee(spec);
    const conditions = [spec.repeatable, isWithinGuarantee, ...mayBackfill];
    return [parts, accelerators, adjacent, ...conditions]
      .join("|");
  };

  const place = (
    request: WaitingRequest,
    placement: Placement,
    now: Milliseconds,
  ): void => {
    const { spec, attempt, since, avoid: avoidedWorkers } = request;
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
      quarantine.recordPlacement(target.name, now);
      inventory.setBlocked(
        target.name,
        !quarantine.isEligible(target.name, now),
      );
    }
    host.hold({ spec, attempt, since, avoid: avoidedWorkers, parts });
  };

  /**
   * Builds a function that tests whether a request may preempt a lease. Leases
   * of the request's own account may be preempted if their priority is lower.
   * From other accounts, a request within its guarantee may preempt borrowed
   * work, and also work within another guarantee that occupies a share of the
   * request's account; any other request may preempt only borrowed work whose
   * priority is lower by at least `PRIORITY_GAP`.
   */
  const isVictimFor =
    ({ spec }: WaitingRequest, isWithinGuarantee: boolean) =>
    (lease: LeaseView): boolean => {
      if (!lease.preemptible || lease.request === spec.id) return false;
      if (lease.account === spec.account) {
        return lease.priority < spec.priority;
      }
      if (borrowedBy(lease.account) <= 0) {
        return isWithinGuarantee && isOnGuaranteeShareOf(spec.account, lease);
      }
      return isWithinGuarantee ||
        lease.priority + PRIORITY_GAP <= spec.priority;
    };

  /**
   * Tests whether a lease runs on a worker where the given account has a share
   * and the lease's own account has none. Even work within its guarantee may be
   * preempted there, since its account's shares are on other workers.
   */
  const isOnGuaranteeShareOf = (account: string, lease: LeaseView): boolean => {
    const shares = guaranteeShares.workers.get(lease.worker)?.shares;
    return (shares?.get(account) ?? 0) > 0 &&
      !(shares?.has(lease.account) ?? false);
  };

  /**
   * Tests at low cost whether leases might be preempted for a request, before a
   * reclaim is planned: the request is within its guarantee, or a preemptible
   * lease has a priority lower by at least `PRIORITY_GAP`, or the request's own
   * account runs work of lower priority.
   */
  const mayReclaim = ({ spec }: WaitingRequest): boolean =>
    fitsGuarantee(spec) ||
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
   * Preempts the leases whose loss costs the least, if the request fits after
   * that, and keeps the capacity of the planned placement for the request.
   */
  const reclaim = (
    request: WaitingRequest,
    racks: readonly (readonly WorkerView[])[],
    now: Milliseconds,
  ): void => {
    const { spec } = request;
    const isWithinGuarantee = fitsGuarantee(spec);
    const countFree = freeFor(request, now);
    const plan = planReclaim({
      shape: spec.shape,
      racks,
      capacity: (worker) => capacityFor(request, worker),
      free: countFree,
      isVictim: isVictimFor(request, isWithinGuarantee),
      reclaimableFrom: (account) => {
        const isUnlimited = account === spec.account || isWithinGuarantee;
        return isUnlimited ? Infinity : borrowedBy(account);
      },
      leasesOf: inventory.leasesOf,
      mayStopGang: (leases) => stoppableGangs.mayStop(leases, now),
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
      const expectedMs = expectedRunMs(lease);
      const ranMs = now - lease.seenAt;
      // At least half of the estimate is expected to remain, also for a task
      // that has run for longer than its estimate.
      return now + Math.max(expectedMs - ranMs, expectedMs / 2);
    };

  const isLarge = ({ shape }: RequestSpec): boolean =>
    shape.parts > 1 || totalAccelerators(shape) >= LARGE_JOB_ACCELERATORS;

  const mayReserve = (request: WaitingRequest, now: Milliseconds): boolean => {
    const maximumReservations = Math.max(
      1,
      Math.floor(inventory.racks().size / RACKS_PER_RESERVATION),
    );
    return policy.reservation && isLarge(request.spec) &&
      now - request.since >= RESERVE_AFTER_MS &&
      !reservations.has(request.spec.id) &&
      reservations.size < maximumReservations;
  };

  /** Reserves capacity for a large job on workers that have no reservation. */
  const reserve = (
    request: WaitingRequest,
    racks: readonly (readonly WorkerView[])[],
    now: Milliseconds,
  ): void => {
    const reservedWorkers = new Set(
      [...reservations.values()].flatMap(({ workers }) => [...workers.keys()]),
    );
    const reservation = planReservation({
      request: request.spec.id,
      shape: request.spec.shape,
      racks: racks.map((rack) =>
        rack.filter(({ name }) => !reservedWorkers.has(name))
      ),
      now,
      expectedEndOf: expectedEndOf(now),
      capacity: (worker) => capacityFor(request, worker),
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
      // A reserved worker was removed, so the reservation cannot be met.
      reservations.delete(request.spec.id);
      return;
    }
    const priority = agedPriority(request, now);
    const plan = planReclaim({
      shape: request.spec.shape,
      racks: [workers],
      capacity: (worker) => capacityFor(request, worker),
      free: freeFor(request, now),
      isVictim: (lease) => lease.preemptible && lease.priority <= priority,
      reclaimableFrom: borrowedBy,
      leasesOf: inventory.leasesOf,
      mayStopGang: (leases) => stoppableGangs.mayStop(leases, now),
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
      isWithinGuarantee: fitsGuarantee(spec),
      priority: agedPriority(request, now),
      weightedUse: inventory.used(spec.account) / Math.max(1, weight),
      arrival: request.arrival,
    };
  };

  /**
   * Tests whether victims of the request's reclaim are still stopping. Once all
   * have stopped, or after the time-out, a new reclaim may be planned.
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
   * Places a request if it fits; otherwise reclaims or reserves capacity for it
   * where the policy allows that.
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
      // All requests of a group have the same shape, so when the head does not
      // fit, the requests behind it are not tried in this pass.
      if (!isPlaced || next === undefined) heads.delete(group.name);
      else heads.set(group.name, { group, rank: rankOf(next, now) });
    }
  };

  const refuseOverdue = (now: Milliseconds): void => {
    for (const { requests } of queue.groups()) {
      for (const request of requests.values()) {
        if (request.spec.isJob) continue;
        const waitMs = rules.classes.get(request.spec.class)?.waitMs;
        // The requests behind this one have the same class and were queued
        // later.
        if (waitMs === undefined || now - request.since < waitMs) break;
        refuse(request, EndReason.waitedTooLong);
      }
    }
  };

  /**
   * Tests whether a new request is refused at once: too many requests of its
   * class wait, or the waiting work would take longer than the request may
   * wait. The second reason does not apply to requests within their guarantee,
   * and neither applies to accepted jobs.
   */
  const shouldRefuse = ({ spec }: WaitingRequest): boolean => {
    const rule = rules.classes.get(spec.class);
    if (rule === undefined || spec.isJob) return false;
    if (queue.size(spec.class) >= rule.refuseOver) return true;
    if (!policy.refusal || fitsGuarantee(spec)) return false;
    const waitMs = Math.min(rule.waitMs, spec.deadlineMs);
    return drainTimeMs(spec.priority) > waitMs;
  };

  /**
   * Preempts the work of one partly used worker if it fits on other partly used
   * workers, so that the worker becomes entirely free.
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

  const discardReport = (worker: string): void => {
    inventory.remove(worker);
    areSharesStale = true;
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
    const pendingReclaim = reclaims.get(id);
    const needed = `${totalAccelerators(shape)} accelerators in ` +
      `${shape.parts} parts, adjacent ${shape.adjacent}`;
    if (pendingReclaim !== undefined) {
      const names = [...pendingReclaim.kept.keys()].join(", ");
      const count = pendingReclaim.plan.victims.length;
      return `needs ${needed}; ${count} leases are being stopped on ${names}`;
    }
    if (reservation !== undefined) {
      const names = [...reservation.workers.keys()].join(", ");
      return `needs ${needed}; ${names} are reserved for it, expected at ` +
        `${Math.round(reservation.expectedAt)} ms of the lead's clock`;
    }
    const guaranteeUse = fitsGuarantee(request.spec)
      ? "within its account's guarantee"
      : "beyond its account's guarantee";
    return `needs ${needed}, ${guaranteeUse}; ${queue.size()} requests wait, ` +
      `${measureFragmentation(usableRacks()).free} accelerators are free`;
  };

  return {
    configure: (newRules) => {
      rules = newRules;
      areSharesStale = true;
      isDirty = true;
    },
    submit: ({ spec, attempt, avoid: avoidedWorkers, owner }, now) => {
      const earlier = queue.find(spec.id);
      const request: WaitingRequest = {
        spec,
        attempt,
        avoid: avoidedWorkers,
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
    requeueRefused: (
      { spec, attempt, since, avoid: avoidedWorkers, parts },
    ) => {
      for (const { target, lease } of parts) {
        inventory.removeLease(target.name, lease.lease);
      }
      isDirty = true;
      const waiting = queue.find(spec.id);
      if (waiting !== undefined && waiting.attempt > attempt) return;
      owners.set(spec.id, parts[0].lease.owner);
      queue.add({
        spec,
        attempt,
        avoid: avoidedWorkers,
        since,
        arrival: nextArrival++,
        plannedMs: expectedRunMs(spec),
      });
    },
    releaseHold: (worker, lease) => {
      inventory.removeLease(worker, lease);
      isDirty = true;
    },
    applyReport: (report, now) => {
      zoneCapacity.recordReport(report.worker, report.accelerators);
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
    setListedWorkers: zoneCapacity.setListed,
    removeWorker: (worker) => {
      zoneCapacity.exclude(worker);
      discardReport(worker);
    },
    discardReport,
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
