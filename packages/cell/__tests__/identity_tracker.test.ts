import { expect } from "chai";
import type { Identities } from "@rattanhill/scheduler";
import { pause, silentLogger } from "@rattanhill/shared";
import {
  type ClusterConfig,
  createIdentityTracker,
  decodeStoredRecords,
} from "../src/mod.ts";
import { startLead } from "./lead_fixture.ts";
import { createMemoryStore } from "./memory_store.ts";

/** Returns a version with accounts, given by their names and keys. */
const configOf = (
  version: number,
  accounts: Record<string, string[]>,
): ClusterConfig => ({
  version,
  queues: [],
  accounts: Object.entries(accounts).map(([name, keys]) => ({
    name,
    keys,
    guaranteedAccelerators: 0,
  })),
});

const FIRST = configOf(1, { a: ["1"], b: ["2"] });
const RENAMED = configOf(2, { c: ["1"], b: ["2"] });

/** Returns the IDs of the accounts of a version, in their order. */
const idsOf = ({ accounts }: ClusterConfig, identities: Identities) =>
  accounts.map((_, index) => identities.accounts[index].id);

it("identity tracker: a starting entry knows renamed accounts from the journal", () => {
  const lead = createIdentityTracker();
  lead.applyConfig(FIRST);
  const stored = lead.unsaved()!;
  const entry = createIdentityTracker();
  expect(idsOf(RENAMED, entry.applyConfig(RENAMED))).to.deep.equal(["c", "b"]);
  expect(entry.applyStored(stored)).to.equal(true);
  expect(idsOf(RENAMED, entry.applyConfig(RENAMED))).to.deep.equal(["a", "b"]);
});

it("identity tracker: identities are stored again only after a change", () => {
  const tracker = createIdentityTracker();
  expect(tracker.unsaved()).to.equal(undefined);
  tracker.applyConfig(FIRST);
  const first = tracker.unsaved()!;
  tracker.recordSaved(first);
  expect(tracker.unsaved()).to.equal(undefined);
  tracker.applyConfig({ ...FIRST, version: 2 });
  expect(tracker.unsaved()).to.equal(undefined);
  expect(tracker.applyStored(first)).to.equal(false);
  tracker.applyConfig({ ...RENAMED, version: 3 });
  expect(tracker.unsaved()!.accounts.map(({ name }) => name)).to.deep.equal([
    "c",
    "b",
  ]);
});

it("identity tracker: an entry with an earlier version follows a later lead", () => {
  const lead = createIdentityTracker();
  lead.applyConfig(FIRST);
  lead.applyConfig(RENAMED);
  const entry = createIdentityTracker();
  entry.applyConfig(FIRST);
  expect(entry.applyStored(lead.unsaved()!)).to.equal(true);
  expect(idsOf(FIRST, entry.applyConfig(FIRST))).to.deep.equal(["a", "b"]);
  expect(idsOf(RENAMED, entry.applyConfig(RENAMED))).to.deep.equal(["a", "b"]);
});

it("identity tracker: what an earlier lead stored does not replace later ones", () => {
  const lead = createIdentityTracker();
  lead.applyConfig(FIRST);
  const first = lead.unsaved()!;
  const entry = createIdentityTracker();
  entry.applyConfig(FIRST);
  entry.applyStored(first);
  const taken = configOf(3, { c: ["1"], a: ["9"] });
  entry.applyConfig(RENAMED);
  entry.applyConfig(taken);
  expect(entry.applyStored(first)).to.equal(false);
  expect(idsOf(taken, entry.applyConfig(taken))).to.deep.equal(["a", "a~3"]);
});

it("identity tracker: keys are not stored in clear", () => {
  const tracker = createIdentityTracker();
  tracker.applyConfig(configOf(1, { a: ["d4a3hwrr6x73d3zji9n7"] }));
  expect(JSON.stringify(tracker.unsaved())).to.not.include("d4a3");
});

it("identity tracker: the lead stores identities before anything else, once", async () => {
  const identities = createIdentityTracker();
  identities.applyConfig(FIRST);
  const { store, recordsOf } = createMemoryStore();
  const { lead } = await startLead({ store, identities });
  await pause(100);
  const storedVersions = () =>
    decodeStoredRecords(recordsOf("journal"), silentLogger).flatMap((record) =>
      record.kind === "identities" ? [record.identities.version] : []
    );
  expect(storedVersions()).to.deep.equal([1]);
  identities.applyConfig(RENAMED);
  lead.updateRules({
    queues: new Map(),
    guarantees: new Map(),
    deployment: { remoteFactor: 1, reclaimMs: 1_000, stopMs: 100 },
  });
  await pause(100);
  expect(storedVersions()).to.deep.equal([1, 2]);
  lead.close();
});
