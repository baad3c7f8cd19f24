import type { Clock, Log, Milliseconds, Outcome, Random, Tokens } from '@pomeloroad/core';
import type { RowChange, RowStore, StoreEra, VersionedRow } from '@pomeloroad/storage';
import type { Predecessor } from './escrowLease';
import type { Ancestry } from './escrowRestoration';

/** Dependencies of the escrow. */
export interface EscrowHost {
  clock: Clock;
  random: Random;
  log: Log;
  rows: RowStore;
  /** Name of the instance; it belongs to one machine, on which one process runs at a time. */
  instance: string;
  /** Identifies this run of the instance; a restart never reuses the grants of an earlier run. */
  incarnation: string;
  /** Whether the store does not answer at present; requests then do not wait for it. */
  isStoreUnresponsive(): boolean;
  /** The share of the reserve that may be spent now, from 0 to 1. */
  getReserveShare(): number;
  /** Time until this share of the reserve may be spent if the lease is not renewed meanwhile. */
  getReserveDelay(share: number): Milliseconds;
  /** The number of instances that share the budgets, this one included. */
  countInstances(): number;
  /** Names of these instances; `undefined` until the leases have been read. */
  listInstances(): string[] | undefined;
  /** Whether that number covers all instances that started together with this one. */
  isFleetCounted(): boolean;
  /** Time since the limits were last read. */
  getLimitsAge(): Milliseconds;
}

/** Tokens reserved for one request. */
export interface EscrowReservation {
  tokens: Tokens;
  /** Ends the reservation and frees the tokens that were not spent. Later calls do nothing. */
  settle(spent: Tokens): void;
}

/** Why no tokens could be reserved. */
export type EscrowError =
  /** The rest of the budget does not cover the request. */
  | { kind: 'exhausted' }
  /**
   * The tokens that this instance may spend do not cover the request, and the store does not
   * answer. `retryAfter` is the time after which they may cover it.
   */
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

/** The parts of the prepaid budgets that this instance may spend without asking the store. */
export interface Escrow {
  /** Reserves tokens; waits up to `maxWait` for tokens that other requests or instances return. */
  reserve(
    account: string,
    tokens: Tokens,
    maxWait: Milliseconds,
  ): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Sets the tokens that each account has paid for; an account that is missing has none. */
  setLimits(limits: ReadonlyMap<string, Tokens>): void;
  /** Applies changes of the budgets' rows from the store's feed. */
  applyChanges(changes: RowChange[]): void;
  /** Follows the store into a new era, in which it has come back from an older copy. */
  startEra(era: StoreEra): void;
  /**
   * Returns the tokens that an earlier run of this instance cannot have spent; `undefined` if there
   * was none. To be called once.
   */
  reclaim(predecessor: Predecessor | undefined): Promise<void>;
  /** Whether the ceilings in the grants' rows cover all tokens spent or reserved. */
  isUsageCovered(): boolean;
  /**
   * Fetches or returns tokens within the interval, so that each account holds what its rate of use
   * calls for. In a large fleet each call covers only some of the accounts.
   */
  rebalance(interval: Milliseconds): void;
  /** Returns all tokens that are not in use and holds no spare ones from now on. */
  retire(): void;
  /** Retires, and retries until all unused tokens are returned or the timeout has passed. */
  release(timeout: Milliseconds): Promise<void>;
  /** The state of each account for a state dump. */
  describe(): EscrowState[];
}

/** Table of the budgets' totals: one row for each account. */
export const BUDGET_TABLE = 'budgets';

/** Table of the grants: one row for each account and incarnation. */
export const GRANT_TABLE = 'grants';

/** The grant that this instance holds on the budget of one client account. */
export interface EscrowAccount {
  /** Reserves tokens; waits up to `maxWait` for tokens that other requests or instances return. */
  reserve(tokens: Tokens, maxWait: Milliseconds): Promise<Outcome<EscrowReservation, EscrowError>>;
  /** Sets the tokens that the account has paid for. */
  setLimit(limit: Tokens): void;
  /** Applies a change of the budget's row from the store's feed. */
  applyTotal(row: VersionedRow): void;
  /** Follows the store into a new era, in which it has come back from an older copy. */
  startEra(era: StoreEra): void;
  /** Sets what is known of the grants of earlier processes of this machine. */
  setAncestry(ancestry: Ancestry): void;
  /** Starts to resize the grant to what the rate of use calls for. */
  rebalance(): void;
  /** Returns all tokens that are not in use and holds no spare ones from now on. */
  retire(): void;
  /** Retires, and retries until all unused tokens are returned; resolves within the timeout. */
  release(timeout: Milliseconds): Promise<void>;
  /** Whether the ceiling in the grant's row covers all tokens spent or reserved. */
  isUsageCovered(): boolean;
  /** The account's state for a state dump. */
  describe(): EscrowState;
}
