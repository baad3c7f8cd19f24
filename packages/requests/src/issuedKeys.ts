import { createId, isSameText, signText } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';

const KEY_PREFIX = 'pr1';

/** An idempotency key that an instance issued: only that incarnation may run it. */
export interface IssuedKey {
  issuer: Identity;
  /** The account that it was issued to. */
  account: string;
}

/** Issues a key for a request of the account. */
export function issueKey(fleetKey: string, issuer: Identity, account: string): string {
  const { instance, incarnation, dataCentre } = issuer;
  const fields = [instance, incarnation, dataCentre, account, createId()];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${KEY_PREFIX}.${payload}.${signText(fleetKey, payload)}`;
}

/** Reads a key that an instance of the fleet issued; `undefined` for any other text. */
export function parseIssuedKey(fleetKey: string, key: string): IssuedKey | undefined {
  const [prefix, payload, signature] = key.split('.');
  if (prefix !== KEY_PREFIX || !payload || !signature) return undefined;
  if (!isSameText(signature, signText(fleetKey, payload))) return undefined;
  const fields = JSON.parse(Buffer.from(payload, 'base64url').toString()) as string[];
  const [instance = '', incarnation = '', dataCentre = '', account = ''] = fields;
  return { issuer: { instance, incarnation, dataCentre }, account };
}
