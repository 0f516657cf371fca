import { readFileSync } from "node:fs";
import { describeError } from "@rattanhill/shared";
import {
  checkConfig,
  type ConfigChange,
  type ConfigFinding,
  diffConfigs,
} from "@rattanhill/platform-adapter";
import { ExitCode } from "./exit_codes.ts";
import type { Output } from "./output.ts";

/** Options of {@link checkConfigFile}. */
export interface ConfigArguments {
  /** File with the version in force. */
  against?: string;
  /** Number of accelerators of all workers. */
  accelerators?: number;
  /** Services that workers offer. */
  services?: readonly string[];
}

/**
 * Checks a configuration document for the platform, and compares it with the
 * version in force if that is given.
 *
 * @param file path of the document
 * @param options what the document is compared with
 * @param output receives the findings and the differences
 * @returns `failed` when the document has errors; warnings do not count
 */
export function checkConfigFile(
  file: string,
  { against, accelerators, services }: ConfigArguments,
  output: Output,
): ExitCode {
  const text = readText(file, output);
  const earlier = against === undefined ? undefined : readText(against, output);
  if (text === undefined || (against !== undefined && earlier === undefined)) {
    return ExitCode.invalid;
  }
  const versionInForce = earlier === undefined
    ? undefined
    : readVersion(earlier);
  const findings = checkConfig(text, {
    accelerators,
    services: services?.length === 0 ? undefined : services,
    versionInForce,
  });
  const changes = earlier === undefined ? [] : listChanges(earlier, text);
  const errors = findings.filter(({ severity }) => severity === "error").length;
  const warnings = findings.length - errors;
  output.writeResult(
    { valid: errors === 0, findings, changes },
    [
      ...findings.map(describeFinding),
      ...changes.map(describeChange),
      `${file}: ${errors} errors, ${warnings} warnings`,
    ].join("\n"),
  );
  return errors === 0 ? ExitCode.done : ExitCode.failed;
}

function readText(file: string, output: Output): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    output.writeError(`${file}: ${describeError(error)}`);
    return undefined;
  }
}

/** Reads the version; a document without a usable one is not compared with. */
function readVersion(text: string): number | undefined {
  try {
    const version = JSON.parse(text)?.version;
    return typeof version === "number" ? version : undefined;
  } catch {
    return undefined;
  }
}

/** Compares two documents; one that is no JSON object has no comparison. */
function listChanges(before: string, after: string): ConfigChange[] {
  try {
    return diffConfigs(before, after);
  } catch {
    return [];
  }
}

function describeFinding({ severity, path, message }: ConfigFinding): string {
  return path === ""
    ? `${severity}: ${message}`
    : `${severity}: ${path}: ${message}`;
}

function describeChange({ path, before, after }: ConfigChange): string {
  if (before === undefined) return `added ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `removed ${path}: ${JSON.stringify(before)}`;
  return `changed ${path}: ${JSON.stringify(before)} -> ${
    JSON.stringify(after)
  }`;
}
