// Guards against invalid input that causes an exception instead of a refusal:
// rules files, request bodies, and log records that were truncated or written
// by a newer version.
import { expect } from "chai";
import fastCheck from "fast-check";
import {
  createLedger,
  foldConfig,
  NO_CONFIG,
  parseRules,
} from "@rattanhill/core";
import {
  decodeConfigRecord,
  decodeLedgerRecord,
  encodeRecord,
} from "@rattanhill/protocol";
import { type SmallSystem, startSmallSystem } from "./small_system.ts";

const SEED = 4;
const RUNS = 2_000;
const WORDS = fastCheck.constantFrom(
  "account",
  "class",
  "guarantee",
  "accelerators",
  "adjacent",
  "rack",
  "zone",
  "limit",
  "waiting",
  "9",
  "2s",
  "x",
  "# asked by: y",
  "\t",
  "é",
);

it("bad input: text is parsed as rules or refused with line and column", () => {
  const lines = fastCheck.array(
    fastCheck.array(fastCheck.oneof(WORDS, fastCheck.string()))
      .map((words) => words.join(" ")),
    { maxLength: 6 },
  );
  fastCheck.assert(
    fastCheck.property(lines, (content) => {
      const { rules, faults } = parseRules(content.join("\n"));
      expect(rules === undefined).to.equal(faults.length > 0);
      for (const { line, column, reason } of faults) {
        expect(line).to.be.at.least(1);
        expect(column).to.be.at.least(1);
        expect(reason).to.not.equal("");
      }
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

it("bad input: truncated, unknown and newer records are refused", () => {
  const good = encodeRecord({
    kind: "adopt",
    id: "i",
    account: "a",
    key: "k",
    owner: "o",
    ordinal: 1,
    from: "f",
  });
  expect(decodeLedgerRecord(good)).to.have.property("value");
  for (let cut = 0; cut < good.length; cut++) {
    expect(decodeLedgerRecord(good.slice(0, cut))).to.have.property("fault");
  }
  const newer = good.replace('"schema":1', '"schema":2');
  expect(decodeLedgerRecord(newer)).to.deep.equal({ fault: "newer schema" });
  const unknown = good.replace("adopt", "adore");
  expect(decodeLedgerRecord(unknown)).to.have.property("fault");
  expect(decodeConfigRecord(good)).to.have.property("fault");
});

it("bad input: a record of any JSON causes no exception", () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.json(), (text) => {
      const data = `{"schema":1,"record":${text}}`;
      const ledger = decodeLedgerRecord(data);
      if ("value" in ledger) createLedger().fold(ledger.value, 0);
      const config = decodeConfigRecord(data);
      if ("value" in config) foldConfig(NO_CONFIG, config.value);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

describe("bad input over HTTP", () => {
  let system: SmallSystem;

  before(async () => {
    system = await startSmallSystem();
  });

  after(async () => {
    await system.stop();
  });

  it("bad input: random bodies neither run nor stop the entry", async () => {
    const bodies = fastCheck.sample(
      fastCheck.oneof(
        fastCheck.string(),
        fastCheck.json(),
        fastCheck.record({
          class: fastCheck.oneof(fastCheck.string(), fastCheck.integer()),
          parts: fastCheck.anything(),
          payload: fastCheck.jsonValue(),
        }).map((body) => JSON.stringify(body) ?? ""),
      ),
      { seed: SEED, numRuns: 300 },
    );
    for (const text of bodies) {
      const { status, body } = await system.send("POST", "/v1/requests", {
        text,
      });
      expect(status).to.be.within(400, 499);
      expect(body.outcome).to.equal("not-run");
    }
    expect((await system.send("GET", "/healthz")).status).to.equal(200);
  });
});
