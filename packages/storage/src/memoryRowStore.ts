import { Err, Ok } from 'ts-results';
import type { Milliseconds } from '@pomeloroad/core';
import type { RowCheck, RowKey, RowStore, VersionedRow } from './rowStore';

/**
 * Creates an empty row store in memory, for tests. Its feed answers at once, even without changes.
 * `getNow` is the store's clock.
 */
export function createMemoryRowStore(getNow: () => Milliseconds = () => 0): RowStore {
  const rows = new Map<string, VersionedRow>();
  const removed = new Map<string, RowKey & { version: number }>();
  let version = 0;

  function hasVersion(check: RowCheck): boolean {
    return (rows.get(encodeKey(check))?.version ?? 0) === check.version;
  }

  return {
    async transact({ checks, puts, removals }) {
      if (!checks.every(hasVersion)) {
        const found = checks.map((check) => rows.get(encodeKey(check)));
        return Err({ kind: 'conflict', rows: found.filter((row) => row !== undefined) });
      }
      version += 1;
      puts.forEach((put) => rows.set(encodeKey(put), { ...put, version }));
      removals.forEach((row) => {
        rows.delete(encodeKey(row));
        removed.set(encodeKey(row), { ...row, version });
      });
      return Ok(version);
    },
    async list(table, partition) {
      const found = [...rows.values()].filter(
        (row) => row.table === table && row.partition === partition,
      );
      return Ok({ rows: found, version, now: getNow() });
    },
    async follow(table, after) {
      const isNew = (row: RowKey & { version: number }) =>
        row.table === table && row.version > after;
      const changes = [
        ...[...rows.values()].filter(isNew),
        ...[...removed.values()].filter(isNew).map((row) => ({ ...row, value: undefined })),
      ];
      return Ok({ changes, version });
    },
  };
}

function encodeKey({ table, partition, key }: RowKey): string {
  return JSON.stringify([table, partition, key]);
}
