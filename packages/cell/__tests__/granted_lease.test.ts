import { expect } from "chai";
import type { Milliseconds } from "@rattanhill/shared";
import type { Run, WorkerState } from "@rattanhill/scheduler";
import {
  createGrantedLease,
  SHORT_WORKER_LEASE_MS,
  WORKER_LEASE_MS,
} from "../src/mod.ts";

const LONGEST_LEASE_MS: Milliseconds = 10_000 / 0.98;
const LATE_COMMAND_MS: Milliseconds = 30_000;
// The clock of the worker is this far behind the lead's.
const SKEW_MS: Milliseconds = 500;

/** Creates the lease of a worker whose clock was read at time 1,000. */
function createLease({ isLongRunning = true } = {}) {
  let now: Milliseconds = 1_000;
  const worker = {
    id: "w",
    lifetime: 1,
    pastLifetimes: new Set<number>(),
    leasesEndBy: 0,
    runs: new Set([{ step: { spec: { isLongRunning } } } as Run]),
  } as WorkerState;
  const lease = createGrantedLease({
    worker,
    clock: { now: () => now, wallTime: () => now },
  });
  lease.recordClock(now - SKEW_MS, 1);
  return {
    worker,
    lease,
    renewAt: (at: Milliseconds) => {
      now = at;
      return lease.extend({ isRenewal: true })! + SKEW_MS;
    },
    sendAt: (at: Milliseconds) => {
      now = at;
      return lease.extend({ isRenewal: false })! + SKEW_MS;
    },
    restart: () => {
      worker.pastLifetimes.add(1);
      worker.lifetime = 2;
    },
  };
}

it("granted lease: long-running tasks get a short one", () => {
  const short = createLease();
  expect(short.renewAt(2_000)).to.equal(2_000 + SHORT_WORKER_LEASE_MS);
  const long = createLease({ isLongRunning: false });
  expect(long.renewAt(2_000)).to.equal(2_000 + WORKER_LEASE_MS);
});

// Guards against calls to a lost worker that delay the restart of its tasks.
it("granted lease: a start on a worker with long-running tasks keeps its end", () => {
  const { renewAt, sendAt } = createLease();
  const end = renewAt(2_000);
  expect(sendAt(5_000)).to.equal(end);
  expect(sendAt(9_000)).to.equal(9_000 + SHORT_WORKER_LEASE_MS);
  const other = createLease({ isLongRunning: false });
  other.renewAt(2_000);
  expect(other.sendAt(5_000)).to.equal(5_000 + WORKER_LEASE_MS);
});

it("granted lease: its end by the lead's clock allows for a slow worker", () => {
  const { worker, renewAt } = createLease();
  renewAt(20_000);
  const { leasesEndBy, lifetimeLeasesEndBy } = worker;
  expect(leasesEndBy).to.be.at.least(20_000 + LONGEST_LEASE_MS);
  expect(lifetimeLeasesEndBy).to.be.within(
    1_000 + (19_000 + SHORT_WORKER_LEASE_MS) / 0.98,
    20_000 + LONGEST_LEASE_MS,
  );
});

it("granted lease: a lease of an earlier lead is waited for", () => {
  const { worker } = createLease();
  expect(worker.lifetimeLeasesEndBy).to.be.at.least(1_000 + LONGEST_LEASE_MS);
});

// Guards against two runs of one task after a restart: a lease by the clock of
// the earlier lifetime is shortened to the longest one only.
it("granted lease: one by the clock of an earlier lifetime is waited for", () => {
  const { worker, lease, renewAt, restart } = createLease();
  renewAt(20_000);
  restart();
  expect(lease.extend({ isRenewal: true })).to.equal(undefined);
  lease.recordClock(0, 2);
  expect(worker.lifetimeLeasesEndBy)
    .to.be.at.least(20_000 + LATE_COMMAND_MS + LONGEST_LEASE_MS);
});
