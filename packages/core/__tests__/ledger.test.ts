import { expect } from "chai";
import { createLedger, type LedgerRecord, LedgerVerdict } from "../src/mod.ts";

const { accepted, rejected } = LedgerVerdict;
let recordCount = 0;
const base = (owner: string, ordinal: number) => ({
  id: `record-${++recordCount}`,
  account: "routes",
  key: "k",
  owner,
  ordinal,
});
const claim = (owner: string, ordinal: number, attempt = 1) =>
  ({
    kind: "claim",
    ...base(owner, ordinal),
    request: "r",
    bodyDigest: "d",
    attempt,
    parts: [],
  }) satisfies LedgerRecord;

it("ledger: the first claim of a key in log order wins", () => {
  const ledger = createLedger();
  expect(ledger.fold(claim("a", 1), 0)).to.equal(accepted);
  expect(ledger.fold(claim("b", 1), 0)).to.equal(rejected);
  expect(ledger.find("routes", "k")?.owner).to.equal("a");
});

it("ledger: only a newer record of the owner claims the key again", () => {
  const ledger = createLedger();
  const delayed = claim("a", 1);
  ledger.fold(claim("a", 2, 2), 0);
  expect(ledger.fold(delayed, 0)).to.equal(rejected);
  expect(ledger.fold(claim("a", 3, 3), 0)).to.equal(accepted);
});

it("ledger: a claim with another body is rejected", () => {
  const ledger = createLedger();
  ledger.fold(claim("a", 1), 0);
  const other = { ...claim("a", 2), bodyDigest: "other" };
  expect(ledger.fold(other, 0)).to.equal(rejected);
});

it("ledger: only the first of two adopters takes over the key", () => {
  const ledger = createLedger();
  ledger.fold(claim("a", 1), 0);
  const adopt = (owner: string) =>
    ({ kind: "adopt", ...base(owner, 1), from: "a" }) as const;
  expect(ledger.fold(adopt("b"), 0)).to.equal(accepted);
  expect(ledger.fold(adopt("c"), 0)).to.equal(rejected);
  expect(ledger.fold(claim("a", 2, 2), 0)).to.equal(rejected);
});

it("ledger: only a release of the latest claim frees the key", () => {
  const ledger = createLedger();
  const first = claim("a", 1);
  const release = () =>
    ({ kind: "release", ...base("a", 2), claim: first.id }) as const;
  ledger.fold(first, 0);
  expect(ledger.fold(release(), 0)).to.equal(accepted);
  expect(ledger.fold(claim("b", 1), 0)).to.equal(accepted);
  expect(ledger.fold(release(), 0)).to.equal(rejected);
  expect(ledger.find("routes", "k")?.isReleased).to.equal(false);
});

it("ledger: a finished job can be neither claimed nor adopted again", () => {
  const ledger = createLedger();
  ledger.fold(claim("a", 1), 0);
  const result = { outcome: "done", answers: ["x"], reason: "none" } as const;
  ledger.fold({
    kind: "finish",
    ...base("a", 2),
    result: { ...result, answers: ["x"] },
  }, 0);
  expect(ledger.fold(claim("a", 3, 2), 0)).to.equal(rejected);
  const adopt = { kind: "adopt", ...base("b", 1), from: "a" } as const;
  expect(ledger.fold(adopt, 0)).to.equal(rejected);
});

it("ledger: entries whose newest record is too old are removed", () => {
  const ledger = createLedger();
  ledger.fold(claim("a", 1), 100);
  ledger.forgetBefore(101);
  expect(ledger.size()).to.equal(0);
});
