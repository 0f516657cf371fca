import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { DEFAULT_ACCELERATORS, startWorker } from "./worker_standin.ts";

// Interval at which a draining worker checks whether it is idle.
const DRAIN_CHECK_MS = 100;

const options = yargs(hideBin(process.argv)).options({
  name: { type: "string", demandOption: true },
  zone: { type: "string", demandOption: true },
  rack: { type: "string", demandOption: true },
  host: { type: "string", default: "127.0.0.1" },
  port: { type: "number", default: 0 },
  accelerators: { type: "number", default: DEFAULT_ACCELERATORS },
  journal: { type: "string", demandOption: true },
  retention: { type: "number", default: 60_000 },
}).strict().parseSync();

const worker = await startWorker({
  ...options,
  endedRetentionMs: options.retention,
});
console.log(JSON.stringify({ ready: true, address: worker.address }));

// Ctrl-C sends SIGINT to the whole process group. It is ignored here, since the
// launcher ends this process by SIGTERM.
process.on("SIGINT", () => {});
process.on("SIGTERM", () => {
  worker.setLeaving();
  setInterval(() => {
    if (worker.isBusy()) return;
    worker.close();
    process.exit(0);
  }, DRAIN_CHECK_MS);
});
