import { z } from "zod";
import type { ConfigRecord, LedgerRecord } from "@rattanhill/core";
import { Adjacency, Outcome } from "@rattanhill/core";

/** Names of the streams of the platform's log. */
export const Streams = {
  config: "config",
  requests: "requests",
} as const;

/** Version of the record schemas. Readers skip records of a newer version. */
export const SCHEMA_VERSION = 1;

const textSchema = z.string();
const countSchema = z.number().int().nonnegative();

const specSchema = z.object({
  id: textSchema,
  account: textSchema,
  key: textSchema,
  class: textSchema,
  shape: z.object({
    parts: countSchema,
    accelerators: countSchema,
    adjacent: z.enum(Object.values(Adjacency) as [Adjacency]),
  }),
  repeatable: z.boolean(),
  preemptible: z.boolean(),
  priority: countSchema,
  expectedMs: z.number(),
  deadlineMs: z.number(),
  isJob: z.boolean(),
  bodyDigest: textSchema,
});

const claimedPartSchema = z.object({
  worker: textSchema,
  address: textSchema,
  boot: textSchema,
  lease: textSchema,
});

const resultSchema = z.object({
  outcome: z.enum(Object.values(Outcome) as [Outcome]),
  answers: z.array(textSchema),
  reason: textSchema,
});

const ledgerEntrySchema = z.object({
  account: textSchema,
  key: textSchema,
  request: textSchema,
  bodyDigest: textSchema,
  owner: textSchema,
  ordinal: countSchema,
  claim: textSchema,
  attempt: countSchema,
  parts: z.array(claimedPartSchema),
  isReleased: z.boolean(),
  job: z.object({ spec: specSchema, payload: textSchema }).optional(),
  result: resultSchema.optional(),
  recordedAt: z.number(),
});

const recordBase = {
  id: textSchema,
  account: textSchema,
  key: textSchema,
  owner: textSchema,
  ordinal: countSchema,
};

const ledgerRecordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("accept"),
    ...recordBase,
    spec: specSchema,
    payload: textSchema,
  }),
  z.object({
    kind: z.literal("claim"),
    ...recordBase,
    request: textSchema,
    bodyDigest: textSchema,
    attempt: countSchema,
    parts: z.array(claimedPartSchema),
  }),
  z.object({ kind: z.literal("adopt"), ...recordBase, from: textSchema }),
  z.object({ kind: z.literal("release"), ...recordBase, claim: textSchema }),
  z.object({ kind: z.literal("finish"), ...recordBase, result: resultSchema }),
  z.object({
    kind: z.literal("carry"),
    ...recordBase,
    entry: ledgerEntrySchema,
  }),
]);

const configRecordSchema = z.object({
  kind: z.enum(["rules", "carry"]),
  id: textSchema,
  base: countSchema,
  text: textSchema,
  author: textSchema,
});

/** A decoded record, or the reason why it cannot be decoded. */
export type Decoded<Value> = { value: Value } | { fault: string };

/**
 * Encodes a record for the log, in an envelope with the schema version.
 *
 * @param record the record
 * @returns the envelope as JSON
 */
export function encodeRecord(record: ConfigRecord | LedgerRecord): string {
  return JSON.stringify({ schema: SCHEMA_VERSION, record });
}

/**
 * Decodes and validates a record of the request stream.
 *
 * @param data text of the record, as read from the log
 * @returns the record, or the fault because of which it must be skipped
 */
export function decodeLedgerRecord(data: string): Decoded<LedgerRecord> {
  return decode(data, ledgerRecordSchema);
}

/**
 * Decodes and validates a record of the configuration stream.
 *
 * @param data text of the record, as read from the log
 * @returns the record, or the fault because of which it must be skipped
 */
export function decodeConfigRecord(data: string): Decoded<ConfigRecord> {
  return decode(data, configRecordSchema);
}

const envelopeSchema = z.object({ schema: z.number(), record: z.unknown() });

function decode<Value>(
  data: string,
  schema: z.ZodType<Value>,
): Decoded<Value> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(data);
  } catch {
    return { fault: "record is not JSON" };
  }
  const envelope = envelopeSchema.safeParse(parsed);
  if (!envelope.success) return { fault: "record has no schema version" };
  if (envelope.data.schema > SCHEMA_VERSION) return { fault: "newer schema" };
  const record = schema.safeParse(envelope.data.record);
  if (record.success) return { value: record.data };
  const issue = record.error.issues[0];
  return { fault: `${issue.path.join(".") || "record"}: ${issue.message}` };
}
