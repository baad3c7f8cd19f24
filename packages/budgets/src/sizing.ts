import { match } from 'ts-pattern';
import type { Tokens } from '@pomeloroad/core';

/** How the size of a data centre's grant is chosen. */
export type GrantPolicy =
  /** Enough for the horizon at the present rate, limited to a share of the unallocated tokens. */
  | { kind: 'adaptive'; horizonSeconds: number }
  /** An equal part of the whole budget for each data centre, allocated at once and kept. */
  | { kind: 'even' }
  /** What the waiting requests need, which takes a table transaction for nearly every request. */
  | { kind: 'central' };

/** Inputs for the growth of a grant. */
export interface GrowthDemand {
  /** Tokens that waiting requests need beyond what is free. */
  needed: Tokens;
  /** Smoothed rate of spending, in tokens per second. */
  rate: number;
  unallocated: Tokens;
  toppedUp: Tokens;
  dataCentres: number;
  /** The present size of the grant. */
  size: Tokens;
}

/** Number of requests of the present size that a grant keeps free tokens for. */
const HEADROOM_REQUESTS = 8;
/** Divides an equal share of the unallocated tokens, leaving the rest to other data centres. */
const GROWTH_SHARE_DIVISOR = 2;
/** Divides that limit to get the least growth, a stock in case the table becomes unreachable. */
const BASE_GROWTH_DIVISOR = 4;

/** Returns how many tokens to add to a grant, at most the unallocated ones. */
export function getGrantGrowth(policy: GrantPolicy, demand: GrowthDemand): Tokens {
  const { needed, unallocated } = demand;
  const wanted = match(policy)
    .with({ kind: 'adaptive' }, ({ horizonSeconds }) => getAdaptiveGrowth(horizonSeconds, demand))
    .with({ kind: 'even' }, () => {
      const share = Math.floor(demand.toppedUp / demand.dataCentres);
      return Math.max(0, share - demand.size);
    })
    .with({ kind: 'central' }, () => needed)
    .exhaustive();
  return Math.min(wanted, unallocated);
}

function getAdaptiveGrowth(horizonSeconds: number, demand: GrowthDemand): Tokens {
  const { needed, rate, unallocated, dataCentres } = demand;
  const left = Math.max(0, unallocated - needed);
  const share = Math.floor(left / (GROWTH_SHARE_DIVISOR * dataCentres));
  const base = Math.floor(share / BASE_GROWTH_DIVISOR);
  const wanted = Math.max(Math.ceil(rate * horizonSeconds), needed * HEADROOM_REQUESTS, base);
  return needed + Math.min(wanted, share);
}

/** Returns how many free tokens a grant may keep; tokens beyond that return to the budget. */
export function getIdleLimit(policy: GrantPolicy, rate: number, recentPeakTokens: Tokens): Tokens {
  return match(policy)
    .with({ kind: 'adaptive' }, ({ horizonSeconds }) =>
      Math.max(Math.ceil(rate * horizonSeconds) * 2, recentPeakTokens * HEADROOM_REQUESTS * 2),
    )
    .with({ kind: 'even' }, () => Infinity)
    .with({ kind: 'central' }, () => 0)
    .exhaustive();
}
