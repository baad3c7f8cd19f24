import type { Milliseconds, Outcome } from '@pomeloroad/core';

/** Where a row lies. Rows of one partition change together in one transaction. */
export interface RowKey {
  table: string;
  partition: string;
  key: string;
}

/** A row; its version comes from one counter of the whole store. */
export interface VersionedRow extends RowKey {
  version: number;
  value: string;
}

/** A row that has changed; without a value it was removed. */
export interface RowChange extends RowKey {
  version: number;
  value: string | undefined;
}

/** A condition: the row has this version; 0 means that it does not exist. */
export interface RowCheck extends RowKey {
  version: number;
}

/** Changes that take effect together, and only if every check holds. */
export interface RowTransaction {
  checks: RowCheck[];
  puts: (RowKey & { value: string })[];
  removals: RowKey[];
}

/** Why a transaction did not commit. `unknown`: it may have, or may yet take effect. */
export type TransactError =
  /** A check failed; the checked rows as they are, without those that do not exist. */
  | { kind: 'conflict'; rows: VersionedRow[] }
  /** Nothing was done. */
  | { kind: 'unavailable'; message: string }
  | { kind: 'unknown'; message: string };

/** Why rows could not be read. */
export type FetchError =
  /** The store no longer has the history from that version on: read the rows anew. */
  { kind: 'forgotten' } | { kind: 'unavailable'; message: string };

/** Rows as of one version of the store. */
export interface RowView {
  rows: VersionedRow[];
  version: number;
  /** The store's steady clock when it read the rows. */
  now: Milliseconds;
}

/** Changes up to one version of the store. */
export interface ChangeView {
  changes: RowChange[];
  version: number;
}

/** A store of rows with transactions and a feed of changes. Calls never throw. */
export interface RowStore {
  /** Commits; resolves to the version that the written rows have. */
  transact(transaction: RowTransaction): Promise<Outcome<number, TransactError>>;
  /** Every row of a partition. */
  list(table: string, partition: string): Promise<Outcome<RowView, FetchError>>;
  /** What changed in a table after a version; waits until there is something. */
  follow(
    table: string,
    after: number,
    wait: Milliseconds,
  ): Promise<Outcome<ChangeView, FetchError>>;
}
