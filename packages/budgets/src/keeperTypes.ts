import type { Clock, Identity, Log, Outcome, Tokens } from '@pomeloroad/core';
import type { Reservation } from './holding';
import type { Ledger } from './ledger';
import type { GrantPolicy } from './sizing';
import type { SettlementReply } from './topics';
import type {
  Placement,
  ReservationError,
  ReservationRequest,
  SettledRecord,
  UsageRecord,
} from './types';
import type { WitnessLink } from './witnessLink';

/** What a keeper needs from its surroundings. */
export interface KeeperHost {
  clock: Clock;
  log: Log;
  self: Identity;
  ledger: Ledger;
  policy: GrantPolicy;
  /** How many data centres draw on the budgets. */
  getDataCentres(): number;
  witnesses: WitnessLink;
  /** Whether the table service does not answer. */
  isSilent(): boolean;
  /** Asks the other holders for unused tokens; resolves to what they hold after that. */
  recall(budget: string, others: string[], tokens: Tokens): Promise<RecallSummary>;
}

/** What the other holders of a budget returned, and what may still come free. */
export interface RecallSummary {
  released: Tokens;
  /** Tokens that are reserved or held out of reach. */
  pending: Tokens;
}

/** Holds one data centre's open grant of one budget. */
export interface Keeper {
  reserve(request: ReservationRequest): Promise<Outcome<void, ReservationError>>;
  /** Ends a reservation; resolves once a successor would know it too. */
  settle(reservation: string, record: UsageRecord | undefined): Promise<SettlementReply>;
  /** Notes where a request is about to run; only then may anything of it be sent. */
  place(reservation: string, placement: Placement): Promise<boolean>;
  adopt(reservation: string, owner: Identity): Promise<boolean>;
  /**
   * Replaces a witness that is gone. With the platform silent, which rules that out, lets this
   * holder spend its grant without its witness: at a loss the whole grant is charged then.
   */
  maintainWitness(isSilent: boolean): Promise<void>;
  /** Returns unused tokens to the budget; while requests wait here, only if made to yield. */
  release(mustYield: boolean): Promise<Tokens>;
  /** Returns idle tokens above what the recent rate calls for. */
  trim(): Promise<void>;
  /** Grows the grant before it runs short. */
  stockUp(): Promise<void>;
  reservations(): Reservation[];
  holds(reservation: string): boolean;
  unsettled(): SettledRecord[];
  /** Moves the grant's row forward over the records up to this ordinal, which are stored now. */
  settleRow(grant: string, sequence: number): Promise<void>;
  /** Whether what is left of the grant is charged at its end, as the lost holder may have used it. */
  isChargedWhole(): boolean;
  /** Closes the grant if nothing is reserved; whether it is closed now. */
  close(): Promise<boolean>;
  describe(): KeeperStatus;
}

/** A keeper as the dump shows it. */
export interface KeeperStatus {
  budget: string;
  grant: string;
  size: Tokens;
  spent: Tokens;
  reserved: Tokens;
  free: Tokens;
  reservations: number;
  unsettled: number;
  waiting: number;
  rate: number;
}
