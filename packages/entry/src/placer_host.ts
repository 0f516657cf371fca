import {
  type Clock,
  createIdentifier,
  ErrorCode,
  type Milliseconds,
  RefusedError,
  UnavailableError,
} from "@rattanhill/shared";
import {
  type ClaimedPart,
  createPlacer,
  EndReason,
  type HoldPlan,
  type Placer,
  type PlacerDecision,
  type PlaceRefusal,
  type RequestSpec,
} from "@rattanhill/core";
import type { PlaceReply } from "@rattanhill/protocol";
import type { ActorSystem } from "./actors.ts";
import { createPreemption } from "./preemption.ts";
import type { EntryTiming } from "./settings.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Request for capacity in this zone, for one attempt of a request. */
export interface PlacementRequest {
  spec: RequestSpec;
  attempt: number;
  /** Identifier of the entry that owns the request. */
  owner: string;
  /** Workers to use only if the request fits nowhere else. */
  avoid: readonly string[];
}

/** Runs the placer of the zone and carries out its decisions on the workers. */
export interface PlacerHost {
  placer: Placer;
  /**
   * Waits until capacity is held for the request or the request is refused.
   *
   * @throws UnavailableError when this entry shuts down
   */
  place(placement: PlacementRequest): Promise<PlaceReply>;
  /**
   * Removes an attempt from the queue.
   *
   * @returns whether the attempt was waiting
   */
  withdraw(id: string, attempt: number): boolean;
  /**
   * Rejects every waiting placement, so that the owner of the request turns to
   * the next lead of the zone.
   */
  rejectWaiting(): void;
  /** Schedules a pass over the waiting requests, if none is scheduled yet. */
  scheduleDecision(): void;
  stop(): void;
}

/** Options of {@link createPlacerHost}. */
export interface PlacerHostOptions {
  zone: string;
  timing: EntryTiming;
  clock: Clock;
  actors: ActorSystem;
  links(): WorkerLinks;
  /** @returns whether this entry leads the zone */
  isLead(): boolean;
  /** Logs a decision of the placer about a request or a worker. */
  logDecision(decision: PlacerDecision, subject: string): void;
}

/** Caller of `place` that waits for capacity for one attempt. */
interface Waiter {
  attempt: number;
  resolve(reply: PlaceReply): void;
  /** Rejects the call, so that the owner turns to the next lead of the zone. */
  rejectUnavailable(): void;
}

const DECIDE_INTERVAL_MS: Milliseconds = 100;

/**
 * Creates the host of the zone's placer.
 *
 * @param options zone, clock and links to the workers
 * @returns the host, whose placer makes decisions periodically until `stop`
 */
export function createPlacerHost(options: PlacerHostOptions): PlacerHost {
  const { zone, timing, clock, actors } = options;
  const waiters = new Map<string, Waiter>();
  let isDecisionScheduled = false;

  const resolveWaiter = (
    id: string,
    attempt: number,
    reply: PlaceReply,
  ): boolean => {
    const waiter = waiters.get(id);
    if (waiter?.attempt !== attempt) return false;
    waiters.delete(id);
    waiter.resolve(reply);
    return true;
  };

  const refuseWaiter = (
    id: string,
    attempt: number,
    { reason, retryAfterMs }: PlaceRefusal,
  ): void => {
    resolveWaiter(id, attempt, { parts: [], reason, retryAfterMs });
  };

  const preemption = createPreemption({
    clock,
    pauseMs: timing.holdTtlMs,
    links: options.links,
    workers: () => placer.workers(),
  });
  const placer = createPlacer({
    zone,
    host: {
      hold: (plan) => void obtainHolds(plan),
      preempt: (leases) => preemption.preempt(leases),
      refuse: refuseWaiter,
      reportDecision: options.logDecision,
      createLeaseName: createIdentifier,
      random: Math.random,
    },
  });

  const obtainHolds = async (plan: HoldPlan): Promise<void> => {
    const firstHoldSentAt = clock.now();
    const grantByPart = new Map<number, { boot: string; sequence: number }>();
    const refusal = await requestHolds(plan, grantByPart);
    if (refusal !== undefined) {
      releaseHolds(plan, grantByPart);
      // Meanwhile the owner may have withdrawn the attempt or placed a newer
      // one, which must keep its place in the queue.
      const isAwaited = waiters.get(plan.spec.id)?.attempt === plan.attempt;
      if (isAwaited) placer.requeueRefused(plan);
      scheduleDecision();
      return;
    }
    const grants = plan.parts.map((_, part) => grantByPart.get(part)!);
    placer.confirmHolds(plan, grants.map(({ sequence }) => sequence));
    const remainingMs = timing.holdTtlMs - (clock.now() - firstHoldSentAt);
    const parts = plan.parts.map(({ target, lease }, part): ClaimedPart => ({
      worker: target.name,
      address: target.address,
      boot: grants[part].boot,
      lease: lease.lease,
    }));
    const reply = { parts, remainingMs, reason: "", retryAfterMs: 0 };
    const wasWaiting = resolveWaiter(plan.spec.id, plan.attempt, reply);
    if (!wasWaiting) releaseHolds(plan, grantByPart);
  };

  /**
   * Requests the holds of a plan from one worker after another, in the order of
   * the workers' names, so that two gang jobs never wait for each other's
   * holds.
   *
   * @returns the reason of the first refusal, or `undefined` when all holds
   * were granted
   */
  const requestHolds = async (
    plan: HoldPlan,
    grantByPart: Map<number, { boot: string; sequence: number }>,
  ): Promise<string | undefined> => {
    for (const [worker, parts] of groupPartsByWorker(plan)) {
      const refusals = await Promise.all(
        parts.map((part) => requestHold(plan, part, grantByPart)),
      );
      const refusal = refusals.find((reason) => reason !== undefined);
      if (refusal === undefined) continue;
      // The placer's view of this worker is outdated until its next report,
      // which is requested at once.
      placer.discardReport(worker);
      options.links().pollWorker(worker);
      return refusal;
    }
    return undefined;
  };

  const requestHold = async (
    plan: HoldPlan,
    part: number,
    grantByPart: Map<number, { boot: string; sequence: number }>,
  ): Promise<string | undefined> => {
    const { target, lease } = plan.parts[part];
    const client = options.links().getClient(target.name, target.address);
    try {
      const { boot, sequence } = await client.hold({
        descriptor: lease,
        ttlMs: timing.holdTtlMs,
      });
      grantByPart.set(part, { boot, sequence });
      return undefined;
    } catch (error) {
      return error instanceof RefusedError ? error.reason : WORKER_UNREACHABLE;
    }
  };

  const releaseHolds = (
    plan: HoldPlan,
    grantByPart: ReadonlyMap<number, unknown>,
  ): void => {
    plan.parts.forEach(({ target, lease }, part) => {
      placer.releaseHold(target.name, lease.lease);
      if (!grantByPart.has(part)) return;
      const client = options.links().getClient(target.name, target.address);
      // If the stop fails, the hold expires on the worker.
      client.stop(lease.lease).catch(() => {});
    });
  };

  const decisionActor = actors.spawn<"decide">("placer", () => {
    isDecisionScheduled = false;
    // A pass may also stop or move running tasks, which only the lead should
    // do. An entry that is not the lead runs a pass only while requests wait
    // here.
    if (options.isLead() || waiters.size > 0) placer.decide(clock.now());
  });
  const scheduleDecision = (): void => {
    if (isDecisionScheduled) return;
    isDecisionScheduled = true;
    decisionActor.send("decide");
  };
  const timer = setInterval(scheduleDecision, DECIDE_INTERVAL_MS);

  return {
    placer,
    place: ({ spec, attempt, owner, avoid }) =>
      new Promise((resolve, reject) => {
        // An owner that places another attempt has abandoned the earlier one.
        const earlier = waiters.get(spec.id);
        if (earlier !== undefined && earlier.attempt !== attempt) {
          refuseWaiter(spec.id, earlier.attempt, {
            reason: EndReason.noCapacity,
            retryAfterMs: 0,
          });
        }
        waiters.set(spec.id, {
          attempt,
          resolve,
          rejectUnavailable: () =>
            reject(
              new UnavailableError(
                ErrorCode.peerUnreachable,
                "placer stopped",
                { step: "place", peer: "self" },
              ),
            ),
        });
        placer.submit({ spec, attempt, avoid, owner }, clock.now());
        scheduleDecision();
      }),
    withdraw: (id, attempt) => {
      if (waiters.get(id)?.attempt !== attempt) return false;
      placer.withdraw(id);
      refuseWaiter(id, attempt, {
        reason: EndReason.cancelled,
        retryAfterMs: 0,
      });
      return true;
    },
    scheduleDecision,
    rejectWaiting: () => {
      for (const [id, waiter] of [...waiters]) {
        waiters.delete(id);
        placer.withdraw(id);
        waiter.rejectUnavailable();
      }
    },
    stop: () => clearInterval(timer),
  };
}

const WORKER_UNREACHABLE = "unreachable";

function groupPartsByWorker(plan: HoldPlan): [string, number[]][] {
  const byWorker = new Map<string, number[]>();
  plan.parts.forEach(({ target }, part) => {
    const parts = byWorker.get(target.name) ?? [];
    parts.push(part);
    byWorker.set(target.name, parts);
  });
  return [...byWorker].sort(([a], [b]) => a < b ? -1 : 1);
}
