import type { Server } from "node:http";
import {
  createSystemClock,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import type { VmInfo } from "@rattanhill/protocol";
import {
  type ServiceRequest,
  type ServiceResponse,
  startService,
} from "./http_service.ts";

/** Options of {@link startPlatform}. */
export interface PlatformOptions {
  host: string;
  port: number;
  /** Time for which the log keeps a record. */
  retentionMs: Milliseconds;
  /** Appends accepted within any one second; more are refused with 429. */
  appendsPerSecond: number;
  /** Delay after which a change shows in the list of VMs. */
  listLagMs: Milliseconds;
}

/** Faults that a test can inject into the platform by `POST /faults`. */
export interface PlatformFaults {
  /** Requests to the log and reads of the VM list end without a response. */
  outage?: boolean;
  /** Delay before a request to the log or a read of the VM list is handled. */
  slowMs?: Milliseconds;
  /** Number of the next appends to perform without sending a response. */
  loseAnswers?: number;
  /** Time for which the log keeps a record, in place of the configured one. */
  retentionMs?: Milliseconds;
}

/** A running platform stand-in. */
export interface RunningPlatform {
  address: string;
  server: Server;
  close(): void;
}

interface LogRecord {
  offset: number;
  time: Milliseconds;
  data: string;
}

interface Stream {
  records: LogRecord[];
  /** Offset of the next record. */
  end: number;
  /** Callbacks that end the long polls which wait for the next record. */
  pendingReads: Set<() => void>;
}

// Maximum number of records in the response to one read.
const PAGE_RECORDS = 500;

/**
 * Starts the platform: an append-only log of named streams with offsets, and a
 * list of VMs that lags behind their starts and ends.
 *
 * @param options address, retention, append limit and lag
 * @returns the running platform
 */
export async function startPlatform(
  options: PlatformOptions,
): Promise<RunningPlatform> {
  const clock = createSystemClock();
  const streams = new Map<string, Stream>();
  const faults: PlatformFaults = {};
  const vms = createVmList(options.listLagMs);
  let appendTimes: Milliseconds[] = [];

  const getOrCreateStream = (name: string): Stream => {
    let stream = streams.get(name);
    if (stream === undefined) {
      stream = { records: [], end: 0, pendingReads: new Set() };
      streams.set(name, stream);
    }
    return stream;
  };
  const dropExpiredRecords = (stream: Stream): void => {
    const retentionMs = faults.retentionMs ?? options.retentionMs;
    const oldestKeptAt = clock.wallTime() - retentionMs;
    while (stream.records.length > 0 && stream.records[0].time < oldestKeptAt) {
      stream.records.shift();
    }
  };
  /**
   * Counts an append against the limit per second; refused ones count too.
   *
   * @returns whether the limit is exceeded
   */
  const isOverLimit = (): boolean => {
    const now = clock.now();
    appendTimes = appendTimes.filter((time) => time > now - 1_000);
    appendTimes.push(now);
    return appendTimes.length > options.appendsPerSecond;
  };

  const append = (name: string, request: ServiceRequest): ServiceResponse => {
    if (isOverLimit()) return { status: 429, body: {} };
    const stream = getOrCreateStream(name);
    const { records } = JSON.parse(request.body.toString());
    const first = stream.end;
    for (const data of records) {
      const time = clock.wallTime();
      stream.records.push({ offset: stream.end++, time, data });
    }
    for (const wake of [...stream.pendingReads]) wake();
    if ((faults.loseAnswers ?? 0) > 0) {
      faults.loseAnswers! -= 1;
      request.response.destroy();
      return undefined;
    }
    return { status: 200, body: { first } };
  };

  const read = async (
    name: string,
    { url, response }: ServiceRequest,
  ): Promise<ServiceResponse> => {
    const stream = getOrCreateStream(name);
    const from = Number(url.searchParams.get("from") ?? 0);
    const waitMs = Number(url.searchParams.get("wait") ?? 0);
    if (from >= stream.end && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timeout);
          stream.pendingReads.delete(finish);
          resolve();
        };
        const timeout = setTimeout(finish, waitMs);
        response.on("close", finish);
        stream.pendingReads.add(finish);
      });
    }
    dropExpiredRecords(stream);
    const oldest = stream.records[0]?.offset ?? stream.end;
    const start = Math.max(0, from - oldest);
    const body = {
      oldest,
      end: stream.end,
      retentionMs: faults.retentionMs ?? options.retentionMs,
      now: clock.wallTime(),
      records: stream.records.slice(start, start + PAGE_RECORDS),
    };
    return { status: 200, body };
  };

  const handleRequest = async (
    request: ServiceRequest,
  ): Promise<ServiceResponse> => {
    const { method, url, body } = request;
    const [, collection, name] = url.pathname.split("/");
    if (collection === "faults") {
      Object.assign(faults, JSON.parse(body.toString()));
      return { status: 200, body: faults };
    }
    if (collection === "vms" && method === "POST") {
      vms.put(JSON.parse(body.toString()), clock.now());
      return { status: 200, body: {} };
    }
    if (collection === "vms" && method === "DELETE") {
      vms.remove(name, clock.now());
      return { status: 200, body: {} };
    }
    if (faults.outage) {
      request.response.destroy();
      return undefined;
    }
    if (faults.slowMs) await pause(faults.slowMs);
    if (collection === "vms") {
      return { status: 200, body: { vms: vms.read(clock.now()) } };
    }
    if (collection !== "log") return { status: 404, body: {} };
    const result = method === "POST"
      ? append(name, request)
      : await read(name, request);
    // A read that was waiting when the outage began gets no response either.
    if (!faults.outage) return result;
    request.response.destroy();
    return undefined;
  };

  const { server, port } = await startService(handleRequest, options);
  return {
    address: `${options.host}:${port}`,
    server,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Creates a VM list in which a change is visible `lagMs` after it was made. */
function createVmList(lagMs: Milliseconds) {
  const changes: { at: Milliseconds; name: string; vm?: VmInfo }[] = [];
  const visible = new Map<string, VmInfo>();
  return {
    put: (vm: VmInfo, now: Milliseconds) =>
      changes.push({ at: now + lagMs, name: vm.name, vm }),
    remove: (name: string, now: Milliseconds) =>
      changes.push({ at: now + lagMs, name }),
    read: (now: Milliseconds): VmInfo[] => {
      while (changes.length > 0 && changes[0].at <= now) {
        const { name, vm } = changes.shift()!;
        if (vm === undefined) visible.delete(name);
        else visible.set(name, vm);
      }
      return [...visible.values()];
    },
  };
}
