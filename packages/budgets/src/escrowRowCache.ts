import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { FIRST_ERA } from '@pomeloroad/storage';
import type { RowKey, StoreEra, VersionedRow } from '@pomeloroad/storage';
import { getGrantKey, getTotalKey, parseTotal, splitEra } from './escrowRows';
import type { BudgetTotal, KnownGrant, KnownTotal } from './escrowRows';
import type { EscrowTransactionsHost, GrantChange } from './escrowTransactionTypes';

/** Dependencies of the row cache of one account. */
export interface EscrowRowCacheHost extends Omit<EscrowTransactionsHost, 'getAncestry'> {
  /** Called when an era ends, with the budget's row and whether the own grant had been put back into it. */
  onEraEnd(total: BudgetTotal, isRestored: boolean): void;
}

/** The rows of a budget and of this instance's grant on it, as last known in the present era. */
export interface EscrowRowCache {
  getEra(): StoreEra;
  /** When the present era became known here. */
  getEraStartedAt(): Milliseconds;
  /** Follows the store into a later era; does nothing in any other. */
  startEra(next: StoreEra): void;
  /** Key of the budget's row in the present era. */
  getTotalKey(): RowKey;
  /** Key of the own grant's row in the present era. */
  getGrantKey(): RowKey;
  getTotal(): KnownTotal;
  /** When the budget's row was last read. */
  getTotalReadAt(): Milliseconds;
  noteTotalRead(): void;
  /** Applies the budget's row if it is newer than the known one. */
  updateTotal(row: VersionedRow): void;
  /** Takes a row that was written unless a later one is known; returns whether it did. */
  replaceTotal(written: KnownTotal): boolean;
  getGrant(): KnownGrant;
  /** Takes the grant's row; no change is pending any more. */
  applyGrant(next: KnownGrant): void;
  /** The change whose outcome is not known; it may still take effect. */
  getPendingChange(): GrantChange | undefined;
  setPendingChange(change: GrantChange | undefined): void;
  /** Whether the own grant is in the rows of the present era. */
  isRestored(): boolean;
  /** Notes that the own grant is in the rows of the present era. */
  applyRestored(written: KnownTotal, grantVersion: number): void;
}

const NO_TOTAL: KnownTotal = { allocated: 0, calls: 0, version: 0 };

/** Creates the row cache of an account that holds no tokens, in the first era. */
export function createEscrowRowCache(host: EscrowRowCacheHost): EscrowRowCache {
  const { account } = host;
  const { clock, log, incarnation } = host.escrow;
  let era = FIRST_ERA;
  let eraStartedAt: Milliseconds = -Infinity;
  let totalKey = getTotalKey(account, era);
  let grantKey = getGrantKey(account, incarnation, era);
  let isRestored = true;
  let total = NO_TOTAL;
  let totalReadAt: Milliseconds = -Infinity;
  let grant: KnownGrant = { held: 0, ceiling: 0, version: 0 };
  let pendingChange: GrantChange | undefined;

  // A change of the old era whose outcome is not known counts only if it lowers the grant. Versions
  // of the old era are not used again.
  function startEra(next: StoreEra): void {
    if (next <= era) return;
    const { held, ceiling } = pendingChange ?? grant;
    log(Diagnostics.budgetRewound, { account, before: era, era: next, held: grant.held });
    grant = {
      held: Math.min(grant.held, held),
      ceiling: Math.min(grant.ceiling, ceiling),
      version: 0,
    };
    pendingChange = undefined;
    era = next;
    eraStartedAt = clock.elapsed();
    totalKey = getTotalKey(account, era);
    grantKey = getGrantKey(account, incarnation, era);
    host.onEraEnd(total, isRestored);
    total = NO_TOTAL;
    totalReadAt = -Infinity;
    isRestored = false;
  }

  function updateTotal(row: VersionedRow): void {
    startEra(splitEra(row.key).era);
    if (row.key !== totalKey.key) return;
    if (row.version <= total.version) return;
    const parsed = parseTotal(row.value);
    if (!parsed) {
      log(Diagnostics.rowUnreadable, { table: row.table, key: row.key, version: row.version });
      return;
    }
    host.onTotal(parsed, total);
    total = { ...parsed, version: row.version };
  }

  // The feed may have delivered a later change while the row was written.
  function replaceTotal(written: KnownTotal): boolean {
    if (written.version < total.version) return false;
    total = written;
    return true;
  }

  function applyGrant(next: KnownGrant): void {
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

  function noteTotalRead(): void {
    totalReadAt = clock.elapsed();
  }

  function applyRestored(written: KnownTotal, grantVersion: number): void {
    replaceTotal(written);
    noteTotalRead();
    grant = { ...grant, version: grantVersion };
    isRestored = true;
    const { allocated, restoration } = written;
    log(Diagnostics.grantRestored, {
      account,
      era,
      held: grant.held,
      allocated,
      writtenOff: restoration?.writtenOff,
      isOpen: restoration?.isOpen,
    });
  }

  return {
    getEra: () => era,
    getEraStartedAt: () => eraStartedAt,
    startEra,
    getTotalKey: () => totalKey,
    getGrantKey: () => grantKey,
    getTotal: () => total,
    getTotalReadAt: () => totalReadAt,
    noteTotalRead,
    updateTotal,
    replaceTotal,
    getGrant: () => grant,
    applyGrant,
    getPendingChange: () => pendingChange,
    setPendingChange(change) {
      pendingChange = change;
    },
    isRestored: () => isRestored,
    applyRestored,
  };
}
