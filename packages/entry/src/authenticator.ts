import { createHash, timingSafeEqual } from "node:crypto";
import type { AccountRule, Rules } from "@rattanhill/core";

/** Finds the client account to which a bearer key belongs. */
export interface Authenticator {
  /** Replaces all accounts by those of the rules. */
  configure(rules: Rules): void;
  /**
   * Authenticates a call.
   *
   * @param header value of the `Authorization` header
   * @returns the account, or `undefined` if the key is missing or unknown
   */
  authenticate(header: string | undefined): AccountRule | undefined;
}

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/**
 * Creates an authenticator for bearer keys. It compares digests, since the
 * rules contain the digests of the keys only.
 *
 * @returns the authenticator, which has no accounts until it is configured
 */
export function createAuthenticator(): Authenticator {
  let accountByDigest = new Map<string, AccountRule>();
  return {
    configure: ({ accounts }) => {
      accountByDigest = new Map();
      for (const account of accounts.values()) {
        for (const digest of account.keyDigests) {
          accountByDigest.set(digest, account);
        }
      }
    },
    authenticate: (header) => {
      const key = BEARER_PATTERN.exec(header ?? "")?.[1];
      if (key === undefined) return undefined;
      const digest = createHash("sha256").update(key).digest();
      const hex = digest.toString("hex");
      const account = accountByDigest.get(hex);
      const storedDigest = account?.keyDigests.find((known) => known === hex);
      if (account === undefined || storedDigest === undefined) return undefined;
      const isEqual = timingSafeEqual(digest, Buffer.from(storedDigest, "hex"));
      return isEqual ? account : undefined;
    },
  };
}
