import { expect } from "chai";
import {
  continueIdentities,
  decodeRecord,
  encodeRecord,
  type Identity,
} from "../src/mod.ts";

/** Names with their marks, in the order of a configuration. */
type Items = Record<string, string[]>;

/** Follows versions, and returns the IDs by name after the last one. */
function follow(
  versions: readonly Items[],
  { keepsPastMarks = true } = {},
): { ids: Record<string, string>; identities: Identity[] } {
  let identities: Identity[] = [];
  versions.forEach((items, index) => {
    const named = Object.entries(items).map(([name, marks]) => ({
      name,
      marks,
    }));
    const options = { version: index + 1, keepsPastMarks };
    identities = continueIdentities(identities, named, options);
  });
  const present = identities.slice(0, Object.keys(versions.at(-1)!).length);
  const ids = Object.fromEntries(present.map(({ id, name }) => [name, id]));
  return { ids, identities };
}

const cases: Record<string, { versions: Items[]; ids: object }> = {
  "a renamed item keeps its ID": {
    versions: [{ a: ["1"], b: ["2"] }, { c: ["1"], b: ["2"] }],
    ids: { c: "a", b: "b" },
  },
  "swapped names follow the marks": {
    versions: [{ a: ["1"], b: ["2"] }, { a: ["2"], b: ["1"] }],
    ids: { a: "b", b: "a" },
  },
  "a name that is taken over does not bring its ID": {
    versions: [{ a: ["1"] }, { b: ["1"], a: ["2"] }],
    ids: { b: "a", a: "a~2" },
  },
  "an item with its name and another mark keeps its ID": {
    versions: [{ a: ["1"] }, { a: ["2"] }],
    ids: { a: "a" },
  },
  "a mark that moves does not move the ID": {
    versions: [{ a: ["1", "3"], b: ["2"] }, { a: ["1"], b: ["2", "3"] }],
    ids: { a: "a", b: "b" },
  },
  "the only mark moves to another item, and the name stays": {
    versions: [{ a: ["1"], b: ["2"] }, { a: ["9"], b: ["2", "1"] }],
    ids: { a: "a", b: "b" },
  },
  "a removed item that returns keeps its ID": {
    versions: [{ a: ["1"], b: ["2"] }, { b: ["2"] }, { c: ["1"], b: ["2"] }],
    ids: { c: "a", b: "b" },
  },
  "of two items with marks of an earlier one, that with more continues it": {
    versions: [{ a: ["1", "2", "3"] }, { b: ["1"], c: ["2", "3"] }],
    ids: { b: "b", c: "a" },
  },
  "an item returns to its past mark under a third name": {
    versions: [{ a: ["1"] }, { a: ["2"] }, { c: ["1"] }],
    ids: { c: "a" },
  },
  "a past mark does not take the ID from an item that goes on": {
    versions: [{ a: ["1"] }, { a: ["2"] }, { c: ["1"], a: ["2"] }],
    ids: { c: "c", a: "a" },
  },
  "a new item gets an ID that no removed one has": {
    versions: [{ a: ["1"] }, { b: ["1"] }, {}, { a: ["5"], b: ["1"] }],
    ids: { a: "a~4", b: "a" },
  },
};

for (const [name, { versions, ids }] of Object.entries(cases)) {
  it(`identities: ${name}`, () => {
    expect(follow(versions).ids).to.deep.equal(ids);
  });
}

it("identities: a past mark counts only where it is kept", () => {
  const versions: Items[] = [{ a: ["1"] }, { a: ["2"] }, { c: ["1"] }];
  const { ids } = follow(versions, { keepsPastMarks: false });
  expect(ids).to.deep.equal({ c: "c" });
});

it("identities: the number of removed items is bounded", () => {
  const versions = Array.from({ length: 500 }, (_, index) => ({
    [`n${index}`]: [`m${index}`],
  }));
  const { identities } = follow(versions);
  expect(identities.length).to.be.within(2, 201);
  expect(identities[1].name).to.equal("n498");
});

it("identities: an encoded record is decoded unchanged", () => {
  const { identities } = follow([{ a: ["1"] }, { b: ["1"], c: ["2"] }]);
  const record = {
    kind: "identities" as const,
    identities: { version: 2, queues: identities, accounts: identities },
  };
  const [{ key, value }] = encodeRecord(record);
  expect(decodeRecord(key, value)).to.deep.equal(record);
});
