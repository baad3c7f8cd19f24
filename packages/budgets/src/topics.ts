import { createTopic } from '@pomeloroad/peers';
import type { Identity, Tokens } from '@pomeloroad/core';
import type { Reservation } from './holding';
import type {
  Placement,
  ReservationError,
  ReservationRequest,
  SettledRecord,
  UsageRecord,
} from './types';

/** What a witness knows of a grant beyond its row. */
export interface WitnessLog {
  /** Reservations of requests that may have been sent to an endpoint. */
  reservations: Reservation[];
  /** Usage records that the row may not cover yet, in order. */
  records: SettledRecord[];
  /** Whether the holder may have spent more than this says: then the whole grant is charged. */
  isWhole: boolean;
}

/** Whether the keeper holds the reservation. */
export type SettlementReply = 'settled' | 'unknown';

/** Reply to a reservation. */
export type ReservationReply =
  /** `isPlaced`: the placement of the request is noted, and it may be sent. */
  { kind: 'reserved'; isPlaced: boolean } | { kind: 'refused'; error: ReservationError };

/** End of a reservation; without a record nothing was used. */
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

/** Asks a holder to return what it does not use. */
export interface RecallRequest {
  budget: string;
  tokens: Tokens;
}

/** What a holder returned, and what it may still return later. */
export interface RecallReply {
  released: Tokens;
  reserved: Tokens;
}

/** Asks the owner of reservations which of them it does not know. */
export interface ConfirmRequest {
  reservations: string[];
}

/** Hands reservations of a lost instance to the one that resumes its request. */
export interface AdoptionRequest {
  budget: string;
  reservation: string;
  owner: Identity;
}

/** Messages between budget keepers and those who use them. */
export const BudgetTopics = {
  reserve: createTopic<ReservationRequest, ReservationReply>('budget.reserve'),
  settle: createTopic<SettlementRequest, SettlementReply>('budget.settle'),
  place: createTopic<PlacementRequest, boolean>('budget.place'),
  recall: createTopic<RecallRequest, RecallReply>('budget.recall'),
  confirm: createTopic<ConfirmRequest, string[]>('budget.confirm'),
  adopt: createTopic<AdoptionRequest, boolean>('budget.adopt'),
} as const;

/** Messages between the holder of a grant, its witness and its successor. */
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
