import { Err, Ok } from 'ts-results';
import type { Row, Table, Transaction } from './types';

/** A table in memory with the semantics of the table service but without its faults. */
export interface MemoryTable extends Table {
  /** Returns every row, in key order. */
  rows(): Row[];
}

/** Creates an empty table. */
export function createMemoryTable(): MemoryTable {
  const rows = new Map<string, Row>();

  function getVersion(key: string): number {
    return rows.get(key)?.version ?? 0;
  }

  // Applies the transaction, or returns the keys whose checks failed.
  function apply(transaction: Transaction): string[] {
    const failed = transaction.checks.filter((check) => getVersion(check.key) !== check.version);
    if (failed.length > 0) return failed.map((check) => check.key);
    transaction.writes.forEach(({ key, value }) => {
      if (value === undefined) rows.delete(key);
      else rows.set(key, { key, version: getVersion(key) + 1, value });
    });
    return [];
  }

  function listRows(prefix: string): Row[] {
    return [...rows.values()]
      .filter((row) => row.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  return {
    async commit(transaction) {
      const keys = apply(transaction);
      return keys.length === 0 ? Ok.EMPTY : Err({ kind: 'conflict', keys });
    },
    async read(keys) {
      const found = keys.map((key) => rows.get(key)).filter((row) => row !== undefined);
      return Ok(structuredClone(found));
    },
    async scan(prefix) {
      return Ok(structuredClone(listRows(prefix)));
    },
    rows: () => listRows(''),
  };
}
