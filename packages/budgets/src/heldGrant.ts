import { assert, createId } from '@pomeloroad/core';
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

/** Tokens reserved for one request. */
export interface Reservation {
  id: string;
  tokens: Tokens;
  owner: Identity;
  draft: UsageDraft;
  /** Every placement that was noted for the request. */
  placements: Placement[];
  /** Elapsed time at the reservation, by the clock of the holder that made it. */
  at: Milliseconds;
}

/** State of a grant in the memory of its holder. */
export interface HeldGrant {
  /** The grant's row as last read or written. */
  grant(): Grant;
  /** Tokens that may be spent at most; never more than any size that the row may have. */
  limit(): Tokens;
  spent(): Tokens;
  reserved(): Tokens;
  /** Tokens that are neither spent nor reserved. */
  free(): Tokens;
  /** Position of the last usage record, from 1; 0 if there is none. */
  sequence(): number;
  reservations(): ReadonlyMap<string, Reservation>;
  /** Records that the grant's row does not cover yet. */
  unsettledRecords(): SettledRecord[];
  /** Whether the outcome of an earlier write of the row is unknown, so it may still take effect. */
  isUncertain(): boolean;
  /** Reserves tokens for a request; they must be free. */
  reserve(request: ReservationRequest, at: Milliseconds): void;
  /**
   * Ends a reservation: charges what was used, at most what was reserved, and frees the rest.
   * Returns the record as it will be settled.
   */
  endReservation(reservation: string, record: UsageRecord | undefined): SettledRecord | undefined;
  /** Adds a placement to a reservation; returns false if the reservation is not held. */
  place(reservation: string, placement: Placement): boolean;
  /** Assigns a reservation to another owner; returns false if it is not held. */
  changeOwner(reservation: string, owner: Identity): boolean;
  /** Lowers the limit before the row is made smaller. The tokens in use must stay within it. */
  lowerLimit(limit: Tokens): void;
  /** Sets the row and the limit after a write that resized the grant. */
  applyResize(grant: Grant): void;
  /** Sets the row after another write. A lower limit stays, as its write may still take effect. */
  applySettlement(grant: Grant): void;
  /** Marks the outcome of the last write as unknown. */
  markUncertain(): void;
  /** Sets the witness of a grant that is not written yet. */
  setWitness(witness: Identity | undefined): void;
}

/** Creates the state of a new grant, or of one taken over with its witness's log. */
export function createHeldGrant(
  initial: Grant,
  log: Pick<WitnessLog, 'reservations' | 'records'> = { reservations: [], records: [] },
): HeldGrant {
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

  function dropSettledRecords(): void {
    unsettled = unsettled.filter((record) => record.ordinal > grant.row.sequence);
  }

  function chargeReservation(reservation: Reservation, record: UsageRecord): SettledRecord {
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
    unsettledRecords: () => unsettled,
    isUncertain: () => isUncertain,
    reserve({ id, tokens, owner, draft }, at) {
      assert(getFree() >= tokens, 'a reservation exceeds its grant');
      reservations.set(id, { id, tokens, owner, draft, placements: [], at });
      reserved += tokens;
    },
    endReservation(id, record) {
      const reservation = reservations.get(id);
      if (!reservation) return undefined;
      reservations.delete(id);
      reserved -= reservation.tokens;
      return record && record.tokens > 0 ? chargeReservation(reservation, record) : undefined;
    },
    place(id, placement) {
      const reservation = reservations.get(id);
      reservation?.placements.push(placement);
      return reservation !== undefined;
    },
    changeOwner(id, owner) {
      const reservation = reservations.get(id);
      if (reservation) reservations.set(id, { ...reservation, owner });
      return reservation !== undefined;
    },
    lowerLimit(next) {
      assert(next >= spent + reserved, 'a limit is below the tokens in use');
      limit = Math.min(limit, next);
    },
    applyResize(next) {
      grant = next;
      limit = next.row.size;
      isUncertain = false;
      dropSettledRecords();
    },
    applySettlement(next) {
      grant = next;
      limit = Math.min(limit, next.row.size);
      dropSettledRecords();
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

/** Returns an empty grant with a new identifier that is not written to the table yet. */
export function createGrant(self: Identity, budget: string): Grant {
  const id = `${self.dataCentre}/${self.instance}/${self.incarnation}/${budget}/${createId()}`;
  return {
    id,
    version: 0,
    row: {
      budget,
      holder: self,
      witness: undefined,
      size: 0,
      spent: 0,
      sequence: 0,
      state: 'open',
      writtenOff: 0,
    },
  };
}
