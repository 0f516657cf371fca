#!/usr/bin/env node
import process from "node:process";
import { describeError } from "@rattanhill/shared";
import { requestBodySchema } from "@rattanhill/protocol";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { checkConfigFile } from "./config_commands.ts";
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

const DEFAULT_RETRY_TIMEOUT_MS = 60_000;
const EXIT_CODES_HELP =
  "Exit codes: 0 success, 1 failed or not run, 2 invalid arguments or " +
  "file, 3 rules of another operator accepted first, 4 outcome unknown.";

const platform = {
  type: "string",
  demandOption: true,
  describe: "address of the platform, HOST:PORT",
} as const;
const entry = {
  type: "string",
  demandOption: true,
  describe: "callers' interface of an entry or load balancer, http://HOST:PORT",
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
    describe: "print the result as one line of JSON",
  })
  .command(
    "config",
    "check the platform's configuration",
    (command) =>
      command
        .command(
          "check <file>",
          "check a configuration document before it is sent",
          (options) =>
            options.positional("file", {
              type: "string",
              demandOption: true,
              describe: "configuration document, JSON",
            }).options({
              against: {
                type: "string",
                describe: "document in force; prints the differences",
              },
              accelerators: {
                type: "number",
                describe: "accelerators of all workers, to check guarantees",
              },
              services: {
                type: "array",
                string: true,
                describe: "services that workers offer",
              },
            }),
          createHandler((args, output) =>
            checkConfigFile(args.file, args, output)
          ),
        )
        .demandCommand(1, "missing command: check"),
  )
  .command(
    "rules",
    "check, compare, publish and show rules",
    (command) =>
      command
        .command(
          "check <file>",
          "check a rules file",
          (options) => options.positional("file", file),
          createHandler((args, output) => checkRules(args.file, output)),
        )
        .command(
          "diff <file>",
          "compare a rules file with the rules in force",
          (options) => options.positional("file", file).options({ platform }),
          createHandler((args, output) => showDiff(args.file, args, output)),
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
                  "version that the file is based on; default: the current one",
              },
              operators: {
                type: "array",
                string: true,
                default: [] as string[],
                describe:
                  "operators' interface of one entry per zone to check guarantees in",
              },
              author: {
                type: "string",
                describe:
                  "author recorded with the rules; default: the login name",
              },
            }),
          createHandler((args, output) =>
            publishRules(args.file, args, output)
          ),
        )
        .command(
          "show",
          "show the rules in force",
          (options) => options.options({ platform }),
          createHandler((args, output) => showRules(args, output)),
        )
        .demandCommand(1, "missing command: check, diff, publish or show"),
  )
  .command(
    "submit <body>",
    "submit a request and wait for its answer",
    (options) =>
      options
        .positional("body", {
          type: "string",
          demandOption: true,
          describe:
            'request body as JSON, for example \'{"class":"welcome-draft"}\'',
        })
        .options({
          entry,
          bearer,
          key: {
            type: "string",
            describe: "idempotency key; default: a new identifier",
          },
          async: {
            type: "boolean",
            default: false,
            describe: "return when the request is accepted",
          },
          patience: {
            type: "number",
            default: DEFAULT_RETRY_TIMEOUT_MS,
            describe: "milliseconds after which the request is not retried",
          },
        }),
    createHandler((args, output) => {
      const body = parseBody(args.body, output);
      if (body === undefined) return ExitCode.invalid;
      const retryTimeoutMs = args.patience;
      return submit({ ...args, body, retryTimeoutMs }, output);
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
          describe: "milliseconds to wait for the request to end",
        },
      }),
    createHandler((args, output) =>
      showRequest(args.id, { ...args, waitMs: args.wait }, output)
    ),
  )
  .command(
    "cancel <id>",
    "cancel a request",
    (options) => options.positional("id", id).options({ entry, bearer }),
    createHandler((args, output) => cancel(args.id, args, output)),
  )
  .command(
    "status",
    "show accounts, racks and fragmentation of an entry's zone",
    (options) => options.options({ operators }),
    createHandler((args, output) => showStatus(args, output)),
  )
  .command(
    "state",
    "show the state of an entry's process",
    (options) => options.options({ operators }),
    createHandler((args, output) => showState(args, output)),
  )
  .command(
    "explain <id>",
    "explain why a request is waiting",
    (options) => options.positional("id", id).options({ operators }),
    createHandler((args, output) => explain(args.id, args, output)),
  )
  .command(
    "drain",
    "shut an entry down gracefully",
    (options) => options.options({ operators }),
    createHandler((args, output) => drain(args, output)),
  )
  .demandCommand(1, "missing command")
  .epilogue(EXIT_CODES_HELP)
  .fail((message, error) => {
    console.error(`rattanhill: ${message ?? describeError(error)}`);
    process.exit(ExitCode.invalid);
  })
  .strict()
  .parseAsync();

/** @returns a yargs handler that sets the exit code from the action's result */
function createHandler<Arguments extends { json: boolean }>(
  action: (args: Arguments, output: Output) => ExitCode | Promise<ExitCode>,
) {
  return async (args: Arguments): Promise<void> => {
    process.exitCode = await action(args, createOutput(args));
  };
}

/** @returns the request body, or `undefined` after writing its faults */
function parseBody(text: string, output: Output) {
  try {
    const body = requestBodySchema.safeParse(JSON.parse(text));
    if (body.success) return body.data;
    for (const issue of body.error.issues) {
      output.writeError(`${issue.path.join(".") || "body"}: ${issue.message}`);
    }
  } catch {
    output.writeError("the request body is not valid JSON");
  }
  return undefined;
}
