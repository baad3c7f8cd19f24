import { Diagnostics } from '@pomeloroad/core';
import { getRateShare } from './rateShares';
import { startStatedLimits } from './statedLimits';
import type { StatedLimits, StatedLimitsHost } from './statedLimits';

/** Dependencies of keeping to rate limits. */
export interface RateLimitsHost extends Omit<StatedLimitsHost, 'apply'> {
  instance: string;
  /** Returns the names of the instances that run; empty until they are known. */
  listInstances(): string[];
  /** Sets the requests a second that this instance may send to each limited endpoint. */
  setRateShares(shares: Map<string, number>): void;
}

/** Starts keeping to the requests a second that endpoints take from all instances together. */
export function startRateLimits(host: RateLimitsHost): StatedLimits {
  function apply(limits: ReadonlyMap<string, number>): void {
    const instances = host.listInstances();
    const shares = [...limits].map(([endpoint, limit]): [string, number] => [
      endpoint,
      getRateShare(endpoint, limit, host.instance, instances),
    ]);
    host.setRateShares(new Map(shares));
  }

  return startStatedLimits(
    { ...host, apply },
    {
      partition: 'limits',
      named: Diagnostics.rateLimitNamed,
      ended: Diagnostics.rateLimitEnded,
    },
  );
}
