import type { Milliseconds, Outcome } from '@pomeloroad/core';

/**
 * How often the store has come back from an older copy. Such a store gives out versions again, so
 * versions are only comparable within one era.
 */
export type StoreEra = number;

/** Era of a store that has never come back from an older copy. */
export const FIRST_ERA: StoreEra = 1;

/** A version of the store. Two of them are comparable only if they are of the same era. */
export interface StoreVersion {
  era: StoreEra;
  /** Value of the counter that each transaction of the era increments. */
  revision: number;
}

/** Identifies a row. Rows of one partition can change together in one transaction. */
export interface RowKey {
  table: string;
  partition: string;
  key: string;
}

/** A row with its version, which comes from a single counter of the whole store. */
export interface VersionedRow extends RowKey {
  version: number;
  value: string;
}

/** A changed row; `value` is `undefined` if it was removed. */
export interface RowChange extends RowKey {
  version: number;
  value: string | undefined;
}

/** A condition that the row has this version; 0 means that it does not exist. */
export interface RowCheck extends RowKey {
  version: number;
}

/** Changes that take effect together, and only if every check holds. */
export interface RowTransaction {
  checks: RowCheck[];
  puts: (RowKey & { value: string })[];
  removals: RowKey[];
}

/** Why a transaction did not commit. `unknown`: it may have taken effect, or still may. */
export type TransactError =
  /** A check failed; `rows` are the current checked rows that exist, with versions of this era. */
  | { kind: 'conflict'; era: StoreEra; rows: VersionedRow[] }
  /** The transaction was not applied. */
  | { kind: 'unavailable'; message: string }
  | { kind: 'unknown'; message: string };

/** Why rows could not be read. */
export type FetchError =
  /** The store no longer has the changes since that version: list the rows again. */
  { kind: 'forgotten' } | { kind: 'unavailable'; message: string };

/** A snapshot of rows at one version of the store. */
export interface RowView {
  rows: VersionedRow[];
  version: number;
  era: StoreEra;
  /** Time on the store's monotonic clock when it read the rows. */
  now: Milliseconds;
}

/** The changes up to one version of the store. */
export interface ChangeView {
  changes: RowChange[];
  version: number;
  era: StoreEra;
}

/** A row store with transactions and a change feed. Its calls never throw. */
export interface RowStore {
  /** Commits the transaction; resolves to the version of the written rows. */
  transact(transaction: RowTransaction): Promise<Outcome<StoreVersion, TransactError>>;
  /** Reads every row of a partition. */
  list(table: string, partition: string): Promise<Outcome<RowView, FetchError>>;
  /** Reads the changes of a table after a version; waits up to `wait` for the first one. */
  follow(
    table: string,
    after: number,
    wait: Milliseconds,
  ): Promise<Outcome<ChangeView, FetchError>>;
}
