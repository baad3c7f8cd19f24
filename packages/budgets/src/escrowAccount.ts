import { Err, Ok } from 'ts-results';
import { Diagnostics } from '@pomeloroad/core';
import type { Milliseconds, Outcome, Timer, Tokens } from '@pomeloroad/core';
import type { RowCheck, TransactError, VersionedRow } from '@pomeloroad/storage';
import { findRow, getGrantKey, getTotalKey, parseGrant, parseTotal } from './escrowRows';
import type { EscrowError, EscrowHost, EscrowReservation, EscrowState } from './escrowTypes';
import { getTarget } from './escrowSizing';
import { createRateMeter } from './rate';

/** Time constant of the rate at which tokens are reserved. */
const RATE_CONSTANT_MS = 5000;
/** Age up to which a budget's row is fresh enough to refuse a request by it. */
const FRESH_MS = 60;
/** How long an instance keeps no spare tokens after another one asked for them. */
const FRUGAL_MS = 1500;
/** How often the others are asked to return tokens, at most. */
const CALL_INTERVAL_MS = 1000;
/** How long a store that did not answer is taken to be unreachable. */
const SILENT_MS = 300;

/** Escrow of one client account. */
export interface EscrowAccount {
  reserve(tokens: Tokens, patience: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  setLimit(limit: Tokens): void;
  takeTotal(row: VersionedRow): void;
  /** Brings what is held to what the rate of use calls for. */
  rebalance(): void;
  /** Returns everything that is not reserved. */
  release(): Promise<void>;
  describe(): EscrowState;
}

interface Waiter {
  tokens: Tokens;
  since: Milliseconds;
  timer: Timer;
  resolve(outcome: Outcome<EscrowReservation, EscrowError>): void;
}

/** A change of what is held whose fate is not known yet. */
interface Change {
  tokens: Tokens;
  isCall: boolean;
  checks: RowCheck[];
}

/** Creates escrow that holds nothing. */
export function createEscrowAccount(host: EscrowHost, account: string): EscrowAccount {
  const { clock, log, rows } = host;
  const totalKey = getTotalKey(account);
  const grantKey = getGrantKey(account, host.incarnation);
  const rate = createRateMeter(clock, RATE_CONSTANT_MS);
  let limit: Tokens = 0;
  let total = { allocated: 0, calls: 0, version: 0 };
  let readAt: Milliseconds = -Infinity;
  let grant = { held: 0, version: 0 };
  let free: Tokens = 0;
  let waiters: Waiter[] = [];
  let change: Change | undefined;
  let frugalUntil: Milliseconds = -Infinity;
  let calledAt: Milliseconds = -Infinity;
  let silentUntil: Milliseconds = -Infinity;
  let isReleased = false;
  let isWanted = false;
  let working: Promise<void> | undefined;

  function reserve(
    tokens: Tokens,
    patience: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    rate.add(tokens);
    if (waiters.length === 0 && tokens <= free) {
      const reservation = take(tokens);
      work();
      return Promise.resolve(Ok(reservation));
    }
    // No request waits for a store that is known not to answer.
    if (clock.elapsed() < silentUntil) return Promise.resolve(Err({ kind: 'unreachable' }));
    return new Promise((resolve) => {
      const timer = clock.after(patience, () => expire(waiter));
      const waiter: Waiter = { tokens, since: clock.elapsed(), timer, resolve };
      waiters.push(waiter);
      work();
    });
  }

  function take(tokens: Tokens): EscrowReservation {
    let isOpen = true;
    free -= tokens;
    return {
      tokens,
      settle(spent) {
        if (!isOpen) return;
        isOpen = false;
        free += Math.max(0, tokens - spent);
        if (waiters.length > 0) work();
      },
    };
  }

  function expire(waiter: Waiter): void {
    const isRead = readAt >= waiter.since;
    const isCovered = waiter.tokens <= free + getRoom();
    finish(waiter, Err({ kind: isRead && !isCovered ? 'exhausted' : 'unreachable' }));
  }

  function finish(waiter: Waiter, outcome: Outcome<EscrowReservation, EscrowError>): void {
    waiter.timer.cancel();
    waiters = waiters.filter((other) => other !== waiter);
    waiter.resolve(outcome);
  }

  // One transaction at a time: the next one's conditions depend on this one's outcome.
  function work(): void {
    isWanted = true;
    working ??= workOn();
  }

  async function workOn(): Promise<void> {
    let isGoing = false;
    do {
      isWanted = false;
      serveWaiters();
      isGoing = await takeStep();
    } while (isGoing || isWanted);
    working = undefined;
  }

  function serveWaiters(): void {
    [...waiters].forEach((waiter) => {
      if (waiter.tokens <= free) finish(waiter, Ok(take(waiter.tokens)));
    });
  }

  // Whether there may be more to do at once.
  async function takeStep(): Promise<boolean> {
    if (change) return commit(change);
    if (waiters.length > 0) return fetchMissing();
    const wanted = getAdjustment();
    return wanted === 0 ? false : commit(createChange(wanted, false));
  }

  async function fetchMissing(): Promise<boolean> {
    const room = getRoom();
    const missing = getMissing();
    if (missing <= room) {
      const ahead = Math.min(getSpareTarget(room - missing), room - missing);
      return commit(createChange(missing + ahead, false));
    }
    if (clock.elapsed() - readAt > FRESH_MS) return refresh();
    const smallest = Math.min(...waiters.map((waiter) => waiter.tokens));
    if (smallest - free <= room) return commit(createChange(Math.max(0, smallest - free), false));
    if (clock.elapsed() - calledAt < CALL_INTERVAL_MS) return false;
    calledAt = clock.elapsed();
    return commit(createChange(0, true));
  }

  function getMissing(): Tokens {
    return Math.max(0, waiters.reduce((sum, waiter) => sum + waiter.tokens, 0) - free);
  }

  function getRoom(): Tokens {
    return Math.max(0, limit - total.allocated);
  }

  function getSpareTarget(room: Tokens): Tokens {
    if (isReleased || clock.elapsed() < frugalUntil) return 0;
    return getTarget({ rate: rate.perSecond(), room, instances: host.countInstances() });
  }

  // Only a clear difference is worth a transaction.
  function getAdjustment(): Tokens {
    if (clock.elapsed() < silentUntil) return 0;
    const target = getSpareTarget(getRoom());
    if (free > target * 2 || (target === 0 && free > 0)) return target - free;
    return free < target / 2 ? target - free : 0;
  }

  function createChange(tokens: Tokens, isCall: boolean): Change {
    const checks = [
      { ...totalKey, version: total.version },
      { ...grantKey, version: grant.version },
    ];
    // What is given back can't be spent while the transaction is on its way.
    if (tokens < 0) free += tokens;
    return { tokens, isCall, checks };
  }

  async function commit(next: Change): Promise<boolean> {
    const isRepeat = change === next;
    change = next;
    const held = grant.held + next.tokens;
    const allocated = total.allocated + next.tokens;
    const calls = total.calls + (next.isCall ? 1 : 0);
    const base = total.version;
    const outcome = await rows.transact({
      checks: next.checks,
      puts: [
        { ...totalKey, value: JSON.stringify({ allocated, calls }) },
        { ...grantKey, value: JSON.stringify({ held }) },
      ],
      removals: [],
    });
    if (outcome.ok) {
      // The feed may have told of a later change meanwhile.
      if (total.version === base || outcome.val >= total.version) {
        total = { allocated, calls, version: outcome.val };
        readAt = clock.elapsed();
      }
      settleChange(next, { held, version: outcome.val });
      return true;
    }
    return takeError(next, outcome.val, isRepeat);
  }

  function takeError(next: Change, error: TransactError, isRepeat: boolean): boolean {
    if (error.kind === 'conflict') {
      takeRows(next, error.rows);
      return true;
    }
    // Refused, and nothing older is under way: the change will not happen.
    if (error.kind === 'unavailable' && !isRepeat) dropChange(next);
    noteSilence(error.message);
    return false;
  }

  // A conflict ends every earlier attempt: either it has happened, or its condition is gone.
  function takeRows(next: Change, found: VersionedRow[]): void {
    const totalRow = findRow(found, totalKey);
    const grantRow = findRow(found, grantKey);
    if (totalRow) takeTotal(totalRow);
    readAt = clock.elapsed();
    const held = grantRow && parseGrant(grantRow.value);
    if (grantRow && held !== undefined && grantRow.version !== grant.version) {
      settleChange(next, { held, version: grantRow.version });
    } else {
      dropChange(next);
    }
  }

  function settleChange(done: Change, now: { held: Tokens; version: number }): void {
    if (done.tokens > 0) free += done.tokens;
    grant = now;
    change = undefined;
    silentUntil = -Infinity;
    log(Diagnostics.grantResized, {
      account,
      tokens: done.tokens,
      held: now.held,
      allocated: total.allocated,
      limit,
      version: now.version,
    });
  }

  function dropChange(dropped: Change): void {
    if (dropped.tokens < 0) free -= dropped.tokens;
    change = undefined;
  }

  function noteSilence(message: string): void {
    silentUntil = clock.elapsed() + SILENT_MS;
    log(Diagnostics.budgetStoreSilent, { account, message, waiting: waiters.length });
    [...waiters].forEach((waiter) => finish(waiter, Err({ kind: 'unreachable' })));
  }

  async function refresh(): Promise<boolean> {
    const listed = await rows.list(totalKey.table, account);
    if (listed.err) {
      const message = listed.val.kind === 'unavailable' ? listed.val.message : listed.val.kind;
      noteSilence(message);
      return false;
    }
    readAt = clock.elapsed();
    const row = findRow(listed.val.rows, totalKey);
    if (row) takeTotal(row);
    return true;
  }

  function takeTotal(row: VersionedRow): void {
    if (row.version <= total.version) return;
    const parsed = parseTotal(row.value);
    if (!parsed) {
      log(Diagnostics.rowUnreadable, { table: row.table, key: row.key, version: row.version });
      return;
    }
    if (parsed.calls > total.calls && total.version > 0 && !isOwnCall()) {
      frugalUntil = clock.elapsed() + FRUGAL_MS;
    }
    total = { ...parsed, version: row.version };
  }

  function isOwnCall(): boolean {
    return clock.elapsed() - calledAt < CALL_INTERVAL_MS;
  }

  return {
    reserve,
    setLimit(next) {
      limit = next;
      if (waiters.length > 0) work();
    },
    takeTotal(row) {
      takeTotal(row);
      if (waiters.length > 0 || clock.elapsed() < frugalUntil) work();
    },
    rebalance: work,
    async release() {
      isReleased = true;
      await working;
      work();
      await working;
    },
    describe: () => ({
      account,
      limit,
      allocated: total.allocated,
      held: grant.held,
      free,
      waiting: waiters.length,
      isUncertain: change !== undefined,
    }),
  };
}
