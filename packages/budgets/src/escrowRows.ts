import type { Tokens } from '@pomeloroad/core';
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

/** Place of the row that says how many tokens an incarnation has been granted. */
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
export function parseGrant(value: string): Tokens | undefined {
  const { held } = parseObject(value);
  return isCount(held) ? held : undefined;
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
