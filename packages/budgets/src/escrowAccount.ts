import { Err } from 'ts-results';
import { sleep, withTimeout } from '@pomeloroad/core';
import type { Milliseconds, Outcome, Timer, Tokens } from '@pomeloroad/core';
import { LIMIT_REWRITE_MAX_MS } from './escrowRestoration';
import type { Ancestry } from './escrowRestoration';
import type { EscrowAccount, EscrowError, EscrowHost, EscrowReservation } from './escrowTypes';
import { BACKOFF_MIN_MS, createEscrowOutcomes } from './escrowOutcomes';
import { createEscrowPlanner } from './escrowPlanner';
import { createEscrowReservations } from './escrowReservations';
import { createReturnCalls } from './escrowReturnCalls';
import { createEscrowTransactions } from './escrowTransactions';
import { createRateMeter } from './rate';

/** Time constant of the smoothed rate at which tokens are reserved. */
const RATE_TIME_CONSTANT_MS = 5000;
/** Greatest age of the last read of the budget's row at which a request may be refused by it. */
const TOTAL_MAX_AGE_MS = 60;
/** Pause after which it is looked whether an overdue lease has been renewed, while requests wait. */
const LEASE_CHECK_INTERVAL_MS: Milliseconds = 100;
/** Most transactions for one rebalance; the second is based on the rows of the first's conflict. */
const REBALANCE_MAX_TRANSACTIONS = 2;

/** Creates the escrow of an account; it holds no tokens at first. */
export function createEscrowAccount(host: EscrowHost, account: string): EscrowAccount {
  const { clock } = host;
  const returnCalls = createReturnCalls(clock);
  const rate = createRateMeter(clock, RATE_TIME_CONSTANT_MS);
  let limit: Tokens = 0;
  let ancestry: Ancestry = { kind: 'pending' };
  const transactions = createEscrowTransactions({
    escrow: host,
    account,
    getUse: () => ({ used: getUsed(), limit }),
    getAncestry: () => ancestry,
    onTotal: returnCalls.noteTotal,
  });
  const { getTotal, getGrant, getPendingChange } = transactions;
  const planner = createEscrowPlanner({
    escrow: host,
    transactions,
    rate,
    getLimit: () => limit,
    getUsed: () => reservations.getUsed(),
    isRetired: () => isRetired,
    isAskedToReturn: returnCalls.isAskedToReturn,
  });
  const reservations = createEscrowReservations({
    escrow: host,
    transactions,
    getUnallocated: planner.getUnallocated,
    fetchTokens: requestRun,
  });
  const { queue, getUsed } = reservations;
  const outcomes = createEscrowOutcomes({ escrow: host, account, queue, requestRun });
  let isRetired = false;
  /** Transactions left for the current rebalance. */
  let transactionsLeft = 0;
  let isRunRequested = false;
  let activeRun: Promise<void> | undefined;
  let leaseCheck: Timer | undefined;

  function reserve(
    tokens: Tokens,
    maxWait: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    // No grant could ever cover it, so it tells nothing of what the account needs.
    if (tokens > limit) return Promise.resolve(Err({ kind: 'exhausted' }));
    rate.add(tokens);
    return reservations.reserve(tokens, maxWait);
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
    do {
      isRunRequested = false;
      queue.serve();
      if (await runStep()) isRunRequested = true;
    } while (isRunRequested);
    activeRun = undefined;
  }

  // Returns whether there may be another step to run at once.
  async function runStep(): Promise<boolean> {
    if (!transactions.isRestored()) return restore();
    const pending = getPendingChange();
    if (pending) return outcomes.handle(await transactions.repeat(pending));
    if (transactions.isOverdue() && !host.isStoreUnresponsive())
      return outcomes.handle(await transactions.open());
    if (needsHolders()) return outcomes.handle(await transactions.readHolders());
    if (queue.count() > 0) return fetchForQueue();
    return transactionsLeft > 0 && resizeGrant();
  }

  function needsHolders(): boolean {
    if (transactionsLeft === 0 || host.isStoreUnresponsive()) return false;
    return transactions.hasUnreadHolders();
  }

  async function restore(): Promise<boolean> {
    if (host.isStoreUnresponsive() || ancestry.kind === 'pending') return false;
    if (!host.listInstances()) return false;
    // The limit counts if nothing is known of the earlier processes, so it must not be an old one.
    const delay = ancestry.kind === 'unknown' ? LIMIT_REWRITE_MAX_MS - clock.elapsed() : 0;
    if (delay > 0) {
      clock.after(delay, requestRun);
      return false;
    }
    return outcomes.handle(await transactions.restore());
  }

  // Changes the grant once for each rebalance, because the tokens that one change returns raise the
  // target of the next.
  async function resizeGrant(): Promise<boolean> {
    const left = transactionsLeft - 1;
    transactionsLeft = 0;
    if (host.isStoreUnresponsive() || planner.isHeldBack() || !planner.needsResize()) return false;
    const outcome = await transactions.change(planner.plan(0), false);
    // Other instances changed the budget first: try again with its present row.
    if (outcome.kind === 'conflict') transactionsLeft = Math.max(transactionsLeft, left);
    return outcomes.handle(outcome);
  }

  async function fetchForQueue(): Promise<boolean> {
    const needed = queue.sumTokens();
    const available = planner.getAvailable();
    if (needed <= available) return resizeFor(needed);
    if (planner.isLeaseOverdue()) return awaitLease();
    if (clock.elapsed() - transactions.getTotalReadAt() > TOTAL_MAX_AGE_MS)
      return outcomes.handle(await transactions.refreshTotal());
    if (queue.getSmallest() <= available) return resizeFor(queue.getSmallest());
    if (returnCalls.hasCalledRecently() || planner.isHeldBack()) return false;
    returnCalls.noteOwn();
    return outcomes.handle(await transactions.change(getGrant(), true));
  }

  // The lease is renewed only once the rows cover what is used.
  async function awaitLease(): Promise<boolean> {
    if (getUsed() > getGrant().ceiling)
      return outcomes.handle(await transactions.change(planner.planCeiling(), false));
    leaseCheck?.cancel();
    leaseCheck = clock.after(LEASE_CHECK_INTERVAL_MS, requestRun);
    return false;
  }

  async function resizeFor(needed: Tokens): Promise<boolean> {
    return outcomes.handle(await transactions.change(planner.plan(needed), false));
  }

  // A run ends only once nothing more is asked of it, which may be never while the store is silent.
  async function returnUnused(deadline: Milliseconds): Promise<void> {
    await activeRun;
    while (getGrant().held > getUsed() && clock.elapsed() < deadline) {
      await sleep(clock, BACKOFF_MIN_MS);
      startRebalance();
      await activeRun;
    }
  }

  return {
    reserve,
    setLimit(next) {
      limit = next;
      if (queue.count() > 0) requestRun();
    },
    applyTotal(row) {
      transactions.updateTotal(row);
      if (returnCalls.isAskedToReturn()) startRebalance();
      else if (queue.count() > 0) requestRun();
    },
    startEra(era) {
      transactions.startEra(era);
      if (!transactions.isRestored()) outcomes.scheduleRestore();
    },
    setAncestry(next) {
      ancestry = next;
      if (!transactions.isRestored()) requestRun();
    },
    rebalance: startRebalance,
    retire,
    async release(timeout) {
      retire();
      await withTimeout(clock, timeout, returnUnused(clock.elapsed() + timeout), undefined);
    },
    isUsageCovered() {
      const { ceiling } = getGrant();
      return getUsed() <= Math.min(ceiling, getPendingChange()?.ceiling ?? ceiling);
    },
    describe: () => ({
      account,
      limit,
      allocated: getTotal().allocated,
      held: getGrant().held,
      ceiling: getGrant().ceiling,
      used: getUsed(),
      waiting: queue.count(),
      isUncertain: getPendingChange() !== undefined,
    }),
  };
}
