import { createTopic } from '@pomeloroad/peers';
import type { Identity, Tokens } from '@pomeloroad/core';
import type { Reservation } from './heldGrant';
import type {
  Placement,
  ReservationError,
  ReservationRequest,
  SettledRecord,
  UsageRecord,
} from './types';

/** What a witness has logged of a grant in addition to the grant's row. */
export interface WitnessLog {
  /** Reservations of requests that may have been sent to an endpoint. */
  reservations: Reservation[];
  /** Usage records that the row may not cover yet, in order. */
  records: SettledRecord[];
  /** Whether the holder may have spent more than is logged; the whole grant is charged then. */
  isWhole: boolean;
}

/** Whether the end of the reservation is recorded; on `unknown` the settlement is to be retried. */
export type SettlementReply = 'settled' | 'unknown';

/** Reply to a reservation request. */
export type ReservationReply =
  /** `isPlaced` is set if the placement is noted, so that the request may be sent. */
  { kind: 'reserved'; isPlaced: boolean } | { kind: 'refused'; error: ReservationError };

/** Ends a reservation; without a record nothing was used. */
export interface SettlementRequest {
  budget: string;
  reservation: string;
  record?: UsageRecord;
}

/** Tells the keeper where a reserved request is about to run. */
export interface PlacementRequest {
  budget: string;
  reservation: string;
  placement: Placement;
}

/** Asks a holder to return tokens that it does not use. */
export interface RecallRequest {
  budget: string;
  tokens: Tokens;
}

/** Tokens that a holder returned or may still return. */
export interface RecallReply {
  released: Tokens;
  /** Unspent tokens that the holder keeps, reserved or free. */
  reserved: Tokens;
}

/** Asks an owner which of these reservations it does not know. */
export interface ConfirmRequest {
  reservations: string[];
}

/** Assigns the reservation of a lost instance to the one that resumes its request. */
export interface AdoptionRequest {
  budget: string;
  reservation: string;
  owner: Identity;
}

/** Topics of the messages between budget keepers and their clients. */
export const BudgetTopics = {
  reserve: createTopic<ReservationRequest, ReservationReply>('budget.reserve'),
  settle: createTopic<SettlementRequest, SettlementReply>('budget.settle'),
  place: createTopic<PlacementRequest, boolean>('budget.place'),
  recall: createTopic<RecallRequest, RecallReply>('budget.recall'),
  confirm: createTopic<ConfirmRequest, string[]>('budget.confirm'),
  adopt: createTopic<AdoptionRequest, boolean>('budget.adopt'),
} as const;

/** Topics of the messages between the holder of a grant, its witness and its successor. */
export const WitnessTopics = {
  open: createTopic<{ grant: string; log: WitnessLog }, boolean>('witness.open'),
  note: createTopic<{ grant: string; reservation: Reservation }, boolean>('witness.note'),
  end: createTopic<
    { grant: string; reservation: string; record?: SettledRecord; settled: number },
    boolean
  >('witness.end'),
  drop: createTopic<{ grant: string }>('witness.drop'),
  seal: createTopic<{ grant: string }, WitnessLog | undefined>('witness.seal'),
} as const;
