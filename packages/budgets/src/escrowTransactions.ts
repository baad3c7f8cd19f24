import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds, Tokens } from '@pomeloroad/core';
import type { RowCheck, TransactError, VersionedRow } from '@pomeloroad/storage';
import { findRow, getGrantKey, getTotalKey, parseGrant, parseTotal } from './escrowRows';
import type { BudgetTotal, Grant } from './escrowRows';
import type { EscrowHost } from './escrowTypes';

/** A change of the grant that is to be written, or whose outcome is not known yet. */
export interface GrantChange extends Grant {
  /** Whether the change also calls on the other instances to return tokens. */
  isReturnCall: boolean;
  checks: RowCheck[];
}

/** A call to the store that failed. */
export interface StoreFailure {
  kind: string;
  message: string;
}

/**
 * What a call to the store led to. `changed`: the grant was written. `conflict`: another instance
 * changed the budget first. `failed`: the store refused the call or did not answer.
 */
export type EscrowOutcome =
  | { kind: 'changed' }
  | { kind: 'refreshed' }
  | { kind: 'conflict' }
  | { kind: 'failed'; error: StoreFailure };

/** Dependencies of the transactions of one account. */
export interface EscrowTransactionsHost {
  escrow: EscrowHost;
  account: string;
  /** Tokens spent or reserved and the account's limit, for the log. */
  getUse(): { used: Tokens; limit: Tokens };
  /** Called before a newer row of the budget replaces the known one. */
  onTotal(next: BudgetTotal, known: BudgetTotal & { version: number }): void;
}

/** The rows of a budget and of this instance's grant on it, as last known, and their changes. */
export interface EscrowTransactions {
  getTotal(): BudgetTotal;
  getGrant(): Grant;
  /** The change whose outcome is not known; it may still take effect. */
  getPendingChange(): GrantChange | undefined;
  /** When the budget's row was last read. */
  getTotalReadAt(): Milliseconds;
  /** Writes a new size of the grant; there must be no pending change. */
  change(next: Grant, isReturnCall: boolean): Promise<EscrowOutcome>;
  /** Sends the pending change again under the same conditions. */
  repeat(pending: GrantChange): Promise<EscrowOutcome>;
  /** Reads the budget's row. */
  refreshTotal(): Promise<EscrowOutcome>;
  /** Applies the budget's row if it is newer than the known one. */
  updateTotal(row: VersionedRow): void;
}

/** Creates the transactions of an account that holds no tokens. */
export function createEscrowTransactions(host: EscrowTransactionsHost): EscrowTransactions {
  const { account } = host;
  const { clock, log, rows, incarnation } = host.escrow;
  const totalKey = getTotalKey(account);
  const grantKey = getGrantKey(account, incarnation);
  let total = { allocated: 0, calls: 0, version: 0 };
  let totalReadAt: Milliseconds = -Infinity;
  let grant = { held: 0, ceiling: 0, version: 0 };
  let pendingChange: GrantChange | undefined;

  function createChange({ held, ceiling }: Grant, isReturnCall: boolean): GrantChange {
    const checks = [
      { ...totalKey, version: total.version },
      { ...grantKey, version: grant.version },
    ];
    return { held, ceiling, isReturnCall, checks };
  }

  async function commit(next: GrantChange): Promise<EscrowOutcome> {
    const isRepeat = pendingChange === next;
    pendingChange = next;
    const { held, ceiling } = next;
    const allocated = total.allocated + held - grant.held;
    const calls = total.calls + (next.isReturnCall ? 1 : 0);
    const outcome = await rows.transact({
      checks: next.checks,
      puts: [
        { ...totalKey, value: JSON.stringify({ allocated, calls }) },
        { ...grantKey, value: JSON.stringify({ held, ceiling }) },
      ],
      removals: [],
    });
    if (outcome.err) return handleError(outcome.val, isRepeat);
    // The feed may have delivered a later change meanwhile.
    const { revision } = outcome.val;
    if (revision >= total.version) {
      total = { allocated, calls, version: revision };
      totalReadAt = clock.elapsed();
    }
    applyGrant({ held, ceiling, version: revision });
    return { kind: 'changed' };
  }

  function handleError(error: TransactError, isRepeat: boolean): EscrowOutcome {
    if (error.kind === 'conflict') return applyConflict(error.rows);
    // The first attempt was refused, so none is in flight and the change will not take effect.
    if (error.kind === 'unavailable' && !isRepeat) pendingChange = undefined;
    return { kind: 'failed', error };
  }

  // After a conflict no earlier attempt can take effect: either it has already, or its checks fail.
  function applyConflict(found: VersionedRow[]): EscrowOutcome {
    const totalRow = findRow(found, totalKey);
    const grantRow = findRow(found, grantKey);
    if (totalRow) updateTotal(totalRow);
    totalReadAt = clock.elapsed();
    const granted = grantRow && parseGrant(grantRow.value);
    if (grantRow && granted && grantRow.version !== grant.version) {
      applyGrant({ ...granted, version: grantRow.version });
      return { kind: 'changed' };
    }
    pendingChange = undefined;
    return { kind: 'conflict' };
  }

  function applyGrant(next: Grant & { version: number }): void {
    log(Diagnostics.grantResized, {
      account,
      ...next,
      before: grant.held,
      allocated: total.allocated,
      ...host.getUse(),
    });
    grant = next;
    pendingChange = undefined;
  }

  async function refreshTotal(): Promise<EscrowOutcome> {
    const listed = await rows.list(totalKey.table, account);
    if (listed.err) return { kind: 'failed', error: { message: '', ...listed.val } };
    totalReadAt = clock.elapsed();
    const row = findRow(listed.val.rows, totalKey);
    if (row) updateTotal(row);
    return { kind: 'refreshed' };
  }

  function updateTotal(row: VersionedRow): void {
    if (row.version <= total.version) return;
    const parsed = parseTotal(row.value);
    if (!parsed) {
      log(Diagnostics.rowUnreadable, { table: row.table, key: row.key, version: row.version });
      return;
    }
    host.onTotal(parsed, total);
    total = { ...parsed, version: row.version };
  }

  return {
    getTotal: () => total,
    getGrant: () => grant,
    getPendingChange: () => pendingChange,
    getTotalReadAt: () => totalReadAt,
    change: (next, isReturnCall) => commit(createChange(next, isReturnCall)),
    repeat: commit,
    refreshTotal,
    updateTotal,
  };
}
