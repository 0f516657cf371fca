import { expect } from "chai";
import { createSystemClock, pause } from "@rattanhill/shared";
import {
  type LeaseReport,
  LeaseState,
  parseRules,
  type RequestSpec,
  type WorkerReport,
} from "@rattanhill/core";
import { createActorSystem } from "../src/actors.ts";
import { createPlacerHost } from "../src/placer_host.ts";
import type { EntryTiming } from "../src/settings.ts";
import type { WorkerLinks } from "../src/worker_links.ts";

const WORKERS = ["w0", "w1"];

const createReport = (worker: string, part: number): WorkerReport => {
  const lease: LeaseReport = {
    lease: `lease-${part}`,
    request: "gang",
    key: "gang",
    account: "crates",
    class: "gang",
    attempt: 1,
    part,
    parts: WORKERS.length,
    accelerators: 1,
    owner: "owner",
    priority: 10,
    repeatable: true,
    preemptible: true,
    expectedMs: 1_000,
    state: LeaseState.running,
    runningMs: 0,
    sinceCheckpointMs: 0,
  };
  return {
    worker,
    address: `${worker}:1`,
    zone: "suva",
    rack: "r",
    boot: "boot",
    leaving: false,
    accelerators: 1,
    sequence: 1,
    leases: [lease],
  };
};

const URGENT: RequestSpec = {
  id: "urgent",
  account: "crates",
  key: "urgent",
  class: "urgent",
  shape: { parts: 1, accelerators: 1, adjacent: "none" },
  repeatable: true,
  preemptible: true,
  priority: 90,
  expectedMs: 1_000,
  deadlineMs: 60_000,
  isJob: false,
  bodyDigest: "",
};

/**
 * Lets an urgent request preempt a gang job that, as far as the placer knows,
 * runs on every worker.
 *
 * @param stateOf state that a worker returns, or an error that its call throws
 * @returns operations by worker, such as `w0 stop`, in their order
 */
async function preemptGang(
  stateOf: (worker: string) => LeaseState | Error,
): Promise<string[]> {
  const clock = createSystemClock();
  const actors = createActorSystem(() => {});
  const operations: string[] = [];
  const getClient = (worker: string) => {
    const perform = (operation: string) => () => {
      operations.push(`${worker} ${operation}`);
      const state = stateOf(worker);
      return state instanceof Error
        ? Promise.reject(state)
        : Promise.resolve({ boot: "boot", sequence: 1, state });
    };
    return {
      checkpoint: perform("checkpoint"),
      pause: perform("pause"),
      continue: perform("continue"),
      stop: perform("stop"),
    };
  };
  const host = createPlacerHost({
    zone: "suva",
    timing: { holdTtlMs: 2_000 } as EntryTiming,
    clock,
    actors,
    links: () => ({ getClient }) as unknown as WorkerLinks,
    isLead: () => true,
    logDecision: () => {},
  });
  host.placer.configure(parseRules("").rules!);
  WORKERS.forEach((worker, part) =>
    host.placer.applyReport(createReport(worker, part), clock.now())
  );
  host.place({ spec: URGENT, attempt: 1, owner: "owner", avoid: [] })
    .catch(() => {});
  await pause(200);
  host.stop();
  actors.stop();
  return operations;
}

it("preemption: the parts of a gang job are stopped after all were paused", async () => {
  const operations = await preemptGang(() => LeaseState.running);
  expect(operations.slice(0, 2)).to.have.members(["w0 pause", "w1 pause"]);
  expect(operations.slice(2)).to.have.members(["w0 stop", "w1 stop"]);
});

it("preemption: no part of a gang job is stopped when one has ended", async () => {
  const operations = await preemptGang((worker) =>
    worker === "w0" ? LeaseState.ended : LeaseState.running
  );
  expect(operations).to.not.include.members(["w0 stop"]);
  expect(operations).to.not.include.members(["w1 stop"]);
  expect(operations).to.include.members(["w1 continue"]);
});

it("preemption: no part of a gang job is stopped when a worker is silent", async () => {
  const operations = await preemptGang((worker) =>
    worker === "w0" ? new Error("no response") : LeaseState.running
  );
  expect(operations).to.not.include.members(["w0 stop"]);
  expect(operations).to.not.include.members(["w1 stop"]);
  expect(operations).to.include.members(["w1 continue"]);
});

it("preemption: a part that was stopped by others takes the rest with it", async () => {
  const operations = await preemptGang((worker) =>
    worker === "w0" ? LeaseState.stopped : LeaseState.running
  );
  expect(operations).to.include.members(["w1 stop"]);
});
