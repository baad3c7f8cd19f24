import type { Clock, Log, Milliseconds, Outcome, Random, Tokens } from '@pomeloroad/core';
import type { RowChange, RowStore } from '@pomeloroad/storage';
import type { Predecessor } from './escrowLease';

/** What escrow needs from its surroundings. */
export interface EscrowHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  /** This life of the instance; a restart never reuses the grants of an earlier one. */
  incarnation: string;
  /** Whether the store does not answer now; then no request waits for it. */
  isStoreSilent(): boolean;
  /** The part of the reserve that may be spent now, 0 to 1. */
  getReserveShare(): number;
  /** Until this part of the reserve may be spent if the store stays silent. */
  getOpeningDelay(share: number): Milliseconds;
  /** How many instances share the budgets, this one included. */
  countInstances(): number;
}

/** Tokens set aside for one request. */
export interface EscrowReservation {
  tokens: Tokens;
  /** Ends the reservation; what was not spent is free again. Later calls change nothing. */
  settle(spent: Tokens): void;
}

/** Why no tokens could be set aside. */
export type EscrowError =
  /** What is left of the budget does not cover the request. */
  | { kind: 'exhausted' }
  /** What may be spent does not cover it, and the store does not answer; when it may do so. */
  | { kind: 'unreachable'; retryAfter: Milliseconds };

/** Escrow of one client account, as a state dump shows it. */
export interface EscrowState {
  account: string;
  limit: Tokens;
  allocated: Tokens;
  held: Tokens;
  ceiling: Tokens;
  used: Tokens;
  waiting: number;
  isUncertain: boolean;
}

/** Parts of the prepaid budgets that this instance may spend without asking. */
export interface Escrow {
  /** Sets tokens aside; waits at most as long as told for what others may return. */
  reserve(
    account: string,
    tokens: Tokens,
    patience: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Takes over what each account has paid for. */
  setLimits(limits: ReadonlyMap<string, Tokens>): void;
  /** Takes over changes of the budgets' rows, as the store's feed tells them. */
  takeChanges(changes: RowChange[]): void;
  /** Gives back what an earlier life can't have spent. */
  reclaim(predecessor: Predecessor): Promise<void>;
  /** Whether the rows of all grants cover what is spent or set aside. */
  isCovered(): boolean;
  /**
   * Fetches or returns tokens within the interval, so that each account holds what its rate of use
   * calls for. In a large fleet each call looks at a part of the accounts.
   */
  rebalance(interval: Milliseconds): void;
  /** From now on holds nothing but what requests use; for the shutdown. */
  retire(): void;
  /** Returns the rest; tries again until it is done or the time has passed. */
  release(patience: Milliseconds): Promise<void>;
  describe(): EscrowState[];
}

/** Table of the budgets' totals: one row for each account. */
export const BUDGET_TABLE = 'budgets';

/** Table of the grants: one row for each account and incarnation. */
export const GRANT_TABLE = 'grants';
