import type { Endpoints } from '@pomeloroad/routing';
import type { EndpointDirectory } from '../store/endpointDirectory';
import { startRateLimits } from './rateLimits';
import type { SharedLimitsHost } from './sharedLimits';
import { startSlotShares } from './slotShares';
import type { StatedLimits } from './statedLimits';

/** Dependencies of keeping to the limits that endpoints state. */
export interface EndpointLimitsHost extends Omit<SharedLimitsHost, 'isListed'> {
  directory: Pick<EndpointDirectory, 'find'>;
  endpoints: Pick<Endpoints, 'setRateShares' | 'setSlotShares'>;
  /** Called after this instance's shares were set. */
  onShares(): void;
}

/** The limits that endpoints state, by kind. */
export interface EndpointLimits {
  rateLimits: StatedLimits;
  slotShares: StatedLimits;
}

/** Starts keeping to the limits of both kinds. */
export function startEndpointLimits(host: EndpointLimitsHost): EndpointLimits {
  const { directory, endpoints, onShares, ...base } = host;
  const sharing = { ...base, isListed: (name: string) => directory.find(name) !== undefined };
  const rateLimits = startRateLimits({
    ...sharing,
    setRateShares(shares) {
      endpoints.setRateShares(shares);
      onShares();
    },
  });
  const slotShares = startSlotShares({
    ...sharing,
    findSlots: (name) => directory.find(name)?.concurrency,
    setSlotShares(shares) {
      endpoints.setSlotShares(shares);
      onShares();
    },
  });
  return { rateLimits, slotShares };
}
