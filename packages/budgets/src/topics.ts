import { createTopic } from '@pomeloroad/peers';
import type { Identity, Tokens } from '@pomeloroad/core';
import type { Placement, ReservationError, ReservationRequest, UsageRecord } from './types';

/** Reply to a reservation. */
export type ReservationReply = { kind: 'reserved' } | { kind: 'refused'; error: ReservationError };

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
  settle: createTopic<SettlementRequest>('budget.settle'),
  place: createTopic<PlacementRequest, boolean>('budget.place'),
  recall: createTopic<RecallRequest, RecallReply>('budget.recall'),
  confirm: createTopic<ConfirmRequest, string[]>('budget.confirm'),
  adopt: createTopic<AdoptionRequest, boolean>('budget.adopt'),
} as const;
