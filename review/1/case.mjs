// An entry of another writer appears in the list of executors. It names a
// service that no config has, and its address has another form.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BOUNDS,
  pause,
  require,
  runCase,
  waitUntil,
} from "../lib/deployment.mjs";

const folder = dirname(fileURLToPath(import.meta.url));
const FOREIGN_ENTRY = {
  service: "ticket-archive",
  address: "http://127.0.0.1:9/archive",
  zone: "zone-a",
  version: "7",
  slots: 1,
  state: "ready",
  cold_remaining_ms: 0,
  sequence: 1,
  capacity: { cpu: 1_000, mem_mb: 512 },
  labels: [],
};
const JOBS = 4;
// Jobs are asked for finish_s after the end of the traffic; the rule is broken if
// one has nothing running for 3 s then.
const WINDOW_MS = 3_000;
const WATCH_MS = 1_000 * BOUNDS.finish_s + WINDOW_MS;

await runCase({ folder, machines: 8 }, async (deployment, isTroubled) => {
  const { submit, call, store, events, record, nodes } = deployment;
  const first = "00000000000000a0";
  require(
    (await submit(first, { count: 2, gpu: 1, workMs: 1_000 })).status === 200,
    "a first job is accepted",
  );
  require(
    await waitUntil(
      async () =>
        (await call("GET", first, { quiet: true })).body.state === "completed",
      10_000,
    ),
    "the first job is completed",
  );
  record(`job ${first} is completed`);

  if (isTroubled) {
    store.write("keyed.servers", "archive-1", FOREIGN_ENTRY);
    record(`another writer: entry archive-1 ${JSON.stringify(FOREIGN_ENTRY)}`);
  }
  await pause(1_000);
  const ids = Array.from(
    { length: JOBS },
    (_, index) => `00000000000000b${index}`,
  );
  for (const [index, id] of ids.entries()) {
    const { status } = await submit(id, { count: 2, gpu: 1, workMs: 1_000 }, {
      node: nodes[index % nodes.length],
    });
    require(status === 200, "a job is accepted");
  }
  const stateOf = async (id) =>
    (await call("GET", id, { quiet: true })).body.state;
  const areDone = await waitUntil(async () => {
    for (const id of ids) if (await stateOf(id) !== "completed") return false;
    return true;
  }, WATCH_MS);
  for (const id of ids) await call("GET", id);
  const started = ids.filter((id) =>
    events.some(({ kind, task }) => kind === "start" && task.startsWith(id))
  );
  record(`${started.length} of ${JOBS} jobs have had a start`);
  if (areDone) return undefined;
  return `LOST: ${
    JOBS - started.length
  } of ${JOBS} accepted jobs had nothing ` +
    `running for ${
      WATCH_MS / 1000
    } s after the end of the traffic, while all ` +
    "8 executors were idle";
});
