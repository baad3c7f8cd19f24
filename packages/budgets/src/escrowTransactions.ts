import { Diagnostics } from '@pomeloroad/core';
import type { TransactError, VersionedRow } from '@pomeloroad/storage';
import { createEscrowCalls } from './escrowCalls';
import { createEscrowEarlierEras } from './escrowEarlierEras';
import { createEscrowHolders } from './escrowHolders';
import { listAccountRows } from './escrowListing';
import {
  addContribution,
  canGrant,
  hasRestored,
  isOverdue,
  LIMIT_REWRITE_MAX_MS,
  openWithoutMissing,
} from './escrowRestoration';
import type { AccountRows } from './escrowRestoration';
import { findRow, formatGrant, parseGrant, parseTotal } from './escrowRows';
import type { BudgetTotal, Grant } from './escrowRows';
import { createEscrowRowCache } from './escrowRowCache';
import type {
  EscrowOutcome,
  EscrowTransactions,
  EscrowTransactionsHost,
  GrantChange,
} from './escrowTransactionTypes';

/** Creates the transactions of an account that holds no tokens. */
export function createEscrowTransactions(host: EscrowTransactionsHost): EscrowTransactions {
  const { account } = host;
  const { clock, log, rows, instance, incarnation } = host.escrow;
  const known = createEscrowHolders(host.escrow);
  const earlierEras = createEscrowEarlierEras(known);
  const cache = createEscrowRowCache({ ...host, onEraEnd: earlierEras.endEra });
  const { getEra, getTotal, getTotalKey, getGrant, getGrantKey, isRestored } = cache;
  const storeCalls = createEscrowCalls({ rows, getEra, startEra: cache.startEra });

  const listInstances = () => host.escrow.listInstances() ?? [];

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

  function canGrantMore(): boolean {
    return isRestored() && canGrant(getTotal(), host.escrow.countInstances());
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
    restore,
    canGrant: canGrantMore,
    isRestKnown: () => canGrantMore() && !getTotal().restoration?.missing.length,
    isOverdue: () => isRestored() && isOverdue(getTotal(), listInstances()) && areLimitsRead(),
    open,
    change: (next, isReturnCall) => commit(createChange(next, isReturnCall)),
    repeat: commit,
    hasUnreadHolders: () => listUnreadHolders().length > 0,
    readHolders,
    refreshTotal,
    updateTotal: cache.updateTotal,
  };
}
