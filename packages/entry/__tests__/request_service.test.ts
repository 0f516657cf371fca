import { createLedger, parseRules } from "@rattanhill/core";
import {
  createIdentifier,
  createManualClock,
  type Milliseconds,
} from "@rattanhill/shared";
import { expect } from "chai";
import type { RequestProblem } from "../src/problems.ts";
import type { RequestRegistry } from "../src/request_registry.ts";
import {
  createRequestService,
  type RequestServiceOptions,
} from "../src/request_service.ts";
import { DEFAULT_LIMITS, DEFAULT_TIMING } from "../src/settings.ts";

const RULES = parseRules([
  "account notun weight 1 # asked by: the tests",
  "class draft priority 90 wait 20s expected 100ms # asked by: the tests",
].join("\n")).rules!;
const NOW: Milliseconds = 1_700_000_000_000;

/** What an entry that is shutting down knows of the other entries. */
interface Others {
  mayHaveLostOwner: boolean;
  isKeyUnknownToAllPeers: boolean;
}

/** Submits a request to an entry that refuses all, and returns the refusal. */
async function submitRefused(
  { mayHaveLostOwner, isKeyUnknownToAllPeers }: Others,
  key: string | undefined = createIdentifier(),
): Promise<RequestProblem> {
  const registry: Partial<RequestRegistry> = { findByKey: () => undefined };
  const options: Partial<RequestServiceOptions> = {
    clock: createManualClock(NOW),
    log: () => {},
    timing: DEFAULT_TIMING,
    limits: DEFAULT_LIMITS,
    registry: registry as RequestRegistry,
    follower: {
      ledger: createLedger(),
    } as unknown as RequestServiceOptions["follower"],
    rules: () => RULES,
    isLeaving: () => true,
    findAtPeers: () => Promise.resolve(undefined),
    mayHaveLostOwner: () => mayHaveLostOwner,
    isKeyUnknownToAllPeers: () => Promise.resolve(isKeyUnknownToAllPeers),
  };
  const service = createRequestService(options as RequestServiceOptions);
  const submission = {
    account: RULES.accounts.get("notun")!,
    key,
    body: { class: "draft", payload: {} },
    text: "{}",
    isAsync: false,
  };
  return await service.submit(submission).then(
    () => {
      throw new Error("not refused");
    },
    (error) => error,
  );
}

it("requests: a refused key that no other entry has did not run", async () => {
  const { status, outcome } = await submitRefused({
    mayHaveLostOwner: false,
    isKeyUnknownToAllPeers: true,
  });
  expect([status, outcome]).to.deep.equal([503, "not-run"]);
});

it("requests: a refused key may have run at an entry that does not reply", async () => {
  const { status, outcome } = await submitRefused({
    mayHaveLostOwner: false,
    isKeyUnknownToAllPeers: false,
  });
  expect([status, outcome]).to.deep.equal([503, "unknown"]);
});

it("requests: a refused key may have run at an entry that is lost", async () => {
  const { status, outcome } = await submitRefused({
    mayHaveLostOwner: true,
    isKeyUnknownToAllPeers: true,
  });
  expect([status, outcome]).to.deep.equal([503, "unknown"]);
});
