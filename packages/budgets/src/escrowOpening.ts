import { Diagnostics } from '@pomeloroad/core';
import type { EscrowCalls } from './escrowCalls';
import type { EscrowEarlierEras } from './escrowEarlierEras';
import { listAccountRows } from './escrowListing';
import {
  addContribution,
  hasRestored,
  isOverdue,
  LIMIT_REWRITE_MAX_MS,
  openWithoutMissing,
} from './escrowRestoration';
import type { AccountRows } from './escrowRestoration';
import { findRow, formatGrant, parseTotal } from './escrowRows';
import type { BudgetTotal } from './escrowRows';
import type { EscrowRowCache } from './escrowRowCache';
import type {
  EscrowOutcome,
  EscrowTransactions,
  EscrowTransactionsHost,
} from './escrowTransactionTypes';

/** Dependencies of the opening. */
export interface EscrowOpeningHost extends Omit<EscrowTransactionsHost, 'onTotal'> {
  cache: EscrowRowCache;
  storeCalls: EscrowCalls;
  earlierEras: EscrowEarlierEras;
}

/** Puts the grants of earlier eras into the present one, and opens its budget without missing ones. */
export type EscrowOpening = Pick<EscrowTransactions, 'restore' | 'isOverdue' | 'open'>;

/** Creates the opening of an account's budget in each era of the store. */
export function createEscrowOpening(host: EscrowOpeningHost): EscrowOpening {
  const { account, cache, storeCalls, earlierEras } = host;
  const { clock, log, rows, instance, incarnation } = host.escrow;
  const { getEra, getTotal, getTotalKey, getGrant, getGrantKey, isRestored } = cache;

  async function restore(): Promise<EscrowOutcome> {
    const sentIn = getEra();
    const listed = storeCalls.acceptRows(sentIn, await listAccountRows(rows, account));
    if (listed.err) return listed.val;
    const totalRow = findRow(listed.val.totals, getTotalKey());
    const grantVersion = findRow(listed.val.grants, getGrantKey())?.version ?? 0;
    const present = totalRow && parseTotal(totalRow.value);
    if (present && hasRestored(present, instance)) {
      cache.applyRestored({ ...present, version: totalRow.version }, grantVersion);
      return { kind: 'changed' };
    }
    return putBack(addOwnContribution(listed.val), totalRow?.version ?? 0, grantVersion);
  }

  function addOwnContribution(present: AccountRows): BudgetTotal {
    return addContribution(present, {
      instance,
      incarnation,
      held: getGrant().held,
      ancestry: host.getAncestry(),
      heldByGone: earlierEras.getHeldByGone(),
      limit: host.getUse().limit,
      instances: host.escrow.countInstances(),
      holders: earlierEras.listHolders(),
    });
  }

  async function putBack(
    next: BudgetTotal,
    totalVersion: number,
    grantVersion: number,
  ): Promise<EscrowOutcome> {
    const totalKey = getTotalKey();
    const grantKey = getGrantKey();
    const outcome = await storeCalls.send({
      checks: [
        { ...totalKey, version: totalVersion },
        { ...grantKey, version: grantVersion },
      ],
      puts: [
        { ...totalKey, value: JSON.stringify(next) },
        { ...grantKey, value: formatGrant(getGrant(), instance) },
      ],
      removals: [],
    });
    if (outcome.kind === 'written') {
      const { revision } = outcome.version;
      cache.applyRestored({ ...next, version: revision }, revision);
      return { kind: 'changed' };
    }
    if (outcome.kind === 'rewound') return { kind: 'refreshed' };
    if (outcome.error.kind === 'conflict') return { kind: 'contended' };
    return { kind: 'failed', error: outcome.error };
  }

  function isOpeningOverdue(): boolean {
    const instances = host.escrow.listInstances() ?? [];
    return isRestored() && isOverdue(getTotal(), instances) && areLimitsRead();
  }

  // The missing instances were granted tokens by limits that may have to be written again.
  function areLimitsRead(): boolean {
    const readAt = clock.elapsed() - host.escrow.getLimitsAge();
    return readAt >= cache.getEraStartedAt() + LIMIT_REWRITE_MAX_MS;
  }

  async function open(): Promise<EscrowOutcome> {
    const total = getTotal();
    const totalKey = getTotalKey();
    const next = openWithoutMissing(total, host.getUse().limit);
    const outcome = await storeCalls.send({
      checks: [{ ...totalKey, version: total.version }],
      puts: [{ ...totalKey, value: JSON.stringify(next) }],
      removals: [],
    });
    if (outcome.kind === 'rewound') return { kind: 'refreshed' };
    if (outcome.kind === 'failed') {
      if (outcome.error.kind !== 'conflict') return { kind: 'failed', error: outcome.error };
      const found = findRow(outcome.error.rows, totalKey);
      if (found) cache.updateTotal(found);
      return { kind: 'conflict' };
    }
    const { revision } = outcome.version;
    log(Diagnostics.budgetOpened, {
      account,
      era: getEra(),
      allocated: next.allocated,
      missing: next.restoration?.missing.join(' '),
      missingTokens: next.restoration?.missingTokens,
      version: revision,
    });
    cache.replaceTotal({ ...next, version: revision });
    return { kind: 'changed' };
  }

  return { restore, isOverdue: isOpeningOverdue, open };
}
