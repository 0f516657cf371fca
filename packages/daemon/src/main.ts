#!/usr/bin/env node
import process from "node:process";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import {
  createEventLog,
  describeError,
  Events,
  InvalidError,
} from "@rattanhill/shared";
import { createEntry } from "@rattanhill/entry";
import { readSettings } from "./settings_file.ts";

const EXIT_INVALID_INPUT = 2;
const EXIT_FAILED = 1;

const { settings: file, check } = yargs(hideBin(process.argv))
  .scriptName("rattanhilld")
  .usage("$0 --settings FILE\n\nRuns an entry of the scheduler.")
  .options({
    settings: {
      type: "string",
      demandOption: true,
      describe: "settings file (YAML)",
    },
    check: {
      type: "boolean",
      default: false,
      describe: "check the settings and exit",
    },
  })
  .epilogue(
    "Exit codes: 0 stopped gracefully, 1 failed, 2 settings or arguments are not valid.",
  )
  .fail((message, error) => {
    console.error(message ?? describeError(error));
    process.exit(EXIT_INVALID_INPUT);
  })
  .strict()
  .parseSync();

const settings = loadSettings(file);
if (check) process.exit(0);

const log = createEventLog(`entry:${settings.name}`);
const entry = createEntry({ settings, log });

process.on("SIGTERM", () => void drainAndExit());
process.on("SIGINT", () => void drainAndExit());
process.on("unhandledRejection", (error) => {
  log(Events.unexpectedError, { error: describeError(error) });
});

try {
  const ports = await entry.start();
  // The program that launched the daemon waits for this line, which contains
  // the bound ports.
  console.log(JSON.stringify({ ready: true, name: settings.name, ...ports }));
} catch (error) {
  console.error(`rattanhilld: ${describeError(error)}`);
  process.exit(EXIT_FAILED);
}

async function drainAndExit(): Promise<void> {
  await entry.drain();
  process.exit(0);
}

function loadSettings(path: string) {
  try {
    return readSettings(path);
  } catch (error) {
    if (!(error instanceof InvalidError)) throw error;
    console.error(`rattanhilld: ${error.message}`);
    for (const fault of error.faults) console.error(`  ${fault}`);
    process.exit(EXIT_INVALID_INPUT);
  }
}
