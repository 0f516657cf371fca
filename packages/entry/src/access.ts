import { createHash, timingSafeEqual } from "node:crypto";
import type { AccountRule, Rules } from "@rattanhill/core";

/** Tells which account a bearer key belongs to. */
export interface Access {
  /** Takes new rules into force. */
  configure(rules: Rules): void;
  /** @returns the account of an `Authorization` header, or `undefined` */
  authenticate(header: string | undefined): AccountRule | undefined;
}

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/i;

/**
 * Creates the check of bearer keys. Only digests of keys are known here.
 *
 * @returns the check, knowing no account
 */
export function createAccess(): Access {
  let accountsByDigest = new Map<string, AccountRule>();
  return {
    configure: ({ accounts }) => {
      accountsByDigest = new Map();
      for (const account of accounts.values()) {
        for (const digest of account.keyDigests) {
          accountsByDigest.set(digest, account);
        }
      }
    },
    authenticate: (header) => {
      const key = BEARER_PATTERN.exec(header ?? "")?.[1];
      if (key === undefined) return undefined;
      const digest = createHash("sha256").update(key).digest();
      const hex = digest.toString("hex");
      const account = accountsByDigest.get(hex);
      const storedDigest = account?.keyDigests.find((known) => known === hex);
      if (account === undefined || storedDigest === undefined) return undefined;
      const isEqual = timingSafeEqual(digest, Buffer.from(storedDigest, "hex"));
      return isEqual ? account : undefined;
    },
  };
}
