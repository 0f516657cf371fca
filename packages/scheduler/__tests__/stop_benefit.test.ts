import { expect } from "chai";
import {
  PLANNING_POLICY,
  stopBenefit,
  type StopQuestion,
  type VictimJob,
} from "../src/mod.ts";

const WITH_SLACK = { value: 1, slackMs: 60_000, lateSlackMs: 200_000 };

/** @returns a victim that loses one core second, with the given changes */
const victim = (changes: Partial<VictimJob> = {}): VictimJob => ({
  prospects: WITH_SLACK,
  delayMs: 3_000,
  lostWork: 1_000,
  stopCount: 0,
  ...changes,
});

/** Evaluates a stop for an urgent job of 100 core seconds worth 4. */
const evaluate = (changes: Partial<StopQuestion> = {}) =>
  stopBenefit({
    urgent: { value: 4, slackMs: 1_500, lateSlackMs: 9_000 },
    startAfterStopMs: 500,
    startWithoutStopMs: 5_000,
    valuePerWork: 4 / 100_000,
    victims: [victim()],
    ...changes,
  }, PLANNING_POLICY);

it("stop benefit: a cheap stop that brings an urgent job in time is worth it", () => {
  const { outcome, atStake, lostWork } = evaluate();
  expect(outcome).to.equal("worthwhile");
  expect(atStake).to.equal(4 * (1 - PLANNING_POLICY.lateValueShare));
  expect(lostWork).to.equal(1_000);
});

it("stop benefit: the whole value is at stake if waiting makes it useless", () => {
  expect(evaluate({ startWithoutStopMs: 10_000 }).atStake).to.equal(4);
});

it("stop benefit: nothing is stopped for a job that is late in any case", () => {
  const { outcome, atStake } = evaluate({ startAfterStopMs: 1_501 });
  expect(outcome).to.equal("tooLate");
  expect(atStake).to.equal(0);
});

it("stop benefit: nothing is stopped if the capacity is free in time", () => {
  const { outcome } = evaluate({ startWithoutStopMs: 1_500 });
  expect(outcome).to.equal("inTimeAnyway");
});

it("stop benefit: lost work of more than the value at stake costs too much", () => {
  const lostWork = 3 / PLANNING_POLICY.lostWorkPrice * 100_000 / 4;
  const isWorth = (work: number) =>
    evaluate({ victims: [victim({ lostWork: work, delayMs: 0 })] }).outcome;
  expect(isWorth(lostWork - 1)).to.equal("worthwhile");
  expect(isWorth(lostWork + 1)).to.equal("tooCostly");
});

// Guards against the opposite exchange, where a more valuable job misses its
// objective so that an urgent one keeps its own.
it("stop benefit: a victim that misses its objective by the stop counts", () => {
  const prospects = { value: 8, slackMs: 1_000, lateSlackMs: 60_000 };
  const victims = [victim({ prospects })];
  expect(evaluate({ victims }).outcome).to.equal("tooCostly");
});

// A job's run times are known only roughly, so a delay within its slack may
// still make it late.
it("stop benefit: a delay costs more the more of the slack it takes", () => {
  const costOf = (delayMs: number) =>
    evaluate({ victims: [victim({ delayMs })] }).cost;
  expect(costOf(30_000)).to.be.above(costOf(3_000));
  expect(costOf(60_000)).to.be.above(costOf(30_000));
});

it("stop benefit: a victim that is too late already loses no value", () => {
  const prospects = { value: 8, slackMs: -9_000, lateSlackMs: -1_000 };
  const victims = [victim({ prospects })];
  expect(evaluate({ victims }).outcome).to.equal("worthwhile");
});

// Guards against a job that never completes because every urgent job stops it.
it("stop benefit: each earlier stop of a job raises the cost", () => {
  const lostWork = 100_000;
  const costAfter = (stopCount: number) =>
    evaluate({ victims: [victim({ lostWork, stopCount })] }).cost;
  expect(costAfter(1)).to.be.above(costAfter(0));
  expect(costAfter(2)).to.be.above(costAfter(1));
  expect(evaluate({ victims: [victim({ lostWork, stopCount: 0 })] }).outcome)
    .to.equal("worthwhile");
  expect(evaluate({ victims: [victim({ lostWork, stopCount: 2 })] }).outcome)
    .to.equal("tooCostly");
});

it("stop benefit: the costs of all jobs add up", () => {
  const lostWork = 60_000;
  const single = evaluate({ victims: [victim({ lostWork })] });
  const several = evaluate({
    victims: [1, 2, 3].map(() => victim({ lostWork })),
  });
  expect(several.cost).to.be.closeTo(3 * single.cost, 1e-9);
  expect(several.outcome).to.equal("tooCostly");
});
