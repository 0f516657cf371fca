import { expect } from "chai";
import {
  compareScores,
  keepScores,
  parseScore,
  type ScoredSite,
} from "../src/regression.ts";

const score = (worth: number, rules = {}): ScoredSite => ({
  site: "s",
  days: [
    { name: "quiet-1", worth, brokenRules: rules, hasPassed: true },
    { name: "fresh-1", worth: 0.1, brokenRules: {}, hasPassed: true },
  ],
});

it("regression: a fall within the noise is no fault", () => {
  const { rows, faults } = compareScores([score(0.78)], {
    s: { "quiet-1": 0.8 },
  });
  expect(faults).to.deep.equal([]);
  expect(rows[0]).to.include({ kept: 0.8, difference: -0.02, broken: "" });
  expect(rows[1].kept).to.equal(undefined);
});

it("regression: a fall of a site's mean and a broken rule are faults", () => {
  const { faults } = compareScores([score(0.7, { TWICE: 1 })], {
    s: { "quiet-1": 0.8 },
  });
  expect(faults).to.deep.equal([
    "s quiet-1: TWICE 1",
    "s: mean worth fell by 0.1, allowed 0.03",
  ]);
});

it("regression: a failed gate is a fault without kept figures too", () => {
  const failed = score(0.7);
  const days = failed.days.map((day) => ({ ...day, hasPassed: false }));
  expect(compareScores([{ ...failed, days }], {}).faults).to.have.length(2);
});

it("regression: only standard days are kept", () => {
  expect(keepScores([score(0.7512)], { other: {} })).to.deep.equal({
    other: {},
    s: { "quiet-1": 0.751 },
  });
});

it("regression: only finished scores are read from the journal", () => {
  const entry = {
    cmd: "score",
    site: "s",
    days: [{ name: "quiet-1", G: 0.5, rules: { LOST: 2 }, gate: false }],
  };
  expect(parseScore(JSON.stringify(entry))).to.deep.equal({
    site: "s",
    days: [{
      name: "quiet-1",
      worth: 0.5,
      brokenRules: { LOST: 2 },
      hasPassed: false,
    }],
  });
  expect(parseScore(JSON.stringify({ ...entry, cmd: "run" }))).to.equal(
    undefined,
  );
  expect(parseScore(JSON.stringify({ ...entry, days: null }))).to.equal(
    undefined,
  );
});
