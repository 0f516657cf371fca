import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { pause } from "@rattanhill/shared";
import {
  createEntry,
  DEFAULT_LIMITS,
  DEFAULT_TIMING,
  type EntryLimits,
} from "@rattanhill/entry";
import {
  composeRules,
  findFreePorts,
  publishRules,
  type RunningPlatform,
  type RunningWorker,
  startPlatform,
  startWorker,
  type SystemLayout,
} from "@rattanhill/standins";
import { request } from "undici";

const RULE_COMMENT = "# asked by: a test";

/** Two accounts, with repeatable, non-repeatable and gang classes. */
export const SMALL_LAYOUT: SystemLayout = {
  zones: [],
  accounts: [
    { name: "routes", key: "routes-key", classes: ["draft", "plan", "gang"] },
    { name: "crates", key: "crates-key", classes: ["draft"] },
  ],
  rules: [
    `account routes weight 1 ${RULE_COMMENT}`,
    `account crates weight 1 ${RULE_COMMENT}`,
    `class draft priority 50 wait 300ms expected 100ms ${RULE_COMMENT}`,
    `class plan priority 90 wait 2s not-repeatable expected 100ms ${RULE_COMMENT}`,
    `class gang priority 50 wait 2s parts 4 accelerators 2 adjacent rack ${RULE_COMMENT}`,
    `limit account crates waiting 2 ${RULE_COMMENT}`,
  ],
};

/** An HTTP response with its body parsed. */
export interface ParsedResponse {
  status: number;
  headers: Record<string, unknown>;
  body: Record<string, unknown>;
}

/** One entry with two workers and a platform, all in this process. */
export interface SmallSystem {
  callers: string;
  operators: string;
  workers: RunningWorker[];
  platform: RunningPlatform;
  /** Path of the workers' journal. */
  journal: string;
  /** Sends to the operators' interface; under `/v1` to the callers'. */
  send(
    method: "GET" | "POST" | "DELETE",
    path: string,
    options?: {
      body?: unknown;
      text?: string;
      bearer?: string;
      headers?: Record<string, string>;
    },
  ): Promise<ParsedResponse>;
  stop(): Promise<void>;
}

/**
 * Starts one entry with two workers and a platform in this process.
 *
 * @param options limits that differ from the defaults
 * @returns the system, once the entry is ready and knows both workers
 */
export async function startSmallSystem(
  options: { limits?: Partial<EntryLimits> } = {},
): Promise<SmallSystem> {
  const directory = mkdtempSync(join(tmpdir(), "rattanhill-test-"));
  const journal = join(directory, "journal.jsonl");
  const host = "127.0.0.1";
  const platform = await startPlatform({
    host,
    port: 0,
    retentionMs: 3_600_000,
    appendsPerSecond: 400,
    listLagMs: 0,
  });
  const workers = await Promise.all(["w1", "w2"].map(async (name) => {
    const worker = await startWorker({
      name,
      zone: "suva",
      rack: "r1",
      host,
      port: 0,
      accelerators: 8,
      journal,
    });
    await request(`http://${platform.address}/vms`, {
      method: "POST",
      body: JSON.stringify({
        kind: "worker",
        name,
        zone: "suva",
        rack: "r1",
        address: worker.address,
        state: "live",
      }),
    });
    return worker;
  }));
  await publishRules(platform.address, composeRules(SMALL_LAYOUT), 0);
  const [port] = await findFreePorts(1);
  const entry = createEntry({
    log: () => {},
    settings: {
      name: "e1",
      zone: "suva",
      host,
      ports: { callers: 0, operators: 0, peers: port },
      platform: { address: platform.address },
      peers: [],
      translate: {},
      timing: DEFAULT_TIMING,
      limits: { ...DEFAULT_LIMITS, ...options.limits },
    },
  });
  const ports = await entry.start();
  const callers = `http://${host}:${ports.callers}`;
  const operators = `http://${host}:${ports.operators}`;

  const send: SmallSystem["send"] = async (method, path, sendOptions = {}) => {
    const base = path.startsWith("/v1") ? callers : operators;
    const bearer = sendOptions.bearer ?? "routes-key";
    const response = await request(`${base}${path}`, {
      method,
      headers: {
        "content-type": "application/json",
        authorization: `Bearer ${bearer}`,
        ...sendOptions.headers,
      },
      body: sendOptions.text ??
        (sendOptions.body === undefined
          ? undefined
          : JSON.stringify(sendOptions.body)),
    });
    const text = await response.body.text();
    return {
      status: response.statusCode,
      headers: response.headers,
      body: text.startsWith("{") ? JSON.parse(text) : { text },
    };
  };

  for (;;) {
    const { status, body } = await send("GET", "/status");
    const knownWorkers = (body.workers as unknown[] ?? []).length;
    const ready = await send("GET", "/readyz");
    if (
      status === 200 && knownWorkers === workers.length && ready.status === 200
    ) {
      break;
    }
    await pause(20);
  }
  return {
    callers,
    operators,
    workers,
    platform,
    journal,
    send,
    stop: async () => {
      await entry.drain();
      for (const worker of workers) worker.close();
      platform.close();
      rmSync(directory, { recursive: true });
    },
  };
}
