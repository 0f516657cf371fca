import { expect } from "chai";
import {
  createIsolation,
  createManualClock,
  silentLogger,
} from "../src/mod.ts";

function createIsolated() {
  const clock = createManualClock();
  const lines: unknown[] = [];
  const errors: string[] = [];
  const isolate = createIsolation({
    clock,
    log: { ...silentLogger, error: (fields) => lines.push(fields) },
    onError: (operation) => errors.push(operation),
  });
  const fail = (item: string) =>
    isolate({ operation: "test", item }, () => {
      throw new Error("broken");
    });
  return { clock, lines, errors, isolate, fail };
}

it("isolation: an error is logged with its item and reaches nobody", () => {
  const { lines, errors, isolate, fail } = createIsolated();
  expect(isolate({ operation: "test", item: "a" }, () => 7)).to.equal(7);
  expect(fail("b")).to.equal(undefined);
  expect(lines).to.deep.equal([
    { operation: "test", item: "b", error: "broken" },
  ]);
  expect(errors).to.deep.equal(["test"]);
});

it("isolation: an item that goes on failing is logged each 10 s", () => {
  const { clock, lines, errors, fail } = createIsolated();
  for (let second = 0; second < 20; second++) {
    fail("a");
    clock.advance(1_000);
  }
  expect([lines.length, errors.length]).to.deep.equal([2, 20]);
});

it("isolation: lines are bounded with any number of failing items", () => {
  const { clock, lines, fail } = createIsolated();
  for (let item = 0; item < 5_000; item++) fail(String(item));
  expect(lines).to.have.length(1_000);
  clock.advance(10_000);
  fail("another");
  expect(lines).to.have.length(1_001);
});
