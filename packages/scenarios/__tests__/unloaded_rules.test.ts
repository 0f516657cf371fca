// Guards against a false "not run": an entry that could not load any rules
// cannot check the caller's key, but another entry may have run the request.
import { expect } from "chai";
import { request } from "undici";
import { createEntry, DEFAULT_LIMITS, DEFAULT_TIMING } from "@rattanhill/entry";
import { findFreePorts } from "@rattanhill/standins";

const HOST = "127.0.0.1";

it("callers: an entry without rules reports the outcome unknown", async () => {
  const [peers, closed] = await findFreePorts(2);
  const entry = createEntry({
    log: () => {},
    settings: {
      name: "e1",
      zone: "suva",
      host: HOST,
      ports: { callers: 0, operators: 0, peers },
      platform: { address: `${HOST}:${closed}` },
      peers: [],
      translate: {},
      timing: DEFAULT_TIMING,
      limits: DEFAULT_LIMITS,
    },
  });
  const { callers } = await entry.start();
  try {
    const response = await request(`http://${HOST}:${callers}/v1/requests/x`, {
      headers: { authorization: "Bearer routes-key" },
    });
    const body = await response.body.json() as { outcome: string };
    expect([response.statusCode, body.outcome]).to.deep.equal([
      503,
      "unknown",
    ]);
    expect(response.headers["retry-after"]).to.equal("1");
  } finally {
    await entry.drain();
  }
});
