import { Err, Ok } from 'ts-results';
import { sleep } from '@pomeloroad/core';
import type { Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import { createEscrowQueue } from './escrowQueue';
import type { EscrowQueue } from './escrowQueue';
import { getSpendable } from './escrowRows';
import { createEscrowShortage } from './escrowShortage';
import type { EscrowShortage } from './escrowShortage';
import type { EscrowTransactions } from './escrowTransactionTypes';
import type { EscrowError, EscrowHost, EscrowReservation } from './escrowTypes';

/** Time within which the others return what they can spare: a pause of their feed and a transaction. */
const RETURN_TIME_MS: Milliseconds = 400;
/** Time within which all instances that are not missing put back their grants. */
const RESTORE_USUAL_MS: Milliseconds = 3000;
/** Longest time that a request waits until more of the reserve may be spent. */
const RESERVE_MAX_WAIT_MS = 350;
/** Shortest such wait. */
const RESERVE_MIN_WAIT_MS = 1;
/** Longest `retryAfter`; used also if the whole reserve is too small. Outages last some seconds. */
const RETRY_AFTER_MAX_MS: Milliseconds = 3000;

/** The error of a request that the store left without an answer. */
export const UNREACHABLE_ERROR: EscrowError = {
  kind: 'unreachable',
  retryAfter: RETRY_AFTER_MAX_MS,
};

/** Dependencies of the reservations. */
export interface EscrowReservationsHost {
  escrow: EscrowHost;
  transactions: EscrowTransactions;
  /** Tokens of the budget that no instance holds and that may be granted now. */
  getUnallocated(): Tokens;
  /** Called when a request begins to wait, and when tokens have become free while requests wait. */
  fetchTokens(): void;
}

/** The requests of an account that have reserved tokens of its grant here, or wait for some. */
export interface EscrowReservations {
  /** Reserves tokens; waits up to `maxWait` for tokens that other requests or instances return. */
  reserve(tokens: Tokens, maxWait: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Tokens spent or reserved. */
  getUsed(): Tokens;
  /** The requests that wait. */
  queue: EscrowQueue;
}

/** Creates the reservations of an account that has spent nothing. */
export function createEscrowReservations(host: EscrowReservationsHost): EscrowReservations {
  const { transactions, getUnallocated, fetchTokens } = host;
  const { clock } = host.escrow;
  const { getGrant, getPendingChange } = transactions;
  let used: Tokens = 0;
  const shortage = createEscrowShortage(clock);
  /** What is short while it is not known what is left of the budget. */
  const restShortage = createEscrowShortage(clock);
  const queue = createEscrowQueue({
    clock,
    getFreeTokens,
    openReservation,
    judgeWait,
    findRefusal,
  });

  async function reserve(
    tokens: Tokens,
    maxWait: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>> {
    const deadline = clock.elapsed() + maxWait;
    for (;;) {
      if (queue.count() === 0 && tokens <= getFreeTokens()) return Ok(openReservation(tokens));
      const refusal = findRefusal(tokens);
      if (refusal) return Err(refusal);
      const left = deadline - clock.elapsed();
      if (!host.escrow.isStoreUnresponsive() && left > 0) {
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
    fetchTokens();
    return waited;
  }

  // Time until the reserve covers the request as well, if nothing else changes.
  function getReserveDelay(tokens: Tokens): Milliseconds {
    const { held, ceiling } = getGrant();
    const missing = used + tokens - ceiling;
    const reserveTokens = held - ceiling;
    if (missing > reserveTokens) return Infinity;
    return Math.max(RESERVE_MIN_WAIT_MS, host.escrow.getReserveDelay(missing / reserveTokens));
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
        if (queue.count() > 0) fetchTokens();
      },
    };
  }

  function judgeWait(tokens: Tokens, since: Milliseconds): EscrowError {
    const isCovered = tokens <= getFreeTokens() + getUnallocated();
    if (isCovered || transactions.getTotalReadAt() < since) return UNREACHABLE_ERROR;
    const { known, error } = getShortage();
    if (clock.elapsed() - since >= RETURN_TIME_MS) known?.note(tokens);
    return error;
  }

  // Once a request has waited in vain the others can spare nothing. What they return later is unallocated,
  // so that it counts as available.
  function findRefusal(tokens: Tokens): EscrowError | undefined {
    if (host.escrow.isStoreUnresponsive() || tokens <= getAvailable()) return undefined;
    const { known, error } = getShortage();
    return known?.covers(tokens) ? error : undefined;
  }

  // What is short while other instances have to put back their grants says nothing of the time after.
  function getShortage(): { known: EscrowShortage | undefined; error: EscrowError } {
    if (transactions.isRestKnown()) return { known: shortage, error: { kind: 'exhausted' } };
    const isLasting = transactions.getEraAge() >= RESTORE_USUAL_MS;
    return { known: isLasting ? restShortage : undefined, error: UNREACHABLE_ERROR };
  }

  // Tokens that this instance may reserve now or after a transaction.
  function getAvailable(): Tokens {
    return getGrant().held + getUnallocated() - used;
  }

  // Tokens that may be reserved now. A pending change counts only if it lowers this number.
  function getFreeTokens(): Tokens {
    const share = host.escrow.getReserveShare();
    const grant = getGrant();
    const pending = getPendingChange() ?? grant;
    return Math.min(getSpendable(grant, share), getSpendable(pending, share)) - used;
  }

  return { reserve, getUsed: () => used, queue };
}
