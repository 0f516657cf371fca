import { expect } from "chai";
import {
  createSystemClock,
  ErrorCode,
  pause,
  RefusedError,
} from "@rattanhill/shared";
import type { RequestSpec, WorkerReport } from "@rattanhill/core";
import { createActorSystem } from "../src/actors.ts";
import { createPlacerHost } from "../src/placer_host.ts";
import type { EntryTiming } from "../src/settings.ts";
import type { WorkerLinks } from "../src/worker_links.ts";

const TIMEOUT_MS = 1_000;
const SPEC: RequestSpec = {
  id: "a",
  account: "crates",
  key: "a",
  class: "batch",
  shape: { parts: 1, accelerators: 1, adjacent: "none" },
  repeatable: true,
  preemptible: true,
  priority: 50,
  expectedMs: 1_000,
  deadlineMs: 60_000,
  isJob: false,
  bodyDigest: "",
};
const REPORT: WorkerReport = {
  worker: "w",
  address: "w:1",
  zone: "suva",
  rack: "r",
  boot: "boot",
  leaving: false,
  // Attempt 2 does not fit while attempt 1 holds the accelerator.
  accelerators: 1,
  sequence: 0,
  leases: [],
};

// The worker answers the hold of attempt 1 only after the owner has abandoned
// that attempt and placed attempt 2.
it("placer host: a late refusal of a hold does not displace a newer attempt", async () => {
  const clock = createSystemClock();
  const actors = createActorSystem(() => {});
  const pendingHolds: ((error: Error) => void)[] = [];
  let hasRefused = false;
  const client = {
    hold: () =>
      hasRefused
        ? Promise.resolve({ boot: "boot", sequence: 1 })
        : new Promise((_, reject) => pendingHolds.push(reject)),
    stop: () => Promise.resolve(),
  };
  const host = createPlacerHost({
    zone: "suva",
    timing: { holdTtlMs: 2_000 } as EntryTiming,
    clock,
    actors,
    links: () =>
      ({
        getClient: () => client,
        // The worker reports again when it is polled after the refusal.
        pollWorker: () => host.placer.applyReport(REPORT, clock.now()),
      }) as unknown as WorkerLinks,
    isLead: () => true,
    logDecision: () => {},
  });
  host.placer.applyReport(REPORT, clock.now());
  const submission = { spec: SPEC, owner: "owner", avoid: [] };
  void host.place({ ...submission, attempt: 1 });
  await pause(50);
  const second = host.place({ ...submission, attempt: 2 });
  await pause(50);
  hasRefused = true;
  const context = { step: "hold", peer: "w", reason: "full" };
  pendingHolds.forEach((reject) =>
    reject(new RefusedError(ErrorCode.workerRefused, "full", context))
  );
  const reply = await Promise.race([second, pause(TIMEOUT_MS)]);
  host.stop();
  actors.stop();
  expect(reply?.parts).to.have.length(1);
});
