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
  type LeaseView,
  type Placer,
  type PlaceRefusal,
  type PlacerNote,
  type RequestSpec,
} from "@rattanhill/core";
import type { PlaceReply } from "@rattanhill/protocol";
import type { ActorSystem } from "./actors.ts";
import type { EntryTiming } from "./settings.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** A request for capacity in this zone. */
export interface PlacementRequest {
  spec: RequestSpec;
  attempt: number;
  owner: string;
  avoid: readonly string[];
}

/** The placer of the zone with its timers and workers. */
export interface PlacerHost {
  placer: Placer;
  /** Waits until the request is held or refused. @throws when this placer stops */
  place(placing: PlacementRequest): Promise<PlaceReply>;
  /** Ends a wait. @returns whether the request was waiting */
  withdraw(id: string, attempt: number): boolean;
  /** Sends every waiting request back to its owner, who asks the next lead. */
  rejectWaiting(): void;
  /** Decides soon about what waits. */
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
  /** Tells operators of a decision. */
  logDecision(note: PlacerNote, subject: string): void;
}

interface Waiter {
  attempt: number;
  resolve(reply: PlaceReply): void;
  /** Tells the owner to ask the zone's next lead. */
  rejectUnavailable(): void;
}

const DECIDE_INTERVAL_MS: Milliseconds = 100;

/**
 * Creates the host of the zone's placer.
 *
 * @param options zone, clock and links to the workers
 * @returns the host
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

  const placer = createPlacer({
    zone,
    host: {
      hold: (plan) => void obtainHolds(plan),
      preempt: (leases) => leases.forEach((lease) => void preemptLease(lease)),
      refuse: refuseWaiter,
      note: options.logDecision,
      createLeaseName: createIdentifier,
      random: Math.random,
    },
  });

  /** Progress is saved first; the owner of the request learns of the stop from the worker. */
  const preemptLease = async ({ worker, lease }: LeaseView): Promise<void> => {
    const workerView = placer.workers().find(({ name }) => name === worker);
    if (workerView === undefined) return;
    const client = options.links().client(worker, workerView.address);
    try {
      await client.checkpoint(lease);
    } catch {
      // Work since the last checkpoint is lost; the guarantee is not kept waiting for it.
    }
    await client.stop(lease).catch(() => {}); // the placer plans anew when nothing was freed
  };

  const obtainHolds = async (plan: HoldPlan): Promise<void> => {
    const firstSentAt = clock.now();
    const granted = new Map<number, { boot: string; sequence: number }>();
    const refusal = await requestHolds(plan, granted);
    if (refusal !== undefined) {
      releaseHolds(plan, granted);
      placer.holdsRefused(plan);
      if (!waiters.has(plan.spec.id)) placer.withdraw(plan.spec.id);
      scheduleDecision();
      return;
    }
    const grants = plan.parts.map((_, part) => granted.get(part)!);
    placer.holdsGranted(plan, grants.map(({ sequence }) => sequence));
    const remainingMs = timing.holdTtlMs - (clock.now() - firstSentAt);
    const parts = plan.parts.map(({ target, lease }, part): ClaimedPart => ({
      worker: target.name,
      address: target.address,
      boot: grants[part].boot,
      lease: lease.lease,
    }));
    const reply = { parts, remainingMs, reason: "", retryAfterMs: 0 };
    const wasWaiting = resolveWaiter(plan.spec.id, plan.attempt, reply);
    if (!wasWaiting) releaseHolds(plan, granted);
  };

  /** Workers are asked in the order of their names, so that two gangs never wait for each other. */
  const requestHolds = async (
    plan: HoldPlan,
    granted: Map<number, { boot: string; sequence: number }>,
  ): Promise<string | undefined> => {
    for (const [worker, parts] of groupPartsByWorker(plan)) {
      const results = await Promise.all(
        parts.map((part) => requestHold(plan, part, granted)),
      );
      const refusal = results.find((reason) => reason !== undefined);
      if (refusal === undefined) continue;
      // Our view of this worker is wrong; it takes part again once it has reported.
      placer.lose(worker);
      options.links().pollWorker(worker);
      return refusal;
    }
    return undefined;
  };

  const requestHold = async (
    plan: HoldPlan,
    part: number,
    granted: Map<number, { boot: string; sequence: number }>,
  ): Promise<string | undefined> => {
    const { target, lease } = plan.parts[part];
    const client = options.links().client(target.name, target.address);
    try {
      const { boot, sequence } = await client.hold({
        descriptor: lease,
        ttlMs: timing.holdTtlMs,
      });
      granted.set(part, { boot, sequence });
      return undefined;
    } catch (error) {
      return error instanceof RefusedError ? error.reason : WORKER_UNREACHABLE;
    }
  };

  const releaseHolds = (
    plan: HoldPlan,
    granted: ReadonlyMap<number, unknown>,
  ): void => {
    plan.parts.forEach(({ target, lease }, part) => {
      placer.release(target.name, lease.lease);
      if (!granted.has(part)) return;
      const client = options.links().client(target.name, target.address);
      client.stop(lease.lease).catch(() => {}); // otherwise the hold lapses
    });
  };

  const decisionActor = actors.spawn<"decide">("placer", () => {
    isDecisionScheduled = false;
    // An entry that does not lead must not move the work of one that does.
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
