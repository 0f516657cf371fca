// Guards the callers' HTTP interface of one entry against requests that run
// although they were reported as not run, keys that run more than once, and
// accounts that reach the requests of others.
import { expect } from "chai";
import { createIdentifier, pause } from "@rattanhill/shared";
import { readJournal } from "@rattanhill/standins";
import { type SmallSystem, startSmallSystem } from "./small_system.ts";

const PATH = "/v1/requests";
const draft = (overrides: object = {}) => ({
  class: "draft",
  payload: { runMs: 20 },
  ...overrides,
});
const withKey = (key: string, otherHeaders: Record<string, string> = {}) => ({
  "idempotency-key": key,
  ...otherHeaders,
});

let system: SmallSystem;

before(async () => {
  system = await startSmallSystem();
});

after(async () => {
  await system.stop();
});

it("callers: a request gets the complete answer", async () => {
  const { status, body } = await system.send("POST", PATH, { body: draft() });
  expect(status).to.equal(200);
  expect(body.outcome).to.equal("done");
  expect(body.answer).to.include({ part: 0, parts: 1 });
});

it("callers: a gang job gets the answers of all its parts", async () => {
  const body = { class: "gang", payload: { runMs: 20 } };
  const response = await system.send("POST", PATH, { body });
  expect(response.status).to.equal(200);
  expect(response.body.answer).to.have.length(4);
});

const REFUSED_REQUESTS: [string, number, object][] = [
  ["a body that is not JSON", 400, { text: "{" }],
  ["a body that is not an object", 400, { text: "[]" }],
  ["a field of the wrong type", 400, { body: draft({ parts: "two" }) }],
  ["an unknown field", 400, { body: draft({ colour: "red" }) }],
  ["too many parts", 400, { body: draft({ parts: 65 }) }],
  ["an unknown class", 400, { body: draft({ class: "none" }) }],
  ["a class of another account", 403, {
    bearer: "crates-key",
    body: draft({ class: "plan" }),
  }],
  ["an unknown bearer key", 401, { bearer: "guess", body: draft() }],
  ["a media type that is not JSON", 415, {
    headers: { "content-type": "text/plain" },
    body: draft(),
  }],
  ["an oversize body", 413, {
    text: JSON.stringify(draft({ payload: "x".repeat(300_000) })),
  }],
  ["a malformed key", 400, {
    headers: withKey("a b"),
    body: draft(),
  }],
  ["a non-repeatable request without a key", 400, {
    body: draft({ class: "plan" }),
  }],
  ["a non-repeatable request with a key that is not a UUIDv7", 400, {
    headers: withKey("9b2c1c1e-7d5f-4c8e-9a52-0d6a3f1f7c11"),
    body: draft({ class: "plan" }),
  }],
  ["a non-repeatable request with a key older than the claim window", 422, {
    headers: withKey("017f22e2-79b0-7cc3-98c4-dc0c0c07398f"),
    body: draft({ class: "plan" }),
  }],
];

for (const [description, status, options] of REFUSED_REQUESTS) {
  it(`callers: ${description} is refused as not run`, async () => {
    const response = await system.send("POST", PATH, options);
    expect(response.status).to.equal(status);
    expect(response.headers["content-type"]).to.equal(
      "application/problem+json",
    );
    expect(response.body.outcome).to.equal("not-run");
    expect(response.body.step).to.equal("admit");
  });
}

it("callers: oversize headers are refused", async () => {
  const headers = { "x-long": "x".repeat(20_000) };
  const response = await system.send("POST", PATH, { headers, body: draft() });
  expect(response.status).to.equal(431);
});

it("callers: duplicates join one request, which runs once", async () => {
  const key = createIdentifier();
  const send = () =>
    system.send("POST", PATH, {
      headers: withKey(key),
      body: draft({ class: "plan", payload: { runMs: 150 } }),
    });
  const responses = await Promise.all([send(), send(), send()]);
  responses.push(await send());
  for (const { status, body } of responses) {
    expect(status).to.equal(200);
    expect(body.id).to.equal(responses[0].body.id);
  }
  const starts = readJournal(system.journal)
    .filter((line) => line.key === key && line.event === "started");
  expect(starts).to.have.length(1);
});

it("callers: a key reused with another body is a conflict", async () => {
  const headers = withKey(createIdentifier());
  await system.send("POST", PATH, { headers, body: draft() });
  const body = draft({ payload: { runMs: 21 } });
  const response = await system.send("POST", PATH, { headers, body });
  expect(response.status).to.equal(409);
});

it("callers: polling an accepted job returns its outcome", async () => {
  const headers = withKey(createIdentifier(), { prefer: "respond-async" });
  const accepted = await system.send("POST", PATH, { headers, body: draft() });
  expect(accepted.status).to.equal(202);
  const path = `${PATH}/${accepted.body.id}?wait=3000`;
  const response = await system.send("GET", path);
  expect(response.status).to.equal(200);
  expect(response.body.outcome).to.equal("done");
});

it("callers: an account cannot see or cancel another's request", async () => {
  const headers = { prefer: "respond-async" };
  const body = draft({ payload: { runMs: 300 } });
  const accepted = await system.send("POST", PATH, { headers, body });
  const path = `${PATH}/${accepted.body.id}`;
  const bearer = "crates-key";
  expect((await system.send("GET", path, { bearer })).status).to.equal(404);
  expect((await system.send("DELETE", path, { bearer })).status).to.equal(404);
  const response = await system.send("GET", `${path}?wait=3000`);
  expect(response.body.outcome).to.equal("done");
});

it("callers: an unknown request has the outcome unknown", async () => {
  const response = await system.send("GET", `${PATH}/${createIdentifier()}`);
  expect(response.status).to.equal(404);
  expect(response.body.outcome).to.equal("unknown");
});

it("callers: a request cancelled while running ends as failed", async () => {
  const headers = { prefer: "respond-async" };
  const body = draft({ payload: { runMs: 5_000 } });
  const { body: { id } } = await system.send("POST", PATH, { headers, body });
  while (
    (await system.send("GET", `${PATH}/${id}`)).body.state !== "running"
  );
  const response = await system.send("DELETE", `${PATH}/${id}`);
  expect(response.status).to.equal(410);
  expect(response.body.outcome).to.equal("failed");
});

it("callers: too long a wait ends as not run with a retry time", async () => {
  const long = draft({ parts: 8, accelerators: 2, payload: { runMs: 900 } });
  const running = system.send("POST", PATH, { body: long });
  while (
    (await system.send("GET", "/status")).body.workers?.toString() === "" ||
    ((await system.send("GET", "/status")).body.summary as { free: number })
        .free > 0
  );
  const response = await system.send("POST", PATH, { body: draft() });
  expect(response.status).to.equal(503);
  expect(response.body.outcome).to.equal("not-run");
  expect(response.body.reason).to.equal("waited-too-long");
  expect(Number(response.headers["retry-after"])).to.be.at.least(1);
  expect((await running).status).to.equal(200);
});

// An entry that has ended may have run the key, which was created before this
// entry started.
it("callers: a refused key that may have run before is not called not run", async () => {
  const blocker = system.send("POST", PATH, {
    body: draft({ parts: 2, accelerators: 8, payload: { runMs: 900 } }),
  });
  await pause(100);
  const key = "01900000-0000-7000-8000-000000000001";
  const refused = await system.send("POST", PATH, {
    body: draft(),
    headers: withKey(key),
  });
  expect(refused.status).to.equal(503);
  expect(refused.body.outcome).to.equal("unknown");
  expect(refused.body.retryAfterMs).to.be.greaterThan(0);
  await blocker;
  const repeated = await system.send("POST", PATH, {
    body: draft(),
    headers: withKey(key),
  });
  expect(repeated.body.outcome).to.equal("done");
});

it("callers: a cancelled key that may have run before is not sent again", async () => {
  const blocker = system.send("POST", PATH, {
    body: draft({ parts: 2, accelerators: 8, payload: { runMs: 900 } }),
  });
  await pause(100);
  const key = "01900000-0000-7000-8000-000000000002";
  const cancelled = system.send("POST", PATH, {
    body: draft(),
    headers: withKey(key),
  });
  await pause(50);
  const { body } = await system.send("GET", "/debug/state");
  const requests = body.requests as { id: string; key: string }[];
  const id = requests.find((request) => request.key === key)!.id;
  await system.send("DELETE", `${PATH}/${id}`);
  const { status, body: problem } = await cancelled;
  expect([status, problem.outcome]).to.deep.equal([504, "unknown"]);
  await blocker;
});

it("callers: a failed task is reported with its failure text", async () => {
  const body = draft({ payload: { runMs: 5, fail: "no hall" } });
  const response = await system.send("POST", PATH, { body });
  expect(response.status).to.equal(502);
  expect(response.body).to.include({ outcome: "failed", detail: "no hall" });
});

it("operators: health, readiness, metrics and state are served", async () => {
  expect((await system.send("GET", "/healthz")).status).to.equal(200);
  expect((await system.send("GET", "/readyz")).status).to.equal(200);
  const metrics = await system.send("GET", "/metrics");
  expect(metrics.body.text).to.contain("rattanhill_completion_milliseconds");
  const state = await system.send("GET", "/debug/state");
  expect(state.body).to.include.keys("entry", "peers", "log", "workers");
});
