import type { Escrow } from '@pomeloroad/budgets';
import type { Admission, Endpoints } from '@pomeloroad/routing';
import type { GaugeSources } from './forwardGauges';
import type { StatedLimits } from './limits/statedLimits';
import type { RelayDirectory } from './relays/relayDirectory';

/** State of an instance that a dump shows. */
export interface DescriptionSources extends Omit<GaugeSources, 'getDroppedLines'> {
  instance: string;
  incarnation: string;
  /** Returns the number of requests that are being forwarded. */
  countOpen(): number;
  countInstances(): number;
  admission: Pick<Admission, 'waiting'>;
  escrow: Pick<Escrow, 'describe'>;
  endpoints: Pick<Endpoints, 'list'>;
  rateLimits: Pick<StatedLimits, 'list'>;
  slotShares: Pick<StatedLimits, 'list'>;
  relays: Pick<RelayDirectory, 'list'>;
}

/** Returns a dump of the state for operators. */
export function describeInstance(sources: DescriptionSources): unknown {
  return {
    instance: sources.instance,
    incarnation: sources.incarnation,
    configuration: sources.getConfigurationVersion(),
    configurationAge: sources.getConfigurationAge(),
    storeEra: sources.getStoreEra(),
    open: sources.countOpen(),
    waiting: sources.admission.waiting(),
    instances: sources.countInstances(),
    budgets: sources.escrow.describe(),
    endpoints: sources.endpoints.list(),
    rateLimits: sources.rateLimits.list(),
    brittleEndpoints: sources.slotShares.list(),
    blockedSuspects: sources.listBlockedSuspects(),
    relays: sources.relays.list().map((relay) => relay.instance),
    cutPaths: sources.listCutPaths(),
  };
}
