import { assert, getOwner, isCount, parseJson } from '@pomeloroad/core';
import type { Milliseconds, Tokens } from '@pomeloroad/core';
import { FIRST_ERA } from '@pomeloroad/storage';
import type { RowKey, StoreEra, VersionedRow } from '@pomeloroad/storage';
import { BUDGET_TABLE, GRANT_TABLE } from './escrowTypes';

/** The row of a budget. */
export interface BudgetTotal {
  /** Tokens granted to all instances so far, less those returned. */
  allocated: Tokens;
  /** Incremented each time an instance calls on the others to return their spare tokens. */
  calls: number;
  /** Present if the store has come back from an older copy since the budget was first used. */
  restoration?: Restoration | undefined;
}

/** The row of a budget as last known. */
export interface KnownTotal extends BudgetTotal {
  version: number;
}

/** What has been put back into a budget since the era of its row began. */
export interface Restoration {
  /** Instances that have put back their grants. */
  instances: string[];
  /** Tokens granted in earlier eras, by the incarnation that has not put them back itself. */
  carried: Record<string, Tokens>;
  /** Incarnations whose carried tokens their successor has told, which knows them better than any copy. */
  settled: string[];
  /** Tokens that may have been granted to processes of which nothing is known. */
  writtenOff: Tokens;
  /** Largest limit that an instance knew when it put its grant back, or was granted more. */
  limit: Tokens;
  /** Whether an instance does not know what an earlier process of its machine was granted. */
  isUncertain: boolean;
  /** Whether more may be granted: all instances have put back their grants, or `missingTokens` counts. */
  isOpen: boolean;
  /** Instances that may hold tokens granted after the copy, and have not put back their grants. */
  missing: string[];
  /** The most that the missing instances may hold in all beyond what is carried; 0 until it is open. */
  missingTokens: Tokens;
}

/** Key of the row of a budget in its partition, in the first era. */
const TOTAL_KEY = 'total';
/** Separates the era from the rest of a key. */
const ERA_SEPARATOR = '@';

/** Returns the key of a budget's row in an era. */
export function getTotalKey(account: string, era: StoreEra): RowKey {
  return { table: BUDGET_TABLE, partition: account, key: getEraKey(TOTAL_KEY, era) };
}

/**
 * Returns the key of a row in an era. Each era has rows of its own: a write of an older era that takes
 * effect late changes none of them, though the versions that it expects may be given out again.
 */
export function getEraKey(key: string, era: StoreEra): string {
  return era === FIRST_ERA ? key : `${key}${ERA_SEPARATOR}${era}`;
}

/** Splits the key of a budget's or a grant's row into its name and its era. */
export function splitEra(key: string): { name: string; era: StoreEra } {
  const at = key.lastIndexOf(ERA_SEPARATOR);
  const era = Number(key.slice(at + 1));
  if (at < 0 || !Number.isSafeInteger(era)) return { name: key, era: FIRST_ERA };
  return { name: key.slice(0, at), era };
}

/** The size of a grant. */
export interface Grant {
  /** Tokens granted to one incarnation of an instance, spent ones included. */
  held: Tokens;
  /** The part of `held` that may be spent while the lease is renewed; the rest is the reserve. */
  ceiling: Tokens;
}

/** The size of a grant as last known, with the version of its row. */
export interface KnownGrant extends Grant {
  version: number;
}

/** The row of a grant. */
export interface GrantRow extends Grant {
  /** The instance that holds the grant; rows of earlier builds do not name it. */
  instance?: string | undefined;
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

/** Returns the key of the row of one incarnation's grant in an era. */
export function getGrantKey(account: string, incarnation: string, era: StoreEra): RowKey {
  return { table: GRANT_TABLE, partition: account, key: getEraKey(incarnation, era) };
}

/** Parses a budget's row; returns `undefined` if it is malformed. */
export function parseTotal(value: string): BudgetTotal | undefined {
  const { allocated, calls, restoration } = parseObject(value);
  if (!isCount(allocated) || !isCount(calls)) return undefined;
  if (restoration === undefined) return { allocated, calls };
  // Rows of earlier builds name neither the missing instances nor settled incarnations.
  const named = toObject(restoration);
  const complete = named && { missing: [], missingTokens: 0, settled: [], ...named };
  return isRestoration(complete) ? { allocated, calls, restoration: complete } : undefined;
}

function isRestoration(value: Partial<Restoration> | undefined): value is Restoration {
  if (!value) return false;
  const { instances, carried, writtenOff, limit, isUncertain, isOpen } = value;
  return (
    isNames(instances) &&
    isNames(value.missing) &&
    isNames(value.settled) &&
    isCount(value.missingTokens) &&
    typeof carried === 'object' &&
    // A row may hold any value, whatever the type says.
    (carried as unknown) !== null &&
    Object.values(carried).every(isCount) &&
    isCount(writtenOff) &&
    isCount(limit) &&
    typeof isUncertain === 'boolean' &&
    typeof isOpen === 'boolean'
  );
}

/** Returns the budget's row of an era among the rows of its partition. */
export function findTotal(rows: VersionedRow[], era: StoreEra): BudgetTotal | undefined {
  const row = rows.find(({ key }) => key === getEraKey(TOTAL_KEY, era));
  return row && parseTotal(row.value);
}

/** Returns the tokens held by each incarnation, by the rows of an era. */
export function listGrants(rows: VersionedRow[], era: StoreEra): Record<string, Tokens> {
  const held: Record<string, Tokens> = {};
  rows.forEach(({ key, value }) => {
    const at = splitEra(key);
    const grant = parseGrant(value);
    if (at.era === era && grant) held[at.name] = grant.held;
  });
  return held;
}

/** Parses a grant's row; returns `undefined` if it is malformed. */
export function parseGrant(value: string): GrantRow | undefined {
  const { held, ceiling, instance } = parseObject(value);
  if (!isCount(held) || !isCount(ceiling)) return undefined;
  return typeof instance === 'string' ? { held, ceiling, instance } : { held, ceiling };
}

/** Returns the value of a grant's row. */
export function formatGrant({ held, ceiling }: Grant, instance: string): string {
  return JSON.stringify({ held, ceiling, instance });
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
  return toObject(parseJson(text)) ?? {};
}

function toObject(value: unknown): Record<string, unknown> | undefined {
  const isObject = typeof value === 'object' && value !== null;
  return isObject ? (value as Record<string, unknown>) : undefined;
}

function isNames(value: unknown): value is string[] {
  return Array.isArray(value) && value.every((name) => typeof name === 'string');
}
