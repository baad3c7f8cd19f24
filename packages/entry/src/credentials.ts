import { hashText } from '@pomeloroad/core';
import type { Account, Configuration, AccountKey } from '@pomeloroad/configuration';

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/** The account and key that a caller's bearer token belongs to. */
export interface Credentials {
  account: Account;
  key: AccountKey;
}

/** Finds keys by the hash of their secret. */
export interface KeyIndex {
  /** Returns `undefined` for a header that is missing or malformed, or whose token is not known. */
  find(authorization: string | undefined): Credentials | undefined;
}

/** Indexes the keys of a configuration. */
export function createKeyIndex(configuration: Configuration): KeyIndex {
  const byHash = new Map<string, Credentials>();
  configuration.accounts.forEach((account) =>
    account.keys.forEach((key) => byHash.set(key.hash, { account, key })),
  );
  return {
    find(authorization) {
      const match = BEARER_PATTERN.exec(authorization ?? '');
      return match?.[1] ? byHash.get(hashText(match[1])) : undefined;
    },
  };
}
