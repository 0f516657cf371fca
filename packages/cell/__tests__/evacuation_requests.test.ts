import { expect } from "chai";
import { createSystemClock, readInstant } from "@rattanhill/shared";
import {
  createEvacuationRequests,
  createMetrics,
  evacuationTimingOf,
  type StoredRecord,
} from "../src/mod.ts";

/** Creates requests whose keys are zones in capital letters. */
function createRequests() {
  const lines: string[] = [];
  const changes: string[][] = [];
  const metrics = createMetrics();
  const write = (fields: unknown, event: string) => {
    const { zone } = fields as { zone: string };
    lines.push(`${event}: ${zone}`);
  };
  const requests = createEvacuationRequests({
    zoneOf: (key) => key === key.toUpperCase() ? key : undefined,
    onChange: (zones) => changes.push([...zones]),
    metrics,
    log: { info: write, warn: write, error: write },
  });
  const apply = (
    records: Record<string, string | undefined>,
    isSnapshot = false,
  ) => {
    const stored = Object.entries(records).map(
      ([key, value], offset): StoredRecord => ({ key, value, offset }),
    );
    const steadySince = readInstant(createSystemClock());
    requests.apply(stored, { isSnapshot, steadySince });
    return [...requests.zones()].sort();
  };
  return { apply, lines, changes, metrics };
}

it("evacuation requests: records add and remove zones, by their keys", () => {
  const { apply, changes } = createRequests();
  expect(apply({ config: "{}", A: "{}" }, true)).to.deep.equal(["A"]);
  expect(apply({ B: "\u0000 not JSON" })).to.deep.equal(["A", "B"]);
  expect(apply({ config: "{}" })).to.deep.equal(["A", "B"]);
  expect(apply({ A: undefined, C: undefined })).to.deep.equal(["B"]);
  expect(apply({ B: "" })).to.deep.equal([]);
  expect(changes).to.deep.equal([["A"], ["A", "B"], ["B"], []]);
});

// A request may be removed while the store is away, and the record of its
// removal deleted with the history.
it("evacuation requests: a snapshot replaces the zones", () => {
  const { apply, lines } = createRequests();
  apply({ A: "{}", B: "{}" }, true);
  expect(apply({ B: "{}" }, true)).to.deep.equal(["B"]);
  expect(apply({}, true)).to.deep.equal([]);
  expect(lines.slice(2)).to.deep.equal([
    "zone evacuation withdrawn: A",
    "zone evacuation withdrawn: B",
  ]);
});

it("evacuation requests: each change is logged and counted once", () => {
  const { apply, lines, metrics } = createRequests();
  apply({ A: "{}" }, true);
  apply({ A: "{}" }, true);
  apply({ A: '{"again":1}' });
  apply({ A: undefined });
  apply({ A: undefined });
  expect(lines).to.deep.equal([
    "zone evacuation requested: A",
    "zone evacuation withdrawn: A",
  ]);
  expect(metrics.expose()).to.include("rattanhill_evacuation_requested_total 1")
    .and.include("rattanhill_evacuation_withdrawn_total 1");
});

it("evacuation timing: without a bound, the topic may have any age", () => {
  expect(evacuationTimingOf(undefined, 1_000)).to.deep.equal({
    maximumAgeMs: Infinity,
    readWaitMs: 1_000,
  });
});

// The age covers two waits of a read and two answers, which take 0.5 s each from
// a store that is slowed down 60-fold. Starts must go on then.
it("evacuation timing: an idle and a slow topic are new enough", () => {
  for (const evacuateMs of [2_600, 4_000, 5_000, 60_000]) {
    const timing = evacuationTimingOf(evacuateMs, 1_000);
    const slowestMs = 2 * timing.readWaitMs + 2 * 500;
    expect(timing.maximumAgeMs).to.be.at.least(slowestMs);
  }
});

// A start command that is sent at the largest age arrives 0.7 s later at most.
it("evacuation timing: the largest age leaves time for a start command", () => {
  expect(evacuationTimingOf(5_000, 1_000)).to.deep.equal({
    maximumAgeMs: 3_500,
    readWaitMs: 1_000,
  });
  for (const evacuateMs of [1_400, 3_000, 5_000]) {
    const { maximumAgeMs } = evacuationTimingOf(evacuateMs, 1_000);
    expect(evacuateMs - maximumAgeMs).to.be.at.least(700);
  }
});

it("evacuation timing: a bound that is too short does not end all work", () => {
  for (const evacuateMs of [0, 1, 800]) {
    const timing = evacuationTimingOf(evacuateMs, 1_000);
    expect(timing).to.deep.equal({ maximumAgeMs: 500, readWaitMs: 0 });
  }
});
