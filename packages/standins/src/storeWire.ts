import type { RowChange, RowKey, RowTransaction } from '@pomeloroad/storage';

/** Key of a row in the store's protocol. */
export interface WireKey {
  table: string;
  part: string;
  key: string;
}

/** Body of a transaction in the store's protocol. */
export interface WireTransaction {
  expected_rev: (WireKey & { ver: number })[];
  put: (WireKey & { value: string })[];
  delete: WireKey[];
  across?: boolean;
}

/** Returns a transaction that came in the store's protocol. */
export function decodeTransaction(wire: WireTransaction): RowTransaction {
  return {
    checks: wire.expected_rev.map((row) => ({ ...decodeKey(row), version: row.ver })),
    puts: wire.put.map((row) => ({
      ...decodeKey(row),
      value: Buffer.from(row.value, 'base64').toString(),
    })),
    removals: wire.delete.map(decodeKey),
  };
}

function decodeKey({ table, part, key }: WireKey): RowKey {
  return { table, partition: part, key };
}

/** Returns a row, or its removal, in the store's protocol. */
export function encodeRow({ table, partition, key, version, value }: RowChange): object {
  const row = { table, part: partition, key, ver: version };
  if (value === undefined) return { ...row, deleted: true };
  return { ...row, value: Buffer.from(value).toString('base64') };
}
