import { z } from "zod";
import type { ConfigRecord, LedgerRecord } from "@rattanhill/core";
import { Adjacency, Outcome } from "@rattanhill/core";

/** Names of the streams on the platform's log. */
export const Streams = {
  config: "config",
  requests: "requests",
} as const;

/** Version of the record schemas; records of a newer version are skipped. */
export const RECORD_SCHEMA = 1;

const text = z.string();
const count = z.number().int().nonnegative();

const specSchema = z.object({
  id: text,
  account: text,
  key: text,
  class: text,
  shape: z.object({
    parts: count,
    accelerators: count,
    adjacent: z.enum(Object.values(Adjacency) as [Adjacency]),
  }),
  repeatable: z.boolean(),
  preemptible: z.boolean(),
  priority: count,
  expectedMs: z.number(),
  deadlineMs: z.number(),
  isJob: z.boolean(),
  bodyDigest: text,
});

const partSchema = z.object({
  worker: text,
  address: text,
  boot: text,
  lease: text,
});

const resultSchema = z.object({
  outcome: z.enum(Object.values(Outcome) as [Outcome]),
  answers: z.array(text),
  reason: text,
});

const entrySchema = z.object({
  account: text,
  key: text,
  request: text,
  bodyDigest: text,
  owner: text,
  ordinal: count,
  claim: text,
  attempt: count,
  parts: z.array(partSchema),
  isReleased: z.boolean(),
  job: z.object({ spec: specSchema, payload: text }).optional(),
  result: resultSchema.optional(),
  recordedAt: z.number(),
});

const base = {
  id: text,
  account: text,
  key: text,
  owner: text,
  ordinal: count,
};

const ledgerRecordSchema = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("accept"),
    ...base,
    spec: specSchema,
    payload: text,
  }),
  z.object({
    kind: z.literal("claim"),
    ...base,
    request: text,
    bodyDigest: text,
    attempt: count,
    parts: z.array(partSchema),
  }),
  z.object({ kind: z.literal("adopt"), ...base, from: text }),
  z.object({ kind: z.literal("release"), ...base, claim: text }),
  z.object({ kind: z.literal("finish"), ...base, result: resultSchema }),
  z.object({ kind: z.literal("carry"), ...base, entry: entrySchema }),
]);

const configRecordSchema = z.object({
  kind: z.enum(["rules", "carry"]),
  id: text,
  base: count,
  text,
  author: text,
});

/** Result of reading a record. */
export type Decoded<Value> = { value: Value } | { fault: string };

/**
 * Encodes a record for the log.
 *
 * @param record the record
 * @returns its text
 */
export function encodeRecord(record: ConfigRecord | LedgerRecord): string {
  return JSON.stringify({ schema: RECORD_SCHEMA, record });
}

/**
 * Reads a record of the request stream.
 *
 * @param data text from the log
 * @returns the record, or what is wrong with it
 */
export function decodeLedgerRecord(data: string): Decoded<LedgerRecord> {
  return decode(data, ledgerRecordSchema);
}

/**
 * Reads a record of the configuration stream.
 *
 * @param data text from the log
 * @returns the record, or what is wrong with it
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
    return { fault: "not JSON" };
  }
  const envelope = envelopeSchema.safeParse(parsed);
  if (!envelope.success) return { fault: "no record" };
  if (envelope.data.schema > RECORD_SCHEMA) return { fault: "newer schema" };
  const record = schema.safeParse(envelope.data.record);
  if (record.success) return { value: record.data };
  const issue = record.error.issues[0];
  return { fault: `${issue.path.join(".") || "record"}: ${issue.message}` };
}
