import type { FindReply } from "@rattanhill/protocol";
import { expect } from "chai";
import { createPeerHandlers } from "../src/peer_handlers.ts";
import type { PlacerHost } from "../src/placer_host.ts";
import type { OwnedRequest, RequestRegistry } from "../src/request_registry.ts";

/** Creates a registry that gets its only request when `admit` is called. */
function createRegistry() {
  let admitted: OwnedRequest | undefined;
  const request = {
    spec: { id: "id", account: "notun", bodyDigest: "" },
    state: { phase: "placing" },
  } as OwnedRequest;
  const registry: Partial<RequestRegistry> = {
    find: () => admitted,
    findByKey: () => admitted,
    waitFor: () => Promise.resolve(undefined),
  };
  return {
    registry: registry as RequestRegistry,
    admit: () => admitted = request,
  };
}

function findAt(
  registry: RequestRegistry,
  account = "notun",
): Promise<FindReply> {
  const { Find } = createPeerHandlers({
    registry,
    placerHost: {} as PlacerHost,
    config: () => ({ version: 0, text: "", author: "", id: "" }),
  });
  const call = { request: { account, key: "key", id: "", waitMs: 0 } };
  return new Promise((resolve) =>
    Find(
      call as Parameters<typeof Find>[0],
      (_error, reply) => resolve(reply as FindReply),
    )
  );
}

it("peer handlers: a lookup sees requests that arrived before it", async () => {
  const { registry, admit } = createRegistry();
  const reply = findAt(registry);
  // A paused process reads what it received in one turn of its event loop.
  setImmediate(admit);
  expect((await reply).found).to.equal(true);
});

it("peer handlers: a lookup of a request that never arrived ends", async () => {
  const { registry } = createRegistry();
  expect((await findAt(registry)).found).to.equal(false);
});

// Guards against requests that another account finds, since entries trust the
// account that the asking entry names.
it("peer handlers: a lookup finds only the account's own requests", async () => {
  const { registry, admit } = createRegistry();
  admit();
  expect((await findAt(registry, "other")).found).to.equal(false);
  expect((await findAt(registry)).found).to.equal(true);
});
