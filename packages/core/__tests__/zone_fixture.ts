import {
  createPlacer,
  FULL_POLICY,
  type HoldPlan,
  type LeaseDescriptor,
  type LeaseReport,
  LeaseState,
  type LeaseView,
  parseRules,
  type Placer,
  type PlaceRefusal,
  type PlacerPolicy,
  type RequestSpec,
  type WorkerReport,
} from "../src/mod.ts";

const RULE_COMMENT = "# asked by: a test";

/**
 * A zone with its placer. Holds are granted at once, and their tasks run until
 * they are ended.
 */
export interface ZoneFixture {
  placer: Placer;
  /** Names of the workers of each placed request. */
  placed: Map<string, string[]>;
  refused: Map<string, PlaceRefusal>;
  /** Requests whose leases were preempted, once for each lease. */
  preempted: string[];
  /**
   * Submits a request with defaults for the missing fields, then runs a pass.
   */
  submit(spec: Partial<RequestSpec> & { id: string }): void;
  /** Ends all tasks of a request, then runs a pass. */
  end(id: string, hasFailed?: boolean): void;
  /** Sets the state of one part of a request; an ended part is removed. */
  setPartState(id: string, part: number, state: LeaseState): void;
  /** Advances the clock by a number of milliseconds, then runs a pass. */
  advance(durationMs: number): void;
}

/**
 * Creates a zone "suva" with its placer.
 *
 * @param options number of racks, workers of 8 accelerators in each, rule lines
 * and policy
 * @returns the zone, whose clock starts at 0
 */
export function createZone(
  options: {
    racks: number;
    workersPerRack: number;
    rules?: string[];
    policy?: Partial<PlacerPolicy>;
  },
): ZoneFixture {
  let now = 0;
  let leaseCount = 0;
  const reports = new Map<string, WorkerReport>();
  const placed = new Map<string, string[]>();
  const refused = new Map<string, PlaceRefusal>();
  const preempted: string[] = [];

  const reportLeases = (
    worker: string,
    leases: readonly LeaseReport[],
  ): void => {
    const report = reports.get(worker)!;
    const sequence = report.sequence + 1;
    reports.set(worker, { ...report, sequence, leases });
    placer.applyReport(reports.get(worker)!, now);
  };
  const start = (worker: string, lease: LeaseDescriptor): void => {
    const report = reports.get(worker)!;
    const state = LeaseState.running;
    const running = { ...lease, state, runningMs: 0, sinceCheckpointMs: 0 };
    reportLeases(worker, [...report.leases, running]);
  };
  const removeLeases = (
    shouldRemove: (lease: LeaseReport) => boolean,
  ): void => {
    for (const [worker, { leases }] of reports) {
      if (!leases.some(shouldRemove)) continue;
      reportLeases(worker, leases.filter((lease) => !shouldRemove(lease)));
    }
  };

  const placer = createPlacer({
    zone: "suva",
    policy: { ...FULL_POLICY, ...options.policy },
    host: {
      hold: (plan: HoldPlan) => {
        placed.set(plan.spec.id, plan.parts.map(({ target }) => target.name));
        for (const { target, lease } of plan.parts) start(target.name, lease);
        placer.confirmHolds(
          plan,
          plan.parts.map(({ target }) => reports.get(target.name)!.sequence),
        );
      },
      preempt: (victims: readonly LeaseView[]) => {
        const leaseNames = new Set(victims.map(({ lease }) => lease));
        for (const { request } of victims) {
          preempted.push(request);
          placed.delete(request);
        }
        removeLeases(({ lease }) => leaseNames.has(lease));
      },
      refuse: (id, _attempt, refusal) => refused.set(id, refusal),
      createLeaseName: () => `lease-${++leaseCount}`,
      random: () => 0,
    },
  });
  placer.configure(
    parseRules(
      (options.rules ?? []).map((rule) => `${rule} ${RULE_COMMENT}`).join("\n"),
    )
      .rules!,
  );
  for (let rack = 0; rack < options.racks; rack++) {
    for (let index = 0; index < options.workersPerRack; index++) {
      const report: WorkerReport = {
        worker: `r${rack}w${index}`,
        address: "",
        zone: "suva",
        rack: `r${rack}`,
        boot: "boot",
        leaving: false,
        accelerators: 8,
        sequence: 0,
        leases: [],
      };
      reports.set(report.worker, report);
      placer.applyReport(report, now);
    }
  }

  const decide = () => placer.decide(now);
  return {
    placer,
    placed,
    refused,
    preempted,
    submit: (spec) => {
      const submission = { attempt: 1, owner: "owner", avoid: [] };
      placer.submit({ ...submission, spec: { ...DEFAULT_SPEC, ...spec } }, now);
      decide();
    },
    end: (id, hasFailed = false) => {
      for (const [worker, { leases }] of reports) {
        for (const lease of leases) {
          if (lease.request !== id) continue;
          const task = { ...lease, worker, hasFailed };
          placer.recordTaskEnd(task, lease.expectedMs, now);
        }
      }
      removeLeases(({ request }) => request === id);
      decide();
    },
    setPartState: (id, part, state) => {
      for (const [worker, { leases }] of reports) {
        const isPart = (lease: LeaseReport) =>
          lease.request === id && lease.part === part;
        if (!leases.some(isPart)) continue;
        const changed = leases.map((lease) =>
          isPart(lease) ? { ...lease, state } : lease
        );
        reportLeases(
          worker,
          changed.filter((lease) => lease.state !== LeaseState.ended),
        );
      }
    },
    advance: (durationMs) => {
      now += durationMs;
      decide();
    },
  };
}

/** A repeatable job of one accelerator. */
export const DEFAULT_SPEC: RequestSpec = {
  id: "",
  account: "crates",
  key: "",
  class: "batch",
  shape: { parts: 1, accelerators: 1, adjacent: "none" },
  repeatable: true,
  preemptible: true,
  priority: 50,
  expectedMs: 1_000,
  deadlineMs: 3_600_000,
  isJob: true,
  bodyDigest: "",
};
