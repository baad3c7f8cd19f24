import { createEscrowCalls } from './escrowCalls';
import { createEscrowEarlierEras } from './escrowEarlierEras';
import { createEscrowGrantChanges } from './escrowGrantChanges';
import { createEscrowHolders } from './escrowHolders';
import { createEscrowOpening } from './escrowOpening';
import { canGrant } from './escrowRestoration';
import { findRow } from './escrowRows';
import { createEscrowRowCache } from './escrowRowCache';
import type {
  EscrowOutcome,
  EscrowTransactions,
  EscrowTransactionsHost,
} from './escrowTransactionTypes';

/** Creates the transactions of an account that holds no tokens. */
export function createEscrowTransactions(host: EscrowTransactionsHost): EscrowTransactions {
  const { account } = host;
  const { clock, rows } = host.escrow;
  const known = createEscrowHolders(host.escrow);
  const earlierEras = createEscrowEarlierEras(known);
  const cache = createEscrowRowCache({ ...host, onEraEnd: earlierEras.endEra });
  const { getEra, getTotal, getTotalKey, getGrant, getGrantKey, isRestored } = cache;
  const storeCalls = createEscrowCalls({ rows, getEra, startEra: cache.startEra });
  const opening = createEscrowOpening({ ...host, cache, storeCalls, earlierEras });
  const changes = createEscrowGrantChanges({ ...host, cache, storeCalls, canGrantMore });

  function canGrantMore(): boolean {
    return isRestored() && canGrant(getTotal(), host.escrow.countInstances());
  }

  // The rows of an era tell nothing of an instance that has not put back its grant into it.
  function listUnreadHolders(): string[] {
    if (!isRestored()) return [];
    const missing = getTotal().restoration?.missing ?? [];
    return known.listUnread().filter((name) => !missing.includes(name));
  }

  async function readHolders(): Promise<EscrowOutcome> {
    const names = listUnreadHolders();
    const sentIn = getEra();
    const read = storeCalls.acceptRows(sentIn, await rows.list(getGrantKey().table, account));
    if (read.err) return read.val;
    known.noteGrants(names, read.val.rows, getEra());
    return { kind: 'refreshed' };
  }

  async function refreshTotal(): Promise<EscrowOutcome> {
    const sentIn = getEra();
    const read = storeCalls.acceptRows(sentIn, await rows.list(getTotalKey().table, account));
    if (read.err) return read.val;
    cache.noteTotalRead();
    const row = findRow(read.val.rows, getTotalKey());
    if (row) cache.updateTotal(row);
    return { kind: 'refreshed' };
  }

  return {
    getTotal,
    getGrant,
    getPendingChange: cache.getPendingChange,
    getTotalReadAt: cache.getTotalReadAt,
    startEra: cache.startEra,
    getEraAge: () => clock.elapsed() - cache.getEraStartedAt(),
    isRestored,
    restore: opening.restore,
    canGrant: canGrantMore,
    isRestKnown: () => canGrantMore() && !getTotal().restoration?.missing.length,
    isOverdue: opening.isOverdue,
    open: opening.open,
    change: changes.change,
    repeat: changes.repeat,
    hasUnreadHolders: () => listUnreadHolders().length > 0,
    readHolders,
    refreshTotal,
    updateTotal: cache.updateTotal,
  };
}
