import { assert, getOwner } from '@pomeloroad/core';
import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { RowKey, VersionedRow } from '@pomeloroad/storage';
import { BUDGET_TABLE, GRANT_TABLE } from './escrowTypes';

/** What the row of a budget says. */
export interface BudgetTotal {
  /** Tokens granted to any instance so far, less those returned. */
  allocated: Tokens;
  /** Rises each time an instance asks the others to return what they can spare. */
  calls: number;
}

const TOTAL_KEY = 'total';

/** Place of a budget's row. */
export function getTotalKey(account: string): RowKey {
  return { table: BUDGET_TABLE, partition: account, key: TOTAL_KEY };
}

/** What the row of a grant says. */
export interface Grant {
  /** Tokens granted to a life of an instance, spent ones included. */
  held: Tokens;
  /** The part of them that it may spend while its lease runs. */
  ceiling: Tokens;
}

/** What a grant lets its holder spend at most, while this part of its reserve may be spent. */
export function getSpendable({ held, ceiling }: Grant, reserveShare: number): Tokens {
  return ceiling + Math.ceil((held - ceiling) * reserveShare);
}

/** Table of the leases: one row for each instance. */
export const LEASE_TABLE = 'leases';
/** The leases' partitions: a store's partition takes one transaction after the other. */
export const LEASE_PARTITIONS: readonly string[] = ['0', '1', '2', '3'];

/** Place of an instance's lease. */
export function getLeaseKey(instance: string): RowKey {
  const partition = getOwner(instance, LEASE_PARTITIONS);
  assert(partition !== undefined, 'there are partitions');
  return { table: LEASE_TABLE, partition, key: instance };
}

/** What the row of a lease says. */
export interface LeaseRow {
  incarnation: string;
  /** The store's time at which the renewal began, or earlier. */
  at: Milliseconds;
}

/** Place of the row of one life's grant. */
export function getGrantKey(account: string, incarnation: string): RowKey {
  return { table: GRANT_TABLE, partition: account, key: incarnation };
}

/** Reads a budget's row; `undefined` if it is not one. */
export function parseTotal(value: string): BudgetTotal | undefined {
  const { allocated, calls } = parseObject(value);
  if (!isCount(allocated) || !isCount(calls)) return undefined;
  return { allocated, calls };
}

/** Reads a grant's row; `undefined` if it is not one. */
export function parseGrant(value: string): Grant | undefined {
  const { held, ceiling } = parseObject(value);
  return isCount(held) && isCount(ceiling) ? { held, ceiling } : undefined;
}

/** Reads a lease's row; `undefined` if it is not one. */
export function parseLease(value: string): LeaseRow | undefined {
  const { incarnation, at } = parseObject(value);
  return typeof incarnation === 'string' && typeof at === 'number'
    ? { incarnation, at }
    : undefined;
}

/** The row of a table among rows of one partition. */
export function findRow(rows: VersionedRow[], place: RowKey): VersionedRow | undefined {
  return rows.find((row) => row.table === place.table && row.key === place.key);
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
