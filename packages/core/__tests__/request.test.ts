import { expect } from "chai";
import {
  type ClaimedPart,
  createRequest,
  type LedgerEntry,
  type RequestEffect,
  type RequestMessage,
  type RequestSpec,
  type RequestStep,
  resumeRequest,
  stepRequest,
} from "../src/mod.ts";

const HOLDS_END_AT = 2_000;

const createSpec = (
  overrides: Partial<RequestSpec> = {},
  parts = 1,
): RequestSpec => ({
  id: "r",
  account: "a",
  key: "k",
  class: "c",
  shape: { parts, accelerators: 1, adjacent: "none" },
  repeatable: true,
  preemptible: true,
  priority: 0,
  expectedMs: 100,
  deadlineMs: 60_000,
  isJob: false,
  bodyDigest: "d",
  ...overrides,
});
const createTargets = (count: number): ClaimedPart[] =>
  Array.from({ length: count }, (_, index) => ({
    worker: `w${index}`,
    address: "",
    boot: "b",
    lease: `l${index}`,
  }));

/** Applies messages to a new request in order and collects all effects. */
function applyMessages(
  spec: RequestSpec,
  messages: readonly RequestMessage[],
  now = 0,
): RequestStep & { effects: RequestEffect[] } {
  let step = createRequest(spec, 0);
  const effects = [...step.effects];
  for (const message of messages) {
    step = stepRequest(step.state, message, now);
    effects.push(...step.effects);
  }
  return { state: step.state, effects };
}

const placedMessage = (count = 1, attempt = 1): RequestMessage => ({
  kind: "placed",
  attempt,
  parts: createTargets(count),
  holdsEndAt: HOLDS_END_AT,
});
const kinds = (effects: readonly RequestEffect[]) =>
  effects.map(({ kind }) => kind);
const partMessage = (
  kind: "part-ready" | "part-running" | "part-released" | "part-lost",
  index = 0,
): RequestMessage => ({ kind, attempt: 1, part: index });

it("request: a repeatable request is started without a claim", () => {
  expect(kinds(applyMessages(createSpec(), [placedMessage()]).effects)).to.deep
    .equal([
      "place",
      "run",
    ]);
});

it("request: a non-repeatable request is claimed before its start", () => {
  const spec = createSpec({ repeatable: false });
  const claimWon: RequestMessage = { kind: "claim-won", attempt: 1 };
  expect(kinds(applyMessages(spec, [placedMessage(), claimWon]).effects)).to
    .deep
    .equal([
      "place",
      "claim",
      "run",
    ]);
});

it("request: no start is sent within the margin before a hold ends", () => {
  const { effects } = applyMessages(
    createSpec(),
    [placedMessage()],
    HOLDS_END_AT - 100,
  );
  expect(kinds(effects)).to.not.include("run");
});

it("request: a gang job runs only when every part is ready", () => {
  const spec = createSpec({}, 2);
  const oneReady = applyMessages(spec, [
    placedMessage(2),
    partMessage("part-ready", 0),
  ]);
  expect(kinds(oneReady.effects)).to.not.include("run");
  const bothReady = applyMessages(spec, [
    placedMessage(2),
    partMessage("part-ready", 0),
    partMessage("part-ready", 1),
  ]);
  expect(kinds(bothReady.effects).filter((kind) => kind === "run")).to.have
    .length(2);
});

it("request: a gang job is stopped within the gang's start margin", () => {
  const messages = [
    placedMessage(2),
    partMessage("part-ready", 0),
    partMessage("part-ready", 1),
  ];
  const { effects } = applyMessages(
    createSpec({}, 2),
    messages,
    HOLDS_END_AT / 2,
  );
  expect(kinds(effects)).to.include("stop").and.not.include("run");
});

it("request: a refused part stops and retries the whole gang job", () => {
  const { state, effects } = applyMessages(
    createSpec({ repeatable: false }, 2),
    [
      placedMessage(2),
      { kind: "claim-won", attempt: 1 },
      partMessage("part-ready", 0),
      partMessage("part-released", 1),
      partMessage("part-released", 0),
    ],
  );
  expect(kinds(effects)).to.include("stop").and.not.include("run");
  expect(state.attempt).to.equal(2);
});

it("request: a lost request that is not repeatable ends as unknown", () => {
  const { state } = applyMessages(createSpec({ repeatable: false }), [
    placedMessage(),
    { kind: "claim-won", attempt: 1 },
    partMessage("part-lost"),
  ]);
  expect(state.result?.outcome).to.equal("unknown");
});

it("request: a request with only refused starts ends as not-run", () => {
  const { state } = applyMessages(createSpec({ repeatable: false }), [
    placedMessage(),
    { kind: "claim-won", attempt: 1 },
    partMessage("part-released"),
    { kind: "deadline" },
  ]);
  expect(state.attempt).to.equal(2);
  expect(state.result).to.include({ outcome: "not-run", reason: "deadline" });
});

it("request: a request ends as unknown after a lost attempt", () => {
  const { state } = applyMessages(createSpec(), [
    placedMessage(),
    partMessage("part-lost"),
    { kind: "deadline" },
  ]);
  expect(state.result?.outcome).to.equal("unknown");
});

it("request: a preemption keeps the checkpoint and uses no retry", () => {
  const { state, effects } = applyMessages(createSpec(), [
    placedMessage(),
    partMessage("part-running"),
    { kind: "part-stopped", attempt: 1, part: 0, checkpoint: "saved" },
    placedMessage(1, 2),
  ]);
  expect(state.retries).to.equal(0);
  expect(effects.at(-1)).to.include({ kind: "run", checkpoint: "saved" });
});

/** Runs of a gang of two whose parts settle with the given messages. */
function rerunGang(settled: readonly RequestMessage[]) {
  const readyAgain = [0, 1].map((part): RequestMessage => ({
    kind: "part-ready",
    attempt: 2,
    part,
  }));
  const { effects } = applyMessages(createSpec({}, 2), [
    placedMessage(2),
    partMessage("part-ready", 0),
    partMessage("part-ready", 1),
    partMessage("part-running", 0),
    partMessage("part-running", 1),
    ...settled,
    placedMessage(2, 2),
    ...readyAgain,
  ]);
  return effects.filter((effect) =>
    effect.kind === "run" && effect.attempt === 2
  ).map((effect) => "checkpoint" in effect ? effect.checkpoint : undefined);
}
const stoppedMessage = (part: number): RequestMessage => ({
  kind: "part-stopped",
  attempt: 1,
  part,
  checkpoint: `saved ${part}`,
});

it("request: a preempted gang job resumes with all of its parts", () => {
  expect(rerunGang([stoppedMessage(0), stoppedMessage(1)]))
    .to.deep.equal(["saved 0", "saved 1"]);
});

// One part would end at once, while the others work without it.
it("request: a gang job with a part that ended starts all parts anew", () => {
  const ended = { kind: "part-ended", attempt: 1, part: 0, answer: "x" };
  expect(rerunGang([ended as RequestMessage, stoppedMessage(1)]))
    .to.deep.equal([undefined, undefined]);
});

it("request: a job is placed again while the log is unavailable", () => {
  const { state } = applyMessages(createSpec({ isJob: true }), [
    placedMessage(),
    { kind: "claim-failed", attempt: 1, retryAfterMs: 1_000 },
  ]);
  expect(state).to.include({ phase: "placing", attempt: 2 });
});

it("request: holds that arrive after the end are released", () => {
  const { effects } = applyMessages(createSpec(), [
    { kind: "cancel" },
    placedMessage(),
  ]);
  expect(kinds(effects)).to.deep.equal(["place", "withdraw", "end", "stop"]);
});

// Guards against ending an adopted job that has no claim yet: it has no parts,
// so the check that every part has ended must not succeed for it.
it("request: an adopted job without a claim is placed, not ended", () => {
  const entry: LedgerEntry = {
    account: "a",
    key: "k",
    request: "r",
    bodyDigest: "d",
    owner: "other",
    ordinal: 1,
    claim: "",
    attempt: 0,
    parts: [],
    isReleased: false,
    recordedAt: 0,
  };
  const { state } = resumeRequest(createSpec({ isJob: true }), entry, [], 0);
  expect(state).to.include({ phase: "placing", attempt: 1 });
  expect(state.result).to.equal(undefined);
});
