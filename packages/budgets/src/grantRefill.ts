import { withTimeout } from '@pomeloroad/core';
import type { Clock, Condition, Milliseconds, Outcome, Tokens } from '@pomeloroad/core';
import type { HeldGrant } from './heldGrant';
import type { RecallSummary } from './keeperTypes';
import type { Ledger } from './ledger';
import type { ReservationQueue } from './reservationQueue';
import { getUnallocated } from './rows';
import type { Grant, LedgerError } from './types';

const BACKOFF_MIN_MS: Milliseconds = 25;
const BACKOFF_MAX_MS: Milliseconds = 400;

/** Dependencies of the refill of a keeper's grant. */
export interface GrantRefillHost {
  budget: string;
  clock: Clock;
  ledger: Ledger;
  queue: ReservationQueue;
  /** Notified when requests begin to wait or reservations end. */
  changed: Condition;
  /** The grant that the keeper holds at present. */
  getHeld(): HeldGrant;
  /** Tokens that the waiting requests need beyond what is free. */
  getShortage(): Tokens;
  /** Grows the grant as far as the budget allows. */
  grow(): Promise<Outcome<Grant, LedgerError>>;
  /** Asks the holders of other grants, given by their identifiers, to return unused tokens. */
  recall(budget: string, others: string[], tokens: Tokens): Promise<RecallSummary>;
}

/** Fetches tokens for the requests that wait for a keeper's grant. */
export interface GrantRefill {
  /** Fetches tokens until no request waits; does nothing if it is under way. */
  run(): Promise<void>;
}

/** Creates the refill of a keeper for which no request waits. */
export function createGrantRefill(host: GrantRefillHost): GrantRefill {
  const { budget, clock, ledger, queue, changed, getHeld, grow } = host;
  let isRunning = false;

  // Retries with exponential back-off until no request waits.
  async function run(): Promise<void> {
    if (isRunning) return;
    isRunning = true;
    let wait = BACKOFF_MIN_MS;
    while (queue.count() > 0) {
      await runOnce();
      if (queue.count() > 0) await withTimeout(clock, wait, changed.wait(), undefined);
      wait = Math.min(wait * 2, BACKOFF_MAX_MS);
    }
    isRunning = false;
  }

  async function runOnce(): Promise<void> {
    const grown = await grow();
    queue.serve();
    if (grown.err) {
      queue.refuseExpired({ kind: 'unreachable', message: 'the table service does not answer' });
      return;
    }
    if (queue.count() === 0) return;
    const remaining = await recallOthers();
    queue.serve();
    queue.refuseOversized(remaining);
    queue.refuseExpired({ kind: 'exhausted', remaining });
  }

  // Returns how many tokens may become available to a request here at most; `Infinity` if that
  // is unknown or if another holder has just released some.
  async function recallOthers(): Promise<Tokens> {
    const row = await ledger.readBudget(budget);
    if (row.err) return Infinity;
    const others = Object.keys(row.val.open).filter((id) => id !== getHeld().grant().id);
    const summary = await host.recall(budget, others, host.getShortage());
    if (summary.released > 0) {
      await grow();
      return Infinity;
    }
    return getUnspentTokens() + summary.pending + getUnallocated(row.val);
  }

  function getUnspentTokens(): Tokens {
    return getHeld().free() + getHeld().reserved();
  }

  return { run };
}
