import { expect } from "chai";
import { foldConfig, NO_CONFIG, parseRules } from "../src/mod.ts";

const ASKED_BY = "# asked by: Sera, dispatch";

it("rules: a file with all kinds of lines is parsed", () => {
  const { rules, faults } = parseRules([
    "# heading",
    "",
    `account routes guarantee 16 accelerators adjacent rack zone suva ${ASKED_BY}`,
    `class route-plan priority 90 wait 2s not-repeatable ${ASKED_BY}`,
    `limit account routes waiting 7 ${ASKED_BY}`,
    `allow account routes class route-plan ${ASKED_BY}`,
    `key account routes sha256 ${"a".repeat(64)} ${ASKED_BY}`,
    `refuse class route-plan when waiting over 9 ${ASKED_BY}`,
  ].join("\n"));
  expect(faults).to.deep.equal([]);
  expect(rules!.accounts.get("routes")).to.deep.equal({
    name: "routes",
    weight: 1,
    guarantees: [{ zone: "suva", accelerators: 16, adjacent: "rack" }],
    keyDigests: ["a".repeat(64)],
    waitingLimit: 7,
    classes: ["route-plan"],
  });
  expect(rules!.classes.get("route-plan")).to.include({
    priority: 90,
    waitMs: 2_000,
    repeatable: false,
    refuseOver: 9,
  });
});

// Each row has a description, the faulty line, and the expected column and
// reason of the fault.
const FAULTS: [string, string, number, string][] = [
  ["no comment", "account a", 10, "asked by"],
  ["an empty name", "account a # asked by:", 11, "asked by"],
  ["an unknown kind", `acount a ${ASKED_BY}`, 1, 'found "acount"'],
  ["an invalid number", `account a weight two ${ASKED_BY}`, 18, "a weight"],
  ["an invalid duration", `class c wait 2 ${ASKED_BY}`, 14, "a duration"],
  [
    "a missing keyword",
    `account a guarantee 4 zone z ${ASKED_BY}`,
    23,
    "accelerators",
  ],
  [
    "an unknown account",
    `limit account b waiting 1 ${ASKED_BY}`,
    15,
    "unknown",
  ],
  [
    "an unknown class",
    `refuse class c when waiting over 1 ${ASKED_BY}`,
    14,
    "unknown",
  ],
  [
    "a surplus word",
    `limit account z waiting 1 2 ${ASKED_BY}`,
    27,
    "line's end",
  ],
  ["a short digest", `key account z sha256 abc ${ASKED_BY}`, 22, "64 hex"],
];

for (const [mistake, line, column, reason] of FAULTS) {
  it(`rules: ${mistake} is refused with line, column and reason`, () => {
    const text = `account z ${ASKED_BY}\n${line}`;
    const { rules, faults } = parseRules(text);
    expect(rules).to.equal(undefined);
    const fault = faults.find((found) => found.line === 2)!;
    expect(fault.column).to.equal(column);
    expect(fault.reason).to.contain(reason);
  });
}

it("rules: a class defined twice is refused", () => {
  const { faults } = parseRules(`class c ${ASKED_BY}\nclass c ${ASKED_BY}`);
  expect(faults).to.have.length(1);
  expect(faults[0]).to.include({ line: 2, column: 7 });
});

const record = (id: string, base: number, text = `account a ${ASKED_BY}`) =>
  ({ kind: "rules", id, base, text, author: id }) as const;

it("config: the second of two records on the same base is overtaken", () => {
  const first = foldConfig(NO_CONFIG, record("ana", 0));
  expect(first.kind).to.equal("accepted");
  const state = first.kind === "accepted" ? first.state : NO_CONFIG;
  const second = foldConfig(state, record("ben", 0));
  expect(second).to.deep.equal({ kind: "overtaken", by: state });
});

it("config: a record whose rules have faults is invalid", () => {
  const verdict = foldConfig(NO_CONFIG, record("ana", 0, "nonsense"));
  expect(verdict.kind).to.equal("invalid");
});

it("config: a carried version applies unless a newer one is in force", () => {
  const carry = { ...record("x", 6), kind: "carry" } as const;
  const verdict = foldConfig(NO_CONFIG, carry);
  expect(verdict.kind === "accepted" && verdict.state.version).to.equal(7);
  const newer = { version: 9, text: "", author: "", id: "" };
  expect(foldConfig(newer, carry)).to.deep.equal({ kind: "repeated" });
});
