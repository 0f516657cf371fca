import { ErrorCode, InvalidError } from "@rattanhill/shared";
import type { z } from "zod";
import type { HttpResponse } from "./http_client.ts";

/**
 * Reads the body of a response as checked JSON.
 *
 * @param response the whole response
 * @param schema form that the body must have
 * @param context operation and other end, named in the error
 * @returns the value
 * @throws InvalidError when the body does not have the form
 */
export function readJson<Value>(
  response: HttpResponse,
  schema: z.ZodType<Value>,
  context: { step: string; peer: string },
): Value {
  const result = schema.safeParse(parseJson(response.body));
  if (result.success) return result.data;
  const faults = result.error.issues.map((issue) =>
    `${issue.path.join(".")}: ${issue.message}`
  );
  throw new InvalidError(
    ErrorCode.answerDamaged,
    `unreadable answer with status ${response.status}`,
    { ...context, faults },
  );
}

function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}
