import type { TransactError, VersionedRow } from '@pomeloroad/storage';
import type { EscrowCalls } from './escrowCalls';
import { findRow, formatGrant, parseGrant } from './escrowRows';
import type { Grant } from './escrowRows';
import type { EscrowRowCache } from './escrowRowCache';
import type {
  EscrowOutcome,
  EscrowTransactions,
  EscrowTransactionsHost,
  GrantChange,
} from './escrowTransactionTypes';

/** Dependencies of the changes of a grant. */
export interface EscrowGrantChangesHost extends Pick<EscrowTransactionsHost, 'escrow' | 'getUse'> {
  cache: EscrowRowCache;
  storeCalls: EscrowCalls;
  /** Whether more may be granted: no grant of an earlier era is missing. */
  canGrantMore(): boolean;
}

/** Writes new sizes of the grant. */
export type EscrowGrantChanges = Pick<EscrowTransactions, 'change' | 'repeat'>;

/** Creates the changes of the grant that the cache holds. */
export function createEscrowGrantChanges(host: EscrowGrantChangesHost): EscrowGrantChanges {
  const { cache, storeCalls, canGrantMore } = host;
  const { instance } = host.escrow;
  const { getTotal, getTotalKey, getGrant, getGrantKey } = cache;

  function createChange({ held, ceiling }: Grant, isReturnCall: boolean): GrantChange {
    const grant = getGrant();
    const changesTotal = held !== grant.held || isReturnCall;
    const grantCheck = { ...getGrantKey(), version: grant.version };
    const totalCheck = { ...getTotalKey(), version: getTotal().version };
    const checks = changesTotal ? [totalCheck, grantCheck] : [grantCheck];
    return { held, ceiling, isReturnCall, changesTotal, checks };
  }

  async function commit(next: GrantChange): Promise<EscrowOutcome> {
    const isRepeat = cache.getPendingChange() === next;
    cache.setPendingChange(next);
    const { held, ceiling } = next;
    const total = getTotal();
    const allocated = total.allocated + held - getGrant().held;
    const calls = total.calls + (next.isReturnCall ? 1 : 0);
    const limit = Math.max(total.restoration?.limit ?? 0, host.getUse().limit);
    const restoration = total.restoration && {
      ...total.restoration,
      limit,
      isOpen: canGrantMore(),
    };
    const totalPut = { ...getTotalKey(), value: JSON.stringify({ allocated, calls, restoration }) };
    const grantPut = { ...getGrantKey(), value: formatGrant(next, instance) };
    const outcome = await storeCalls.send({
      checks: next.checks,
      puts: next.changesTotal ? [totalPut, grantPut] : [grantPut],
      removals: [],
    });
    if (outcome.kind === 'rewound') return { kind: 'refreshed' };
    if (outcome.kind === 'failed') return handleError(outcome.error, next, isRepeat);
    const { revision } = outcome.version;
    if (next.changesTotal) {
      const isLatest = cache.replaceTotal({ allocated, calls, restoration, version: revision });
      if (isLatest) cache.noteTotalRead();
    }
    cache.applyGrant({ held, ceiling, version: revision });
    return { kind: 'changed' };
  }

  function handleError(
    error: TransactError,
    { changesTotal }: GrantChange,
    isRepeat: boolean,
  ): EscrowOutcome {
    if (error.kind === 'conflict') return applyConflict(error.rows, changesTotal);
    // The first attempt was refused, so none is in flight and the change will not take effect.
    if (error.kind === 'unavailable' && !isRepeat) cache.setPendingChange(undefined);
    return { kind: 'failed', error };
  }

  // After a conflict no earlier attempt can take effect: either it has already, or its checks fail.
  function applyConflict(found: VersionedRow[], isTotalRead: boolean): EscrowOutcome {
    const totalRow = findRow(found, getTotalKey());
    const grantRow = findRow(found, getGrantKey());
    if (totalRow) cache.updateTotal(totalRow);
    if (isTotalRead) cache.noteTotalRead();
    const granted = grantRow && parseGrant(grantRow.value);
    if (grantRow && granted && grantRow.version !== getGrant().version) {
      const { held, ceiling } = granted;
      cache.applyGrant({ held, ceiling, version: grantRow.version });
      return { kind: 'changed' };
    }
    cache.setPendingChange(undefined);
    return { kind: 'conflict' };
  }

  return {
    change: (next, isReturnCall) => commit(createChange(next, isReturnCall)),
    repeat: commit,
  };
}
