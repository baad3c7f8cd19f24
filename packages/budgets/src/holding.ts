import { assert } from '@pomeloroad/core';
import type { Identity, Milliseconds, Tokens } from '@pomeloroad/core';
import type {
  Grant,
  Placement,
  ReservationRequest,
  SettledRecord,
  UsageDraft,
  UsageRecord,
} from './types';

/** Tokens held for one request. */
export interface Reservation {
  id: string;
  tokens: Tokens;
  owner: Identity;
  draft: UsageDraft;
  placements: Placement[];
  /** Time of the reservation, by the clock's elapsed time. */
  at: Milliseconds;
}

/** What the holder of a grant keeps in memory about it. */
export interface Holding {
  grant: Grant;
  /** What may be spent at most: never above any size that the row may have. */
  limit: Tokens;
  spent: Tokens;
  reserved: Tokens;
  sequence: number;
  reservations: Map<string, Reservation>;
  /** Records that the grant's row does not cover yet. */
  unsettled: SettledRecord[];
  /** An earlier write of the row had no answer and may still take effect. */
  isUncertain: boolean;
  isSealed: boolean;
}

/** Creates the holding of a grant that is not opened yet. */
export function createHolding(grant: Grant): Holding {
  return {
    grant,
    limit: 0,
    spent: 0,
    reserved: 0,
    sequence: 0,
    reservations: new Map(),
    unsettled: [],
    isUncertain: false,
    isSealed: false,
  };
}

/** Tokens of the grant that are neither spent nor reserved. */
export function getFree(holding: Holding): Tokens {
  return holding.isSealed ? 0 : holding.limit - holding.spent - holding.reserved;
}

/** Takes tokens for a request. */
export function addReservation(
  holding: Holding,
  request: ReservationRequest,
  at: Milliseconds,
): void {
  assert(getFree(holding) >= request.tokens, 'a reservation exceeds its grant');
  const { id, tokens, owner, draft } = request;
  holding.reservations.set(id, { id, tokens, owner, draft, placements: [], at });
  holding.reserved += tokens;
}

/** Ends a reservation: charges what was used, at most what was reserved, and frees the rest. */
export function endReservation(holding: Holding, id: string, record: UsageRecord | undefined): void {
  const reservation = holding.reservations.get(id);
  if (!reservation) return;
  holding.reservations.delete(id);
  holding.reserved -= reservation.tokens;
  if (!record || record.tokens === 0) return;
  const tokens = Math.min(record.tokens, reservation.tokens);
  holding.spent += tokens;
  holding.sequence += 1;
  const settled = { ...record, tokens, grant: holding.grant.id, ordinal: holding.sequence };
  holding.unsettled.push(settled);
}

/** Takes over what the table holds after a write or a read. */
export function adoptGrant(holding: Holding, grant: Grant): void {
  holding.grant = grant;
  holding.limit = grant.row.size;
  holding.isUncertain = false;
  dropSettled(holding);
}

function dropSettled(holding: Holding): void {
  const { sequence } = holding.grant.row;
  holding.unsettled = holding.unsettled.filter((record) => record.ordinal > sequence);
}
