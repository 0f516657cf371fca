import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect } from "chai";
import {
  createManualClock,
  type Milliseconds,
  pause,
} from "@rattanhill/shared";
import { DEFAULT_TIMING } from "../src/settings.ts";
import { createWorkerLinks, type OwnedLease } from "../src/worker_links.ts";

const RESPONSE = {
  report: {
    worker: "w",
    address: "w:1",
    zone: "suva",
    rack: "r",
    boot: "boot",
    leaving: false,
    accelerators: 8,
    sequence: 1,
    leases: [],
  },
  ended: [],
  endedRetentionMs: 60_000,
};
// Real time for several polls, which fail or respond at once.
const POLLS_MS: Milliseconds = 350;

/** Creates links to one worker, with a clock that the test advances. */
async function startLinks() {
  let isFailing = false;
  let polls = 0;
  const server = createServer((request, response) => {
    request.resume();
    request.on("end", async () => {
      polls += 1;
      await pause(20);
      if (isFailing) response.writeHead(503).end("{}");
      else response.end(JSON.stringify(RESPONSE));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const clock = createManualClock(100_000);
  const lost: string[] = [];
  const links = createWorkerLinks({
    zone: "suva",
    owner: "owner",
    timing: DEFAULT_TIMING,
    translate: {},
    clock,
    log: () => {},
    isLead: () => false,
    onWorkerReport: () => {},
    onWorkerUnresponsive: () => {},
  });
  const lease = (name: string): OwnedLease => ({
    target: {
      worker: "w",
      address: `127.0.0.1:${port}`,
      boot: "boot",
      lease: name,
    },
    repeatable: true,
    onEnded: () => {},
    onLost: () => lost.push(name),
  });
  return {
    links,
    clock,
    lost,
    lease,
    polls: () => polls,
    setFailing: (value: boolean) => isFailing = value,
    stop: async () => {
      await links.stop();
      server.closeAllConnections();
      server.close();
    },
  };
}

it("worker links: failures before an idle time do not lose a new lease", async () => {
  const { links, clock, lost, lease, setFailing, stop } = await startLinks();
  setFailing(true);
  links.follow(lease("first"));
  await pause(POLLS_MS);
  links.unfollow("first");
  await pause(POLLS_MS);
  clock.advance(DEFAULT_TIMING.workerLostMs);
  links.follow(lease("second"));
  await pause(POLLS_MS);
  const lostAtOnce = [...lost];
  clock.advance(DEFAULT_TIMING.workerLostMs);
  await stop();
  expect(lostAtOnce).to.deep.equal([]);
});

it("worker links: a pause of this process loses no lease", async () => {
  const { links, clock, lost, lease, setFailing, stop } = await startLinks();
  setFailing(true);
  links.follow(lease("first"));
  await pause(POLLS_MS);
  clock.advance(10 * DEFAULT_TIMING.workerLostMs);
  await pause(POLLS_MS);
  await stop();
  expect(lost).to.deep.equal([]);
});

it("worker links: a worker that keeps failing loses its leases", async () => {
  const { links, clock, lost, lease, setFailing, stop } = await startLinks();
  setFailing(true);
  links.follow(lease("first"));
  const steps = 10;
  for (let step = 0; step < steps; step++) {
    await pause(POLLS_MS / 2);
    clock.advance(DEFAULT_TIMING.workerLostMs / steps);
  }
  await pause(POLLS_MS);
  await stop();
  expect(lost).to.deep.equal(["first"]);
});
