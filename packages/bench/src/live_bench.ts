import { spawn } from "node:child_process";
import { once, setMaxListeners } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { build, type Histogram } from "hdr-histogram-js";
import { createIdentifier, pause } from "@rattanhill/shared";
import { CONTENT_DIGEST_HEADER, contentDigest } from "@rattanhill/protocol";
import {
  type RunningSystem,
  startSystem,
  type SystemLayout,
} from "@rattanhill/standins";
import { request } from "undici";
import { readUsage } from "./process_usage.ts";

// Comment that every line of the rules must have.
const ASKED_BY = "# asked by: the bench";
const KEY = "bench-key";
const SAMPLE_COUNT = 400;
// Number of calls that are made before the samples and are not recorded.
const WARM_UP_COUNT = 50;
// Run time of the tasks whose latency is measured.
const TASK_MS = 5;
// Duration of the throughput measurement.
const THROUGHPUT_MS = 4_000;
// Number of concurrent callers in the throughput measurement.
const CONCURRENCY = 32;
// Number of requests that wait while the heap is measured.
const WAITING_REQUESTS = 2_000;
// Period over which the processor time of idle entries is measured.
const IDLE_MS = 8_000;
// Pause before a measurement, in which the system reaches a steady state.
const SETTLE_MS = 4_000;

/**
 * Latency, throughput and memory of requests through an entry, compared with
 * calls directly to a worker.
 */
export interface PathFigures {
  /** Median latency of direct calls. */
  directP50Ms: number;
  directP99Ms: number;
  /** Median latency of requests through an entry. */
  pathP50Ms: number;
  pathP99Ms: number;
  /** Median latency through an entry as a multiple of that of direct calls. */
  ratioP50: number;
  ratioP99: number;
  /** Throughput of an entry under concurrent callers. */
  requestsPerSecond: number;
  /** Resident memory of a Node.js process that runs only a timer. */
  bareResidentBytes: number;
  /** Resident memory of the entry after the measurements. */
  entryResidentBytes: number;
  /** Heap memory of an entry per 1,000 waiting requests. */
  heapPer1000WaitingBytes: number;
}

/**
 * Resource usage of idle entries in a zone of one size: the entry that is the
 * lead, and another entry. Several sizes show how the usage grows with the
 * numbers of entries and workers.
 */
export interface IdleFigures {
  entries: number;
  workers: number;
  leadCpuPercent: number;
  otherCpuPercent: number;
  leadResidentBytes: number;
  otherResidentBytes: number;
}

/**
 * Measures requests through an entry and calls directly to a worker.
 *
 * @returns the figures of both, and the ratios of their latencies
 */
export async function measurePath(): Promise<PathFigures> {
  const { system, stop } = await startBenchSystem(1, 2);
  const [entry] = system.entries;
  const [worker] = system.workers;
  const directLatencies = createHistogram();
  const pathLatencies = createHistogram();
  for (let index = -WARM_UP_COUNT; index < SAMPLE_COUNT; index++) {
    const directMs = await measureMs(() => callWorker(worker.address));
    const pathMs = await measureMs(() => callEntry(entry.callers, TASK_MS));
    if (index < 0) continue;
    // Histograms store only whole numbers, so that milliseconds would be too
    // coarse; latencies are recorded in microseconds.
    directLatencies.recordValue(directMs * 1_000);
    pathLatencies.recordValue(pathMs * 1_000);
  }
  const requestsPerSecond = await measureThroughput(entry.callers);
  const heapPer1000WaitingBytes = await measureWaitingHeap(entry);
  const entryResidentBytes = readUsage(entry.pid).residentBytes;
  await stop();
  const percentileMs = (histogram: Histogram, percentile: number) =>
    histogram.getValueAtPercentile(percentile) / 1_000;
  return {
    directP50Ms: percentileMs(directLatencies, 50),
    directP99Ms: percentileMs(directLatencies, 99),
    pathP50Ms: percentileMs(pathLatencies, 50),
    pathP99Ms: percentileMs(pathLatencies, 99),
    ratioP50: percentileMs(pathLatencies, 50) /
      percentileMs(directLatencies, 50),
    ratioP99: percentileMs(pathLatencies, 99) /
      percentileMs(directLatencies, 99),
    requestsPerSecond,
    bareResidentBytes: await measureBareResidentBytes(),
    entryResidentBytes,
    heapPer1000WaitingBytes,
  };
}

/**
 * Measures the resource usage of entries that receive no requests.
 *
 * @param sizes numbers of entries and workers of each zone to measure
 * @returns one row per size
 */
export async function measureIdle(
  sizes: readonly (readonly [number, number])[],
): Promise<IdleFigures[]> {
  const rows: IdleFigures[] = [];
  for (const [entries, workers] of sizes) {
    const { system, stop } = await startBenchSystem(entries, workers);
    await pause(SETTLE_MS);
    const status = await getJson(`${system.entries[0].operators}/status`);
    const before = system.entries.map(({ pid }) => readUsage(pid));
    await pause(IDLE_MS);
    const after = system.entries.map(({ pid }) => readUsage(pid));
    const cpuPercents = after.map(({ cpuMs }, index) =>
      (cpuMs - before[index].cpuMs) * 100 / IDLE_MS
    );
    const leadIndex = system.entries.findIndex(({ name }) =>
      name === status.lead
    );
    const otherIndex = leadIndex === 0 ? system.entries.length - 1 : 0;
    rows.push({
      entries,
      workers,
      leadCpuPercent: cpuPercents[leadIndex],
      otherCpuPercent: cpuPercents[otherIndex],
      leadResidentBytes: after[leadIndex].residentBytes,
      otherResidentBytes: after[otherIndex].residentBytes,
    });
    await stop();
  }
  return rows;
}

async function startBenchSystem(
  entries: number,
  workers: number,
): Promise<{ system: RunningSystem; stop(): Promise<void> }> {
  const layout: SystemLayout = {
    zones: [{ name: "bench", entries, workers }],
    accounts: [{ name: "bench", key: KEY, classes: ["task"] }],
    rules: [
      `account bench weight 1 ${ASKED_BY}`,
      `class task wait 60s expected 5ms ${ASKED_BY}`,
    ],
  };
  const directory = mkdtempSync(join(tmpdir(), "rattanhill-bench-"));
  const system = await startSystem({ layout, directory });
  return {
    system,
    stop: async () => {
      await system.stop();
      rmSync(directory, { recursive: true });
    },
  };
}

async function callEntry(callersAddress: string, runMs: number): Promise<void> {
  const response = await request(`${callersAddress}/v1/requests`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${KEY}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({ class: "task", payload: { runMs } }),
  });
  await response.body.dump();
}

/**
 * Makes the calls to a worker that an entry makes for a request: hold, run,
 * wait for the end, fetch the answer.
 */
async function callWorker(address: string): Promise<void> {
  const lease = createIdentifier();
  const base = `http://${address}`;
  const descriptor = {
    lease,
    request: lease,
    key: "",
    account: "bench",
    class: "task",
    attempt: 1,
    part: 0,
    parts: 1,
    accelerators: 1,
    owner: lease,
    priority: 0,
    repeatable: true,
    preemptible: false,
    expectedMs: TASK_MS,
  };
  await post(`${base}/leases`, { descriptor, ttlMs: 2_000 });
  const payload = JSON.stringify({ runMs: TASK_MS });
  const runResponse = await request(`${base}/leases/${lease}/run`, {
    method: "POST",
    headers: { [CONTENT_DIGEST_HEADER]: contentDigest(payload) },
    body: payload,
  });
  await runResponse.body.dump();
  await post(`${base}/watch`, {
    owner: lease,
    scope: "owner",
    since: 0,
    boot: (await getJson(`${base}/state`)).boot,
    waitMs: 1_000,
    renew: [],
    ttlMs: 8_000,
  });
  const answerResponse = await request(`${base}/leases/${lease}/answer`);
  await answerResponse.body.dump();
}

/** @returns requests per second under concurrent callers */
async function measureThroughput(callersAddress: string): Promise<number> {
  const endAt = performance.now() + THROUGHPUT_MS;
  let count = 0;
  const sendRequests = async () => {
    while (performance.now() < endAt) {
      await callEntry(callersAddress, 1);
      count += 1;
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendRequests));
  return count * 1_000 / THROUGHPUT_MS;
}

/** @returns the heap memory of an entry, in bytes per 1,000 waiting requests */
async function measureWaitingHeap(
  { callers, operators }: { callers: string; operators: string },
): Promise<number> {
  const readHeapUsed = async () => {
    const state = await getJson(`${operators}/debug/state`);
    return (state.memory as { heapUsed: number }).heapUsed;
  };
  const before = await readHeapUsed();
  const controller = new AbortController();
  setMaxListeners(WAITING_REQUESTS, controller.signal);
  const calls = Array.from(
    { length: WAITING_REQUESTS },
    () =>
      request(`${callers}/v1/requests`, {
        method: "POST",
        headers: {
          authorization: `Bearer ${KEY}`,
          "content-type": "application/json",
        },
        body: JSON.stringify({ class: "task", payload: { runMs: 20_000 } }),
        signal: controller.signal,
      }).catch(() => {}),
  );
  await pause(SETTLE_MS);
  const after = await readHeapUsed();
  controller.abort();
  await Promise.all(calls);
  return (after - before) * 1_000 / WAITING_REQUESTS;
}

/** @returns the resident memory of a Node.js process that runs only a timer */
async function measureBareResidentBytes(): Promise<number> {
  const script = "setInterval(() => {}, 1e6); console.log('ready')";
  const child = spawn(process.execPath, ["-e", script]);
  await once(child.stdout, "data");
  const { residentBytes } = readUsage(child.pid!);
  child.kill();
  return residentBytes;
}

async function measureMs(action: () => Promise<void>): Promise<number> {
  const startedAt = performance.now();
  await action();
  return performance.now() - startedAt;
}

async function post(url: string, body: unknown): Promise<void> {
  const response = await request(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
  await response.body.dump();
}

async function getJson(url: string): Promise<Record<string, unknown>> {
  const response = await request(url);
  return await response.body.json() as Record<string, unknown>;
}

function createHistogram(): Histogram {
  return build({ numberOfSignificantValueDigits: 3 });
}
