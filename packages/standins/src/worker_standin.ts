import { appendFileSync } from "node:fs";
import type { Server, ServerResponse } from "node:http";
import {
  createIdentifier,
  createSystemClock,
  type Milliseconds,
} from "@rattanhill/shared";
import {
  BOOT_HEADER,
  CHECKPOINT_HEADER,
  CONTENT_DIGEST_HEADER,
  contentDigest,
  holdRequestSchema,
  LEASE_HEADER,
  sha256Hex,
  type WatchRequest,
  watchRequestSchema,
  WorkerRefusal,
} from "@rattanhill/protocol";
import { type LeaseDescriptor, LeaseState } from "@rattanhill/core";
import {
  type ServiceAnswer,
  type ServiceRequest,
  startService,
} from "./http_service.ts";
import {
  createLeaseTable,
  type DeliveredTask,
  type JournalEvent,
  type LeaseRow,
  type TaskPlan,
} from "./lease_table.ts";

/** Connections that an executor accepts. */
export const EXECUTOR_CONNECTIONS = 64;
/** Slots of an executor; one slot is one accelerator. */
export const EXECUTOR_SLOTS = 8;

/** Options of {@link startWorker}. */
export interface WorkerOptions {
  name: string;
  zone: string;
  rack: string;
  host: string;
  port: number;
  accelerators: number;
  /** File to which starts and ends are appended as JSON lines. */
  journal: string;
  endedRetentionMs?: Milliseconds;
}

/** Faults that a test can plant in a worker. */
export interface WorkerFaults {
  /** Every task fails at once. */
  blackHole?: boolean;
  /** Answers are cut short, or those of another lease. */
  answers?: "whole" | "truncated" | "crossed";
  /** Answers to `run` are lost after it took effect; counts down. */
  loseRunAnswers?: number;
  /** Prepare calls of this part index are refused; counts down. */
  refusePrepare?: number;
  leaving?: boolean;
}

/** A running worker stand-in. */
export interface RunningWorker {
  address: string;
  server: Server;
  /** Refuses new holds from now on. */
  setLeaving(): void;
  /** @returns whether something runs or is held */
  isBusy(): boolean;
  close(): void;
}

interface Watcher {
  request: WatchRequest;
  wake(): void;
}

/**
 * Starts a worker with its executor.
 *
 * @param options name, place and journal
 * @returns the running worker
 */
export async function startWorker(
  options: WorkerOptions,
): Promise<RunningWorker> {
  const clock = createSystemClock();
  const boot = createIdentifier();
  const watchers = new Set<Watcher>();
  const faults: WorkerFaults = {};
  let timer: NodeJS.Timeout | undefined;
  let peakConnections = 0;

  const journal = (
    event: JournalEvent,
    lease: LeaseDescriptor,
    reason: string,
  ): void => {
    const { request, key, attempt, part, parts, account, repeatable } = lease;
    const line = {
      time: Date.now(),
      worker: options.name,
      event,
      request,
      key,
      attempt,
      part,
      parts,
      account,
      repeatable,
      lease: lease.lease,
      reason,
    };
    appendFileSync(options.journal, JSON.stringify(line) + "\n");
  };

  const handle = (
    request: ServiceRequest,
  ): ServiceAnswer | Promise<ServiceAnswer> => {
    const [, collection, lease, action] = request.url.pathname.split("/");
    if (collection === "watch") return watch(request);
    if (collection === "faults") return setFaults(request.body);
    if (collection === "state") return showState();
    if (collection === "usage") return { status: 200, body: usage.read() };
    if (collection !== "leases") return { status: 404, body: {} };
    return handleLease(request, lease, action);
  };

  const handleLease = (
    { method, body, message, response }: ServiceRequest,
    lease: string | undefined,
    action: string | undefined,
  ): ServiceAnswer => {
    const now = clock.now();
    if (lease === undefined) return hold(body, now);
    if (method === "DELETE") return reply(table.stop(lease, now));
    if (action === undefined) return reply(table.inspect(lease, now));
    if (action === "answer") return sendAnswer(lease, response);
    if (action === "checkpoint") return reply(table.checkpoint(lease, now));
    if (action === "owner") {
      const { from, to } = JSON.parse(body.toString());
      return reply(table.changeOwner(lease, from, to));
    }
    const payload = body.length > 0 ? body.toString("utf8") : undefined;
    const digest = message.headers[CONTENT_DIGEST_HEADER];
    if (payload !== undefined && digest !== contentDigest(payload)) {
      return { status: 400, body: refusal(WorkerRefusal.damagedPayload) };
    }
    const saved = message.headers[CHECKPOINT_HEADER];
    const progressMs = saved === undefined ? undefined : Number(saved);
    const task = { payload, progressMs };
    if (action === "prepare") return prepare(lease, task, now);
    if (action === "run") return run(lease, task, now, response);
    return { status: 404, body: {} };
  };

  const refusal = (reason: string) => ({ boot, sequence: 0, reason });
  const reply = ({ status, answer }: { status: number; answer: unknown }) => ({
    status,
    body: answer,
  });

  const hold = (body: Buffer, now: Milliseconds): ServiceAnswer => {
    const parsed = holdRequestSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) {
      return { status: 400, body: refusal(parsed.error.message) };
    }
    const { descriptor, ttlMs } = parsed.data;
    return reply(table.hold(descriptor, ttlMs, now));
  };

  const prepare = (lease: string, task: DeliveredTask, now: Milliseconds) => {
    if ((faults.refusePrepare ?? 0) > 0) {
      faults.refusePrepare! -= 1;
      table.stop(lease, now);
    }
    return reply(table.prepare(lease, task, now));
  };

  const run = (
    lease: string,
    task: DeliveredTask,
    now: Milliseconds,
    response: ServerResponse,
  ): ServiceAnswer => {
    const result = reply(table.run(lease, task, now));
    if ((faults.loseRunAnswers ?? 0) === 0) return result;
    faults.loseRunAnswers! -= 1;
    response.destroy();
    return undefined;
  };

  const sendAnswer = (
    lease: string,
    response: ServerResponse,
  ): ServiceAnswer => {
    const row = table.find(lease);
    if (row?.state !== LeaseState.ended) {
      return { status: 409, body: refusal(WorkerRefusal.unknownLease) };
    }
    const answer = composeAnswer(row);
    const isCrossed = faults.answers === "crossed";
    const isCut = faults.answers === "truncated";
    const other = isCrossed ? anotherEnded(lease) : undefined;
    const body = other === undefined ? answer : composeAnswer(other);
    const sent = isCut ? body.slice(0, body.length / 2) : body;
    response.writeHead(200, {
      [LEASE_HEADER]: other?.descriptor.lease ?? lease,
      [CONTENT_DIGEST_HEADER]: contentDigest(body),
      [BOOT_HEADER]: boot,
      "content-length": Buffer.byteLength(sent),
    });
    response.end(sent);
    return undefined;
  };

  const anotherEnded = (lease: string): LeaseRow | undefined => {
    const other = table.endedSince(0, undefined).find((row) =>
      row.lease !== lease && row.state === LeaseState.ended
    );
    return other && table.find(other.lease);
  };

  const watch = (
    { body, response }: ServiceRequest,
  ): ServiceAnswer | Promise<ServiceAnswer> => {
    const parsed = watchRequestSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) {
      return { status: 400, body: refusal(parsed.error.message) };
    }
    const request = parsed.data;
    const { renew, owner, ttlMs } = request;
    table.renew(renew, owner, ttlMs, clock.now());
    schedule();
    if (hasNews(request)) return { status: 200, body: watchAnswer(request) };
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timeout);
        watchers.delete(watcher);
        response.off("close", finish);
        resolve({ status: 200, body: watchAnswer(request) });
      };
      const watcher: Watcher = {
        request,
        wake: () => hasNews(request) && finish(),
      };
      const timeout = setTimeout(finish, request.waitMs);
      response.on("close", finish);
      watchers.add(watcher);
    });
  };

  const sinceOf = ({ since, boot: known }: WatchRequest): number =>
    known === boot ? since : -1;

  const hasNews = (request: WatchRequest): boolean => {
    const since = sinceOf(request);
    if (since < 0) return true;
    if (request.scope === "all") return table.report(0).sequence > since;
    return table.endedSince(since, request.owner).length > 0;
  };

  const watchAnswer = (request: WatchRequest) => ({
    report: table.report(clock.now()),
    ended: table.endedSince(
      Math.max(0, sinceOf(request)),
      request.scope === "all" ? undefined : request.owner,
    ),
    endedRetentionMs: options.endedRetentionMs ?? ENDED_RETENTION_MS,
  });

  const setFaults = (body: Buffer): ServiceAnswer => {
    Object.assign(faults, JSON.parse(body.toString()));
    table.setBlackHole(faults.blackHole === true);
    if (faults.leaving !== undefined) table.setLeaving(faults.leaving);
    return { status: 200, body: faults };
  };

  const showState = (): ServiceAnswer => ({
    status: 200,
    body: { ...table.report(clock.now()), faults, peakConnections },
  });

  const schedule = () => {
    clearTimeout(timer);
    const due = table.nextDue();
    if (due === undefined) return;
    timer = setTimeout(() => {
      table.tick(clock.now());
      schedule();
    }, Math.max(1, due - clock.now() + 1));
  };

  const { server, port } = await startService(handle, options);
  server.maxConnections = EXECUTOR_CONNECTIONS;
  server.on("connection", () => {
    server.getConnections((_, count) => {
      peakConnections = Math.max(peakConnections, count ?? 0);
    });
  });
  const address = `${options.host}:${port}`;
  const table = createLeaseTable({
    worker: options.name,
    address,
    zone: options.zone,
    rack: options.rack,
    boot,
    accelerators: options.accelerators,
    endedRetentionMs: options.endedRetentionMs ?? ENDED_RETENTION_MS,
    journal,
    plan: planTask,
    changed: () => {
      schedule();
      for (const watcher of [...watchers]) watcher.wake();
    },
  });
  const usage = createLaggingUsage(() =>
    table.report(clock.now()).leases.length
  );

  return {
    address,
    server,
    setLeaving: () => table.setLeaving(true),
    isBusy: table.isBusy,
    close: () => {
      clearTimeout(timer);
      usage.stop();
      server.close();
      server.closeAllConnections();
    },
  };
}

const ENDED_RETENTION_MS: Milliseconds = 60_000;
const USAGE_LAG_MS: Milliseconds = 2_000;
const DEFAULT_RUN_MS: Milliseconds = 50;

/** Payloads of the stand-in say how long to run: `{"runMs": 100, "fail": "text"}`. */
function planTask(payload: string): TaskPlan {
  try {
    const { runMs, fail } = JSON.parse(payload);
    const failure = typeof fail === "string" ? fail : undefined;
    return {
      runMs: typeof runMs === "number" ? Math.max(1, runMs) : DEFAULT_RUN_MS,
      failure,
    };
  } catch {
    return { runMs: DEFAULT_RUN_MS };
  }
}

/** The answer names the payload it belongs to, so that a caller can check it. */
function composeAnswer({ descriptor, payload = "" }: LeaseRow): string {
  const { request, part, parts } = descriptor;
  return JSON.stringify({
    request,
    part,
    parts,
    payloadDigest: sha256Hex(payload),
  });
}

/** Usage is reported as it was some time ago. */
function createLaggingUsage(measure: () => number) {
  let past: { at: Milliseconds; busy: number }[] = [];
  const timer = setInterval(() => {
    past.push({ at: Date.now(), busy: measure() });
    past = past.slice(-10);
  }, 500);
  timer.unref();
  return {
    read: () =>
      past.findLast(({ at }) => at <= Date.now() - USAGE_LAG_MS) ??
        { at: 0, busy: 0 },
    stop: () => clearInterval(timer),
  };
}
