import { expect } from "chai";
import { createIdentifier } from "@rattanhill/shared";
import { mayHaveLostOwner } from "../src/lost_owners.ts";

const RETENTION_MS = 600_000;
const alone = () => ({
  peers: [{ isAlive: true }],
  startedAt: Date.now() - 1_000,
  wallTime: Date.now(),
  retentionMs: RETENTION_MS,
});

it("lost owners: a key is certainly new while all entries respond", () => {
  expect(mayHaveLostOwner(createIdentifier(), alone())).to.equal(false);
});

it("lost owners: any key may have run at an entry that ended", () => {
  const entries = {
    ...alone(),
    peers: [{ isAlive: true }, { isAlive: false }],
  };
  expect(mayHaveLostOwner(createIdentifier(), entries)).to.equal(true);
});

it("lost owners: a key older than this entry may have run before", () => {
  const key = createIdentifier();
  const entries = { ...alone(), startedAt: Date.now() + 1_000 };
  expect(mayHaveLostOwner(key, entries)).to.equal(true);
  expect(mayHaveLostOwner("no time", entries)).to.equal(true);
});

it("lost owners: entries that ended are forgotten after the retention", () => {
  const startedAt = Date.now() - RETENTION_MS;
  expect(mayHaveLostOwner("no time", { ...alone(), startedAt })).to.equal(
    false,
  );
});
