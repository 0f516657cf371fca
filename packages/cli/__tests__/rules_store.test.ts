import { expect } from "chai";
import { UncertainError } from "@rattanhill/shared";
import { parseRules } from "@rattanhill/core";
import type { PlatformClient } from "@rattanhill/platform";
import { diffRules } from "../src/rules_diff.ts";
import { createRulesStore } from "../src/rules_store.ts";

const BY = "# asked by: a test";

/** A log in memory that can lose its answers. */
function createFakePlatform(losesAnswers = false): PlatformClient {
  const records: { offset: number; time: number; data: string }[] = [];
  return {
    append: (_stream, data) => {
      for (const text of data) {
        records.push({ offset: records.length, time: 0, data: text });
      }
      const context = { step: "log.append", peer: "fake" };
      return losesAnswers
        ? Promise.reject(new UncertainError(201, "no answer", context))
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

it("rules store: the loser of a race is told by whom it was overtaken", async () => {
  const store = createRulesStore(createFakePlatform());
  const text = `account a ${BY}`;
  const first = await store.publish(text, { base: 0, author: "ana" });
  const second = await store.publish(text, { base: 0, author: "ben" });
  expect(first?.kind).to.equal("accepted");
  expect(second?.kind === "overtaken" && second.by.author).to.equal("ana");
  expect((await store.read()).version).to.equal(1);
});

it("rules store: a lost answer is resolved by reading back", async () => {
  const store = createRulesStore(createFakePlatform(true));
  const verdict = await store.publish(`account a ${BY}`, {
    base: 0,
    author: "ana",
  });
  expect(verdict?.kind).to.equal("accepted");
});

it("rules diff: added, removed and changed rules are named", () => {
  const before = parseRules(`account a ${BY}\nclass c ${BY}`).rules!;
  const after = parseRules(`account b ${BY}\nclass c priority 9 ${BY}`).rules!;
  const changes = diffRules(before, after);
  expect(changes.map(({ kind, rule }) => `${kind} ${rule}`)).to.deep.equal([
    "removed account a",
    "added account b",
    "changed class c",
  ]);
});
