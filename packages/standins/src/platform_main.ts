import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { startPlatform } from "./platform_standin.ts";

const options = yargs(hideBin(process.argv)).options({
  host: { type: "string", default: "127.0.0.1" },
  port: { type: "number", default: 0 },
  retention: { type: "number", default: 3_600_000 },
  appends: { type: "number", default: 400 },
  lag: { type: "number", default: 1_000 },
}).strict().parseSync();

const platform = await startPlatform({
  host: options.host,
  port: options.port,
  retentionMs: options.retention,
  appendsPerSecond: options.appends,
  listLagMs: options.lag,
});
console.log(JSON.stringify({ ready: true, address: platform.address }));

// Ctrl-C sends SIGINT to the whole process group. It is ignored here, since the
// launcher ends this process by SIGTERM.
process.on("SIGINT", () => {});
process.on("SIGTERM", () => process.exit(0));
