import { createHash } from "node:crypto";

/**
 * Computes the value of a `Content-Digest` header (RFC 9530).
 *
 * @param body the content
 * @returns the header's value with a SHA-256 digest
 */
export function contentDigest(body: Uint8Array | string): string {
  const digest = createHash("sha256").update(body).digest("base64");
  return `sha-256=:${digest}:`;
}

/**
 * Computes the SHA-256 digest of a text or of bytes.
 *
 * @param body the content
 * @returns the digest in hexadecimal
 */
export function sha256Hex(body: Uint8Array | string): string {
  return createHash("sha256").update(body).digest("hex");
}
