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

/** Time constant of the rate at which tokens are reserved. */
const RATE_CONSTANT_MS = 5000;
/** Age up to which a budget's row is fresh enough to refuse a request by it. */
const FRESH_MS = 60;
/** How long an instance keeps no spare tokens after another one asked for them. */
const FRUGAL_MS = 1500;
/** How often the others are asked to return tokens, at most. */
const CALL_INTERVAL_MS = 1000;

/** Pause after the store refused a call; it doubles with each refusal in a row. */
const REFUSED_RETRY_MS = 60;
const MOST_RETRY_MS = 2000;
/** Transactions for one rebalance: the second knows what others changed before the first. */
const REBALANCE_ATTEMPTS = 2;

/** How long a request waits for the reserve to open. */
const OPENING_PATIENCE_MS = 350;
const LEAST_DELAY_MS = 1;
/** When to come back if not even the whole reserve covers a request; outages last some seconds. */
const SILENT_RETRY_MS: Milliseconds = 3000;
const UNREACHABLE: EscrowError = { kind: 'unreachable', retryAfter: SILENT_RETRY_MS };

/** How far a part of the grant may be from its target before it is changed, as parts of it. */
const LEAST_PART = 0.5;
const MOST_PART = 1.4;

/** Escrow of one client account. */
export interface EscrowAccount {
  reserve(tokens: Tokens, patience: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  setLimit(limit: Tokens): void;
  takeTotal(row: VersionedRow): void;
  /** Brings what is held to what the rate of use calls for. */
  rebalance(): void;
  /** From now on holds nothing but what requests use. */
  retire(): void;
  /** Returns the rest; tries again until it is done or the time has passed. */
  release(patience: Milliseconds): Promise<void>;
  /** Whether the grant's row covers what is spent or set aside. */
  isCovered(): boolean;
  describe(): EscrowState;
}

/** A change of the grant whose fate is not known yet. */
interface Change extends Grant {
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
  let grant = { held: 0, ceiling: 0, version: 0 };
  /** Tokens spent or set aside. */
  let used: Tokens = 0;
  const queue = createEscrowQueue({ clock, getFree, take, explain });
  let change: Change | undefined;
  let frugalUntil: Milliseconds = -Infinity;
  let calledAt: Milliseconds = -Infinity;
  let isReleased = false;
  /** Transactions that may still be tried to balance the grant. */
  let attempts = 0;
  let hasConflicted = false;
  let refusals = 0;
  let isWanted = false;
  let working: Promise<void> | undefined;

  async function reserve(
    tokens: Tokens,
    patience: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    rate.add(tokens);
    const deadline = clock.elapsed() + patience;
    for (;;) {
      if (queue.count() === 0 && tokens <= getFree()) return Ok(take(tokens));
      const left = deadline - clock.elapsed();
      if (!host.isStoreSilent() && left > 0) {
        const asked = await ask(tokens, left);
        if (asked.ok || asked.val.kind === 'exhausted') return asked;
      }
      // No request waits for a store that does not answer, but for a reserve that opens soon.
      const delay = getOpeningDelay(tokens);
      if (delay > Math.min(OPENING_PATIENCE_MS, deadline - clock.elapsed())) {
        return Err({ kind: 'unreachable', retryAfter: Math.min(delay, SILENT_RETRY_MS) });
      }
      await sleep(clock, delay);
    }
  }

  function ask(
    tokens: Tokens,
    patience: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    const asked = queue.add(tokens, patience);
    const delay = getOpeningDelay(tokens);
    if (delay < patience) clock.after(delay, queue.serve);
    work();
    return asked;
  }

  // Until the reserve covers the request as well, if nothing else changes.
  function getOpeningDelay(tokens: Tokens): Milliseconds {
    const missing = used + tokens - grant.ceiling;
    const forCuts = grant.held - grant.ceiling;
    if (missing > forCuts) return Infinity;
    return Math.max(LEAST_DELAY_MS, host.getOpeningDelay(missing / forCuts));
  }

  function take(tokens: Tokens): EscrowReservation {
    let isOpen = true;
    used += tokens;
    return {
      tokens,
      settle(spent) {
        if (!isOpen) return;
        isOpen = false;
        used -= Math.max(0, tokens - spent);
        if (queue.count() > 0) work();
      },
    };
  }

  function explain(tokens: Tokens, since: Milliseconds): EscrowError {
    const isCovered = tokens <= getFree() + getRoom();
    return readAt >= since && !isCovered ? { kind: 'exhausted' } : UNREACHABLE;
  }

  function retire(): void {
    isReleased = true;
    balance();
  }

  function balance(): void {
    attempts = REBALANCE_ATTEMPTS;
    work();
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
      queue.serve();
      isGoing = await takeStep();
    } while (isGoing || isWanted);
    working = undefined;
  }

  // Whether there may be more to do at once.
  async function takeStep(): Promise<boolean> {
    if (change) return commit(change);
    if (queue.count() > 0) return fetchMissing();
    return attempts > 0 && adjust();
  }

  // One change for each call to balance: what is given back raises the target of the next one.
  async function adjust(): Promise<boolean> {
    const left = attempts - 1;
    attempts = 0;
    if (host.isStoreSilent() || !isOffBalance(getTarget())) return false;
    const isGoing = await commit(createChange(plan(0), false));
    // Others changed the budget first: balance again by what it is now.
    if (isGoing && hasConflicted) attempts = Math.max(attempts, left);
    return isGoing;
  }

  async function fetchMissing(): Promise<boolean> {
    const needed = queue.sum();
    const most = grant.held + getRoom() - used;
    if (needed <= most) return commit(createChange(plan(needed), false));
    if (clock.elapsed() - readAt > FRESH_MS) return refresh();
    if (queue.least() <= most) return commit(createChange(plan(queue.least()), false));
    if (clock.elapsed() - calledAt < CALL_INTERVAL_MS) return false;
    calledAt = clock.elapsed();
    return commit(createChange(grant, true));
  }

  // What may be set aside now. A change on its way counts where it lowers that.
  function getFree(): Tokens {
    const share = host.getReserveShare();
    return Math.min(getSpendable(grant, share), getSpendable(change ?? grant, share)) - used;
  }

  function getRoom(): Tokens {
    return Math.max(0, limit - total.allocated);
  }

  function getTarget(): GrantTarget {
    if (isReleased || clock.elapsed() < frugalUntil) return { spare: 0, reserve: 0 };
    const room = getRoom();
    const instances = host.countInstances();
    return getGrantTarget({ rate: rate.perSecond(), limit, room, instances });
  }

  // Only a clear difference is worth a transaction.
  function isOffBalance({ spare, reserve: forCuts }: GrantTarget): boolean {
    return isOff(grant.ceiling - used, spare) || isOff(grant.held - grant.ceiling, forCuts);
  }

  // The grant that covers what is needed and, as far as there is room, the targets.
  function plan(needed: Tokens): Grant {
    const { spare, reserve: forCuts } = getTarget();
    const least = used + needed;
    const held = Math.max(least, Math.min(least + spare + forCuts, grant.held + getRoom()));
    return { held, ceiling: Math.min(held, least + spare) };
  }

  function createChange({ held, ceiling }: Grant, isCall: boolean): Change {
    const checks = [
      { ...totalKey, version: total.version },
      { ...grantKey, version: grant.version },
    ];
    return { held, ceiling, isCall, checks };
  }

  async function commit(next: Change): Promise<boolean> {
    const isRepeat = change === next;
    change = next;
    hasConflicted = false;
    const { held, ceiling } = next;
    const allocated = total.allocated + held - grant.held;
    const calls = total.calls + (next.isCall ? 1 : 0);
    const outcome = await rows.transact({
      checks: next.checks,
      puts: [
        { ...totalKey, value: JSON.stringify({ allocated, calls }) },
        { ...grantKey, value: JSON.stringify({ held, ceiling }) },
      ],
      removals: [],
    });
    if (outcome.err) return takeError(outcome.val, isRepeat);
    refusals = 0;
    // The feed may have told of a later change meanwhile.
    if (outcome.val >= total.version) {
      total = { allocated, calls, version: outcome.val };
      readAt = clock.elapsed();
    }
    settleChange({ held, ceiling, version: outcome.val });
    return true;
  }

  function takeError(error: TransactError, isRepeat: boolean): boolean {
    if (error.kind === 'conflict') {
      refusals = 0;
      takeRows(error.rows);
      return true;
    }
    // Refused, and nothing older is under way: the change will not happen.
    if (error.kind === 'unavailable' && !isRepeat) change = undefined;
    noteSilence(error);
    return false;
  }

  // A conflict ends every earlier attempt: either it has happened, or its condition is gone.
  function takeRows(found: VersionedRow[]): void {
    const totalRow = findRow(found, totalKey);
    const grantRow = findRow(found, grantKey);
    if (totalRow) takeTotal(totalRow);
    readAt = clock.elapsed();
    const granted = grantRow && parseGrant(grantRow.value);
    if (grantRow && granted && grantRow.version !== grant.version) {
      settleChange({ ...granted, version: grantRow.version });
      return;
    }
    change = undefined;
    hasConflicted = true;
  }

  function settleChange(next: Grant & { version: number }): void {
    log(Diagnostics.grantResized, {
      account,
      ...next,
      before: grant.held,
      used,
      allocated: total.allocated,
      limit,
    });
    grant = next;
    change = undefined;
  }

  function noteSilence(error: { kind: string; message: string }): void {
    log(Diagnostics.budgetStoreFailed, { account, ...error, waiting: queue.count() });
    // A store that refuses may take the next call; one that is silent keeps nobody waiting.
    if (error.kind === 'unavailable') retryLater();
    else queue.refuse(UNREACHABLE);
  }

  function retryLater(): void {
    const delay = Math.min(MOST_RETRY_MS, REFUSED_RETRY_MS * 2 ** refusals);
    refusals += 1;
    clock.after(delay, work);
  }

  async function refresh(): Promise<boolean> {
    const listed = await rows.list(totalKey.table, account);
    if (listed.err) {
      noteSilence({ message: '', ...listed.val });
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
      if (queue.count() > 0) work();
    },
    takeTotal(row) {
      takeTotal(row);
      if (clock.elapsed() < frugalUntil) balance();
      else if (queue.count() > 0) work();
    },
    rebalance: balance,
    retire,
    async release(patience) {
      retire();
      const deadline = clock.elapsed() + patience;
      await working;
      while (grant.held > used && clock.elapsed() < deadline) {
        await sleep(clock, REFUSED_RETRY_MS);
        balance();
        await working;
      }
    },
    isCovered: () => used <= Math.min(grant.ceiling, change?.ceiling ?? grant.ceiling),
    describe: () => ({
      account,
      limit,
      allocated: total.allocated,
      held: grant.held,
      ceiling: grant.ceiling,
      used,
      waiting: queue.count(),
      isUncertain: change !== undefined,
    }),
  };
}

function isOff(value: Tokens, target: Tokens): boolean {
  return value < target * LEAST_PART || value > target * MOST_PART;
}
