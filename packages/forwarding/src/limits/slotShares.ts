import { Diagnostics, rankNodes } from '@pomeloroad/core';
import { startSharedLimits } from './sharedLimits';
import type { SharedLimitsHost } from './sharedLimits';
import type { StatedLimitKind, StatedLimits } from './statedLimits';

const BRITTLENESS: StatedLimitKind = {
  partition: 'brittle',
  named: Diagnostics.brittlenessNamed,
  ended: Diagnostics.brittlenessEnded,
};

/** Dependencies of sharing the slots of brittle endpoints. */
export interface SlotSharesHost extends SharedLimitsHost {
  /** Returns the endpoint's slots; `undefined` if it is not known. */
  findSlots(endpoint: string): number | undefined;
  /** Sets the requests that this instance may have in flight at each brittle endpoint. */
  setSlotShares(shares: Map<string, number>): void;
}

/**
 * Starts sharing the slots of endpoints that say that they are brittle, so that all instances together send
 * no more than is run at once and nothing has to be rejected.
 */
export function startSlotShares(host: SlotSharesHost): StatedLimits {
  return startSharedLimits(host, BRITTLENESS, {
    getShare: (endpoint, _, instances) =>
      getSlotShare(endpoint, host.findSlots(endpoint) ?? 0, host.instance, instances),
    setShares: (shares) => host.setSlotShares(shares),
  });
}

/**
 * Returns the slots of an endpoint that belong to an instance: an equal part, and one of the rest for those
 * that come first in an order of the endpoint's own.
 */
export function getSlotShare(
  endpoint: string,
  slots: number,
  instance: string,
  instances: readonly string[],
): number {
  if (instances.length === 0) return 0;
  const rank = rankNodes(endpoint, instances).indexOf(instance);
  if (rank < 0) return 0;
  const rest = slots % instances.length;
  return Math.floor(slots / instances.length) + (rank < rest ? 1 : 0);
}
