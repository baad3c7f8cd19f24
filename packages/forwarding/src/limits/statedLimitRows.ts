import { hashText } from '@pomeloroad/core';
import type { RowKey } from '@pomeloroad/storage';
import { isText, parseList } from '../store/rowFields';
import { getSharedKey } from '../store/sharedFeed';
import type { SharedPartition } from '../store/sharedFeed';

/** Partition with the limits of one kind that endpoints name. */
export type StatedLimitPartition = Extract<SharedPartition, 'limits' | 'brittle'>;

/** Returns the key of the row of an endpoint's incarnation; its name may be longer than a key. */
export function getStatedLimitKey(partition: StatedLimitPartition, endpoint: string): RowKey {
  return getSharedKey(partition, hashText(endpoint).slice(0, KEY_DIGITS));
}

const KEY_DIGITS = 32;

/** A limit of an endpoint's incarnation in requests, or rejections, a second. */
export interface StatedLimitRow {
  endpoint: string;
  limit: number;
}

/** Encodes the value of a row. */
export function encodeStatedLimit({ endpoint, limit }: StatedLimitRow): string {
  return JSON.stringify([endpoint, limit]);
}

/** Decodes the value of a row; `undefined` if it can't be read. */
export function decodeStatedLimit(value: string): StatedLimitRow | undefined {
  const [endpoint, limit] = parseList(value);
  return isText(endpoint) && isLimit(limit) ? { endpoint, limit } : undefined;
}

function isLimit(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
