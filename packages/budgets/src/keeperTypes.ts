import type { Clock, Identity, Log, Outcome, Tokens } from '@pomeloroad/core';
import type { Reservation } from './heldGrant';
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

/** Services and settings that a budget keeper depends on. */
export interface KeeperHost {
  clock: Clock;
  log: Log;
  self: Identity;
  ledger: Ledger;
  policy: GrantPolicy;
  /** Number of data centres that share the budgets. */
  getDataCentres(): number;
  witnesses: WitnessLink;
  /** Whether the table service does not answer. */
  isTableUnreachable(): boolean;
  /** Asks the holders of other grants, given by their identifiers, to return unused tokens. */
  recall(budget: string, others: string[], tokens: Tokens): Promise<RecallSummary>;
}

/** Tokens that the other holders of a budget returned or may still return. */
export interface RecallSummary {
  released: Tokens;
  /** Unspent tokens that the holders that replied still have. */
  pending: Tokens;
}

/** Holds one data centre's open grant of one budget. */
export interface Keeper {
  /** Reserves tokens, waiting for them up to the request's patience. A repeat succeeds again. */
  reserve(request: ReservationRequest): Promise<Outcome<void, ReservationError>>;
  /** Ends a reservation; `settled` once a successor would know of it too. A repeat is harmless. */
  settle(reservation: string, record: UsageRecord | undefined): Promise<SettlementReply>;
  /**
   * Notes the endpoint on which a request is about to run. Nothing of the request may be sent
   * unless this resolves to true.
   */
  place(reservation: string, placement: Placement): Promise<boolean>;
  /** Assigns a reservation to another owner; false if it is not held here or cannot be noted. */
  changeOwner(reservation: string, owner: Identity): Promise<boolean>;
  /**
   * Finds a witness if there is none, and replaces one that cannot be reached. While the table is
   * unreachable, a witness cannot be replaced; its log then allows the holder to spend without
   * notes, and the whole grant is charged if the holder is lost.
   */
  maintainWitness(isTableUnreachable: boolean): Promise<void>;
  /**
   * Returns unused tokens to the budget and resolves to their number, which is 0 while requests
   * wait here, unless `mustYield` is set.
   */
  release(mustYield: boolean): Promise<Tokens>;
  /** Returns idle tokens beyond what the recent rate of use requires. */
  trim(): Promise<void>;
  /** Grows an adaptive grant if less than half of the tokens free after its last resize remain. */
  growEarly(): Promise<void>;
  reservations(): Reservation[];
  /** Whether the reservation is held here or ended here recently. */
  hasReservation(reservation: string): boolean;
  /** Usage records that the grant's row does not cover yet. */
  unsettledRecords(): SettledRecord[];
  /** Updates the grant's row to cover the records up to this ordinal, which must be stored. */
  advanceRow(grant: string, sequence: number): Promise<void>;
  /** Whether closing charges the unspent rest too, because the lost holder may have used it. */
  isChargedInFull(): boolean;
  /** Closes the grant unless it is in use or not settled yet; returns whether it is closed. */
  close(): Promise<boolean>;
  describe(): KeeperStatus;
}

/** State of a keeper for the state dump. */
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
