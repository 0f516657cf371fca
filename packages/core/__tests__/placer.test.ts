import { expect } from "chai";
import {
  assignGuarantees,
  createPlacer,
  createQuarantine,
  createRunTimeEstimator,
  type HoldPlan,
  LeaseState,
  parseRules,
} from "../src/mod.ts";
import { createZone, DEFAULT_SPEC } from "./zone_fixture.ts";

const gang = (parts: number, accelerators = 8) =>
  ({ parts, accelerators, adjacent: "rack" }) as const;
const singlePart = (accelerators: number) =>
  ({ parts: 1, accelerators, adjacent: "none" }) as const;
const GUARANTEE =
  "account routes guarantee 16 accelerators adjacent rack zone suva";

it("placer: small requests fill partly used workers first", () => {
  const zone = createZone({ racks: 2, workersPerRack: 2 });
  for (let index = 0; index < 8; index++) zone.submit({ id: `s${index}` });
  expect(new Set([...zone.placed.values()].flat()).size).to.equal(1);
});

it("placer: a gang job is placed within one rack or not at all", () => {
  const zone = createZone({ racks: 2, workersPerRack: 2 });
  zone.submit({ id: "a", shape: singlePart(8) });
  zone.submit({ id: "gang", shape: gang(2) });
  const racks = zone.placed.get("gang")!.map((name) => name.slice(0, 2));
  expect(new Set(racks).size).to.equal(1);
  zone.submit({ id: "next", shape: gang(2) });
  expect(zone.placed.has("next")).to.equal(false);
});

it("placer: a guarantee on a full zone is reclaimed from lent work", () => {
  const zone = createZone({ racks: 2, workersPerRack: 2, rules: [GUARANTEE] });
  for (let index = 0; index < 4; index++) {
    zone.submit({ id: `lent${index}`, shape: singlePart(8) });
  }
  zone.submit({ id: "claim", account: "routes", shape: gang(2) });
  zone.advance(1);
  expect(zone.placed.has("claim")).to.equal(true);
  expect(zone.preempted).to.have.length(2);
});

it("placer: a reclaim preempts no more than the request needs", () => {
  const zone = createZone({ racks: 1, workersPerRack: 4, rules: [GUARANTEE] });
  for (let index = 0; index < 32; index++) zone.submit({ id: `s${index}` });
  zone.submit({ id: "claim", account: "routes", shape: singlePart(4) });
  zone.advance(1);
  expect(zone.preempted).to.have.length(4);
});

it("placer: a gang job is preempted as a whole", () => {
  const zone = createZone({ racks: 1, workersPerRack: 2, rules: [GUARANTEE] });
  zone.submit({ id: "gang", shape: gang(2) });
  zone.submit({ id: "claim", account: "routes", shape: singlePart(4) });
  zone.advance(1);
  expect(zone.preempted).to.deep.equal(["gang", "gang"]);
  expect(zone.placed.has("claim")).to.equal(true);
});

it("placer: a gang job of which a part has ended is left to end, but not for long", () => {
  const zone = createZone({ racks: 1, workersPerRack: 3, rules: [GUARANTEE] });
  zone.submit({ id: "gang", shape: gang(3) });
  zone.setPartState("gang", 0, LeaseState.ended);
  zone.submit({ id: "claim", account: "routes", shape: gang(2) });
  zone.advance(500);
  zone.advance(500);
  expect(zone.preempted).to.deep.equal([]);
  zone.advance(500);
  zone.advance(500);
  expect(zone.preempted).to.deep.equal(["gang", "gang"]);
});

it("placer: a gang job is not preempted while its parts start", () => {
  const zone = createZone({ racks: 1, workersPerRack: 2, rules: [GUARANTEE] });
  zone.submit({ id: "gang", shape: gang(2) });
  zone.setPartState("gang", 1, LeaseState.ready);
  zone.submit({ id: "claim", account: "routes", shape: singlePart(4) });
  zone.advance(1);
  expect(zone.preempted).to.deep.equal([]);
  zone.setPartState("gang", 1, LeaseState.running);
  zone.advance(1);
  expect(zone.preempted).to.deep.equal(["gang", "gang"]);
});

it("placer: non-preemptible work stays off another account's share", () => {
  const zone = createZone({ racks: 1, workersPerRack: 3, rules: [GUARANTEE] });
  const nonPreemptible = { preemptible: false, repeatable: false };
  zone.submit({ id: "a", shape: singlePart(8), ...nonPreemptible });
  zone.submit({ id: "b", shape: singlePart(8), ...nonPreemptible });
  expect(zone.placed.has("a")).to.equal(true);
  expect(zone.placed.has("b")).to.equal(false);
  zone.submit({ id: "claim", account: "routes", shape: gang(2) });
  expect(zone.placed.has("claim")).to.equal(true);
});

// The filler on r0w0, where account a has its share, makes a1 run on r0w1,
// where account b has its share.
it("placer: work within its guarantee is preempted on another's share", () => {
  const rules = [
    "account a guarantee 8 accelerators adjacent worker zone suva",
    "account b guarantee 8 accelerators adjacent worker zone suva",
  ];
  const zone = createZone({ racks: 1, workersPerRack: 2, rules });
  zone.submit({ id: "filler", account: "c", shape: singlePart(8) });
  zone.submit({ id: "a1", account: "a", shape: singlePart(8) });
  zone.end("filler");
  expect(zone.placed.get("a1")).to.deep.equal(["r0w1"]);
  zone.submit({
    id: "b1",
    account: "b",
    preemptible: false,
    shape: singlePart(8),
  });
  zone.advance(1);
  expect(zone.placed.has("b1")).to.equal(true);
});

it("placer: borrowed work is preempted only across the priority gap", () => {
  const zone = createZone({ racks: 1, workersPerRack: 1 });
  zone.submit({ id: "low", shape: singlePart(8), priority: 20 });
  zone.submit({ id: "near", account: "drafts", priority: 40 });
  zone.advance(1);
  expect(zone.placed.has("near")).to.equal(false);
  zone.submit({ id: "urgent", account: "drafts", priority: 90 });
  zone.advance(1);
  expect(zone.placed.has("urgent")).to.equal(true);
});

/**
 * Tests whether a gang job of two whole workers starts within 200 s while
 * non-preemptible requests of one accelerator arrive as fast as others end.
 */
function startsAmongSmallWork(policy: { reservation: boolean }): boolean {
  const zone = createZone({ racks: 2, workersPerRack: 2, policy });
  for (let index = 0; index < 32; index++) zone.submit({ id: `s${index}` });
  zone.submit({ id: "gang", account: "plans", shape: gang(2) });
  let nextIndex = 32;
  for (let step = 0; step < 400 && !zone.placed.has("gang"); step++) {
    zone.submit({ id: `s${nextIndex++}`, preemptible: false });
    zone.end(`s${step}`);
    zone.advance(500);
  }
  return zone.placed.has("gang");
}

it("placer: a large job starts under a constant load of small requests", () => {
  expect(startsAmongSmallWork({ reservation: true })).to.equal(true);
});

it("placer: a large job without a reservation starves", () => {
  expect(startsAmongSmallWork({ reservation: false })).to.equal(false);
});

it("placer: accounts divide capacity beyond guarantees by weight", () => {
  const rules = ["account a weight 3", "account b weight 1"];
  const zone = createZone({ racks: 1, workersPerRack: 1, rules });
  zone.submit({
    id: "full",
    account: "c",
    shape: singlePart(8),
    preemptible: false,
  });
  for (let index = 0; index < 8; index++) {
    zone.submit({ id: `a${index}`, account: "a" });
    zone.submit({ id: `b${index}`, account: "b" });
  }
  zone.end("full");
  const placedOfA = [...zone.placed.keys()].filter((id) => id.startsWith("a"));
  expect(placedOfA).to.have.length(6);
});

it("placer: a request that waits too long is refused with a retry time", () => {
  const rules = ["class quick wait 2s"];
  const zone = createZone({ racks: 1, workersPerRack: 1, rules });
  const quick = { class: "quick", isJob: false, expectedMs: 10_000 };
  zone.submit({ id: "full", shape: singlePart(8), preemptible: false });
  for (let index = 0; index < 4; index++) {
    zone.submit({ id: `q${index}`, ...quick });
  }
  expect(zone.refused.get("q3")?.reason).to.equal("queue-full");
  expect(zone.refused.get("q3")?.retryAfterMs).to.be.at.least(2_000);
  zone.advance(2_000);
  expect(zone.refused.get("q0")?.reason).to.equal("waited-too-long");
});

it("placer: only a waiting request is explained", () => {
  const zone = createZone({ racks: 1, workersPerRack: 1 });
  zone.submit({ id: "full", shape: singlePart(8), preemptible: false });
  zone.submit({ id: "next", shape: singlePart(4) });
  expect(zone.placer.explain("next")).to.contain("needs 4 accelerators");
  expect(zone.placer.explain("full")).to.equal(undefined);
});

it("placer: lent and borrowed accelerators are listed by account", () => {
  const zone = createZone({ racks: 1, workersPerRack: 2, rules: [GUARANTEE] });
  zone.submit({ id: "lent", shape: singlePart(8) });
  const rows = zone.placer.accounts();
  expect(rows).to.deep.include({
    account: "routes",
    guaranteed: 16,
    used: 0,
    lent: 8,
    borrowed: 0,
    isMet: true,
  });
  expect(rows).to.deep.include({
    account: "crates",
    guaranteed: 0,
    used: 8,
    lent: 0,
    borrowed: 8,
    isMet: true,
  });
});

it("guarantee shares: a guarantee that does not fit is listed as unmet", () => {
  const zone = createZone({ racks: 2, workersPerRack: 2 });
  const racks = new Map<string, ReturnType<typeof zone.placer.workers>>();
  for (const worker of zone.placer.workers()) {
    racks.set(worker.rack, [...racks.get(worker.rack) ?? [], worker]);
  }
  const { rules } = parseRules([
    "account a guarantee 12 accelerators adjacent rack zone suva # asked by: x",
    "account b guarantee 12 accelerators adjacent rack zone suva # asked by: x",
    "account c guarantee 8 accelerators adjacent worker zone suva # asked by: x",
  ].join("\n"));
  expect(assignGuarantees(rules!, "suva", racks.values()).unmet).to.have.length(
    1,
  );
});

it("quarantine: three failures exclude a worker until a probe succeeds", () => {
  const quarantine = createQuarantine();
  const endTask = (worker: string, request: string, hasFailed: boolean) =>
    quarantine.recordTaskEnd({ worker, request, hasFailed, class: "c" }, 0);
  for (let index = 0; index < 10; index++) endTask("good", `g${index}`, false);
  endTask("bad", "1", true);
  endTask("bad", "2", true);
  expect(quarantine.isEligible("bad", 0)).to.equal(true);
  endTask("bad", "3", true);
  expect(quarantine.isEligible("bad", 0)).to.equal(false);
  expect(quarantine.isEligible("bad", 10_000)).to.equal(true);
  endTask("bad", "4", false);
  expect(quarantine.members().size).to.equal(0);
});

it("quarantine: a class that fails everywhere leaves a worker eligible", () => {
  const quarantine = createQuarantine();
  for (let index = 0; index < 12; index++) {
    const worker = `w${index % 3}`;
    const request = String(index);
    quarantine.recordTaskEnd(
      { worker, request, hasFailed: true, class: "c" },
      0,
    );
  }
  const eligible = ["w0", "w1", "w2"].filter((worker) =>
    quarantine.isEligible(worker, 0)
  );
  expect(eligible).to.not.have.length(0);
});

it("run times: the estimate moves from the declared to the actual time", () => {
  const runTimes = createRunTimeEstimator();
  const task = { account: "a", class: "c", expectedMs: 1_000 };
  expect(runTimes.estimate(task)).to.equal(1_000);
  for (let index = 0; index < 20; index++) runTimes.recordRun(task, 3_000);
  expect(runTimes.estimate(task)).to.be.within(2_700, 3_300);
});

/** Creates a placer of one worker whose holds the test answers. */
function createHeldPlacer(accelerators = 8) {
  const plans: HoldPlan[] = [];
  const refusedIds: string[] = [];
  const placer = createPlacer({
    zone: "suva",
    host: {
      hold: (plan) => plans.push(plan),
      preempt: () => {},
      refuse: (id) => refusedIds.push(id),
      createLeaseName: () => `lease-${plans.length}`,
      random: () => 0,
    },
  });
  placer.applyReport(
    {
      worker: "w",
      address: "",
      zone: "suva",
      rack: "r",
      boot: "boot",
      leaving: false,
      accelerators,
      sequence: 0,
      leases: [],
    },
    0,
  );
  return { placer, plans, refusedIds };
}

/** Submits a burst of requests of 9 s that would fill four workers. */
function submitBurst({ placer }: ReturnType<typeof createHeldPlacer>): void {
  for (let index = 0; index < 32; index++) {
    const spec = {
      ...DEFAULT_SPEC,
      id: `${index}`,
      expectedMs: 9_000,
      isJob: false,
    };
    placer.submit({ spec, owner: "owner", avoid: [], attempt: 1 }, 0);
  }
}
const WAIT_RULE = "class batch priority 50 wait 20s # asked by: a test";

it("placer: workers that have not reported yet cause no refusals", () => {
  const zone = createHeldPlacer();
  zone.placer.configure(parseRules(WAIT_RULE).rules!);
  zone.placer.setListedWorkers(["w", "x", "y", "z"]);
  submitBurst(zone);
  expect(zone.refusedIds).to.deep.equal([]);
});

it("placer: a worker whose report was discarded causes no refusals", () => {
  const zone = createHeldPlacer(32);
  zone.placer.configure(parseRules(WAIT_RULE).rules!);
  zone.placer.setListedWorkers(["w"]);
  zone.placer.discardReport("w");
  submitBurst(zone);
  expect(zone.refusedIds).to.deep.equal([]);
});

it("placer: a worker that does not respond shortens no forecast", () => {
  const zone = createHeldPlacer();
  zone.placer.configure(parseRules(WAIT_RULE).rules!);
  zone.placer.setListedWorkers(["w", "x", "y", "z"]);
  for (const worker of ["x", "y", "z"]) zone.placer.removeWorker(worker);
  submitBurst(zone);
  expect(zone.refusedIds).not.to.deep.equal([]);
});

it("placer: a refused hold leaves a newer attempt in the queue", () => {
  const { placer, plans } = createHeldPlacer();
  const spec = { ...DEFAULT_SPEC, id: "a" };
  const submission = { spec, owner: "owner", avoid: ["x"] };
  placer.submit({ ...submission, attempt: 1 }, 0);
  placer.decide(0);
  placer.submit({ ...submission, attempt: 2 }, 1);
  placer.requeueRefused(plans[0]);
  placer.decide(2);
  expect(plans.map(({ attempt }) => attempt)).to.deep.equal([1, 2]);
});

it("placer: a requeued attempt still avoids its workers", () => {
  const { placer, plans } = createHeldPlacer();
  const spec = { ...DEFAULT_SPEC, id: "a" };
  placer.submit({ spec, owner: "owner", avoid: ["x"], attempt: 1 }, 0);
  placer.decide(0);
  placer.requeueRefused(plans[0]);
  placer.decide(1);
  expect(plans.map(({ avoid }) => avoid)).to.deep.equal([["x"], ["x"]]);
});
