import { expect } from "chai";
import { UncertainError } from "@rattanhill/shared";
import { parseRules } from "@rattanhill/core";
import type { PlatformClient } from "@rattanhill/platform";
import { diffRules } from "../src/rules_diff.ts";
import { createRulesStore } from "../src/rules_store.ts";

const ASKED_BY = "# asked by: a test";

/** Creates an in-memory log that can store records without confirming them. */
function createFakePlatform(losesResponses = false): PlatformClient {
  const records: { offset: number; time: number; data: string }[] = [];
  return {
    append: (_stream, data) => {
      for (const text of data) {
        records.push({ offset: records.length, time: 0, data: text });
      }
      const context = { step: "log.append", peer: "fake" };
      return losesResponses
        ? Promise.reject(new UncertainError(201, "no response", context))
        : Promise.resolve(records.length - data.length);
    },
    read: (_stream, from) =>
      Promise.resolve({
        oldest: 0,
        end: records.length,
        retentionMs: 1,
        now: 0,
        records: records.slice(from),
      }),
    listVms: () => Promise.resolve({ vms: [] }),
    close: () => Promise.resolve(),
  };
}

// Two operators publish rules based on the same version. Only the first may be
// accepted, or the second would silently undo the other's change.
it("rules store: a stale base is rejected with the winner's name", async () => {
  const store = createRulesStore(createFakePlatform());
  const text = `account a ${ASKED_BY}`;
  const first = await store.publish(text, { base: 0, author: "ana" });
  const second = await store.publish(text, { base: 0, author: "ben" });
  expect(first?.kind).to.equal("accepted");
  expect(second?.kind === "overtaken" && second.by.author).to.equal("ana");
  expect((await store.read()).version).to.equal(1);
});

// An append whose response is lost may have been stored. If it were reported as
// failed, the operator would publish the rules again.
it("rules store: rules are found accepted after a lost response", async () => {
  const store = createRulesStore(createFakePlatform(true));
  const verdict = await store.publish(`account a ${ASKED_BY}`, {
    base: 0,
    author: "ana",
  });
  expect(verdict?.kind).to.equal("accepted");
});

it("rules diff: lists added, removed and changed rules", () => {
  const before = parseRules(`account a ${ASKED_BY}\nclass c ${ASKED_BY}`)
    .rules!;
  const after = parseRules(
    `account b ${ASKED_BY}\nclass c priority 9 ${ASKED_BY}`,
  ).rules!;
  const changes = diffRules(before, after);
  expect(changes.map(({ kind, rule }) => `${kind} ${rule}`)).to.deep.equal([
    "removed account a",
    "added account b",
    "changed class c",
  ]);
});
