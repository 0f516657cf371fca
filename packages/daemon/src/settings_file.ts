import { readFileSync } from "node:fs";
import { parseDocument } from "yaml";
import { z } from "zod";
import { describeError, ErrorCode, InvalidError } from "@rattanhill/shared";
import {
  DEFAULT_LIMITS,
  DEFAULT_TIMING,
  type EntrySettings,
} from "@rattanhill/entry";

const nameSchema = z.string().regex(
  /^[a-z0-9][a-z0-9._-]{0,63}$/,
  "expected lower-case letters, digits, dots, dashes or underscores",
);
const addressSchema = z.string().regex(
  /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/,
  "expected an IPv4 address and port such as 10.0.0.1:7000",
);
const portSchema = z.number().int().min(0).max(65_535);
const durationSchema = z.number().int().min(1).max(86_400_000);
const limitSchema = z.number().int().min(1).max(1_000_000);

const settingsSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  host: z.string().regex(
    /^(\d{1,3}\.){3}\d{1,3}$/,
    "expected an IPv4 address such as 10.0.0.1",
  ),
  ports: z.strictObject({
    callers: portSchema,
    operators: portSchema,
    peers: portSchema,
  }),
  platform: z.strictObject({ address: addressSchema }),
  peers: z.array(addressSchema).default([]),
  translate: z.record(addressSchema, addressSchema).default({}),
  timing: withDefaults(DEFAULT_TIMING, durationSchema),
  limits: withDefaults(DEFAULT_LIMITS, limitSchema),
}).superRefine(({ timing }, context) => {
  const addFault = (setting: string, message: string) =>
    context.addIssue({ code: "custom", path: ["timing", setting], message });
  // A peer is suspected only after at least two heartbeat intervals, so that
  // the loss of a single heartbeat has no effect.
  if (timing.suspicionMs < 2 * timing.heartbeatMs) {
    addFault("suspicionMs", "expected at least twice heartbeatMs");
  }
  if (timing.remoteSuspicionMs < 2 * timing.remoteHeartbeatMs) {
    addFault("remoteSuspicionMs", "expected at least twice remoteHeartbeatMs");
  }
  // Every poll of a worker renews the leases there, so a few polls in a row may
  // fail before the leases expire.
  if (timing.leaseTtlMs < 4 * timing.watchMs) {
    addFault("leaseTtlMs", "expected at least four times watchMs");
  }
  // A hold must outlast the request for it and the call that starts its task.
  if (timing.holdTtlMs < 2 * timing.workerTimeoutMs) {
    addFault("holdTtlMs", "expected at least twice workerTimeoutMs");
  }
});

/**
 * Reads a settings file and validates it as a whole.
 *
 * @param file path of the YAML file
 * @returns the settings with defaults filled in
 * @throws InvalidError when the file cannot be read, or with all faults when it
 * is not valid
 */
export function readSettings(file: string): EntrySettings {
  let text: string;
  try {
    text = readFileSync(file, "utf8");
  } catch (error) {
    throw createSettingsError(file, [
      `cannot be read: ${describeError(error)}`,
    ]);
  }
  return parseSettings(text, file);
}

/**
 * Validates the text of a settings file as a whole.
 *
 * @param text text of the file, in YAML
 * @param file name of the file in errors
 * @returns the settings with defaults filled in
 * @throws InvalidError with all faults; each states the path of the setting,
 * what was expected and what was found
 */
export function parseSettings(text: string, file: string): EntrySettings {
  const document = parseDocument(text);
  if (document.errors.length > 0) {
    throw createSettingsError(
      file,
      document.errors.map((error) => error.message),
    );
  }
  const value: unknown = document.toJS();
  const result = settingsSchema.safeParse(value);
  if (result.success) return result.data;
  throw createSettingsError(
    file,
    result.error.issues.map((issue) => {
      const path = issue.path.map(String);
      const found = JSON.stringify(findValue(value, path)) ?? "nothing";
      return `${path.join(".") || "file"}: ${issue.message}, found ${found}`;
    }),
  );
}

/** Creates the schema of a section in which every setting has a default. */
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
    (current, segment) => (current as Record<string, unknown>)?.[segment],
    value,
  );
}

function createSettingsError(
  file: string,
  faults: readonly string[],
): InvalidError {
  return new InvalidError(
    ErrorCode.settingsInvalid,
    `cannot use settings file ${file}`,
    {
      step: "settings.read",
      peer: "self",
      faults,
    },
  );
}
