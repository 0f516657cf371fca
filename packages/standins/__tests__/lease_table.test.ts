// Guards against a worker stand-in that is more lenient than a real worker.
// Other tests would then miss double starts and starts beyond the capacity.
import { expect } from "chai";
import type { LeaseDescriptor } from "@rattanhill/core";
import { createLeaseTable, type LeaseTable } from "../src/mod.ts";

const TASK_MS = 1_000;

function createTable(): LeaseTable {
  return createLeaseTable({
    worker: "w",
    address: "",
    zone: "z",
    rack: "r",
    boot: "boot",
    accelerators: 8,
    endedRetentionMs: 60_000,
    appendToJournal: () => {},
    parsePlan: () => ({ runMs: TASK_MS }),
    onChange: () => {},
  });
}

const lease = (name: string, accelerators = 1): LeaseDescriptor => ({
  lease: name,
  request: name,
  key: "",
  account: "a",
  class: "c",
  attempt: 1,
  part: 0,
  parts: 1,
  accelerators,
  owner: "owner",
  priority: 0,
  repeatable: true,
  preemptible: true,
  expectedMs: TASK_MS,
});

it("lease table: a hold beyond the free accelerators is refused", () => {
  const table = createTable();
  expect(table.hold(lease("a", 5), 100, 0).status).to.equal(201);
  expect(table.hold(lease("b", 4), 100, 0).status).to.equal(409);
});

it("lease table: a start after the hold expired is refused", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  expect(table.run("a", {}, 100).answer.state).to.equal("released");
  expect(table.run("a", {}, 100).status).to.equal(409);
});

it("lease table: preparing a gang part does not extend its hold", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  expect(table.prepare("a", { payload: "x" }, 90).status).to.equal(200);
  expect(table.run("a", {}, 110).status).to.equal(409);
});

it("lease table: a running task is stopped when its lease expires", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  table.renew(["a"], "owner", 500, 100);
  table.tick(600);
  expect(table.find("a")?.state).to.equal("stopped");
});

it("lease table: a task resumes from its checkpoint", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  table.checkpoint("a", 700);
  const { checkpoint } = table.stop("a", 800).answer;
  expect(checkpoint).to.equal("700");
  table.hold(lease("b"), 100, 900);
  table.run("b", { progressMs: Number(checkpoint) }, 900);
  table.tick(1_200);
  expect(table.find("b")?.state).to.equal("ended");
});

it("lease table: a resumed task keeps its earlier checkpoint", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", { progressMs: 400 }, 0);
  expect(table.stop("a", 50).answer.checkpoint).to.equal("400");
});

it("lease table: a leaving worker refuses holds and finishes its tasks", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  table.setLeaving(true);
  expect(table.hold(lease("b"), 100, 0).answer.reason).to.equal("leaving");
  table.tick(TASK_MS);
  expect(table.find("a")?.state).to.equal("ended");
});

it("lease table: a paused task does not end before it continues", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  table.pause("a", 2_000, 900);
  table.tick(TASK_MS + 500);
  expect(table.find("a")?.state).to.equal("running");
  table.continue("a", TASK_MS + 500);
  table.tick(TASK_MS + 599);
  expect(table.find("a")?.state).to.equal("running");
  table.tick(TASK_MS + 600);
  expect(table.find("a")?.state).to.equal("ended");
});

it("lease table: a task that was paused and stopped resumes from the pause", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  table.pause("a", 2_000, 700);
  const { state, checkpoint } = table.stop("a", 1_200).answer;
  expect(state).to.equal("stopped");
  expect(checkpoint).to.equal("700");
});

it("lease table: a pause without a decision ends by itself", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  table.pause("a", 2_000, 900);
  expect(table.nextDueAt()).to.equal(2_900);
  table.tick(2_999);
  expect(table.find("a")?.state).to.equal("running");
  table.tick(3_000);
  expect(table.find("a")?.state).to.equal("ended");
});

it("lease table: a task that has ended is not paused", () => {
  const table = createTable();
  table.hold(lease("a"), 100, 0);
  table.run("a", {}, 0);
  expect(table.pause("a", 2_000, TASK_MS).answer.state).to.equal("ended");
});
