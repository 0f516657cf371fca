import { expect } from "chai";
import { createSystemClock, pause, silentLogger } from "@rattanhill/shared";
import { createLeadLease, LEAD_LEASE_MS, TOKENS_PER_TERM } from "../src/mod.ts";
import { type AppendFault, createMemoryStore } from "./memory_store.ts";

const TIMEOUT_MS = 10_000;

/** Creates candidates for one lease that share a memory store. */
function createCandidates(faults: AppendFault[] = []) {
  const memory = createMemoryStore(faults);
  const leases: ReturnType<typeof createLeadLease>[] = [];
  const startCandidate = (node: string, incarnation = "1") => {
    const terms: number[] = [];
    const wallClockSkew = { ms: 0 };
    const system = createSystemClock();
    const lease = createLeadLease({
      store: memory.store,
      topic: "lead",
      node,
      incarnation,
      clock: {
        ...system,
        wallTime: () => system.wallTime() + wallClockSkew.ms,
      },
      log: silentLogger,
      random: () => 0,
      electionPriority: 1,
      onGained: (term) => terms.push(term),
      onLost: () => {},
      mayLead: () => true,
    });
    leases.push(lease);
    return { lease, terms, wallClockSkew };
  };
  return {
    ...memory,
    startCandidate,
    close: () => leases.forEach((lease) => lease.close()),
  };
}

it("lead lease: an unreleased lease is taken only after it expires", async () => {
  const { startCandidate, close } = createCandidates();
  const first = startCandidate("a");
  await pause(300);
  const second = startCandidate("b");
  await pause(300);
  expect([first.lease.isHeld(), second.lease.isHeld()])
    .to.deep.equal([true, false]);
  first.lease.close();
  await pause(LEAD_LEASE_MS + 600);
  expect(second.terms).to.deep.equal([1 + TOKENS_PER_TERM]);
  expect(first.lease.isHeld()).to.equal(false);
  close();
}).timeout(TIMEOUT_MS);

it("lead lease: a released lease is taken over at once", async () => {
  const { startCandidate, close } = createCandidates();
  const first = startCandidate("a");
  await pause(300);
  const second = startCandidate("b");
  await first.lease.release();
  await pause(400);
  expect(second.lease.isHeld()).to.equal(true);
  close();
}).timeout(TIMEOUT_MS);

it("lead lease: a restarted process takes its VM's lease at once", async () => {
  const { startCandidate, close } = createCandidates();
  const first = startCandidate("a");
  await pause(300);
  first.lease.close();
  const next = startCandidate("a", "2");
  await pause(400);
  expect(next.terms).to.deep.equal([1 + TOKENS_PER_TERM]);
  close();
}).timeout(TIMEOUT_MS);

it("lead lease: the lease is held if its append's answer is lost", async () => {
  const { startCandidate, close } = createCandidates(["lost"]);
  const first = startCandidate("a");
  await pause(400);
  expect(first.lease.isHeld()).to.equal(true);
  close();
}).timeout(TIMEOUT_MS);

// The monotonic clock stops while a VM is suspended. A lease that is checked by
// it alone would still seem valid afterwards, although a successor may have
// taken it.
it("lead lease: the lease expires even while the VM is suspended", async () => {
  const { startCandidate, close } = createCandidates();
  const first = startCandidate("a");
  await pause(300);
  expect(first.lease.isHeld()).to.equal(true);
  first.wallClockSkew.ms = LEAD_LEASE_MS;
  expect(first.lease.isHeld()).to.equal(false);
  close();
}).timeout(TIMEOUT_MS);

// Commands and batches that met the expired lease were dropped, so the term must
// not go on after it.
it("lead lease: a late renewal does not revive an expired lease", async () => {
  const memory = createMemoryStore();
  const clock = createSystemClock();
  let skippedMs = 0;
  let isSlow = false;
  let answer: (() => void) | undefined;
  const lease = createLeadLease({
    store: {
      ...memory.store,
      append: async (...call) => {
        const result = await memory.store.append(...call);
        if (isSlow) await new Promise<void>((resolve) => answer = resolve);
        return result;
      },
    },
    topic: "lead",
    node: "a",
    incarnation: "1",
    clock: { ...clock, now: () => clock.now() + skippedMs },
    log: silentLogger,
    random: () => 0,
    electionPriority: 1,
    onGained: () => {},
    onLost: () => {},
    mayLead: () => true,
  });
  await pause(300);
  isSlow = true;
  while (answer === undefined) await pause(5);
  // The renewal was sent 400 ms after the first append; the lease ends between
  // two checks, just before the answer.
  skippedMs = LEAD_LEASE_MS - 150 - 380;
  const heldBefore = lease.isHeld();
  answer();
  await new Promise(setImmediate);
  const heldAfter = lease.isHeld();
  lease.close();
  expect([heldBefore, heldAfter]).to.deep.equal([false, false]);
}).timeout(TIMEOUT_MS);
