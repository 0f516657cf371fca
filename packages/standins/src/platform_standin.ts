import type { Server } from "node:http";
import {
  createSystemClock,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import type { VmInfo } from "@rattanhill/protocol";
import {
  type ServiceAnswer,
  type ServiceRequest,
  startService,
} from "./http_service.ts";

/** Options of {@link startPlatform}. */
export interface PlatformOptions {
  host: string;
  port: number;
  /** Time for which records are kept. */
  retentionMs: Milliseconds;
  /** Appends that are accepted in one second. */
  appendsPerSecond: number;
  /** Age of the list of VMs. */
  listLagMs: Milliseconds;
}

/** Faults that a test can plant in the platform. */
export interface PlatformFaults {
  /** No request is answered. */
  outage?: boolean;
  /** Every answer is delayed by this time. */
  slowMs?: Milliseconds;
  /** Answers to appends that are lost after the append took effect; counts down. */
  loseAnswers?: number;
  /** Time for which records are kept from now on. */
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
  end: number;
  waiting: Set<() => void>;
}

const PAGE_RECORDS = 500;

/**
 * Starts the platform: an append-only log with offsets, and a lagging list of VMs.
 *
 * @param options address, retention and limits
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

  const streamOf = (name: string): Stream => {
    let stream = streams.get(name);
    if (stream === undefined) {
      stream = { records: [], end: 0, waiting: new Set() };
      streams.set(name, stream);
    }
    return stream;
  };
  const truncate = (stream: Stream): void => {
    const retentionMs = faults.retentionMs ?? options.retentionMs;
    const oldest = clock.wallTime() - retentionMs;
    while (stream.records.length > 0 && stream.records[0].time < oldest) {
      stream.records.shift();
    }
  };
  const isOverLimit = (): boolean => {
    const now = clock.now();
    appendTimes = appendTimes.filter((time) => time > now - 1_000);
    appendTimes.push(now);
    return appendTimes.length > options.appendsPerSecond;
  };

  const append = (name: string, request: ServiceRequest): ServiceAnswer => {
    if (isOverLimit()) return { status: 429, body: {} };
    const stream = streamOf(name);
    const { records } = JSON.parse(request.body.toString());
    const first = stream.end;
    for (const data of records) {
      const time = clock.wallTime();
      stream.records.push({ offset: stream.end++, time, data });
    }
    for (const wake of [...stream.waiting]) wake();
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
  ): Promise<ServiceAnswer> => {
    const stream = streamOf(name);
    const from = Number(url.searchParams.get("from") ?? 0);
    const waitMs = Number(url.searchParams.get("wait") ?? 0);
    if (from >= stream.end && waitMs > 0) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timeout);
          stream.waiting.delete(finish);
          resolve();
        };
        const timeout = setTimeout(finish, waitMs);
        response.on("close", finish);
        stream.waiting.add(finish);
      });
    }
    truncate(stream);
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

  const handle = async (request: ServiceRequest): Promise<ServiceAnswer> => {
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
    const answer = method === "POST"
      ? append(name, request)
      : await read(name, request);
    // An outage that began while a read waited is an outage for that read too.
    if (!faults.outage) return answer;
    request.response.destroy();
    return undefined;
  };

  const { server, port } = await startService(handle, options);
  return {
    address: `${options.host}:${port}`,
    server,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function createVmList(lagMs: Milliseconds) {
  const changes: { at: Milliseconds; name: string; vm?: VmInfo }[] = [];
  const settled = new Map<string, VmInfo>();
  return {
    put: (vm: VmInfo, now: Milliseconds) =>
      changes.push({ at: now + lagMs, name: vm.name, vm }),
    remove: (name: string, now: Milliseconds) =>
      changes.push({ at: now + lagMs, name }),
    read: (now: Milliseconds): VmInfo[] => {
      while (changes.length > 0 && changes[0].at <= now) {
        const { name, vm } = changes.shift()!;
        if (vm === undefined) settled.delete(name);
        else settled.set(name, vm);
      }
      return [...settled.values()];
    },
  };
}
