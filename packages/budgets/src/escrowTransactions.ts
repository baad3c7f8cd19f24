import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds } from '@pomeloroad/core';
import { FIRST_ERA } from '@pomeloroad/storage';
import type { StoreEra, TransactError, VersionedRow } from '@pomeloroad/storage';
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
import {
  findRow,
  formatGrant,
  getGrantKey,
  getTotalKey,
  parseGrant,
  parseTotal,
  splitEra,
} from './escrowRows';
import type { BudgetTotal, Grant } from './escrowRows';
import type {
  EscrowOutcome,
  EscrowTransactions,
  EscrowTransactionsHost,
  GrantChange,
} from './escrowTransactionTypes';

const NO_TOTAL = { allocated: 0, calls: 0, version: 0 };

/** Creates the transactions of an account that holds no tokens. */
export function createEscrowTransactions(host: EscrowTransactionsHost): EscrowTransactions {
  const { account } = host;
  const { clock, log, rows, instance, incarnation } = host.escrow;
  let era = FIRST_ERA;
  /** When the present era became known here. */
  let eraStartedAt: Milliseconds = -Infinity;
  let totalKey = getTotalKey(account, era);
  let grantKey = getGrantKey(account, incarnation, era);
  let isRestored = true;
  let total: BudgetTotal & { version: number } = NO_TOTAL;
  let totalReadAt: Milliseconds = -Infinity;
  let grant = { held: 0, ceiling: 0, version: 0 };
  let pendingChange: GrantChange | undefined;

  const known = createEscrowHolders(host.escrow);
  const earlierEras = createEscrowEarlierEras(known);
  const storeCalls = createEscrowCalls({ rows, getEra: () => era, startEra });

  const listInstances = () => host.escrow.listInstances() ?? [];

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
    earlierEras.endEra(total, isRestored);
    total = NO_TOTAL;
    totalReadAt = -Infinity;
    isRestored = false;
  }

  async function restore(): Promise<EscrowOutcome> {
    const sentIn = era;
    const listed = storeCalls.acceptRows(sentIn, await listAccountRows(rows, account));
    if (listed.err) return listed.val;
    const totalRow = findRow(listed.val.totals, totalKey);
    const grantVersion = findRow(listed.val.grants, grantKey)?.version ?? 0;
    const present = totalRow && parseTotal(totalRow.value);
    if (present && hasRestored(present, instance)) {
      applyRestored({ ...present, version: totalRow.version }, grantVersion);
      return { kind: 'changed' };
    }
    return putBack(addOwnContribution(listed.val), totalRow?.version ?? 0, grantVersion);
  }

  function addOwnContribution(present: AccountRows): BudgetTotal {
    return addContribution(present, {
      instance,
      incarnation,
      held: grant.held,
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
    const outcome = await storeCalls.send({
      checks: [
        { ...totalKey, version: totalVersion },
        { ...grantKey, version: grantVersion },
      ],
      puts: [
        { ...totalKey, value: JSON.stringify(next) },
        { ...grantKey, value: formatGrant(grant, instance) },
      ],
      removals: [],
    });
    if (outcome.kind === 'written') {
      const { revision } = outcome.version;
      applyRestored({ ...next, version: revision }, revision);
      return { kind: 'changed' };
    }
    if (outcome.kind === 'rewound') return { kind: 'refreshed' };
    if (outcome.error.kind === 'conflict') return { kind: 'contended' };
    return { kind: 'failed', error: outcome.error };
  }

  function applyRestored(next: BudgetTotal & { version: number }, grantVersion: number): void {
    total = next;
    totalReadAt = clock.elapsed();
    grant = { ...grant, version: grantVersion };
    isRestored = true;
    const { allocated, restoration } = next;
    log(Diagnostics.grantRestored, {
      account,
      era,
      held: grant.held,
      allocated,
      writtenOff: restoration?.writtenOff,
      isOpen: restoration?.isOpen,
    });
  }

  function canGrantMore(): boolean {
    return isRestored && canGrant(total, host.escrow.countInstances());
  }

  // The missing instances were granted tokens by limits that may have to be written again.
  function areLimitsRead(): boolean {
    const readAt = clock.elapsed() - host.escrow.getLimitsAge();
    return readAt >= eraStartedAt + LIMIT_REWRITE_MAX_MS;
  }

  async function open(): Promise<EscrowOutcome> {
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
      if (found) updateTotal(found);
      return { kind: 'conflict' };
    }
    const { revision } = outcome.version;
    log(Diagnostics.budgetOpened, {
      account,
      era,
      allocated: next.allocated,
      missing: next.restoration?.missing.join(' '),
      missingTokens: next.restoration?.missingTokens,
      version: revision,
    });
    if (revision >= total.version) total = { ...next, version: revision };
    return { kind: 'changed' };
  }

  function createChange({ held, ceiling }: Grant, isReturnCall: boolean): GrantChange {
    const changesTotal = held !== grant.held || isReturnCall;
    const grantCheck = { ...grantKey, version: grant.version };
    const totalCheck = { ...totalKey, version: total.version };
    const checks = changesTotal ? [totalCheck, grantCheck] : [grantCheck];
    return { held, ceiling, isReturnCall, changesTotal, checks };
  }

  async function commit(next: GrantChange): Promise<EscrowOutcome> {
    const isRepeat = pendingChange === next;
    pendingChange = next;
    const { held, ceiling } = next;
    const allocated = total.allocated + held - grant.held;
    const calls = total.calls + (next.isReturnCall ? 1 : 0);
    const limit = Math.max(total.restoration?.limit ?? 0, host.getUse().limit);
    const restoration = total.restoration && {
      ...total.restoration,
      limit,
      isOpen: canGrantMore(),
    };
    const totalPut = { ...totalKey, value: JSON.stringify({ allocated, calls, restoration }) };
    const grantPut = { ...grantKey, value: formatGrant(next, instance) };
    const outcome = await storeCalls.send({
      checks: next.checks,
      puts: next.changesTotal ? [totalPut, grantPut] : [grantPut],
      removals: [],
    });
    if (outcome.kind === 'rewound') return { kind: 'refreshed' };
    if (outcome.kind === 'failed') return handleError(outcome.error, next, isRepeat);
    // The feed may have delivered a later change meanwhile.
    const { revision } = outcome.version;
    if (next.changesTotal && revision >= total.version) {
      total = { allocated, calls, restoration, version: revision };
      totalReadAt = clock.elapsed();
    }
    applyGrant({ held, ceiling, version: revision });
    return { kind: 'changed' };
  }

  function handleError(
    error: TransactError,
    { changesTotal }: GrantChange,
    isRepeat: boolean,
  ): EscrowOutcome {
    if (error.kind === 'conflict') return applyConflict(error.rows, changesTotal);
    // The first attempt was refused, so none is in flight and the change will not take effect.
    if (error.kind === 'unavailable' && !isRepeat) pendingChange = undefined;
    return { kind: 'failed', error };
  }

  // After a conflict no earlier attempt can take effect: either it has already, or its checks fail.
  function applyConflict(found: VersionedRow[], isTotalRead: boolean): EscrowOutcome {
    const totalRow = findRow(found, totalKey);
    const grantRow = findRow(found, grantKey);
    if (totalRow) updateTotal(totalRow);
    if (isTotalRead) totalReadAt = clock.elapsed();
    const granted = grantRow && parseGrant(grantRow.value);
    if (grantRow && granted && grantRow.version !== grant.version) {
      const { held, ceiling } = granted;
      applyGrant({ held, ceiling, version: grantRow.version });
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

  // The rows of an era tell nothing of an instance that has not put back its grant into it.
  function listUnreadHolders(): string[] {
    if (!isRestored) return [];
    const missing = total.restoration?.missing ?? [];
    return known.listUnread().filter((name) => !missing.includes(name));
  }

  async function readHolders(): Promise<EscrowOutcome> {
    const names = listUnreadHolders();
    const sentIn = era;
    const read = storeCalls.acceptRows(sentIn, await rows.list(grantKey.table, account));
    if (read.err) return read.val;
    known.noteGrants(names, read.val.rows, era);
    return { kind: 'refreshed' };
  }

  async function refreshTotal(): Promise<EscrowOutcome> {
    const sentIn = era;
    const read = storeCalls.acceptRows(sentIn, await rows.list(totalKey.table, account));
    if (read.err) return read.val;
    totalReadAt = clock.elapsed();
    const row = findRow(read.val.rows, totalKey);
    if (row) updateTotal(row);
    return { kind: 'refreshed' };
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

  return {
    getTotal: () => total,
    getGrant: () => grant,
    getPendingChange: () => pendingChange,
    getTotalReadAt: () => totalReadAt,
    startEra,
    getEraAge: () => clock.elapsed() - eraStartedAt,
    isRestored: () => isRestored,
    restore,
    canGrant: canGrantMore,
    isRestKnown: () => canGrantMore() && !total.restoration?.missing.length,
    isOverdue: () => isRestored && isOverdue(total, listInstances()) && areLimitsRead(),
    open,
    change: (next, isReturnCall) => commit(createChange(next, isReturnCall)),
    repeat: commit,
    hasUnreadHolders: () => listUnreadHolders().length > 0,
    readHolders,
    refreshTotal,
    updateTotal,
  };
}
