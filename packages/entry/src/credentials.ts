import { hashText } from '@pomeloroad/core';
import type { Account, Configuration, AccountKey } from '@pomeloroad/configuration';

const BEARER_PATTERN = /^Bearer +(\S+) *$/i;

/** The account and key that a caller presented. */
export interface Credentials {
  account: Account;
  key: AccountKey;
}

/** Finds keys by their secret's hash. */
export interface KeyIndex {
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
