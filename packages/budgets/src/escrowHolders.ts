import type { Tokens } from '@pomeloroad/core';
import type { StoreEra, VersionedRow } from '@pomeloroad/storage';
import { parseGrant, splitEra } from './escrowRows';

/** Dependencies of the knowledge of holders. */
export interface HoldersHost {
  instance: string;
  /** Names of the instances that renew their leases; `undefined` until the leases have been read. */
  listInstances(): string[] | undefined;
}

/**
 * The other instances that may hold tokens of one account. One that renews no lease any more is a
 * holder by name until its grants have been read. From then on it is known what it holds, however
 * long it is gone, since it is granted nothing more before it renews its lease.
 */
export interface EscrowHolders {
  /** Holders by name, this instance included; `undefined` until the leases have been read. */
  list(): string[] | undefined;
  /** Those whose lease is not renewed any more and whose grants have not been read since. */
  listUnread(): string[];
  /** Records the grants of instances that were unread before the rows were read. */
  noteGrants(names: string[], rows: VersionedRow[], era: StoreEra): void;
  /** Tokens held by each incarnation of the instances that are gone and whose grants have been read. */
  getHeld(): Record<string, Tokens>;
}

/** Stands for the instance of a grant whose row was written by an earlier build. */
const UNNAMED = '';

/** Creates the knowledge of a process that has seen no other instance. */
export function createEscrowHolders({ instance, listInstances }: HoldersHost): EscrowHolders {
  /** Instances seen since their grants were last read. */
  const unsettled = new Set<string>();
  const heldByGone = new Map<string, Record<string, Tokens>>();

  function update(): string[] {
    const counted = listInstances() ?? [];
    counted.forEach((name) => {
      unsettled.add(name);
      // From here on the instance itself, or its successor, knows better.
      heldByGone.delete(name);
    });
    return counted;
  }

  function listUnread(): string[] {
    const counted = update();
    return [...unsettled].filter((name) => name !== instance && !counted.includes(name));
  }

  return {
    list() {
      update();
      return listInstances() && [...unsettled];
    },
    listUnread,
    noteGrants(names, rows, era) {
      const read = listUnread().filter((name) => names.includes(name));
      read.forEach((name) => unsettled.delete(name));
      [...read, UNNAMED].forEach((name) => {
        const held = listHeld(rows, era, name);
        heldByGone.set(name, { ...heldByGone.get(name), ...held });
      });
    },
    getHeld() {
      update();
      return Object.assign({}, ...heldByGone.values()) as Record<string, Tokens>;
    },
  };
}

function listHeld(rows: VersionedRow[], era: StoreEra, instance: string): Record<string, Tokens> {
  const held: Record<string, Tokens> = {};
  rows.forEach(({ key, value }) => {
    const at = splitEra(key);
    const grant = parseGrant(value);
    if (at.era === era && grant && (grant.instance ?? UNNAMED) === instance)
      held[at.name] = grant.held;
  });
  return held;
}
