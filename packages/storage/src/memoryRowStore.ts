import { Err, Ok } from 'ts-results';
import type { Milliseconds } from '@pomeloroad/core';
import type { RowCheck, RowKey, RowStore, StoreEra, VersionedRow } from './rowStore';

interface Content {
  rows: Map<string, VersionedRow>;
  removed: Map<string, RowKey & { version: number }>;
  version: number;
}

/** A row store in memory, for tests. */
export interface MemoryRowStore extends RowStore {
  /** Returns a function that brings back the present content and begins a new era. */
  copy(): () => void;
  getEra(): StoreEra;
}

/**
 * Creates an empty row store in memory. Its feed answers at once, even without changes. `getNow` is
 * the store's clock.
 */
export function createMemoryRowStore(getNow: () => Milliseconds = () => 0): MemoryRowStore {
  let rows: Content['rows'] = new Map();
  let removed: Content['removed'] = new Map();
  let version = 0;
  let era: StoreEra = 1;

  function hasVersion(check: RowCheck): boolean {
    return (rows.get(encodeKey(check))?.version ?? 0) === check.version;
  }

  return {
    async transact({ checks, puts, removals }) {
      if (!checks.every(hasVersion)) {
        const found = checks.map((check) => rows.get(encodeKey(check)));
        return Err({ kind: 'conflict', era, rows: found.filter((row) => row !== undefined) });
      }
      version += 1;
      puts.forEach((put) => {
        rows.set(encodeKey(put), { ...put, version });
        removed.delete(encodeKey(put));
      });
      removals.forEach((row) => {
        rows.delete(encodeKey(row));
        removed.set(encodeKey(row), { ...row, version });
      });
      return Ok({ era, revision: version });
    },
    async list(table, partition) {
      const found = [...rows.values()].filter(
        (row) => row.table === table && row.partition === partition,
      );
      return Ok({ rows: found, version, era, now: getNow() });
    },
    async follow(table, after) {
      if (after > version) return Err({ kind: 'forgotten' });
      const isNew = (row: RowKey & { version: number }) =>
        row.table === table && row.version > after;
      const changes = [
        ...[...rows.values()].filter(isNew),
        ...[...removed.values()].filter(isNew).map((row) => ({ ...row, value: undefined })),
      ];
      return Ok({ changes, version, era });
    },
    copy() {
      const saved: Content = { rows: new Map(rows), removed: new Map(removed), version };
      return () => {
        rows = new Map(saved.rows);
        removed = new Map(saved.removed);
        version = saved.version;
        era += 1;
      };
    },
    getEra: () => era,
  };
}

function encodeKey({ table, partition, key }: RowKey): string {
  return JSON.stringify([table, partition, key]);
}
