import { Diagnostics } from '@pomeloroad/core';
import { getRateShare } from './rateShares';
import { startSharedLimits } from './sharedLimits';
import type { SharedLimitsHost } from './sharedLimits';
import type { StatedLimitKind, StatedLimits } from './statedLimits';

const RATE_LIMITS: StatedLimitKind = {
  partition: 'limits',
  named: Diagnostics.rateLimitNamed,
  ended: Diagnostics.rateLimitEnded,
};

/** Dependencies of keeping to rate limits. */
export interface RateLimitsHost extends SharedLimitsHost {
  /** Sets the requests a second that this instance may send to each limited endpoint. */
  setRateShares(shares: Map<string, number>): void;
}

/** Starts keeping to the requests a second that endpoints take from all instances together. */
export function startRateLimits(host: RateLimitsHost): StatedLimits {
  return startSharedLimits(host, RATE_LIMITS, {
    getShare: (endpoint, limit, instances) =>
      getRateShare(endpoint, limit, host.instance, instances),
    setShares: (shares) => host.setRateShares(shares),
  });
}
