#!/usr/bin/env node
import process from "node:process";
import { describeError } from "@rattanhill/shared";
import { requestBodySchema } from "@rattanhill/protocol";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ExitCode } from "./exit_codes.ts";
import { drain, explain, showState, showStatus } from "./operator_commands.ts";
import { createOutput, type Output } from "./output.ts";
import { cancel, showRequest, submit } from "./request_commands.ts";
import {
  checkRules,
  publishRules,
  showDiff,
  showRules,
} from "./rules_commands.ts";

const DEFAULT_PATIENCE_MS = 60_000;
const EXIT_CODES = "Exit codes: 0 done, 1 failed or not run, 2 arguments or " +
  "file not valid, 3 overtaken by another operator, 4 outcome not known.";

const platform = {
  type: "string",
  demandOption: true,
  describe: "address of the platform, HOST:PORT",
} as const;
const entry = {
  type: "string",
  demandOption: true,
  describe: "callers' interface of an entry or balancer, http://HOST:PORT",
} as const;
const bearer = {
  type: "string",
  default: process.env.RATTANHILL_KEY ?? "",
  defaultDescription: "$RATTANHILL_KEY",
  describe: "bearer key of the client account",
} as const;
const operators = {
  type: "string",
  demandOption: true,
  describe: "operators' interface of an entry, http://HOST:PORT",
} as const;
const file = {
  type: "string",
  demandOption: true,
  describe: "rules file",
} as const;
const id = {
  type: "string",
  demandOption: true,
  describe: "identifier of the request",
} as const;

await yargs(hideBin(process.argv))
  .scriptName("rattanhill")
  .option("json", {
    type: "boolean",
    default: false,
    describe: "write one JSON line for programs",
  })
  .command(
    "rules",
    "check, compare, publish and show rules",
    (command) =>
      command
        .command(
          "check <file>",
          "check a rules file",
          (options) => options.positional("file", file),
          finish((args, output) => checkRules(args.file, output)),
        )
        .command(
          "diff <file>",
          "compare a rules file with the rules in force",
          (options) => options.positional("file", file).options({ platform }),
          finish((args, output) => showDiff(args.file, args, output)),
        )
        .command(
          "publish <file>",
          "publish a rules file",
          (options) =>
            options.positional("file", file).options({
              platform,
              base: {
                type: "number",
                describe:
                  "version the file was made from; the current one if absent",
              },
              operators: {
                type: "array",
                string: true,
                default: [] as string[],
                describe:
                  "operators' interface of one entry of each zone whose guarantees are checked",
              },
              author: {
                type: "string",
                describe: "name shown to others; the user's name if absent",
              },
            }),
          finish((args, output) => publishRules(args.file, args, output)),
        )
        .command(
          "show",
          "show the rules in force",
          (options) => options.options({ platform }),
          finish((args, output) => showRules(args, output)),
        )
        .demandCommand(1, "name a command: check, diff, publish or show"),
  )
  .command(
    "submit <body>",
    "submit a request and wait for its answer",
    (options) =>
      options
        .positional("body", {
          type: "string",
          demandOption: true,
          describe: 'JSON body, for example \'{"class":"welcome-draft"}\'',
        })
        .options({
          entry,
          bearer,
          key: { type: "string", describe: "idempotency key" },
          async: {
            type: "boolean",
            default: false,
            describe: "return once the job is accepted",
          },
          patience: {
            type: "number",
            default: DEFAULT_PATIENCE_MS,
            describe: "milliseconds to go on trying",
          },
        }),
    finish((args, output) => {
      const body = readBody(args.body, output);
      if (body === undefined) return ExitCode.invalid;
      const patienceMs = args.patience;
      return submit({ ...args, body, patienceMs }, output);
    }),
  )
  .command(
    "request <id>",
    "show a request",
    (options) =>
      options.positional("id", id).options({
        entry,
        bearer,
        wait: {
          type: "number",
          default: 0,
          describe: "milliseconds to wait for its end",
        },
      }),
    finish((args, output) =>
      showRequest(args.id, { ...args, waitMs: args.wait }, output)
    ),
  )
  .command(
    "cancel <id>",
    "cancel a request",
    (options) => options.positional("id", id).options({ entry, bearer }),
    finish((args, output) => cancel(args.id, args, output)),
  )
  .command(
    "status",
    "show accounts, racks and fragmentation of an entry's zone",
    (options) => options.options({ operators }),
    finish((args, output) => showStatus(args, output)),
  )
  .command(
    "state",
    "show the state of an entry's process",
    (options) => options.options({ operators }),
    finish((args, output) => showState(args, output)),
  )
  .command(
    "explain <id>",
    "tell why a request waits",
    (options) => options.positional("id", id).options({ operators }),
    finish((args, output) => explain(args.id, args, output)),
  )
  .command(
    "drain",
    "shut an entry down gracefully",
    (options) => options.options({ operators }),
    finish((args, output) => drain(args, output)),
  )
  .demandCommand(1, "name a command")
  .epilogue(EXIT_CODES)
  .fail((message, error) => {
    console.error(`rattanhill: ${message ?? describeError(error)}`);
    process.exit(ExitCode.invalid);
  })
  .strict()
  .parseAsync();

function finish<Arguments extends { json: boolean }>(
  action: (args: Arguments, output: Output) => ExitCode | Promise<ExitCode>,
) {
  return async (args: Arguments): Promise<void> => {
    process.exitCode = await action(args, createOutput(args));
  };
}

function readBody(text: string, output: Output) {
  try {
    const body = requestBodySchema.safeParse(JSON.parse(text));
    if (body.success) return body.data;
    for (const issue of body.error.issues) {
      output.fault(`${issue.path.join(".") || "body"}: ${issue.message}`);
    }
  } catch {
    output.fault("the body is not JSON");
  }
  return undefined;
}
