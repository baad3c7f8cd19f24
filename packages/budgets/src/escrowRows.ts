import { assert, getOwner } from '@pomeloroad/core';
import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { RowKey, VersionedRow } from '@pomeloroad/storage';
import { BUDGET_TABLE, GRANT_TABLE } from './escrowTypes';

/** The row of a budget. */
export interface BudgetTotal {
  /** Tokens granted to all instances so far, less those returned. */
  allocated: Tokens;
  /** Incremented each time an instance calls on the others to return their spare tokens. */
  calls: number;
}

/** Key of the one row of a budget in its partition. */
const TOTAL_KEY = 'total';

/** Returns the key of a budget's row. */
export function getTotalKey(account: string): RowKey {
  return { table: BUDGET_TABLE, partition: account, key: TOTAL_KEY };
}

/** The row of a grant. */
export interface Grant {
  /** Tokens granted to one incarnation of an instance, spent ones included. */
  held: Tokens;
  /** The part of `held` that may be spent while the lease is renewed; the rest is the reserve. */
  ceiling: Tokens;
}

/** Returns the most tokens that a holder may spend when it may spend this share of its reserve. */
export function getSpendable({ held, ceiling }: Grant, reserveShare: number): Tokens {
  return ceiling + Math.ceil((held - ceiling) * reserveShare);
}

/** Table of the leases: one row for each instance. */
export const LEASE_TABLE = 'leases';
/** Partitions of the leases; several, because the store serialises the transactions of each. */
export const LEASE_PARTITIONS: readonly string[] = ['0', '1', '2', '3'];

/** Returns the key of an instance's lease. */
export function getLeaseKey(instance: string): RowKey {
  const partition = getOwner(instance, LEASE_PARTITIONS);
  assert(partition !== undefined, 'the list of lease partitions is empty');
  return { table: LEASE_TABLE, partition, key: instance };
}

/** The row of a lease. */
export interface LeaseRow {
  incarnation: string;
  /** The store's time at which the last renewal began, or earlier. */
  at: Milliseconds;
}

/** Returns the key of the row of one incarnation's grant. */
export function getGrantKey(account: string, incarnation: string): RowKey {
  return { table: GRANT_TABLE, partition: account, key: incarnation };
}

/** Parses a budget's row; returns `undefined` if it is malformed. */
export function parseTotal(value: string): BudgetTotal | undefined {
  const { allocated, calls } = parseObject(value);
  if (!isCount(allocated) || !isCount(calls)) return undefined;
  return { allocated, calls };
}

/** Parses a grant's row; returns `undefined` if it is malformed. */
export function parseGrant(value: string): Grant | undefined {
  const { held, ceiling } = parseObject(value);
  return isCount(held) && isCount(ceiling) ? { held, ceiling } : undefined;
}

/** Parses a lease's row; returns `undefined` if it is malformed. */
export function parseLease(value: string): LeaseRow | undefined {
  const { incarnation, at } = parseObject(value);
  return typeof incarnation === 'string' && typeof at === 'number'
    ? { incarnation, at }
    : undefined;
}

/** Finds the row with a key among rows of one partition. */
export function findRow(rows: VersionedRow[], key: RowKey): VersionedRow | undefined {
  return rows.find((row) => row.table === key.table && row.key === key.key);
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : {};
  } catch {
    return {};
  }
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
