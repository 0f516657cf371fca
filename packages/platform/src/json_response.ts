import { ErrorCode, InvalidError } from "@rattanhill/shared";
import type { z } from "zod";
import type { HttpResponse } from "./http_client.ts";

/**
 * Parses the body of a response as JSON and validates it.
 *
 * @param response the response
 * @param schema schema of the body
 * @param context operation and peer, named in the error
 * @returns the body as parsed by the schema
 * @throws InvalidError when the body is not JSON or does not match the schema
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
    `body of response with status ${response.status} is not valid`,
    { ...context, faults },
  );
}

/** @returns the parsed body; `undefined` when it is not JSON */
function parseJson(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString("utf8"));
  } catch {
    return undefined;
  }
}
