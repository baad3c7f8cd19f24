import { Err, Ok } from 'ts-results';
import { Diagnostics, sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { RowCheck, TransactError, VersionedRow } from '@pomeloroad/storage';
import {
  findRow,
  getGrantKey,
  getSpendable,
  getTotalKey,
  parseGrant,
  parseTotal,
} from './escrowRows';
import type { Grant } from './escrowRows';
import type { EscrowError, EscrowHost, EscrowReservation, EscrowState } from './escrowTypes';
import { createEscrowQueue } from './escrowQueue';
import { getGrantTarget } from './escrowSizing';
import type { GrantTarget } from './escrowSizing';
import { createRateMeter } from './rate';

/** Time constant of the smoothed rate at which tokens are reserved. */
const RATE_TIME_CONSTANT_MS = 5000;
/** Greatest age of the last read of the budget's row at which a request may be refused by it. */
const TOTAL_MAX_AGE_MS = 60;
/** How long an instance holds no spare tokens after another one asked for their return. */
const NO_SPARE_MS = 1500;
/** Shortest interval between two calls on the other instances to return tokens. */
const RETURN_CALL_INTERVAL_MS = 1000;

/** First back-off after the store refused a call; doubled with each further refusal in a row. */
const BACKOFF_MIN_MS = 60;
/** Longest back-off after a refused call. */
const BACKOFF_MAX_MS = 2000;
/** Most transactions for one rebalance; the second is based on the rows of the first's conflict. */
const REBALANCE_MAX_TRANSACTIONS = 2;

/** Longest time that a request waits until more of the reserve may be spent. */
const RESERVE_MAX_WAIT_MS = 350;
/** Shortest such wait. */
const RESERVE_MIN_WAIT_MS = 1;
/** Longest `retryAfter`; used also if the whole reserve is too small. Outages last some seconds. */
const RETRY_AFTER_MAX_MS: Milliseconds = 3000;
/** The error of a request that the store left without an answer. */
const UNREACHABLE_ERROR: EscrowError = { kind: 'unreachable', retryAfter: RETRY_AFTER_MAX_MS };

/** A grant is resized if its spare tokens or its reserve fall below this ratio to their target. */
const RESIZE_LOWER_RATIO = 0.5;
/** A grant is resized if its spare tokens or its reserve exceed this ratio to their target. */
const RESIZE_UPPER_RATIO = 1.4;

/** The grant that this instance holds on the budget of one client account. */
export interface EscrowAccount {
  /** Reserves tokens; waits up to `maxWait` for tokens that other requests or instances return. */
  reserve(tokens: Tokens, maxWait: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Sets the tokens that the account has paid for. */
  setLimit(limit: Tokens): void;
  /** Applies a change of the budget's row from the store's feed. */
  applyTotal(row: VersionedRow): void;
  /** Starts to resize the grant to what the rate of use calls for. */
  rebalance(): void;
  /** Returns all tokens that are not in use and holds no spare ones from now on. */
  retire(): void;
  /** Retires, and retries until all unused tokens are returned or the timeout has passed. */
  release(timeout: Milliseconds): Promise<void>;
  /** Whether the ceiling in the grant's row covers all tokens spent or reserved. */
  isUsageCovered(): boolean;
  /** The account's state for a state dump. */
  describe(): EscrowState;
}

/** A change of the grant that is to be written, or whose outcome is not known yet. */
interface GrantChange extends Grant {
  /** Whether the change also calls on the other instances to return tokens. */
  isReturnCall: boolean;
  checks: RowCheck[];
}

/** Creates the escrow of an account; it holds no tokens at first. */
export function createEscrowAccount(host: EscrowHost, account: string): EscrowAccount {
  const { clock, log, rows } = host;
  const totalKey = getTotalKey(account);
  const grantKey = getGrantKey(account, host.incarnation);
  const rate = createRateMeter(clock, RATE_TIME_CONSTANT_MS);
  let limit: Tokens = 0;
  let total = { allocated: 0, calls: 0, version: 0 };
  let totalReadAt: Milliseconds = -Infinity;
  let grant = { held: 0, ceiling: 0, version: 0 };
  /** Tokens spent or reserved. */
  let used: Tokens = 0;
  const queue = createEscrowQueue({ clock, getFreeTokens, openReservation, getWaitError });
  let pendingChange: GrantChange | undefined;
  let noSpareUntil: Milliseconds = -Infinity;
  let returnCalledAt: Milliseconds = -Infinity;
  let isRetired = false;
  /** Transactions left for the current rebalance. */
  let transactionsLeft = 0;
  let hasConflicted = false;
  let consecutiveRefusals = 0;
  let isRunRequested = false;
  let activeRun: Promise<void> | undefined;

  async function reserve(
    tokens: Tokens,
    maxWait: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    rate.add(tokens);
    const deadline = clock.elapsed() + maxWait;
    for (;;) {
      if (queue.count() === 0 && tokens <= getFreeTokens()) return Ok(openReservation(tokens));
      const left = deadline - clock.elapsed();
      if (!host.isStoreUnresponsive() && left > 0) {
        const waited = await waitInQueue(tokens, left);
        if (waited.ok || waited.val.kind === 'exhausted') return waited;
      }
      // A request does not wait for a store that does not answer, but it waits for a reserve that
      // may be spent soon.
      const delay = getReserveDelay(tokens);
      if (delay > Math.min(RESERVE_MAX_WAIT_MS, deadline - clock.elapsed())) {
        return Err({ kind: 'unreachable', retryAfter: Math.min(delay, RETRY_AFTER_MAX_MS) });
      }
      await sleep(clock, delay);
    }
  }

  function waitInQueue(
    tokens: Tokens,
    maxWait: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    const waited = queue.add(tokens, maxWait);
    const delay = getReserveDelay(tokens);
    if (delay < maxWait) clock.after(delay, queue.serve);
    requestRun();
    return waited;
  }

  // Time until the reserve covers the request as well, if nothing else changes.
  function getReserveDelay(tokens: Tokens): Milliseconds {
    const missing = used + tokens - grant.ceiling;
    const reserveTokens = grant.held - grant.ceiling;
    if (missing > reserveTokens) return Infinity;
    return Math.max(RESERVE_MIN_WAIT_MS, host.getReserveDelay(missing / reserveTokens));
  }

  function openReservation(tokens: Tokens): EscrowReservation {
    let isOpen = true;
    used += tokens;
    return {
      tokens,
      settle(spent) {
        if (!isOpen) return;
        isOpen = false;
        used -= Math.max(0, tokens - spent);
        if (queue.count() > 0) requestRun();
      },
    };
  }

  function getWaitError(tokens: Tokens, since: Milliseconds): EscrowError {
    const isCovered = tokens <= getFreeTokens() + getUnallocated();
    return totalReadAt >= since && !isCovered ? { kind: 'exhausted' } : UNREACHABLE_ERROR;
  }

  function retire(): void {
    isRetired = true;
    startRebalance();
  }

  function startRebalance(): void {
    transactionsLeft = REBALANCE_MAX_TRANSACTIONS;
    requestRun();
  }

  // Runs one transaction at a time, because the checks of each depend on the outcome of the last.
  function requestRun(): void {
    isRunRequested = true;
    activeRun ??= runSteps();
  }

  async function runSteps(): Promise<void> {
    let hasMore = false;
    do {
      isRunRequested = false;
      queue.serve();
      hasMore = await runStep();
    } while (hasMore || isRunRequested);
    activeRun = undefined;
  }

  // Returns whether there may be another step to run at once.
  async function runStep(): Promise<boolean> {
    if (pendingChange) return commit(pendingChange);
    if (queue.count() > 0) return fetchForQueue();
    return transactionsLeft > 0 && resizeGrant();
  }

  // Changes the grant once for each rebalance, because the tokens that one change returns raise the
  // target of the next.
  async function resizeGrant(): Promise<boolean> {
    const left = transactionsLeft - 1;
    transactionsLeft = 0;
    if (host.isStoreUnresponsive() || !needsResize(getTarget())) return false;
    const hasMore = await commit(createChange(planGrant(0), false));
    // Other instances changed the budget first: try again with its present row.
    if (hasMore && hasConflicted) transactionsLeft = Math.max(transactionsLeft, left);
    return hasMore;
  }

  async function fetchForQueue(): Promise<boolean> {
    const needed = queue.sumTokens();
    const available = grant.held + getUnallocated() - used;
    if (needed <= available) return commit(createChange(planGrant(needed), false));
    if (clock.elapsed() - totalReadAt > TOTAL_MAX_AGE_MS) return refreshTotal();
    if (queue.getSmallest() <= available)
      return commit(createChange(planGrant(queue.getSmallest()), false));
    if (clock.elapsed() - returnCalledAt < RETURN_CALL_INTERVAL_MS) return false;
    returnCalledAt = clock.elapsed();
    return commit(createChange(grant, true));
  }

  // Tokens that may be reserved now. A pending change counts only if it lowers this number.
  function getFreeTokens(): Tokens {
    const share = host.getReserveShare();
    return Math.min(getSpendable(grant, share), getSpendable(pendingChange ?? grant, share)) - used;
  }

  function getUnallocated(): Tokens {
    return Math.max(0, limit - total.allocated);
  }

  function getTarget(): GrantTarget {
    if (isRetired || clock.elapsed() < noSpareUntil) return { spare: 0, reserve: 0 };
    const unallocated = getUnallocated();
    const instances = host.countInstances();
    return getGrantTarget({ rate: rate.perSecond(), limit, unallocated, instances });
  }

  // Hysteresis: small differences from the target are not worth a transaction.
  function needsResize({ spare, reserve: reserveTokens }: GrantTarget): boolean {
    return (
      isOutOfRange(grant.ceiling - used, spare) ||
      isOutOfRange(grant.held - grant.ceiling, reserveTokens)
    );
  }

  // A grant that covers the tokens needed and, as far as unallocated tokens allow, the targets.
  function planGrant(needed: Tokens): Grant {
    const { spare, reserve: reserveTokens } = getTarget();
    const least = used + needed;
    const held = Math.max(
      least,
      Math.min(least + spare + reserveTokens, grant.held + getUnallocated()),
    );
    return { held, ceiling: Math.min(held, least + spare) };
  }

  function createChange({ held, ceiling }: Grant, isReturnCall: boolean): GrantChange {
    const checks = [
      { ...totalKey, version: total.version },
      { ...grantKey, version: grant.version },
    ];
    return { held, ceiling, isReturnCall, checks };
  }

  async function commit(next: GrantChange): Promise<boolean> {
    const isRepeat = pendingChange === next;
    pendingChange = next;
    hasConflicted = false;
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
    consecutiveRefusals = 0;
    // The feed may have delivered a later change meanwhile.
    if (outcome.val >= total.version) {
      total = { allocated, calls, version: outcome.val };
      totalReadAt = clock.elapsed();
    }
    applyGrant({ held, ceiling, version: outcome.val });
    return true;
  }

  function handleError(error: TransactError, isRepeat: boolean): boolean {
    if (error.kind === 'conflict') {
      consecutiveRefusals = 0;
      applyConflict(error.rows);
      return true;
    }
    // The first attempt was refused, so none is in flight and the change will not take effect.
    if (error.kind === 'unavailable' && !isRepeat) pendingChange = undefined;
    handleStoreFailure(error);
    return false;
  }

  // After a conflict no earlier attempt can take effect: either it has already, or its checks fail.
  function applyConflict(found: VersionedRow[]): void {
    const totalRow = findRow(found, totalKey);
    const grantRow = findRow(found, grantKey);
    if (totalRow) updateTotal(totalRow);
    totalReadAt = clock.elapsed();
    const granted = grantRow && parseGrant(grantRow.value);
    if (grantRow && granted && grantRow.version !== grant.version) {
      applyGrant({ ...granted, version: grantRow.version });
      return;
    }
    pendingChange = undefined;
    hasConflicted = true;
  }

  function applyGrant(next: Grant & { version: number }): void {
    log(Diagnostics.grantResized, {
      account,
      ...next,
      before: grant.held,
      used,
      allocated: total.allocated,
      limit,
    });
    grant = next;
    pendingChange = undefined;
  }

  function handleStoreFailure(error: { kind: string; message: string }): void {
    log(Diagnostics.budgetStoreFailed, { account, ...error, waiting: queue.count() });
    // A store that refused a call may accept the next one, but one without an answer is not waited
    // for.
    if (error.kind === 'unavailable') scheduleRetry();
    else queue.refuseAll(UNREACHABLE_ERROR);
  }

  function scheduleRetry(): void {
    const backoff = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** consecutiveRefusals);
    consecutiveRefusals += 1;
    clock.after(backoff, requestRun);
  }

  async function refreshTotal(): Promise<boolean> {
    const listed = await rows.list(totalKey.table, account);
    if (listed.err) {
      handleStoreFailure({ message: '', ...listed.val });
      return false;
    }
    totalReadAt = clock.elapsed();
    const row = findRow(listed.val.rows, totalKey);
    if (row) updateTotal(row);
    return true;
  }

  function updateTotal(row: VersionedRow): void {
    if (row.version <= total.version) return;
    const parsed = parseTotal(row.value);
    if (!parsed) {
      log(Diagnostics.rowUnreadable, { table: row.table, key: row.key, version: row.version });
      return;
    }
    if (parsed.calls > total.calls && total.version > 0 && !hasCalledRecently()) {
      noSpareUntil = clock.elapsed() + NO_SPARE_MS;
    }
    total = { ...parsed, version: row.version };
  }

  function hasCalledRecently(): boolean {
    return clock.elapsed() - returnCalledAt < RETURN_CALL_INTERVAL_MS;
  }

  return {
    reserve,
    setLimit(next) {
      limit = next;
      if (queue.count() > 0) requestRun();
    },
    applyTotal(row) {
      updateTotal(row);
      if (clock.elapsed() < noSpareUntil) startRebalance();
      else if (queue.count() > 0) requestRun();
    },
    rebalance: startRebalance,
    retire,
    async release(timeout) {
      retire();
      const deadline = clock.elapsed() + timeout;
      await activeRun;
      while (grant.held > used && clock.elapsed() < deadline) {
        await sleep(clock, BACKOFF_MIN_MS);
        startRebalance();
        await activeRun;
      }
    },
    isUsageCovered: () => used <= Math.min(grant.ceiling, pendingChange?.ceiling ?? grant.ceiling),
    describe: () => ({
      account,
      limit,
      allocated: total.allocated,
      held: grant.held,
      ceiling: grant.ceiling,
      used,
      waiting: queue.count(),
      isUncertain: pendingChange !== undefined,
    }),
  };
}

function isOutOfRange(value: Tokens, target: Tokens): boolean {
  return value < target * RESIZE_LOWER_RATIO || value > target * RESIZE_UPPER_RATIO;
}
