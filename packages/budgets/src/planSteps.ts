import { Ok } from 'ts-results';
import type { Outcome } from '@pomeloroad/core';
import type { Check, Row, Transaction } from '@pomeloroad/storage';
import type { LedgerError } from './types';

/** The transaction to commit, or a value if nothing needs to be written. */
export type PlanStep<T> =
  { kind: 'done'; value: T } | { kind: 'commit'; transaction: Transaction; value: T };
/** What an operation writes, given the rows as read; each plan here is a pure function of them. */
export type PlanResult<T> = Outcome<PlanStep<T>, LedgerError>;

/** Returns the condition that the row is as it was read. */
export function createVersionCheck(key: string, rows: Map<string, Row>): Check {
  return { key, version: rows.get(key)?.version ?? 0 };
}

/** Plans nothing to write. */
export function skipCommit<T>(value: T): PlanResult<T> {
  return Ok({ kind: 'done', value });
}

/** Plans a transaction; `value` holds once it has committed. */
export function planCommit<T>(value: T, transaction: Transaction): PlanResult<T> {
  return Ok({ kind: 'commit', transaction, value });
}
