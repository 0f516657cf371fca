import { z } from "zod";
import { Adjacency, type EndReason, type Outcome } from "@rattanhill/core";

/** Largest request body that is read, in bytes. */
export const MAXIMUM_BODY_BYTES = 262_144;
/** Largest total size of request headers, in bytes. */
export const MAXIMUM_HEADER_BYTES = 16_384;
/** Largest number of parts of a gang job. */
export const MAXIMUM_PARTS = 64;

const MAXIMUM_ACCELERATORS_PER_PART = 1_024;
const MAXIMUM_DURATION_MS = 7 * 24 * 3_600_000;

/**
 * Schema of the body of `POST /v1/requests`. The rules of the class supply
 * omitted fields, except `deadlineMs` and `payload`.
 */
export const requestBodySchema = z.strictObject({
  class: z.string().min(1).max(64),
  parts: z.number().int().min(1).max(MAXIMUM_PARTS).optional(),
  accelerators: z.number().int().min(1).max(MAXIMUM_ACCELERATORS_PER_PART)
    .optional(),
  adjacent: z.enum(Object.values(Adjacency) as [Adjacency]).optional(),
  repeatable: z.boolean().optional(),
  expectedMs: z.number().int().min(1).max(MAXIMUM_DURATION_MS).optional(),
  deadlineMs: z.number().int().min(1).max(MAXIMUM_DURATION_MS).optional(),
  payload: z.unknown(),
});

/** Body of `POST /v1/requests`. */
export type RequestBody = z.infer<typeof requestBodySchema>;

/** Response body for a request whose outcome is `done`. */
export interface AnswerBody {
  id: string;
  outcome: Outcome;
  /** Answer of the task; for a gang job the list of its parts' answers. */
  answer: unknown;
  /** Number of attempts to run the request. */
  attempts: number;
}

/** Response body for a request in progress. */
export interface ProgressBody {
  id: string;
  /** Phase of the request, such as `placing` or `running`. */
  state: string;
}

/** Problem details (RFC 9457); the members after `detail` are extensions. */
export interface ProblemBody {
  type: string;
  title: string;
  status: number;
  detail?: string;
  outcome: Outcome;
  reason?: EndReason;
  /** Operation that failed. */
  step: string;
  /** Process or address at the other end of the operation, or `self`. */
  peer: string;
  id?: string;
  attempts?: number;
}

/** Media type of problem details. */
export const PROBLEM_MEDIA_TYPE = "application/problem+json";
