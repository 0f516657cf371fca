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

/** Arguments of the commands that read or write the log. */
export interface PlatformArguments {
  platform: string;
}

/**
 * Checks a rules file.
 *
 * @param file path
 * @param output where faults go
 * @returns the exit code
 */
export function checkRules(file: string, output: Output): ExitCode {
  const rules = loadRules(file, output);
  if (rules === undefined) return ExitCode.invalid;
  const accounts = rules.accounts.size;
  const classes = rules.classes.size;
  output.result(
    { valid: true, accounts, classes },
    `${file}: ${accounts} accounts, ${classes} classes, no faults`,
  );
  return ExitCode.done;
}

/**
 * Shows the rules in force.
 *
 * @param options address of the platform
 * @param output where they go
 * @returns the exit code
 */
export async function showRules(
  options: PlatformArguments,
  output: Output,
): Promise<ExitCode> {
  return await withStore(options, output, async (store) => {
    const config = await store.read();
    output.result(
      config,
      config.version === 0 ? "no rules are published" : config.text,
    );
    return ExitCode.done;
  });
}

/**
 * Compares a rules file with the rules in force.
 *
 * @param file path
 * @param options address of the platform
 * @param output where the changes go
 * @returns the exit code
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
    const before = parseRules(text).rules!;
    const changes = diffRules(before, rules);
    const lines = changes.map(describeChange);
    output.result(
      { version, changes },
      lines.length === 0 ? "no change" : lines.join("\n"),
    );
    return ExitCode.done;
  });
}

/**
 * Publishes a rules file.
 *
 * @param file path
 * @param options address of the platform, and the version the file was made from
 * @param output where the verdict goes
 * @returns the exit code
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
  if (!await canBeMet(rules, options.operators, output)) {
    return ExitCode.invalid;
  }
  const text = readFileSync(file, "utf8");
  return await withStore(options, output, async (store) => {
    const base = options.base ?? (await store.read()).version;
    const author = options.author ?? userInfo().username;
    const done = output.waiting("waiting for the log");
    const verdict = await store.publish(text, { base, author });
    done();
    if (verdict === undefined) {
      output.fault("the log did not show the rules; ask again with rules show");
      return ExitCode.unknown;
    }
    if (verdict.kind === "accepted") {
      const { version } = verdict.state;
      output.result({ accepted: true, version }, `version ${version} accepted`);
      return ExitCode.done;
    }
    if (verdict.kind !== "overtaken") return ExitCode.failed;
    const { version, author: winner } = verdict.by;
    output.result(
      { accepted: false, version, winner },
      `overtaken: version ${version} by ${winner} was accepted first ` +
        `(this file was made from version ${base})`,
    );
    return ExitCode.overtaken;
  });
}

async function canBeMet(
  rules: Rules,
  operators: readonly string[],
  output: Output,
): Promise<boolean> {
  try {
    const unmet = await findUnmetGuarantees(rules, operators);
    for (const { zone, account } of unmet) {
      output.fault(
        `the guarantee of ${account} does not fit the workers of ${zone}`,
      );
    }
    return unmet.length === 0;
  } catch (error) {
    output.fault(`guarantees cannot be checked: ${describeError(error)}`);
    return false;
  }
}

function loadRules(file: string, output: Output): Rules | undefined {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    output.fault(describeError(error));
    return undefined;
  }
  const { rules, faults } = parseRules(text);
  for (const { line, column, reason } of faults) {
    output.fault(`${file}:${line}:${column}: ${reason}`);
  }
  return rules;
}

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
    output.fault(describeError(error));
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
