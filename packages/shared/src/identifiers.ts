import { v7, validate, version } from "uuid";
import type { Milliseconds } from "./clock.ts";

/**
 * Creates a time-ordered identifier (UUIDv7, RFC 9562).
 *
 * @returns the identifier in its text form, 36 characters
 */
export function createIdentifier(): string {
  return v7();
}

/**
 * Extracts the creation time from a UUIDv7 key.
 *
 * @param key the text form of the key
 * @returns the time since the Unix epoch; undefined when the key is not a
 * UUIDv7
 */
export function extractKeyTime(key: string): Milliseconds | undefined {
  if (!validate(key) || version(key) !== 7) return undefined;
  // The first 48 bits of a UUIDv7 are its Unix timestamp in milliseconds.
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}
