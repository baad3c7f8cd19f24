import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { RowCheck, StoreEra, VersionedRow } from '@pomeloroad/storage';
import type { Ancestry } from './escrowRestoration';
import type { BudgetTotal, Grant, KnownTotal } from './escrowRows';
import type { EscrowHost } from './escrowTypes';

/** A change of the grant that is to be written, or whose outcome is not known yet. */
export interface GrantChange extends Grant {
  /** Whether the change also calls on the other instances to return tokens. */
  isReturnCall: boolean;
  /** Whether the budget's row changes too; a new ceiling alone concerns no other instance. */
  changesTotal: boolean;
  checks: RowCheck[];
}

/** A call to the store that failed. */
export interface StoreFailure {
  kind: string;
  message: string;
}

/**
 * What a call to the store led to. `changed`: the grant or the budget was written. `refreshed`: rows were
 * read, or another era has begun. `conflict`: another instance changed the budget first; `contended`: it did
 * so while the grant was put back. `failed`: the store refused the call or did not answer.
 */
export type EscrowOutcome =
  | { kind: 'changed' }
  | { kind: 'refreshed' }
  | { kind: 'conflict' }
  | { kind: 'contended' }
  | { kind: 'failed'; error: StoreFailure };

/** Dependencies of the transactions of one account. */
export interface EscrowTransactionsHost {
  escrow: EscrowHost;
  account: string;
  /** Tokens spent or reserved, and the account's limit. */
  getUse(): { used: Tokens; limit: Tokens };
  getAncestry(): Ancestry;
  /** Called before a newer row of the budget replaces the known one. */
  onTotal(next: BudgetTotal, known: KnownTotal): void;
}

/** The rows of a budget and of this instance's grant on it, as last known, and their changes. */
export interface EscrowTransactions {
  getTotal(): BudgetTotal;
  getGrant(): Grant;
  /** The change whose outcome is not known; it may still take effect. */
  getPendingChange(): GrantChange | undefined;
  /** When the budget's row was last read. */
  getTotalReadAt(): Milliseconds;
  /** Follows the store into a later era; does nothing in any other. */
  startEra(next: StoreEra): void;
  /** Time since the present era became known here. */
  getEraAge(): Milliseconds;
  /** Whether the own grant is in the rows of the present era; nothing else may be written before. */
  isRestored(): boolean;
  /** Puts the own grant, and what earlier processes of the machine held, into the present era. */
  restore(): Promise<EscrowOutcome>;
  /** Whether more may be granted: no grant of an earlier era is missing. */
  canGrant(): boolean;
  /** Whether it is known what is left of the budget: no tokens are written off for missing instances. */
  isRestKnown(): boolean;
  /** Whether the budget is to open without instances that have not put back their grants. */
  isOverdue(): boolean;
  /** Opens it: what nobody is known to hold counts as granted to them. */
  open(): Promise<EscrowOutcome>;
  /** Writes a new size of the grant; there must be no pending change. */
  change(next: Grant, isReturnCall: boolean): Promise<EscrowOutcome>;
  /** Sends the pending change again under the same conditions. */
  repeat(pending: GrantChange): Promise<EscrowOutcome>;
  /** Whether an instance renews its lease no more, and what it holds has not been read since. */
  hasUnreadHolders(): boolean;
  /** Reads what the instances hold that renew their leases no more. */
  readHolders(): Promise<EscrowOutcome>;
  /** Reads the budget's row. */
  refreshTotal(): Promise<EscrowOutcome>;
  /** Applies the budget's row if it is newer than the known one. */
  updateTotal(row: VersionedRow): void;
}
