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
  grant(): Grant;
  /** What may be spent at most: never above any size that the row may have. */
  limit(): Tokens;
  spent(): Tokens;
  reserved(): Tokens;
  /** Tokens that are neither spent nor reserved. */
  free(): Tokens;
  /** Position of the last usage record. */
  sequence(): number;
  reservations(): ReadonlyMap<string, Reservation>;
  /** Records that the grant's row does not cover yet. */
  unsettled(): SettledRecord[];
  /** Whether an earlier write of the row had no answer and may still take effect. */
  isUncertain(): boolean;
  /** Takes tokens for a request. */
  reserve(request: ReservationRequest, at: Milliseconds): void;
  /** Ends a reservation: charges what was used, at most what was reserved, and frees the rest. */
  end(reservation: string, record: UsageRecord | undefined): void;
  place(reservation: string, placement: Placement): boolean;
  changeOwner(reservation: string, owner: Identity): boolean;
  /** Puts tokens out of use before the row is made smaller. */
  lower(limit: Tokens): void;
  /** Takes over the row after a write that resized it. */
  adopt(grant: Grant): void;
  /** Takes over the row after a settlement; a reduction that may still take effect stays. */
  adoptSettled(grant: Grant): void;
  markUncertain(): void;
}

/** Creates the holding of a grant that is not opened yet. */
export function createHolding(initial: Grant): Holding {
  const reservations = new Map<string, Reservation>();
  let grant = initial;
  let limit = 0;
  let spent = 0;
  let reserved = 0;
  let sequence = 0;
  let unsettled: SettledRecord[] = [];
  let isUncertain = false;

  function dropSettled(): void {
    unsettled = unsettled.filter((record) => record.ordinal > grant.row.sequence);
  }

  function charge(reservation: Reservation, record: UsageRecord): void {
    const tokens = Math.min(record.tokens, reservation.tokens);
    spent += tokens;
    sequence += 1;
    unsettled.push({ ...record, tokens, grant: grant.id, ordinal: sequence });
  }

  const getFree = () => limit - spent - reserved;

  return {
    grant: () => grant,
    limit: () => limit,
    spent: () => spent,
    reserved: () => reserved,
    free: getFree,
    sequence: () => sequence,
    reservations: () => reservations,
    unsettled: () => unsettled,
    isUncertain: () => isUncertain,
    reserve({ id, tokens, owner, draft }, at) {
      assert(getFree() >= tokens, 'a reservation exceeds its grant');
      reservations.set(id, { id, tokens, owner, draft, placements: [], at });
      reserved += tokens;
    },
    end(id, record) {
      const reservation = reservations.get(id);
      if (!reservation) return;
      reservations.delete(id);
      reserved -= reservation.tokens;
      if (record && record.tokens > 0) charge(reservation, record);
    },
    place(id, placement) {
      const held = reservations.get(id);
      held?.placements.push(placement);
      return held !== undefined;
    },
    changeOwner(id, owner) {
      const held = reservations.get(id);
      if (held) reservations.set(id, { ...held, owner });
      return held !== undefined;
    },
    lower(next) {
      assert(next >= spent + reserved, 'tokens in use are returned');
      limit = Math.min(limit, next);
    },
    adopt(next) {
      grant = next;
      limit = next.row.size;
      isUncertain = false;
      dropSettled();
    },
    adoptSettled(next) {
      grant = next;
      limit = Math.min(limit, next.row.size);
      dropSettled();
    },
    markUncertain() {
      isUncertain = true;
    },
  };
}
