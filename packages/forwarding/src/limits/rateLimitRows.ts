import { hashText } from '@pomeloroad/core';
import type { RowKey } from '@pomeloroad/storage';

/** Table of the limits that endpoints name. */
export const RATE_LIMIT_TABLE = 'limits';
/** Its only partition: rows are written when a limit comes, changes or ends. */
export const RATE_LIMIT_PARTITION = '';

/** Returns the key of the row of an endpoint's incarnation; its name may be longer than a key. */
export function getRateLimitKey(endpoint: string): RowKey {
  return {
    table: RATE_LIMIT_TABLE,
    partition: RATE_LIMIT_PARTITION,
    key: hashText(endpoint).slice(0, KEY_DIGITS),
  };
}

const KEY_DIGITS = 32;

/** A limit of an endpoint's incarnation in requests a second. */
export interface RateLimitRow {
  endpoint: string;
  limit: number;
}

/** Encodes the value of a row. */
export function encodeRateLimit({ endpoint, limit }: RateLimitRow): string {
  return JSON.stringify([endpoint, limit]);
}

/** Decodes the value of a row; `undefined` if it can't be read. */
export function decodeRateLimit(value: string): RateLimitRow | undefined {
  try {
    const [endpoint, limit] = JSON.parse(value) as unknown[];
    return typeof endpoint === 'string' && typeof limit === 'number'
      ? { endpoint, limit }
      : undefined;
  } catch {
    return undefined;
  }
}
