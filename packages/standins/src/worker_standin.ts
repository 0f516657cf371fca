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
  pauseRequestSchema,
  sha256Hex,
  type WatchRequest,
  watchRequestSchema,
  WorkerRefusal,
} from "@rattanhill/protocol";
import { type LeaseDescriptor, LeaseState } from "@rattanhill/core";
import {
  type ServiceRequest,
  type ServiceResponse,
  startService,
} from "./http_service.ts";
import {
  createLeaseTable,
  type DeliveredTask,
  type JournalEvent,
  type TaskPlan,
} from "./lease_table.ts";
import type { LeaseRow } from "./lease_row.ts";

/** Maximum number of open connections to a worker. */
export const MAXIMUM_CONNECTIONS = 64;
/**
 * Default number of accelerators of a worker, which has one slot for tasks per
 * accelerator.
 */
export const DEFAULT_ACCELERATORS = 8;

/** Options of {@link startWorker}. */
export interface WorkerOptions {
  name: string;
  zone: string;
  rack: string;
  host: string;
  port: number;
  accelerators: number;
  /** Path of the file to which events of tasks are appended as JSON lines. */
  journal: string;
  /** Time for which ended leases and the answers of their tasks are kept. */
  endedRetentionMs?: Milliseconds;
}

/** Faults that a test can inject into a worker by `POST /faults`. */
export interface WorkerFaults {
  /** Every task fails 1 ms after its start. */
  blackHole?: boolean;
  /** Answers of tasks are truncated, or replaced by that of another lease. */
  answers?: "whole" | "truncated" | "crossed";
  /** Number of the next `run` calls to perform without sending a response. */
  loseRunAnswers?: number;
  /** Number of the next `prepare` calls to refuse after releasing the hold. */
  refusePrepare?: number;
  /** New holds are refused, as on a worker that drains. */
  leaving?: boolean;
}

/** A running worker stand-in. */
export interface RunningWorker {
  address: string;
  server: Server;
  /** Refuses all new holds from this call on. */
  setLeaving(): void;
  /** @returns whether any task runs or any lease is held */
  isBusy(): boolean;
  close(): void;
}

/** A long poll for changes of the lease table. */
interface Watcher {
  request: WatchRequest;
  /** Ends the poll if the table has changes for it. */
  wake(): void;
}

/**
 * Starts a worker that serves the workers' HTTP interface. Tasks are simulated:
 * nothing runs but a timer.
 *
 * @param options identity, location, capacity and journal of the worker
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

  const writeJournalLine = (
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

  const handleRequest = (
    request: ServiceRequest,
  ): ServiceResponse | Promise<ServiceResponse> => {
    const [, collection, lease, action] = request.url.pathname.split("/");
    if (collection === "watch") return watch(request);
    if (collection === "faults") return setFaults(request.body);
    if (collection === "state") return describeState();
    if (collection === "usage") return { status: 200, body: usage.read() };
    if (collection !== "leases") return { status: 404, body: {} };
    return handleLease(request, lease, action);
  };

  const handleLease = (
    { method, body, message, response }: ServiceRequest,
    lease: string | undefined,
    action: string | undefined,
  ): ServiceResponse => {
    const now = clock.now();
    if (lease === undefined) return hold(body, now);
    if (method === "DELETE") return toResponse(table.stop(lease, now));
    if (action === undefined) return toResponse(table.inspect(lease, now));
    if (action === "answer") return sendTaskAnswer(lease, response);
    if (action === "checkpoint") {
      return toResponse(table.checkpoint(lease, now));
    }
    if (action === "pause") return pauseTask(lease, body, now);
    if (action === "continue") return toResponse(table.continue(lease, now));
    if (action === "owner") {
      const { from, to } = JSON.parse(body.toString());
      return toResponse(table.changeOwner(lease, from, to));
    }
    const payload = body.length > 0 ? body.toString("utf8") : undefined;
    const digest = message.headers[CONTENT_DIGEST_HEADER];
    if (payload !== undefined && digest !== contentDigest(payload)) {
      return {
        status: 400,
        body: composeRefusal(WorkerRefusal.damagedPayload),
      };
    }
    const savedProgress = message.headers[CHECKPOINT_HEADER];
    const progressMs = savedProgress === undefined
      ? undefined
      : Number(savedProgress);
    const task = { payload, progressMs };
    if (action === "prepare") return prepare(lease, task, now);
    if (action === "run") return run(lease, task, now, response);
    return { status: 404, body: {} };
  };

  const composeRefusal = (reason: string) => ({ boot, sequence: 0, reason });
  const toResponse = (
    { status, answer }: { status: number; answer: unknown },
  ) => ({
    status,
    body: answer,
  });

  const hold = (body: Buffer, now: Milliseconds): ServiceResponse => {
    const parsed = holdRequestSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) {
      return { status: 400, body: composeRefusal(parsed.error.message) };
    }
    const { descriptor, ttlMs } = parsed.data;
    return toResponse(table.hold(descriptor, ttlMs, now));
  };

  const pauseTask = (
    lease: string,
    body: Buffer,
    now: Milliseconds,
  ): ServiceResponse => {
    const parsed = pauseRequestSchema.safeParse(JSON.parse(body.toString()));
    return parsed.success
      ? toResponse(table.pause(lease, parsed.data.ttlMs, now))
      : { status: 400, body: composeRefusal(parsed.error.message) };
  };

  const prepare = (lease: string, task: DeliveredTask, now: Milliseconds) => {
    if ((faults.refusePrepare ?? 0) > 0) {
      faults.refusePrepare! -= 1;
      table.stop(lease, now);
    }
    return toResponse(table.prepare(lease, task, now));
  };

  const run = (
    lease: string,
    task: DeliveredTask,
    now: Milliseconds,
    response: ServerResponse,
  ): ServiceResponse => {
    const result = toResponse(table.run(lease, task, now));
    if ((faults.loseRunAnswers ?? 0) === 0) return result;
    faults.loseRunAnswers! -= 1;
    response.destroy();
    return undefined;
  };

  const sendTaskAnswer = (
    lease: string,
    response: ServerResponse,
  ): ServiceResponse => {
    const row = table.find(lease);
    if (row?.state !== LeaseState.ended) {
      return { status: 409, body: composeRefusal(WorkerRefusal.unknownLease) };
    }
    const answer = composeTaskAnswer(row);
    const isCrossed = faults.answers === "crossed";
    const isTruncated = faults.answers === "truncated";
    const otherRow = isCrossed ? findOtherEndedLease(lease) : undefined;
    const body = otherRow === undefined ? answer : composeTaskAnswer(otherRow);
    const sent = isTruncated ? body.slice(0, body.length / 2) : body;
    response.writeHead(200, {
      [LEASE_HEADER]: otherRow?.descriptor.lease ?? lease,
      [CONTENT_DIGEST_HEADER]: contentDigest(body),
      [BOOT_HEADER]: boot,
      "content-length": Buffer.byteLength(sent),
    });
    response.end(sent);
    return undefined;
  };

  const findOtherEndedLease = (lease: string): LeaseRow | undefined => {
    const other = table.endedSince(0, undefined).find((row) =>
      row.lease !== lease && row.state === LeaseState.ended
    );
    return other && table.find(other.lease);
  };

  const watch = (
    { body, response }: ServiceRequest,
  ): ServiceResponse | Promise<ServiceResponse> => {
    const parsed = watchRequestSchema.safeParse(JSON.parse(body.toString()));
    if (!parsed.success) {
      return { status: 400, body: composeRefusal(parsed.error.message) };
    }
    const request = parsed.data;
    const { renew, owner, ttlMs } = request;
    table.renew(renew, owner, ttlMs, clock.now());
    scheduleTick();
    if (hasChanges(request)) return { status: 200, body: watchResult(request) };
    return new Promise((resolve) => {
      const finish = () => {
        clearTimeout(timeout);
        watchers.delete(watcher);
        response.off("close", finish);
        resolve({ status: 200, body: watchResult(request) });
      };
      const watcher: Watcher = {
        request,
        wake: () => hasChanges(request) && finish(),
      };
      const timeout = setTimeout(finish, request.waitMs);
      response.on("close", finish);
      watchers.add(watcher);
    });
  };

  /**
   * @returns the sequence number of the newest change that the watcher has
   * seen; -1 when it has only seen those of an earlier process of the worker
   */
  const knownSequenceOf = ({ since, boot: knownBoot }: WatchRequest): number =>
    knownBoot === boot ? since : -1;

  const hasChanges = (request: WatchRequest): boolean => {
    const since = knownSequenceOf(request);
    if (since < 0) return true;
    if (request.scope === "all") return table.report(0).sequence > since;
    return table.endedSince(since, request.owner).length > 0;
  };

  const watchResult = (request: WatchRequest) => ({
    report: table.report(clock.now()),
    ended: table.endedSince(
      Math.max(0, knownSequenceOf(request)),
      request.scope === "all" ? undefined : request.owner,
    ),
    endedRetentionMs: options.endedRetentionMs ?? DEFAULT_ENDED_RETENTION_MS,
  });

  const setFaults = (body: Buffer): ServiceResponse => {
    Object.assign(faults, JSON.parse(body.toString()));
    table.setBlackHole(faults.blackHole === true);
    if (faults.leaving !== undefined) table.setLeaving(faults.leaving);
    return { status: 200, body: faults };
  };

  const describeState = (): ServiceResponse => ({
    status: 200,
    body: { ...table.report(clock.now()), faults, peakConnections },
  });

  const scheduleTick = () => {
    clearTimeout(timer);
    const dueAt = table.nextDueAt();
    if (dueAt === undefined) return;
    timer = setTimeout(() => {
      table.tick(clock.now());
      scheduleTick();
    }, Math.max(1, dueAt - clock.now() + 1));
  };

  const { server, port } = await startService(handleRequest, options);
  server.maxConnections = MAXIMUM_CONNECTIONS;
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
    endedRetentionMs: options.endedRetentionMs ?? DEFAULT_ENDED_RETENTION_MS,
    appendToJournal: writeJournalLine,
    parsePlan: parseTaskPlan,
    onChange: () => {
      scheduleTick();
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

const DEFAULT_ENDED_RETENTION_MS: Milliseconds = 60_000;
// Minimum age of the reported usage, since metrics of a platform lag behind.
const USAGE_LAG_MS: Milliseconds = 2_000;
// Run time of a task whose payload specifies none.
const DEFAULT_RUN_MS: Milliseconds = 50;

/**
 * Parses a payload such as `{"runMs": 100, "fail": "text"}`: run time and, for
 * a task that is to fail, the failure text. Any other payload runs for the
 * default time.
 */
function parseTaskPlan(payload: string): TaskPlan {
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

/**
 * Composes a task's answer. It contains the payload's digest, so that the audit
 * can check that a caller got the answer to its own request.
 */
function composeTaskAnswer({ descriptor, payload = "" }: LeaseRow): string {
  const { request, part, parts } = descriptor;
  return JSON.stringify({
    request,
    part,
    parts,
    payloadDigest: sha256Hex(payload),
  });
}

/** Samples usage every 500 ms and reads the newest sample at least 2 s old. */
function createLaggingUsage(measure: () => number) {
  let samples: { at: Milliseconds; busy: number }[] = [];
  const timer = setInterval(() => {
    samples.push({ at: Date.now(), busy: measure() });
    samples = samples.slice(-10);
  }, 500);
  timer.unref();
  return {
    read: () =>
      samples.findLast(({ at }) => at <= Date.now() - USAGE_LAG_MS) ??
        { at: 0, busy: 0 },
    stop: () => clearInterval(timer),
  };
}
