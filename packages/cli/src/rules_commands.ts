import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { describeError } from "@rattanhill/shared";
import { parseRules, type Rules } from "@rattanhill/core";
import { createPlatformClient } from "@rattanhill/platform";
import { ExitCode } from "./exit_codes.ts";
import { findUnmetGuarantees } from "./guarantee_check.ts";
import type { Output } from "./output.ts";
import { diffRules, type RuleChange } from "./rules_diff.ts";
import { createRulesStore, type RulesStore } from "./rules_store.ts";

const PLATFORM_TIMEOUT_MS = 3_000;

/** Arguments of the commands that read or write the platform's log. */
export interface PlatformArguments {
  /** Address of the platform, `HOST:PORT`. */
  platform: string;
}

/**
 * Validates a rules file.
 *
 * @param file path of the rules file
 * @param output receives the faults, or the number of accounts and classes
 * @returns the exit code of the command
 */
export function checkRules(file: string, output: Output): ExitCode {
  const rules = loadRules(file, output);
  if (rules === undefined) return ExitCode.invalid;
  const accounts = rules.accounts.size;
  const classes = rules.classes.size;
  output.writeResult(
    { valid: true, accounts, classes },
    `${file}: valid, ${accounts} accounts, ${classes} classes`,
  );
  return ExitCode.done;
}

/**
 * Shows the rules in force.
 *
 * @param options address of the platform
 * @param output receives the rules
 * @returns the exit code of the command
 */
export async function showRules(
  options: PlatformArguments,
  output: Output,
): Promise<ExitCode> {
  return await withStore(options, output, async (store) => {
    const config = await store.read();
    output.writeResult(
      config,
      config.version === 0 ? "no rules are published" : config.text,
    );
    return ExitCode.done;
  });
}

/**
 * Compares a rules file with the rules in force.
 *
 * @param file path of the rules file
 * @param options address of the platform
 * @param output receives the changes
 * @returns the exit code of the command
 */
export async function showDiff(
  file: string,
  options: PlatformArguments,
  output: Output,
): Promise<ExitCode> {
  const rules = loadRules(file, output);
  if (rules === undefined) return ExitCode.invalid;
  return await withStore(options, output, async (store) => {
    const { text, version } = await store.read();
    // Rules in force have no faults, since only valid rules are accepted.
    const before = parseRules(text).rules!;
    const changes = diffRules(before, rules);
    const lines = changes.map(describeChange);
    output.writeResult(
      { version, changes },
      lines.length === 0 ? "no changes" : lines.join("\n"),
    );
    return ExitCode.done;
  });
}

/**
 * Publishes a rules file, unless it is invalid or its guarantees cannot be met.
 *
 * @param file path of the rules file
 * @param options address of the platform, version that the file is based on,
 * author, and the entries whose zones must meet the guarantees
 * @param output receives the verdict
 * @returns the exit code of the command
 */
export async function publishRules(
  file: string,
  options: PlatformArguments & {
    base?: number;
    author?: string;
    operators: readonly string[];
  },
  output: Output,
): Promise<ExitCode> {
  const rules = loadRules(file, output);
  if (rules === undefined) return ExitCode.invalid;
  if (!await checkGuarantees(rules, options.operators, output)) {
    return ExitCode.invalid;
  }
  const text = readFileSync(file, "utf8");
  return await withStore(options, output, async (store) => {
    const base = options.base ?? (await store.read()).version;
    const author = options.author ?? userInfo().username;
    const hideProgress = output.showProgress("waiting for the platform's log");
    const verdict = await store.publish(text, { base, author });
    hideProgress();
    if (verdict === undefined) {
      output.writeError(
        "the rules did not appear in the log; check with: rattanhill rules show",
      );
      return ExitCode.unknown;
    }
    if (verdict.kind === "accepted") {
      const { version } = verdict.state;
      output.writeResult(
        { accepted: true, version },
        `version ${version} accepted`,
      );
      return ExitCode.done;
    }
    if (verdict.kind !== "overtaken") return ExitCode.failed;
    const { version, author: winner } = verdict.by;
    output.writeResult(
      { accepted: false, version, winner },
      `not published: version ${version} by ${winner} was accepted first ` +
        `(this file is based on version ${base})`,
    );
    return ExitCode.overtaken;
  });
}

/** @returns whether all guarantees can be met; writes those that cannot */
async function checkGuarantees(
  rules: Rules,
  operators: readonly string[],
  output: Output,
): Promise<boolean> {
  try {
    const unmet = await findUnmetGuarantees(rules, operators);
    for (const { zone, account } of unmet) {
      output.writeError(
        `the guarantee of account ${account} cannot be met in zone ${zone}`,
      );
    }
    return unmet.length === 0;
  } catch (error) {
    output.writeError(`cannot check the guarantees: ${describeError(error)}`);
    return false;
  }
}

/** @returns the rules, or `undefined` after writing the faults of the file */
function loadRules(file: string, output: Output): Rules | undefined {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    output.writeError(describeError(error));
    return undefined;
  }
  const { rules, faults } = parseRules(text);
  for (const { line, column, reason } of faults) {
    output.writeError(`${file}:${line}:${column}: ${reason}`);
  }
  return rules;
}

/**
 * Runs an action with a rules store, closes its client afterwards and writes
 * the error of an action that fails.
 */
async function withStore(
  { platform: address }: PlatformArguments,
  output: Output,
  action: (store: RulesStore) => Promise<ExitCode>,
): Promise<ExitCode> {
  const platform = createPlatformClient({
    address,
    timeoutMs: PLATFORM_TIMEOUT_MS,
  });
  try {
    return await action(createRulesStore(platform));
  } catch (error) {
    output.writeError(describeError(error));
    return ExitCode.failed;
  } finally {
    await platform.close();
  }
}

function describeChange({ kind, rule, before, after }: RuleChange): string {
  const values = [before, after].filter((value) => value !== undefined)
    .map((value) => JSON.stringify(value));
  return `${kind} ${rule}: ${values.join(" -> ")}`;
}
