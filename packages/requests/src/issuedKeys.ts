import { createId, isSameText, signText } from '@pomeloroad/core';
import type { Identity } from '@pomeloroad/core';

const KEY_PREFIX = 'pr1';

/** Content of an issued idempotency key. Only the issuing incarnation may run its request. */
export interface IssuedKey {
  issuer: Identity;
  /** Account that the key was issued to. */
  account: string;
}

/** Creates a unique idempotency key for one request of the account, signed with the fleet key. */
export function issueKey(fleetKey: string, issuer: Identity, account: string): string {
  const { instance, incarnation, dataCentre } = issuer;
  const fields = [instance, incarnation, dataCentre, account, createId()];
  const payload = Buffer.from(JSON.stringify(fields)).toString('base64url');
  return `${KEY_PREFIX}.${payload}.${signText(fleetKey, payload)}`;
}

/** Parses an issued key. Returns `undefined` for a text without a valid signature of the fleet. */
export function parseIssuedKey(fleetKey: string, key: string): IssuedKey | undefined {
  const [prefix, payload, signature] = key.split('.');
  if (prefix !== KEY_PREFIX || !payload || !signature) return undefined;
  if (!isSameText(signature, signText(fleetKey, payload))) return undefined;
  const fields = JSON.parse(Buffer.from(payload, 'base64url').toString()) as string[];
  const [instance = '', incarnation = '', dataCentre = '', account = ''] = fields;
  return { issuer: { instance, incarnation, dataCentre }, account };
}
