import type { Milliseconds } from "@rattanhill/shared";
import { findPlacement, type Placement } from "./fit.ts";
import { type Fragmentation, measureFragmentation } from "./fragmentation.ts";
import { createInventory, type WorkerView } from "./inventory.ts";
import type { LeaseDescriptor, WorkerReport } from "./lease.ts";
import {
  createWaitingQueue,
  type WaitingGroup,
  type WaitingRequest,
} from "./queue.ts";
import { EndReason } from "./request.ts";
import { NO_RULES, type Rules } from "./rules.ts";
import { type RequestSpec, totalAccelerators } from "./shape.ts";

/** Holds that the host has to obtain from the workers, all or none. */
export interface HoldPlan {
  spec: RequestSpec;
  attempt: number;
  parts: readonly { target: WorkerView; lease: LeaseDescriptor }[];
}

/** Refusal of a placement. */
export interface PlaceRefusal {
  reason: EndReason;
  retryAfterMs: Milliseconds;
}

/** Operations of the host. */
export interface PlacerHost {
  /** Asks the workers for the holds of a plan. */
  hold(plan: HoldPlan): void;
  /** Tells the owner of a request that it will not be placed. */
  refuse(id: string, attempt: number, refusal: PlaceRefusal): void;
  /** @returns a new lease name */
  createLeaseName(): string;
  /** @returns a number from 0 up to 1 */
  random(): number;
}

/** Options of a placer. */
export interface PlacerOptions {
  /** Availability zone whose workers it decides about. */
  zone: string;
  host: PlacerHost;
}

/** Summary of a zone, sent to the other entries. */
export interface ZoneSummary extends Fragmentation {
  zone: string;
  workers: number;
  accelerators: number;
  /** Accelerators of the largest worker. */
  largestWorker: number;
  /** Accelerators of the largest rack. */
  largestRack: number;
  waiting: number;
}

/** Decides which request of a zone runs on which workers. */
export interface Placer {
  /** Takes new rules into force. */
  configure(rules: Rules): void;
  /** Adds a request of an owner; answered by `hold` or `refuse` of the host. */
  submit(
    request: Pick<WaitingRequest, "spec" | "attempt" | "avoid"> & {
      owner: string;
    },
    now: Milliseconds,
  ): void;
  /** Removes a waiting request. @returns whether it was waiting */
  withdraw(id: string): boolean;
  /** Notes the result of a plan. */
  holdsGranted(
    plan: HoldPlan,
    sequences: readonly number[],
  ): void;
  /** Returns a request to the queue after a worker refused its hold. */
  holdsRefused(plan: HoldPlan, now: Milliseconds): void;
  /** Notes that a hold was given back. */
  release(worker: string, lease: string): void;
  /** Takes a worker's report. */
  report(report: WorkerReport, now: Milliseconds): void;
  /** Removes a worker that cannot be asked. */
  lose(worker: string): void;
  /** Excludes a worker from new work, or admits it again. */
  setBlocked(worker: string, isBlocked: boolean): void;
  /** Places what fits and refuses what waited too long. */
  decide(now: Milliseconds): void;
  /** @returns the state for peers */
  summarize(): ZoneSummary;
  /** @returns why a request waits, or `undefined` when it does not wait here */
  explain(id: string): string | undefined;
  /** @returns the workers of the zone */
  workers(): readonly WorkerView[];
}

const MINIMUM_RETRY_AFTER_MS: Milliseconds = 200;
const MAXIMUM_RETRY_AFTER_MS: Milliseconds = 60_000;
const AGE_PER_PRIORITY_MS: Milliseconds = 2_000; // waiting this long raises the priority by one

/**
 * Creates the placer of a zone. It keeps nothing that the workers and the
 * owners of waiting requests could not tell it again.
 *
 * @param options zone and host operations
 * @returns the placer
 */
export function createPlacer({ zone, host }: PlacerOptions): Placer {
  const inventory = createInventory();
  const queue = createWaitingQueue();
  const owners = new Map<string, string>();
  let rules = NO_RULES;
  let arrivals = 0;
  let isDirty = true;

  const usableRacks = (): WorkerView[][] =>
    [...inventory.racks().values()].map((rack) =>
      rack.filter((worker) => worker.isUsable)
    );

  const totalFree = (): number => {
    let total = 0;
    for (const worker of inventory.workers()) total += worker.accelerators;
    return total;
  };

  const retryAfter = (priority: number): Milliseconds => {
    const drainMs = queue.work(priority) / Math.max(1, totalFree());
    const jitter = 1 + host.random() * 0.5;
    const bounded = Math.max(MINIMUM_RETRY_AFTER_MS, drainMs) * jitter;
    return Math.round(Math.min(MAXIMUM_RETRY_AFTER_MS, bounded));
  };

  const refuse = (request: WaitingRequest, reason: EndReason): void => {
    const { spec, attempt } = request;
    queue.remove(spec.id);
    owners.delete(spec.id);
    const retryAfterMs = retryAfter(spec.priority);
    host.refuse(spec.id, attempt, { reason, retryAfterMs });
  };

  const guaranteed = (account: string): number =>
    rules.accounts.get(account)?.guarantees
      .find((guarantee) => guarantee.zone === zone)?.accelerators ?? 0;

  const isWithinGuarantee = ({ account, priority, shape }: RequestSpec) =>
    inventory.used(account, priority) + totalAccelerators(shape) <=
      guaranteed(account);

  const rank = (request: WaitingRequest, now: Milliseconds): Ranked => {
    const { spec, since } = request;
    const weight = rules.accounts.get(spec.account)?.weight ?? 1;
    return {
      isWithin: isWithinGuarantee(spec),
      priority: spec.priority + (now - since) / AGE_PER_PRIORITY_MS,
      share: inventory.used(spec.account) / Math.max(1, weight),
      arrival: request.arrival,
    };
  };

  const place = (
    request: WaitingRequest,
    placement: Placement,
    now: number,
  ) => {
    const { spec, attempt } = request;
    const owner = owners.get(spec.id) ?? "";
    queue.remove(spec.id);
    owners.delete(spec.id);
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
      inventory.expect(target.name, lease, now);
    }
    host.hold({ spec, attempt, parts });
  };

  const tryGroup = (
    group: WaitingGroup,
    racks: WorkerView[][],
    now: Milliseconds,
  ): boolean => {
    const request = firstOf(group);
    if (request === undefined) return false;
    const placement = findPlacement(
      request.spec.shape,
      racks,
      (worker) => request.avoid.includes(worker.name) ? 0 : worker.free,
    ) ?? findPlacement(request.spec.shape, racks, (worker) => worker.free);
    if (placement === undefined) {
      const needed = totalAccelerators(request.spec.shape);
      request.explanation = `waits for ${needed} accelerators ` +
        `(adjacent ${request.spec.shape.adjacent})`;
      return false;
    }
    place(request, placement, now);
    return true;
  };

  const placeWaiting = (now: Milliseconds): void => {
    const racks = usableRacks();
    const stuck = new Set<string>();
    for (;;) {
      let best: { group: WaitingGroup; rank: Ranked } | undefined;
      for (const group of queue.groups()) {
        if (stuck.has(group.name)) continue;
        const candidate = rank(firstOf(group)!, now);
        if (best !== undefined && !goesBefore(candidate, best.rank)) continue;
        best = { group, rank: candidate };
      }
      if (best === undefined) return;
      if (!tryGroup(best.group, racks, now)) stuck.add(best.group.name);
    }
  };

  const refuseOverdue = (now: Milliseconds): void => {
    for (const { requests } of queue.groups()) {
      for (const request of [...requests.values()]) {
        if (request.spec.isJob) continue;
        const waitMs = rules.classes.get(request.spec.class)?.waitMs;
        if (waitMs === undefined || now - request.since < waitMs) break;
        refuse(request, EndReason.waitedTooLong);
      }
    }
  };

  return {
    configure: (next) => {
      rules = next;
      isDirty = true;
    },
    submit: ({ spec, attempt, avoid, owner }, now) => {
      const earlier = queue.find(spec.id);
      const request: WaitingRequest = {
        spec,
        attempt,
        avoid,
        since: earlier?.since ?? now,
        arrival: earlier?.arrival ?? arrivals++,
        explanation: "waits for a decision",
      };
      const over = rules.classes.get(spec.class)?.refuseOver ?? Infinity;
      if (!spec.isJob && queue.size(spec.class) >= over) {
        refuse(request, EndReason.queueFull);
        return;
      }
      owners.set(spec.id, owner);
      queue.add(request);
      isDirty = true;
    },
    withdraw: (id) => {
      owners.delete(id);
      return queue.remove(id) !== undefined;
    },
    holdsGranted: (plan, sequences) => {
      plan.parts.forEach(({ target, lease }, part) =>
        inventory.confirm(target.name, lease.lease, sequences[part])
      );
    },
    holdsRefused: ({ spec, attempt, parts }, now) => {
      for (const { target, lease } of parts) {
        inventory.forget(target.name, lease.lease);
      }
      owners.set(spec.id, parts[0].lease.owner);
      queue.add({
        spec,
        attempt,
        avoid: [],
        since: now,
        arrival: arrivals++,
        explanation: "a worker refused the hold",
      });
    },
    release: (worker, lease) => {
      inventory.forget(worker, lease);
      isDirty = true;
    },
    report: (report, now) => {
      inventory.report(report, now);
      isDirty = true;
    },
    lose: (worker) => inventory.remove(worker),
    setBlocked: (worker, isBlocked) => {
      inventory.setBlocked(worker, isBlocked);
      isDirty = true;
    },
    decide: (now) => {
      refuseOverdue(now);
      if (!isDirty || queue.size() === 0) return;
      isDirty = false;
      placeWaiting(now);
    },
    summarize: () => {
      const racks = [...inventory.racks().values()];
      return {
        ...measureFragmentation(usableRacks()),
        zone,
        workers: inventory.workers().length,
        accelerators: totalFree(),
        largestWorker: Math.max(
          0,
          ...inventory.workers().map((worker) => worker.accelerators),
        ),
        largestRack: Math.max(0, ...racks.map(sumAccelerators)),
        waiting: queue.size(),
      };
    },
    explain: (id) => queue.find(id)?.explanation,
    workers: inventory.workers,
  };
}

/**
 * Tells whether a shape fits a zone that is empty.
 *
 * @param spec the request
 * @param summary summary of the zone
 * @returns whether it could ever be placed there
 */
export function couldFitZone(
  { shape }: Pick<RequestSpec, "shape">,
  summary: ZoneSummary,
): boolean {
  const total = totalAccelerators(shape);
  switch (shape.adjacent) {
    case "worker":
      return total <= summary.largestWorker;
    case "rack":
      return shape.accelerators <= summary.largestWorker &&
        total <= summary.largestRack;
    case "none":
      return shape.accelerators <= summary.largestWorker &&
        total <= summary.accelerators;
  }
}

interface Ranked {
  isWithin: boolean;
  priority: number;
  share: number;
  arrival: number;
}

function goesBefore(a: Ranked, b: Ranked): boolean {
  if (a.isWithin !== b.isWithin) return a.isWithin;
  if (Math.floor(a.priority) !== Math.floor(b.priority)) {
    return a.priority > b.priority;
  }
  if (a.share !== b.share) return a.share < b.share;
  return a.arrival < b.arrival;
}

function firstOf(group: WaitingGroup): WaitingRequest | undefined {
  for (const request of group.requests.values()) return request;
  return undefined;
}

function describeLease(
  spec: RequestSpec,
  given: Pick<LeaseDescriptor, "lease" | "attempt" | "part" | "owner">,
): LeaseDescriptor {
  return {
    ...given,
    request: spec.id,
    key: spec.key,
    account: spec.account,
    class: spec.class,
    parts: spec.shape.parts,
    accelerators: spec.shape.accelerators,
    priority: spec.priority,
    repeatable: spec.repeatable,
    preemptible: spec.preemptible,
    expectedMs: spec.expectedMs,
  };
}

function sumAccelerators(workers: readonly WorkerView[]): number {
  return workers.reduce((sum, worker) => sum + worker.accelerators, 0);
}
