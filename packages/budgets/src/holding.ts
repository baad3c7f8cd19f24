import { assert } from '@pomeloroad/core';
import type { Identity, Milliseconds, Tokens } from '@pomeloroad/core';
import type { WitnessLog } from './topics';
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
  /**
   * Ends a reservation: charges what was used, at most what was reserved, and frees the rest.
   * Returns the record as it will be settled.
   */
  end(reservation: string, record: UsageRecord | undefined): SettledRecord | undefined;
  place(reservation: string, placement: Placement): boolean;
  changeOwner(reservation: string, owner: Identity): boolean;
  /** Puts tokens out of use before the row is made smaller. */
  lower(limit: Tokens): void;
  /** Takes over the row after a write that resized it. */
  adopt(grant: Grant): void;
  /** Takes over the row after a settlement; a reduction that may still take effect stays. */
  adoptSettled(grant: Grant): void;
  markUncertain(): void;
  /** Names the witness of a grant that is not written yet. */
  setWitness(witness: Identity | undefined): void;
}

/** Creates the holding of a grant: a new one, or one taken over with its witness's log. */
export function createHolding(
  initial: Grant,
  log: Pick<WitnessLog, 'reservations' | 'records'> = { reservations: [], records: [] },
): Holding {
  const reservations = new Map(log.reservations.map((entry) => [entry.id, entry]));
  let grant = initial;
  let limit = initial.version === 0 ? 0 : initial.row.size;
  let unsettled = log.records.map((record, index) => ({
    ...record,
    grant: initial.id,
    ordinal: index + 1,
  }));
  let spent = sumTokens(unsettled);
  let reserved = sumTokens(log.reservations);
  let sequence = unsettled.length;
  let isUncertain = false;

  function dropSettled(): void {
    unsettled = unsettled.filter((record) => record.ordinal > grant.row.sequence);
  }

  function charge(reservation: Reservation, record: UsageRecord): SettledRecord {
    const tokens = Math.min(record.tokens, reservation.tokens);
    spent += tokens;
    sequence += 1;
    const settled = { ...record, tokens, grant: grant.id, ordinal: sequence };
    unsettled.push(settled);
    return settled;
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
      if (!reservation) return undefined;
      reservations.delete(id);
      reserved -= reservation.tokens;
      return record && record.tokens > 0 ? charge(reservation, record) : undefined;
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
    setWitness(witness) {
      grant = { ...grant, row: { ...grant.row, witness } };
    },
  };
}

function sumTokens(parts: { tokens: Tokens }[]): Tokens {
  return parts.reduce((sum, part) => sum + part.tokens, 0);
}
