import { readFileSync } from "node:fs";
import { parseDocument } from "yaml";
import { z } from "zod";
import { describeError, ErrorCode, InvalidError } from "@rattanhill/shared";
import {
  DEFAULT_LIMITS,
  DEFAULT_TIMING,
  type EntrySettings,
} from "@rattanhill/entry";

const name = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,63}$/,
  "expected lower-case letters, digits, dots, dashes or underscores",
);
const address = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
  "expected an address such as 10.0.0.1:7000",
);
const port = z.number().int().min(0).max(65_535);
const duration = z.number().int().min(1).max(86_400_000);
const limit = z.number().int().min(1).max(1_000_000);

const settingsSchema = z.strictObject({
  name,
  zone: name,
  host: z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}$/,
    "expected an IP number such as 10.0.0.1",
  ),
  ports: z.strictObject({ callers: port, operators: port, peers: port }),
  platform: z.strictObject({ address }),
  peers: z.array(address).default([]),
  translate: z.record(address, address).default({}),
  timing: withDefaults(DEFAULT_TIMING, duration),
  limits: withDefaults(DEFAULT_LIMITS, limit),
}).superRefine(({ timing }, context) => {
  const fault = (path: string, message: string) =>
    context.addIssue({ code: "custom", path: ["timing", path], message });
  if (timing.suspicionMs < 2 * timing.heartbeatMs) {
    fault("suspicionMs", "expected at least two heartbeats");
  }
  if (timing.remoteSuspicionMs < 2 * timing.remoteHeartbeatMs) {
    fault("remoteSuspicionMs", "expected at least two remote heartbeats");
  }
  if (timing.leaseTtlMs < 4 * timing.watchMs) {
    fault("leaseTtlMs", "expected at least four times watchMs");
  }
  if (timing.holdTtlMs < 2 * timing.workerTimeoutMs) {
    fault("holdTtlMs", "expected at least twice workerTimeoutMs");
  }
});

/**
 * Reads and checks a settings file as a whole.
 *
 * @param file path of the YAML file
 * @returns the settings with defaults filled in
 * @throws InvalidError with every fault that was found
 */
export function readSettings(file: string): EntrySettings {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw invalid(file, [`cannot be read: ${describeError(error)}`]);
  }
  return parseSettings(text, file);
}

/**
 * Checks the text of a settings file as a whole.
 *
 * @param text YAML
 * @param file name used in errors
 * @returns the settings with defaults filled in
 * @throws InvalidError with every fault: its path, what was expected and what was found
 */
export function parseSettings(text: string, file: string): EntrySettings {
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    throw invalid(file, document.errors.map((error) => error.message));
  }
  const value: unknown = document.toJS();
  const result = settingsSchema.safeParse(value);
  if (result.success) return result.data;
  throw invalid(
    file,
    result.error.issues.map((issue) => {
      const path = issue.path.map(String);
      const found = JSON.stringify(findValue(value, path)) ?? "nothing";
      return `${path.join(".") || "file"}: ${issue.message}, found ${found}`;
    }),
  );
}

function withDefaults<Values extends object>(
  defaults: Values,
  schema: z.ZodType<number>,
): z.ZodType<Values> {
  const fields = Object.entries(defaults).map(([field, value]) =>
    [field, schema.default(value)] as const
  );
  return z.strictObject(Object.fromEntries(fields)).default(
    defaults as never,
  ) as unknown as z.ZodType<Values>;
}

function findValue(value: unknown, path: readonly string[]): unknown {
  return path.reduce<unknown>(
    (current, step) => (current as Record<string, unknown>)?.[step],
    value,
  );
}

function invalid(file: string, faults: readonly string[]): InvalidError {
  return new InvalidError(ErrorCode.settingsInvalid, `settings ${file}`, {
    step: "settings.read",
    peer: "self",
    faults,
  });
}
