import { expect } from "chai";
import type { WorkerEntry } from "@rattanhill/scheduler";
import { judgeRemovals, type StoredRecord } from "../src/mod.ts";

const DRAINING = "draining";
const READY = "ready";
const LONG_DRAIN = "long drain";

/**
 * Judges the removal of worker `w`.
 *
 * @param steps names of workers in the order of their records: a renewal, a
 * removal with `-` before the name, or an entry of `w` with its state
 */
function judge(...steps: string[]) {
  const history = steps.map((step, offset): StoredRecord => {
    const [name, state = READY] = step.split(":");
    return name.startsWith("-")
      ? { key: name.slice(1), offset }
      : { key: name, value: state, offset };
  });
  const { entries, left } = judgeRemovals(history, {
    ids: new Set(["w"]),
    heartbeatMs: 1_500,
    decode: (id, state) => {
      if (state === "invalid") throw new Error("not an entry");
      return {
        id,
        isDraining: state !== READY,
        remainingMs: state === LONG_DRAIN ? 5_000 : 700,
      } as WorkerEntry;
    },
  });
  return { found: entries.length, left: left.has("w") };
}

const DRAINED = `w:${DRAINING}`;

it("worker history: a worker left if older entries outlast its own", () => {
  expect(judge("a", "b", "c", DRAINED, "-w", "a", "b", "c")).to.deep.equal({
    found: 1,
    left: true,
  });
});

it("worker history: an entry that was the oldest may have lapsed", () => {
  const { left } = judge("a", "b", "c", DRAINED, "a", "b", "c", "-w", "a", "b");
  expect(left).to.equal(false);
});

it("worker history: older entries count only once they are renewed", () => {
  expect(judge("a", "b", "c", DRAINED, "-w", "a", "b").left).to.equal(false);
});

it("worker history: an older entry that is removed as well proves nothing", () => {
  const drained = `d:${DRAINING}`;
  const { left } = judge(drained, "b", "c", DRAINED, "-w", "-d", "b", "c");
  expect(left).to.equal(false);
});

it("worker history: nothing is concluded beside entries that lapse", () => {
  const { left } = judge(
    "a",
    "b",
    "c",
    "x",
    DRAINED,
    "-w",
    "a",
    "b",
    "c",
    "-x",
  );
  expect(left).to.equal(false);
});

it("worker history: another worker that drains and is removed changes nothing", () => {
  const drained = `d:${DRAINING}`;
  const { left } = judge(
    drained,
    "a",
    "b",
    "c",
    DRAINED,
    "-d",
    "-w",
    "a",
    "b",
    "c",
  );
  expect(left).to.equal(true);
});

it("worker history: a worker that did not drain has not left", () => {
  expect(judge("a", "b", "c", "w", "-w", "a", "b", "c")).to.deep.equal({
    found: 1,
    left: false,
  });
});

it("worker history: a worker does not leave long before its announced time", () => {
  const entry = `w:${LONG_DRAIN}`;
  const { left } = judge("a", "b", "c", entry, "-w", "a", "b", "c");
  expect(left).to.equal(false);
});

it("worker history: a worker that is not removed has not left", () => {
  expect(judge("a", "b", "c", DRAINED, "a", "b", "c").left).to.equal(false);
  expect(judge("a", "b", "c", DRAINED, "-w", DRAINED, "a", "b", "c").left)
    .to.equal(false);
});

it("worker history: an invalid last entry says nothing", () => {
  const steps = ["a", "b", "c", DRAINED, "w:invalid", "-w", "a", "b", "c"];
  expect(judge(...steps)).to.deep.equal({ found: 0, left: false });
  expect(judge("-w")).to.deep.equal({ found: 0, left: false });
});
