import type { Clock, Milliseconds } from '@pomeloroad/core';
import type { PeerNetwork } from '@pomeloroad/peers';
import type { Reservation } from './heldGrant';
import { WitnessTopics } from './topics';
import type { WitnessLog } from './topics';
import type { SettledRecord } from './types';

/** How long the log of a sealed grant is kept, so that a successor can ask again. */
const SEALED_RETENTION_MS: Milliseconds = 3_600_000;

/** Logs in memory of the grants of peers that this instance witnesses. */
export interface Witness {
  /** Returns the number of witnessed grants, and how many of them are sealed. */
  describe(): { grants: number; sealed: number };
  /** Returns the identifiers of the grants whose logs no successor has sealed. */
  listOpenGrants(): string[];
}

interface WitnessedGrant {
  isSealed: boolean;
  /** Whether the holder may spend the whole grant without noting its reservations. */
  isWhole: boolean;
  reservations: Map<string, Reservation>;
  records: Map<number, SettledRecord>;
}

/**
 * Registers the handlers with which grant holders note their reservations. Each log is kept in the
 * memory of one witness, without agreement among several, until its grant is closed or the
 * retention of a sealed log ends. Once a log is sealed, no further note is acknowledged.
 */
export function createWitness(clock: Clock, network: PeerNetwork): Witness {
  const grants = new Map<string, WitnessedGrant>();

  function findOpenGrant(grant: string): WitnessedGrant | undefined {
    const known = grants.get(grant);
    return known && !known.isSealed ? known : undefined;
  }

  network.handle(WitnessTopics.open, async (_from, { grant, log }) => {
    if (grants.get(grant)?.isSealed) return false;
    const reservations = new Map(log.reservations.map((entry) => [entry.id, entry]));
    const records = new Map(log.records.map((entry) => [entry.ordinal, entry]));
    grants.set(grant, { isSealed: false, isWhole: log.isWhole, reservations, records });
    return true;
  });
  network.handle(WitnessTopics.note, async (_from, { grant, reservation }) => {
    const known = findOpenGrant(grant);
    known?.reservations.set(reservation.id, reservation);
    return known !== undefined;
  });
  network.handle(WitnessTopics.end, async (_from, { grant, reservation, record, settled }) => {
    const known = findOpenGrant(grant);
    if (!known) return false;
    known.reservations.delete(reservation);
    if (record) known.records.set(record.ordinal, record);
    // Records that the grant's row covers are no longer needed.
    [...known.records.keys()]
      .filter((ordinal) => ordinal <= settled)
      .forEach((ordinal) => known.records.delete(ordinal));
    return true;
  });
  network.handle(WitnessTopics.drop, async (_from, { grant }) => {
    grants.delete(grant);
  });
  network.handle(WitnessTopics.seal, async (_from, { grant }): Promise<WitnessLog | undefined> => {
    const known = grants.get(grant);
    if (!known) return undefined;
    if (!known.isSealed) clock.after(SEALED_RETENTION_MS, () => grants.delete(grant));
    known.isSealed = true;
    return {
      isWhole: known.isWhole,
      reservations: [...known.reservations.values()],
      records: [...known.records.values()].sort((a, b) => a.ordinal - b.ordinal),
    };
  });

  return {
    describe: () => ({
      grants: grants.size,
      sealed: [...grants.values()].filter((grant) => grant.isSealed).length,
    }),
    listOpenGrants: () => [...grants.keys()].filter((grant) => findOpenGrant(grant) !== undefined),
  };
}
