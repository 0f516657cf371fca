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

const ASKED_BY = "# asked by: the bench";
const KEY = "bench-key";
const SAMPLE_COUNT = 400;
/** Number of samples that are discarded at the start. */
const WARM_UP_COUNT = 50;
const TASK_MS = 5;
/** Duration of the throughput measurement. */
const THROUGHPUT_MS = 4_000;
/** Number of concurrent callers in the throughput measurement. */
const CONCURRENCY = 32;
/** Number of requests that wait while the heap is measured. */
const WAITING_REQUESTS = 2_000;
/** Time over which the processor time of idle entries is measured. */
const IDLE_MS = 8_000;
/** Wait before a measurement, until the system has settled. */
const SETTLE_MS = 4_000;

/**
 * Latency, throughput and memory of requests through an entry, beside calls to
 * a worker without one.
 */
export interface PathFigures {
  directP50Ms: number;
  directP99Ms: number;
  pathP50Ms: number;
  pathP99Ms: number;
  ratioP50: number;
  ratioP99: number;
  requestsPerSecond: number;
  bareResidentBytes: number;
  entryResidentBytes: number;
  heapPer1000WaitingBytes: number;
}

/**
 * Resource usage of idle entries; its growth with the number of entries and
 * workers follows from several sizes.
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
 * Measures requests through an entry and compares them with direct calls to a
 * worker.
 *
 * @returns the figures of both
 */
export async function measurePath(): Promise<PathFigures> {
  const { system, stop } = await startBenchSystem(1, 2);
  const [entry] = system.entries;
  const [worker] = system.workers;
  const direct = createHistogram();
  const path = createHistogram();
  for (let index = -WARM_UP_COUNT; index < SAMPLE_COUNT; index++) {
    const directMs = await measureMs(() => callWorker(worker.address));
    const pathMs = await measureMs(() => callEntry(entry.callers, TASK_MS));
    if (index < 0) continue;
    // Histograms hold whole numbers, so times are recorded in microseconds.
    direct.recordValue(directMs * 1_000);
    path.recordValue(pathMs * 1_000);
  }
  const requestsPerSecond = await measureThroughput(entry.callers);
  const heapPer1000WaitingBytes = await measureWaitingHeap(entry);
  const entryResidentBytes = readUsage(entry.pid).residentBytes;
  await stop();
  const percentileMs = (histogram: Histogram, percentile: number) =>
    histogram.getValueAtPercentile(percentile) / 1_000;
  return {
    directP50Ms: percentileMs(direct, 50),
    directP99Ms: percentileMs(direct, 99),
    pathP50Ms: percentileMs(path, 50),
    pathP99Ms: percentileMs(path, 99),
    ratioP50: percentileMs(path, 50) / percentileMs(direct, 50),
    ratioP99: percentileMs(path, 99) / percentileMs(direct, 99),
    requestsPerSecond,
    bareResidentBytes: await measureBareProcess(),
    entryResidentBytes,
    heapPer1000WaitingBytes,
  };
}

/**
 * Measures the resource usage of entries without requests.
 *
 * @param sizes numbers of entries and workers of a zone
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
    const percent = after.map(({ cpuMs }, index) =>
      (cpuMs - before[index].cpuMs) * 100 / IDLE_MS
    );
    const lead = system.entries.findIndex(({ name }) => name === status.lead);
    const other = lead === 0 ? system.entries.length - 1 : 0;
    rows.push({
      entries,
      workers,
      leadCpuPercent: percent[lead],
      otherCpuPercent: percent[other],
      leadResidentBytes: after[lead].residentBytes,
      otherResidentBytes: after[other].residentBytes,
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

async function callEntry(callers: string, runMs: number): Promise<void> {
  const response = await request(`${callers}/v1/requests`, {
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
 * Makes the worker calls of a request without an entry: hold, run, wait for the
 * end, fetch the answer.
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
  const run = await request(`${base}/leases/${lease}/run`, {
    method: "POST",
    headers: { [CONTENT_DIGEST_HEADER]: contentDigest(payload) },
    body: payload,
  });
  await run.body.dump();
  await post(`${base}/watch`, {
    owner: lease,
    scope: "owner",
    since: 0,
    boot: (await getJson(`${base}/state`)).boot,
    waitMs: 1_000,
    renew: [],
    ttlMs: 8_000,
  });
  const answer = await request(`${base}/leases/${lease}/answer`);
  await answer.body.dump();
}

/** @returns requests per second under concurrent callers */
async function measureThroughput(callers: string): Promise<number> {
  const until = performance.now() + THROUGHPUT_MS;
  let count = 0;
  const sendRequests = async () => {
    while (performance.now() < until) {
      await callEntry(callers, 1);
      count += 1;
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, sendRequests));
  return count * 1_000 / THROUGHPUT_MS;
}

/** @returns the heap bytes that 1,000 waiting requests need in an entry */
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

/** @returns the resident bytes of a Node.js process without any code loaded */
async function measureBareProcess(): Promise<number> {
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
