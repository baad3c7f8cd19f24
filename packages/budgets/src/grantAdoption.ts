import { Diagnostics, getOwner } from '@pomeloroad/core';
import type { Identity, Log } from '@pomeloroad/core';
import type { Row, Table } from '@pomeloroad/storage';
import { createGrant } from './heldGrant';
import type { Keeper } from './keeperTypes';
import type { Ledger } from './ledger';
import { getGrantPrefix, LedgerPrefix, parseGrant } from './rows';
import type { WitnessLog } from './topics';
import type { Grant } from './types';
import type { SealOutcome, WitnessLink } from './witnessLink';

/** Dependencies of the adoption of grants. */
export interface GrantAdoptionHost {
  log: Log;
  self: Identity;
  table: Table;
  ledger: Ledger;
  witnesses: WitnessLink;
  /** Live instances of this data centre, this one included. */
  getLocalInstances(): string[];
  /** Whether the incarnation has left for good, according to the membership list. */
  isLost(identity: Identity): boolean;
  /** Creates the keeper of a budget that goes on with a lost holder's grant. */
  createSuccessor(budget: string, inherited: { grant: Grant; log: WitnessLog }): Keeper;
}

/** Takes over or closes the grants of lost holders. */
export interface GrantAdoption {
  /** Keepers of adopted grants, until the last reservation of each has ended. */
  listKeepers(): Keeper[];
  /** Takes over or closes grants of lost local holders, if this instance is in charge of that. */
  adoptLost(): Promise<void>;
  /** Closes the adopted grants that are no longer used. */
  closeUnused(): Promise<void>;
}

/** Creates the adoption of an instance that has adopted nothing. */
export function createGrantAdoption(host: GrantAdoptionHost): GrantAdoption {
  const { log: logEvent, self, ledger, witnesses } = host;
  const inherited = new Set<Keeper>();

  async function adoptLost(): Promise<void> {
    if (getOwner('grants', host.getLocalInstances()) !== self.instance) return;
    const rows = await host.table.scan(getGrantPrefix(self.dataCentre));
    if (rows.err) return;
    const grants = rows.val.map(toGrant).filter((grant) => host.isLost(grant.row.holder));
    await Promise.all(grants.map(adoptGrant));
  }

  // The witness's log lists what may have been sent to endpoints. With it, this instance continues
  // the grant where the lost holder stopped. Without a log the whole grant is charged.
  async function adoptGrant(lost: Grant): Promise<void> {
    const { witness: named, budget } = lost.row;
    const sealed: SealOutcome = named ? await witnesses.sealLog(lost.id, named) : { kind: 'whole' };
    if (sealed.kind === 'log') await takeOverGrant(lost, sealed.log, budget);
    else if (sealed.kind === 'whole' || (named && host.isLost(named))) await chargeGrant(lost);
  }

  async function takeOverGrant(lost: Grant, log: WitnessLog, budget: string): Promise<void> {
    const taken = await ledger.takeOver(lost, createGrant(self, budget));
    if (taken.err) return;
    const { closed, grant } = taken.val;
    const records = log.records.filter((record) => record.ordinal > closed.sequence);
    const rest = { reservations: log.reservations, records, isWhole: log.isWhole };
    inherited.add(host.createSuccessor(budget, { grant, log: rest }));
    const reservations = log.reservations.length;
    const { isWhole } = log;
    logEvent(Diagnostics.lostGrantClosed, { grant: lost.id, isWhole, reservations });
  }

  async function chargeGrant(lost: Grant): Promise<void> {
    const outcome = await ledger.seal(lost, (row) => row.size);
    if (outcome.err) return;
    const { writtenOff } = outcome.val.row;
    logEvent(Diagnostics.lostGrantClosed, { grant: lost.id, writtenOff });
  }

  // Grants may be adopted meanwhile, so only keepers that have closed are removed.
  async function closeUnused(): Promise<void> {
    await Promise.all([...inherited].map(closeIfUnused));
  }

  async function closeIfUnused(keeper: Keeper): Promise<void> {
    if (!keeper.isChargedInFull()) await keeper.release(true);
    if (await keeper.close()) inherited.delete(keeper);
  }

  return { listKeepers: () => [...inherited], adoptLost, closeUnused };
}

function toGrant(row: Row): Grant {
  const id = row.key.slice(LedgerPrefix.grant.length);
  return { id, version: row.version, row: parseGrant(row) };
}
